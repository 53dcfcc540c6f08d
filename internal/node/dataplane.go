package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/dialect"
	"notchhinge/internal/directory"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/frontend"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/limits"
	"notchhinge/internal/retrybudget"
	"notchhinge/internal/upstream"
	"notchhinge/policy"
)

// dataPlaneOptions are what a data plane is made of.
type dataPlaneOptions struct {
	log         *slog.Logger
	limits      limits.Limits
	drainGrace  time.Duration // for how long a known session still goes to a draining engine
	seed        uint64        // of the policy modules
	zone        string        // of this machine
	traffic     *metrics.Traffic
	endpoints   func(service string) []endpoints.Endpoint // those that may get requests
	retryBudget retrybudget.Budget                        // of each service; no Window = there is no such budget
	retryShare  retrybudget.Share                         // of the allowance that all routers have in common, beyond the ratio
}

// dataPlane serves clients: connections from them (frontend), connections to engines (upstream), the loop that decides,
// and a policy module for each service.
type dataPlane struct {
	dataPlaneOptions
	loop       *dispatch.Loop
	upstream   *upstream.Transport
	frontend   *frontend.Server
	dialect    *dialect.Frontend
	onIdleDrop func() // an engine has dropped an idle connection without a word; it must not wait

	endpointsChanged chan struct{} // run must pass the endpoints on
	idleLimitedUntil atomic.Int64  // until then, in ns of the loop's clock, connections that idled are not for every request
	routes           atomic.Pointer[dialect.CompiledConfig]
	bounds           atomic.Pointer[limits.RequestBounds] // of the configuration in force
	endpointZones    atomic.Pointer[map[string]string]    // zones of endpoints, by address

	mu          sync.Mutex // held while a configuration is applied or endpoints are passed on; it guards what follows, and the retry options
	nextPool    hoststate.PoolID
	modules     map[hoststate.PoolID]*policy.Balancer
	classCounts map[hoststate.PoolID]int // priority classes that a module has
}

func newDataPlane(o dataPlaneOptions) *dataPlane {
	d := &dataPlane{
		dataPlaneOptions: o, endpointsChanged: make(chan struct{}, 1),
		nextPool: 1, modules: map[hoststate.PoolID]*policy.Balancer{}, classCounts: map[hoststate.PoolID]int{},
	}
	defaults, _ := o.limits.ConfiguredBounds(0, 0, 0, 0)
	d.bounds.Store(&defaults)
	d.loop = dispatch.NewLoop(dispatch.New(o.limits), dispatch.UnixClock(), d.perform)
	d.upstream = upstream.New(upstream.Config{
		Limits: o.limits, Post: d.loop.Post, Now: d.loop.Now, Dial: d.dial, Dialect: dialect.Upstream{}, NonIdempotentMaxIdle: d.maxIdle, OnIdleConnectionsLost: func() { d.onIdleDrop() },
	})
	d.onIdleDrop = d.limitIdleReuse
	d.dialect = &dialect.Frontend{Config: d.routes.Load, Salt: o.seed, SplitKey: rand.Uint64, Clock: d.loop.Now}
	d.frontend = frontend.New(frontend.Options{
		Limits: o.limits, Dialect: d.dialect, Directory: func() *directory.Directory { return nil }, Post: d.loop.Post, Now: d.loop.Now,
		IsReady: func() bool { return true }, Bounds: func() limits.RequestBounds { return *d.bounds.Load() },
	})
	return d
}

// run runs the loop, and passes endpoints on to the modules when they have changed, until ctx is done.
func (d *dataPlane) run(ctx context.Context) {
	go d.loop.Run(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.endpointsChanged:
		}
		if routes := d.routes.Load(); routes != nil {
			d.mu.Lock()
			d.publishEndpoints(routes)
			d.mu.Unlock()
		}
	}
}

// notifyEndpointsChanged has run pass the endpoints on. It does not wait.
func (d *dataPlane) notifyEndpointsChanged() {
	select {
	case d.endpointsChanged <- struct{}{}:
	default:
	}
}

// rejecter is a client's request, as the frontend hands it to the loop.
type rejecter interface {
	RejectAfterAttempts(why dispatch.Verdict, retryAfter time.Duration, mayHaveRun bool)
}

// perform has an effect of the loop carried out by its owner. It does not wait.
func (d *dataPlane) perform(e dispatch.Effect) {
	if d.upstream.Perform(e) {
		return
	}
	switch e := e.(type) {
	case dispatch.Reject:
		go e.Client.(rejecter).RejectAfterAttempts(e.Verdict, e.RetryAfter, e.MayHaveRun)
	case dispatch.PoolEnded:
		go d.poolEnded(e.Pool)
	case dispatch.Log:
		d.log.Info(e.Message, "service", e.Pool)
	case dispatch.CountersReport:
		if to, ok := e.ReplyTo.(chan dispatch.CountersReport); ok {
			to <- e // it has room
		}
	}
}

// poolEnded frees what a service had that is no longer configured, after its last request.
func (d *dataPlane) poolEnded(id hoststate.PoolID) {
	d.upstream.RemovePool(id)
	d.frontend.RemovePool(id)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.modules, id)
	delete(d.classCounts, id)
}

// limitIdleReuse takes note that engines drop idle connections.
func (d *dataPlane) limitIdleReuse() {
	d.idleLimitedUntil.Store(int64(d.loop.Now() + limits.StaleConnAvoidPeriod))
}

// maxIdle is for how long a connection may have idled that carries a request that must not run twice; 0 = for any time.
func (d *dataPlane) maxIdle() time.Duration {
	if int64(d.loop.Now()) < d.idleLimitedUntil.Load() {
		return limits.StaleConnMaxIdle
	}
	return 0
}

// updateRetryShare takes over how many incarnations of routers share the retry allowance, as a replica has answered to a
// question of the time asked, by the loop's clock; 0 = it has not answered.
func (d *dataPlane) updateRetryShare(asked time.Duration, routers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.loop.Now()
	d.retryShare.Update(asked, now, routers)
	allowance := d.retryShare.Allowance(now)
	if d.retryBudget.Window == 0 || allowance == d.retryBudget.Allowance {
		return
	}
	d.retryBudget.Allowance = allowance
	d.loop.Post(dispatch.RetryAllowance(allowance))
}

// hasEndpoints tells whether there is an endpoint for any of the configured services, or no service is configured.
func (d *dataPlane) hasEndpoints() bool {
	routes := d.routes.Load()
	if routes == nil {
		return false
	}
	for name := range routes.Services() {
		if len(d.endpoints(name)) > 0 {
			return true
		}
	}
	return len(routes.Services()) == 0
}
