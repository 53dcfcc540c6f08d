package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"notchhinge/internal/acquirer"
	"notchhinge/internal/broker"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/edge"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/issuer"
	"notchhinge/internal/limits"
	"notchhinge/internal/retrybudget"
	"notchhinge/internal/service"
	"notchhinge/policy"
)

// dataPlane is the data plane of a node: the front, the legs, and a module for each service.
type dataPlane struct {
	log         *slog.Logger
	limits      limits.Limits
	drainGrace  time.Duration
	loop        *broker.Loop
	upstream    *issuer.Client
	frontend    *acquirer.Server
	dialect     *edge.Dialect
	endpoints   func(service string) []endpoints.Endpoint
	seed        uint64
	traffic     *metrics.Traffic
	zone        string             // this machine's
	retryBudget retrybudget.Budget // of each service; no Window = there is no such budget
	retryShare  retrybudget.Share  // of the extra that all routers have together, beyond the ratio

	onStaleConnection func()       // told that an engine has forgotten a connection; it must not wait
	restLimitedUntil  atomic.Int64 // until then, by the loop's clock, connections that have rested are not for every request
	routes            atomic.Pointer[edge.Compiled]
	bounds            atomic.Pointer[limits.RequestBounds] // of the present configuration
	endpointZones     atomic.Pointer[map[string]string]    // of engines, by address
	mu                sync.Mutex                           // one change of configuration or engines at a time
	nextPool          hoststate.PoolID
	modules           map[hoststate.PoolID]*policy.Balancer
	classCounts       map[hoststate.PoolID]int
	endpointsChanged  chan struct{}
}

func newDataPlane(log *slog.Logger, lim limits.Limits, grace time.Duration, seed uint64, list func(string) []endpoints.Endpoint) *dataPlane {
	d := &dataPlane{
		traffic: &metrics.Traffic{}, log: log, limits: lim, drainGrace: grace, seed: seed, endpoints: list, nextPool: 1, modules: map[hoststate.PoolID]*policy.Balancer{},
		classCounts: map[hoststate.PoolID]int{}, endpointsChanged: make(chan struct{}, 1),
	}
	unsaid, _ := lim.ConfiguredBounds(0, 0, 0, 0)
	d.bounds.Store(&unsaid)
	d.loop = broker.NewLoop(broker.New(lim), broker.UnixClock(), d.perform)
	d.upstream = issuer.New(issuer.Config{
		Lim: lim, Post: d.loop.Post, Now: d.loop.Now, Dial: d.dial, Dialect: edge.Legs{}, Rest: d.maxRest, Forgot: func() { d.onStaleConnection() },
	})
	d.onStaleConnection = d.limitRest
	d.dialect = &edge.Dialect{Now: d.routes.Load, Salt: seed, Conversation: rand.Uint64, Clock: d.loop.Now}
	d.frontend = acquirer.New(acquirer.Options{
		Lim: lim, Dialect: d.dialect, Routes: func() *service.Directory { return nil }, Post: d.loop.Post, Now: d.loop.Now,
		Ready: func() bool { return true }, Bounds: func() limits.RequestBounds { return *d.bounds.Load() },
	})
	return d
}

// run turns the loop, and feeds the modules as engines change, until the context is over.
func (d *dataPlane) run(ctx context.Context) {
	go d.loop.Run(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.endpointsChanged:
		}
		if at := d.routes.Load(); at != nil {
			d.mu.Lock()
			d.publishEndpoints(at)
			d.mu.Unlock()
		}
	}
}

// notifyEndpointsChanged says that engines have changed. It does not wait.
func (d *dataPlane) notifyEndpointsChanged() {
	select {
	case d.endpointsChanged <- struct{}{}:
	default:
	}
}

// closer is what every authorisation of this front is.
type closer interface {
	Close(why broker.Verdict, retryAfter time.Duration, mayHaveRun bool)
}

// perform has an effect done by its owner. It does not wait.
func (d *dataPlane) perform(e broker.Effect) {
	if d.upstream.Perform(e) {
		return
	}
	switch e := e.(type) {
	case broker.Decline:
		go e.To.(closer).Close(e.Why, e.RetryAfter, e.MayHaveRun)
	case broker.PoolGone:
		go d.poolEnded(e.Pool)
	case broker.Log:
		d.log.Info(e.Line, "service", e.Pool)
	case broker.Counted:
		if to, ok := e.Of.(chan broker.Counted); ok {
			to <- e // it has room
		}
	}
}

func (d *dataPlane) poolEnded(id hoststate.PoolID) {
	d.upstream.End(id)
	d.frontend.End(id)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.modules, id)
	delete(d.classCounts, id)
}

// limitRest takes in that engines forget connections that rest.
func (d *dataPlane) limitRest() {
	d.restLimitedUntil.Store(int64(d.loop.Now() + limits.StaleConnCaution))
}

// maxRest is how long a connection may have rested that a request uses which must not run twice; 0 = no matter.
func (d *dataPlane) maxRest() time.Duration {
	if int64(d.loop.Now()) < d.restLimitedUntil.Load() {
		return limits.StaleConnMaxIdle
	}
	return 0
}

// updateRetryShare takes in how many lives of routers share what may be sent again, as was said to a question of a time; 0 = it was not.
func (d *dataPlane) updateRetryShare(asked time.Duration, lives int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.loop.Now()
	d.retryShare.Update(asked, now, lives)
	extra := d.retryShare.Allowance(now)
	if d.retryBudget.Window == 0 || extra == d.retryBudget.Allowance {
		return
	}
	d.retryBudget.Allowance = extra
	d.loop.Post(broker.RepeatsExtra(extra))
}

// hasEndpoints tells whether any engine is known that a request could go to.
func (d *dataPlane) hasEndpoints() bool {
	at := d.routes.Load()
	if at == nil {
		return false
	}
	for name := range at.Services() {
		if len(d.endpoints(name)) > 0 {
			return true
		}
	}
	return len(at.Services()) == 0
}
