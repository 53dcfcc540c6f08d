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
)

// dataPlaneOptions are the parameters of newDataPlane.
type dataPlaneOptions struct {
	log         *slog.Logger
	limits      limits.Limits
	drainGrace  time.Duration // how long requests of a known session are still sent to a draining engine
	seed        uint64        // of the policy modules
	zone        string        // of this machine
	traffic     *metrics.Traffic
	endpoints   func(service string) []endpoints.Endpoint // those that may receive requests
	retryBudget retrybudget.Budget                        // of each service; Window 0 = no retry budget
	retryShare  retrybudget.Share                         // determines retryBudget.Allowance: this router's share of the fleet's allowance
}

// dataPlane serves clients. It consists of the connections from clients (frontend), the connections to engines (upstream),
// the dispatch loop, and a policy module for each service.
type dataPlane struct {
	dataPlaneOptions
	loop       *dispatch.Loop
	upstream   *upstream.Transport
	frontend   *frontend.Server
	dialect    *dialect.Frontend
	onIdleDrop func() // called after an engine has dropped an idle connection without an answer; must not block

	endpointsChanged chan struct{} // signals run to publish the endpoints
	idleLimitedUntil atomic.Int64  // time in ns of the loop's clock until which maxIdle limits the reuse of idle connections
	routes           atomic.Pointer[dialect.CompiledConfig]
	bounds           atomic.Pointer[limits.RequestBounds] // of the configuration in force
	endpointZones    atomic.Pointer[map[string]string]    // zones of endpoints, by address

	mu       sync.Mutex // held while a configuration is applied or endpoints are published; guards the fields below and the retry options
	nextPool hoststate.PoolID
	pools    map[hoststate.PoolID]*poolState // of the services that have had a route, until their last request has ended
}

// poolState is what the data plane keeps of the pool of a service.
type poolState struct {
	service    string
	classCount int // of the policy module
}

func newDataPlane(o dataPlaneOptions) *dataPlane {
	d := &dataPlane{
		dataPlaneOptions: o, endpointsChanged: make(chan struct{}, 1),
		nextPool: 1, pools: map[hoststate.PoolID]*poolState{},
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

// run runs the dispatch loop and publishes changed endpoints to the policy modules until ctx is done.
func (d *dataPlane) run(ctx context.Context) {
	go d.loop.Run(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.endpointsChanged:
		}
		d.mu.Lock()
		d.publishEndpoints()
		d.mu.Unlock()
	}
}

// notifyEndpointsChanged signals run to publish the endpoints. It does not block.
func (d *dataPlane) notifyEndpointsChanged() {
	select {
	case d.endpointsChanged <- struct{}{}:
	default:
	}
}

// rejecter is the part of the frontend's request type that rejects a request after its attempts have failed.
type rejecter interface {
	RejectAfterAttempts(why dispatch.Verdict, retryAfter time.Duration, mayHaveRun bool)
}

// perform passes an effect of the dispatch loop to its owner. It does not block.
func (d *dataPlane) perform(e dispatch.Effect) {
	if d.upstream.Perform(e) {
		return
	}
	switch e := e.(type) {
	case dispatch.Reject:
		go e.Client.(rejecter).RejectAfterAttempts(e.Verdict, e.RetryAfter, e.MayHaveRun)
	case dispatch.PoolEnded:
		go d.removePool(e.Pool)
	case dispatch.Log:
		d.log.Info(e.Message, "service", e.Pool)
	case dispatch.CountersReport:
		if to, ok := e.ReplyTo.(chan dispatch.CountersReport); ok {
			to <- e // buffered for this one value
		}
	}
}

// removePool frees the resources of a service that is no longer configured, after its last request has ended.
func (d *dataPlane) removePool(id hoststate.PoolID) {
	d.upstream.RemovePool(id)
	d.frontend.RemovePool(id)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pools, id)
}

// limitIdleReuse limits the reuse of idle connections for limits.StaleConnAvoidPeriod after an engine has dropped one.
func (d *dataPlane) limitIdleReuse() {
	d.idleLimitedUntil.Store(int64(d.loop.Now() + limits.StaleConnAvoidPeriod))
}

// maxIdle returns how long a connection may have been idle to carry a non-idempotent request; 0 = no limit.
func (d *dataPlane) maxIdle() time.Duration {
	if int64(d.loop.Now()) < d.idleLimitedUntil.Load() {
		return limits.StaleConnMaxIdle
	}
	return 0
}

// updateRetryShare updates this router's share of the retry allowance. routers is the number of router incarnations in a
// replica's reply to a report made at requestedAt, by the loop's clock; 0 = unknown, which only lets an old share expire.
func (d *dataPlane) updateRetryShare(requestedAt time.Duration, routers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.loop.Now()
	d.retryShare.Update(requestedAt, now, routers)
	allowance := d.retryShare.Allowance(now)
	if d.retryBudget.Window == 0 || allowance == d.retryBudget.Allowance {
		return
	}
	d.retryBudget.Allowance = allowance
	d.loop.Post(dispatch.RetryAllowance(allowance))
}

// hasEndpoints reports whether any of the configured services has an endpoint, or no service is configured.
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
