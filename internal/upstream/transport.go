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

// Config is what a Transport is made of.
type Config struct {
	Limits        limits.Limits
	Dialect       Dialect       // nil = the platform's
	LoadReporting LoadReporting // of pools that ConfigurePool was not called for
	Post          func(dispatch.Event)
	Now           dispatch.Clock // times of traced attempts
	Dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	// NonIdempotentMaxIdle returns for how long a connection may have been idle that a non-idempotent request uses; 0 = for any
	// time. nil = always 0.
	NonIdempotentMaxIdle func() time.Duration
	// OnIdleConnectionsLost is called when an endpoint closed a connection that was idle, though it accepts new ones: other
	// connections may be lost as well. It must not block; nil = not called.
	OnIdleConnectionsLost func()
	// Go runs an attempt; nil = in a goroutine of its own. A model checker runs all attempts in one.
	Go func(func())
}

// Transport performs the effects of dispatch that concern endpoints.
type Transport struct {
	cfg   Config
	conns connPool

	mu            sync.Mutex
	attempts      map[dispatch.AttemptID]*attempt // those under way
	loadReporting map[hoststate.PoolID]*LoadReporting
}

// New returns a Transport without connections.
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

// Perform performs an effect if it concerns endpoints, and reports whether it does. It does not block.
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

// ConfigurePool sets how a pool's endpoints report their load and the pool's share of the connections. Attempts under way keep
// the way of reporting that they began with.
func (t *Transport) ConfigurePool(id hoststate.PoolID, r LoadReporting, conns quota.Claim) {
	t.mu.Lock()
	t.loadReporting[id] = &r
	t.mu.Unlock()
	t.conns.setClaim(id, conns)
}

// RemovePool closes a pool's idle connections and forgets the pool, which must not have an attempt under way.
func (t *Transport) RemovePool(id hoststate.PoolID) {
	t.conns.closeIdleTo(func(ep endpoint) bool { return ep.pool == id })
	t.mu.Lock()
	delete(t.loadReporting, id)
	t.mu.Unlock()
	t.conns.removeClaim(id)
}

// loadReportingOf returns how a pool's endpoints report. The lock is held.
func (t *Transport) loadReportingOf(id hoststate.PoolID) *LoadReporting {
	if r := t.loadReporting[id]; r != nil {
		return r
	}
	return &t.cfg.LoadReporting
}

// Connections returns how many connections a pool has, idle ones included.
func (t *Transport) Connections(id hoststate.PoolID) int { return t.conns.countOf(id) }

// IdleConnections returns how many connections of all pools are idle.
func (t *Transport) IdleConnections() int { return t.conns.idleCount() }

// SetMaxConnections changes how many connections there may be. Idle ones beyond that are closed.
func (t *Transport) SetMaxConnections(n int) { t.conns.setMax(int64(n)) }

// MaxConnections returns how many connections there may be.
func (t *Transport) MaxConnections() int { return t.conns.max() }

// Close closes the idle connections. Attempts under way go on.
func (t *Transport) Close() { t.conns.closeIdleTo(func(endpoint) bool { return true }) }

// LoadReporting says how a pool's endpoints report their load.
type LoadReporting struct {
	Columns     []string // names of the values, in the order of policy.Report
	StatsPath   bool     // a health check asks for the load report
	InResponses bool     // any response may carry one
}
