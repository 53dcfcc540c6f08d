package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"notchhinge/internal/control/cloudapi"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/singleton"
	"notchhinge/internal/limits"
	"notchhinge/internal/retrybudget"
)

// duties is a keeper's duty.Node under one lock, with its clocks, its calls and the platform.
type duties struct {
	k     *keeper
	log   *slog.Logger
	cloud *cloudapi.Client
	clock func() time.Duration // steady
	spent *metrics.Traffic

	mu   sync.Mutex
	node *singleton.Controller
}

func newDuties(n *Node) *duties {
	b, id := &n.cfg.Bounds, n.keeper.self.ID
	seconds := func(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
	d := &duties{k: n.keeper, log: n.log, cloud: cloudapi.New(n.cfg.CloudAPI.Address, n.cfg.NodeName), clock: n.news.clock, spent: &n.spent}
	d.node = singleton.New(d.clock(), singleton.Config{
		Self: n.keeper.self, LeaseDuration: time.Duration(b.LeaseMS) * time.Millisecond, UsageWindow: seconds(b.UsageWindowS), UsageDelay: seconds(b.UsageDelayS),
		// A machine whose disk was wiped may have granted a lease before: only at the very first start there was none.
		NeverGranted: n.keeper.founder && n.keeper.at().NextIndex == 0,
		RouterWindow: retrybudget.CountingPeriod(seconds(b.RetryWindowS), limits.RouterReportRetention), CandidacyDelay: time.Duration(id%1000) * time.Millisecond, Incarnation: rand.Uint64(),
		ReportsUsage: n.cfg.CloudAPI.HasRole("usage_reporting"), ScalesEngines: n.cfg.CloudAPI.HasRole("autoscaler"),
		Peers: n.keeper.others, Services: n.scaled, MembershipPending: n.keeper.unsure,
	})
	return d
}

// scaled lists the services whose engines are ordered.
func (n *Node) scaled() (all []singleton.Service) {
	c := n.config()
	if c == nil {
		return nil
	}
	for i := range c.Services {
		svc := &c.Services[i]
		if svc.Autoscaling == nil {
			continue
		}
		s := singleton.Service{
			Name: svc.Name, Bounds: singleton.Bounds{Min: svc.Autoscaling.MinInstances, Max: svc.Autoscaling.MaxInstances, Boot: fleetconfig.Milliseconds(svc.Autoscaling.BootTimeoutS * 1000)}, Ready: map[string]int{},
		}
		ready, slots := 0, 0.0
		for _, e := range n.news.list(svc.Name) {
			if s.Ready[e.Zone] += 0; e.State == endpoints.StateReady {
				s.Ready[e.Zone]++
				ready++
				slots += float64(e.Slots)
			}
		}
		s.Slots = slots / float64(max(ready, 1))
		all = append(all, s)
	}
	return all
}

// turn reduces an event and does what follows.
func (d *duties) turn(e singleton.Event) {
	s := d.k.at()
	began := time.Now() // before the lease is looked at: a process that stands still after that sends nothing once it is over
	d.mu.Lock()
	effects := append([]singleton.Effect(nil), d.node.Reduce(d.clock(), time.Now(), &s, e)...)
	d.mu.Unlock()
	for _, f := range effects {
		switch f := f.(type) {
		case replica.SendCall:
			go func() {
				body, err := within(f.Timeout, func(ctx context.Context) ([]byte, error) { return d.k.call(ctx, f.To, f.Kind, f.Body) })
				d.turn(replica.CallReturned{ID: f.ID, Body: body, Err: err})
			}()
		case replica.SendReply:
			f.Of.(chan answered) <- answered{f.Body, f.Err} // it has room
		case replica.Log:
			d.log.Log(context.Background(), f.Level, f.Message, f.Args...)
		case singleton.Propose:
			go func() {
				_, err := within(f.Timeout, func(ctx context.Context) ([]byte, error) { return nil, d.k.propose(ctx, f.Next) })
				d.turn(singleton.ProposalDone{Err: err})
			}()
		case singleton.ReportUsage:
			d.platform(began.Add(f.Timeout), func(ctx context.Context) error { return d.cloud.ReportUsage(ctx, f.FencingToken, f.Window, f.Counts) })
		case singleton.ScaleEngines:
			d.platform(began.Add(f.Timeout), func(ctx context.Context) error {
				return d.cloud.ScaleEngines(ctx, f.FencingToken, f.Service, f.Zone, f.Engines)
			})
		}
	}
}

// platform makes a call to the platform, until a time.
func (d *duties) platform(until time.Time, do func(context.Context) error) {
	d.spent.Add(metrics.CausePlatform, 0, false)
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), until)
		defer cancel()
		d.turn(singleton.PlatformAnswered{Err: do(ctx)})
	}()
}

// within does something that must be over in a time.
func within(limit time.Duration, do func(context.Context) ([]byte, error)) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return do(ctx)
}

// run keeps time until the context is over.
func (d *duties) run(ctx context.Context) {
	tick := time.NewTicker(limits.SingletonTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.turn(replica.Tick{})
		}
	}
}

// handle answers a call of another process.
func (d *duties) handle(kind uint8, from netip.Addr, body []byte) ([]byte, error) {
	of := make(chan answered, 1)
	d.turn(replica.CallReceived{Kind: kind, Body: body, From: from, Of: of})
	a := <-of // it is answered at once
	return a.body, a.err
}
