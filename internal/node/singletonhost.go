package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"notchhinge/internal/control/autoscale"
	"notchhinge/internal/control/cloudapi"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/control/singleton"
	"notchhinge/internal/limits"
	"notchhinge/internal/retrybudget"
)

// singletonHost is a voter's singleton.Controller under one lock, with its clocks, its calls and the platform.
type singletonHost struct {
	replica *replicaHost
	log     *slog.Logger
	cloud   *cloudapi.Client
	clock   func() time.Duration // steady
	traffic *metrics.Traffic

	mu      sync.Mutex
	reducer *singleton.Controller
}

func newSingletonHost(n *Node) *singletonHost {
	b, id := &n.cfg.Bounds, n.replica.self.ID
	seconds := func(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
	d := &singletonHost{replica: n.replica, log: n.log, cloud: cloudapi.New(n.cfg.CloudAPI.Address, n.cfg.NodeName), clock: n.discovery.clock, traffic: &n.traffic}
	d.reducer = singleton.New(d.clock(), singleton.Config{
		Self: n.replica.self, LeaseDuration: time.Duration(b.LeaseMS) * time.Millisecond, UsageWindow: seconds(b.UsageWindowS), UsageDelay: seconds(b.UsageDelayS),
		// A machine whose disk was wiped may have granted a lease before: only at the very first start there was none.
		NeverGranted: n.replica.isFounder && n.replica.state().NextIndex == 0,
		RouterWindow: retrybudget.CountingPeriod(seconds(b.RetryWindowS), limits.RouterReportRetention), CandidacyDelay: time.Duration(id%1000) * time.Millisecond, Incarnation: rand.Uint64(),
		ReportsUsage: n.cfg.CloudAPI.HasRole("usage_reporting"), ScalesEngines: n.cfg.CloudAPI.HasRole("autoscaler"),
		Peers: n.replica.peers, Services: n.autoscaledServices, MembershipPending: n.replica.membershipPending,
	})
	return d
}

// autoscaledServices lists the services whose engines are ordered.
func (n *Node) autoscaledServices() (all []autoscale.Service) {
	c := n.config()
	if c == nil {
		return nil
	}
	for i := range c.Services {
		svc := &c.Services[i]
		if svc.Autoscaling == nil {
			continue
		}
		s := autoscale.Service{
			Name: svc.Name, Bounds: autoscale.Bounds{Min: svc.Autoscaling.MinInstances, Max: svc.Autoscaling.MaxInstances}, Ready: map[string]int{},
		}
		ready, slots := 0, 0.0
		for _, e := range n.discovery.endpoints(svc.Name) {
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

// step reduces an event and does what follows. It returns the reply to a call.
func (d *singletonHost) step(e singleton.Event) (reply singleton.SendReply) {
	s := d.replica.state()
	began := time.Now() // before the lease is looked at: a process that stands still after that sends nothing once it is over
	d.mu.Lock()
	effects := append([]singleton.Effect(nil), d.reducer.Reduce(d.clock(), time.Now(), &s, e)...)
	d.mu.Unlock()
	for _, f := range effects {
		switch f := f.(type) {
		case singleton.SendCall:
			go func() {
				body, err := withTimeout(f.Timeout, func(ctx context.Context) ([]byte, error) { return d.replica.call(ctx, f.To, f.Kind, f.Body) })
				d.step(singleton.CallReturned{ID: f.ID, Body: body, Err: err})
			}()
		case singleton.SendReply:
			reply = f
		case singleton.Log:
			d.log.Log(context.Background(), f.Level, f.Message, f.Args...)
		case singleton.Propose:
			go func() {
				_, err := withTimeout(f.Timeout, func(ctx context.Context) ([]byte, error) { return nil, d.replica.propose(ctx, f.Next) })
				d.step(singleton.ProposalDone{Err: err})
			}()
		case singleton.ReportUsage:
			d.callPlatform(began.Add(f.Timeout), func(ctx context.Context) error { return d.cloud.ReportUsage(ctx, f.FencingToken, f.Window, f.Counts) })
		case singleton.ScaleEngines:
			d.callPlatform(began.Add(f.Timeout), func(ctx context.Context) error {
				return d.cloud.ScaleEngines(ctx, f.FencingToken, cloudapi.Target{Service: f.Service, Zone: f.Zone, Engines: f.Engines})
			})
		}
	}
	return reply
}

// callPlatform makes a call to the platform, until a time.
func (d *singletonHost) callPlatform(until time.Time, do func(context.Context) error) {
	d.traffic.Add(metrics.CausePlatform, 0, false)
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), until)
		defer cancel()
		d.step(singleton.PlatformAnswered{Err: do(ctx)})
	}()
}

// withTimeout does something that must be over in a time.
func withTimeout(limit time.Duration, do func(context.Context) ([]byte, error)) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return do(ctx)
}

// run keeps time until the context is over.
func (d *singletonHost) run(ctx context.Context) {
	tick := time.NewTicker(limits.SingletonTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.step(singleton.Tick{})
		}
	}
}

// handleCall answers a call of another process.
func (d *singletonHost) handleCall(kind uint8, body []byte) ([]byte, error) {
	reply := d.step(singleton.CallReceived{Kind: kind, Body: body})
	return reply.Body, reply.Err
}
