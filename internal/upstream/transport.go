package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/limits"
	"notchhinge/internal/quota"
)

// Config configures a Transport. Limits, Post and Dial are required, and Now as well if attempts are traced.
type Config struct {
	Limits        limits.Limits
	Dialect       Dialect       // nil = the dialect of the platform
	LoadReporting LoadReporting // of pools without a call of ConfigurePool
	Post          func(dispatch.Event)
	Now           dispatch.Clock // for the times of traced attempts
	Dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	// NonIdempotentMaxIdle returns the longest idle time of a connection that a non-idempotent request may reuse; 0 = no limit.
	// A nil function means no limit.
	NonIdempotentMaxIdle func() time.Duration
	// OnIdleConnectionsLost is called when a reused connection turned out to be closed although the endpoint accepts new
	// connections. Other connections may be lost as well. It must not block; nil = not called.
	OnIdleConnectionsLost func()
	// Go runs a function concurrently; nil = in a new goroutine. A model checker runs all functions in one goroutine.
	Go func(func())
}

// Transport performs the effects of dispatch that concern endpoints.
type Transport struct {
	cfg   Config
	conns connPool

	mu            sync.Mutex
	attempts      map[dispatch.AttemptID]*attempt // running attempts
	loadReporting map[hoststate.PoolID]*LoadReporting
}

// New returns a Transport without open connections.
func New(c Config) *Transport {
	if c.Dialect == nil {
		c.Dialect = platform{}
	}
	if c.Go == nil {
		c.Go = func(f func()) { go f() }
	}
	return &Transport{
		cfg: c, attempts: map[dispatch.AttemptID]*attempt{}, loadReporting: map[hoststate.PoolID]*LoadReporting{},
		conns: connPool{
			limits: c.Limits, dial: c.Dial, post: c.Post, idle: map[endpoint][]*conn{}, quota: quota.New(int64(c.Limits.UpstreamConns)),
		},
	}
}

// Perform performs an effect that concerns endpoints and returns true. It returns false for any other effect. It does not block.
func (t *Transport) Perform(e dispatch.Effect) bool {
	switch e := e.(type) {
	case dispatch.StartAttempt:
		t.StartAttempt(e)
	case dispatch.StartTracedAttempt:
		t.startTracedAttempt(e)
	case dispatch.BindAttempt:
		t.BindAttempt(e.Attempt)
	case dispatch.CancelAttempt:
		t.CancelAttempt(e.Attempt)
	case dispatch.CloseIdleConnection:
		t.conns.closeIdle(e.Connection)
	case dispatch.SendProbe:
		t.startHealthCheck(e)
	default:
		return false
	}
	return true
}

// ConfigurePool sets how the endpoints of a pool report their load, and the pool's claim to connections. Running attempts keep the
// LoadReporting that they started with.
func (t *Transport) ConfigurePool(id hoststate.PoolID, r LoadReporting, conns quota.Claim) {
	t.mu.Lock()
	t.loadReporting[id] = &r
	t.mu.Unlock()
	t.conns.setClaim(id, conns)
}

// RemovePool closes the idle connections of a pool and removes its configuration. The pool must not have a running attempt.
func (t *Transport) RemovePool(id hoststate.PoolID) {
	t.conns.closeIdleTo(func(ep endpoint) bool { return ep.pool == id })
	t.mu.Lock()
	delete(t.loadReporting, id)
	t.mu.Unlock()
	t.conns.removeClaim(id)
}

// loadReportingOf returns the LoadReporting of a pool. The caller holds mu.
func (t *Transport) loadReportingOf(id hoststate.PoolID) *LoadReporting {
	if r := t.loadReporting[id]; r != nil {
		return r
	}
	return &t.cfg.LoadReporting
}

// Connections returns the number of open connections of a pool, including idle ones.
func (t *Transport) Connections(id hoststate.PoolID) int { return t.conns.countOf(id) }

// IdleConnections returns the number of idle connections of all pools.
func (t *Transport) IdleConnections() int { return t.conns.idleCount() }

// SetMaxConnections changes the maximum number of connections. It closes idle connections while there are more than that.
func (t *Transport) SetMaxConnections(n int) { t.conns.setMax(int64(n)) }

// MaxConnections returns the maximum number of connections.
func (t *Transport) MaxConnections() int { return t.conns.max() }

// Close closes the idle connections. Running attempts continue.
func (t *Transport) Close() { t.conns.closeIdleTo(func(endpoint) bool { return true }) }

// LoadReporting describes how the endpoints of a pool report their load.
type LoadReporting struct {
	Columns     []string // names of the values, in the order of policy.Report
	StatsPath   bool     // health checks request the path of the load report
	InResponses bool     // any response may contain a load report
}
