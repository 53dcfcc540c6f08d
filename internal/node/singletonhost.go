package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"notchhinge/internal/config/nodeconfig"
	"notchhinge/internal/control/autoscale"
	"notchhinge/internal/control/cloudapi"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/control/singleton"
	"notchhinge/internal/limits"
	"notchhinge/internal/retrybudget"
)

// singletonHost runs the singleton.Controller of the process: its lock, clock and ticker, its calls to peers and, while this
// replica holds the lease, its calls to the platform.
type singletonHost struct {
	ctx     context.Context // of the process; bounds the calls that effects start
	replica *replicaHost
	log     *slog.Logger
	cloud   *cloudapi.Client
	clock   func() time.Duration // monotonic
	traffic *metrics.Traffic

	mu      sync.Mutex
	reducer *singleton.Controller
}

func newSingletonHost(ctx context.Context, n *Node) *singletonHost {
	h := &singletonHost{
		ctx: ctx, replica: n.replica, log: n.log, cloud: cloudapi.New(n.cfg.CloudAPI.Address, n.cfg.NodeName), clock: n.discovery.clock, traffic: &n.traffic,
	}
	b := &n.cfg.Bounds
	h.reducer = singleton.New(h.clock(), singleton.Config{
		Self:          n.replica.self,
		LeaseDuration: time.Duration(b.LeaseMS) * time.Millisecond,
		UsageWindow:   seconds(b.UsageWindowS),
		UsageDelay:    seconds(b.UsageDelayS),
		// A replica whose disk was wiped may have granted a lease before. Only at the first start of the fleet is it certain
		// that there was none.
		NeverGranted:      n.replica.isFounder && n.replica.state().NextIndex == 0,
		RouterWindow:      retrybudget.CountingPeriod(seconds(b.RetryWindowS), limits.RouterReportRetention),
		CandidacyDelay:    time.Duration(n.replica.self.ID%1000) * time.Millisecond, // keeps replicas from becoming candidates at the same time
		Incarnation:       rand.Uint64(),
		ReportsUsage:      n.cfg.CloudAPI.HasRole(nodeconfig.RoleUsage),
		ScalesEngines:     n.cfg.CloudAPI.HasRole(nodeconfig.RoleAutoscaler),
		Peers:             n.replica.peers,
		Services:          n.autoscaledServices,
		MembershipPending: n.replica.membershipPending,
	})
	return h
}

// autoscaledServices lists the services with autoscaling, each once, with the counts of their known endpoints.
func (n *Node) autoscaledServices() (all []autoscale.Service) {
	c := n.configs.config()
	if c == nil {
		return nil
	}
	seen := map[string]bool{}
	for i := range c.Services {
		s := &c.Services[i]
		if s.Autoscaling != nil && !seen[s.Name] {
			seen[s.Name] = true
			all = append(all, n.autoscaledService(s))
		}
	}
	return all
}

// autoscaledService counts the ready endpoints of a service in each zone that has any endpoint of it, also if none is ready there, and
// computes their mean slots.
func (n *Node) autoscaledService(c *fleetconfig.Service) autoscale.Service {
	s := autoscale.Service{
		Name:   c.Name,
		Bounds: autoscale.Bounds{Min: c.Autoscaling.MinInstances, Max: c.Autoscaling.MaxInstances},
		Ready:  map[string]int{},
	}
	ready, slots := 0, 0.0
	for _, e := range n.discovery.endpoints(c.Name) {
		if s.Ready[e.Zone] += 0; e.State == endpoints.StateReady {
			s.Ready[e.Zone]++
			ready++
			slots += float64(e.Slots)
		}
	}
	s.Slots = slots / float64(max(ready, 1))
	return s
}

// step passes an event to the reducer, performs the effects, and returns the reply if the event was a call.
func (h *singletonHost) step(e singleton.Event) (reply singleton.SendReply) {
	state := h.replica.state()
	// The deadlines of platform calls count from a time before the lease is checked. If the process is suspended in between,
	// the calls expire instead of reaching the platform after the lease has ended.
	began := time.Now()
	h.mu.Lock()
	effects := append([]singleton.Effect(nil), h.reducer.Reduce(h.clock(), time.Now(), &state, e)...)
	h.mu.Unlock()
	for _, f := range effects {
		if r, ok := f.(singleton.SendReply); ok {
			reply = r
			continue
		}
		h.perform(began, f)
	}
	return reply
}

// perform carries out an effect other than a reply. began is when its event was processed; timeouts count from it. It does
// not block.
func (h *singletonHost) perform(began time.Time, e singleton.Effect) {
	switch e := e.(type) {
	case singleton.SendCall:
		go h.sendCall(h.ctx, e)
	case singleton.Log:
		h.log.Log(h.ctx, e.Level, e.Message, e.Args...)
	case singleton.Propose:
		go h.propose(h.ctx, e)
	case singleton.ReportUsage:
		h.callPlatform(h.ctx, began.Add(e.Timeout), func(ctx context.Context) error {
			return h.cloud.ReportUsage(ctx, e.FencingToken, e.Window, e.Counts)
		})
	case singleton.ScaleEngines:
		h.callPlatform(h.ctx, began.Add(e.Timeout), func(ctx context.Context) error {
			return h.cloud.ScaleEngines(ctx, e.FencingToken, cloudapi.Target{Service: e.Service, Zone: e.Zone, Engines: e.Engines})
		})
	}
}

// sendCall makes a call to a peer and reports its outcome to the reducer.
func (h *singletonHost) sendCall(ctx context.Context, e singleton.SendCall) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	body, err := h.replica.call(ctx, e.To, e.Kind, e.Body)
	h.step(singleton.CallReturned{ID: e.ID, Body: body, Err: err})
}

// propose proposes log entries through the replica of this process and reports the outcome to the reducer.
func (h *singletonHost) propose(ctx context.Context, e singleton.Propose) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	h.step(singleton.ProposalDone{Err: h.replica.propose(ctx, e.Next)})
}

// callPlatform starts a goroutine that calls the platform, bounded by a deadline, and reports the outcome to the reducer.
func (h *singletonHost) callPlatform(ctx context.Context, deadline time.Time, call func(context.Context) error) {
	h.traffic.Add(metrics.CausePlatform, 0, false)
	go func() {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		h.step(singleton.PlatformAnswered{Err: call(ctx)})
	}()
}

// run sends ticks to the reducer until ctx is done.
func (h *singletonHost) run(ctx context.Context) {
	tick := time.NewTicker(limits.SingletonTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			h.step(singleton.Tick{})
		}
	}
}

// handleCall answers a call from a peer. The reducer replies to each call in the same step.
func (h *singletonHost) handleCall(kind rpc.Kind, body []byte) ([]byte, error) {
	reply := h.step(singleton.CallReceived{Kind: kind, Body: body})
	return reply.Body, reply.Err
}
