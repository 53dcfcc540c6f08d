package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/limits"
	"notchhinge/internal/quota"
)

// connPool keeps idle connections and bounds the number of all open connections, including those in use.
type connPool struct {
	limits limits.Limits
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	post   func(dispatch.Event)

	mu         sync.Mutex
	idle       map[endpoint][]*conn // in order of last use, the most recent last
	quota      *quota.Quota         // of open connections, by pool
	open       int
	lastIdleID uint64
}

// errConnectionLimit means that the limit is reached and no idle connection can be evicted.
var errConnectionLimit = errors.New("upstream connection limit reached")

// connOptions are the options of connPool.get.
type connOptions struct {
	timeout time.Duration // for dialling
	maxIdle time.Duration // longest idle time of a reused connection; 0 = no limit
}

// get returns the most recently used idle connection to an endpoint, or dials a new one. A connection that was idle for longer
// than opts.maxIdle is not used and stays in the pool.
func (p *connPool) get(ctx context.Context, ep endpoint, opts connOptions) (*conn, error) {
	for {
		c, err := p.takeIdle(ep, opts.maxIdle)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < p.idleTimeout(c) && isReusable(c.Conn) {
			return c, c.SetDeadline(time.Time{})
		}
		_ = c.Close() // no request is in flight on it
	}
	ctx, cancel := context.WithTimeout(ctx, opts.timeout)
	defer cancel()
	netConn, err := p.dial(ctx, "tcp", ep.addr)
	if err != nil {
		p.release(ep.pool)
		return nil, err
	}
	c := &conn{Conn: netConn, br: bufio.NewReaderSize(netConn, p.limits.ResponseHeadBytes), endpoint: ep}
	c.onClose = func() { p.release(ep.pool) }
	return c, nil
}

// takeIdle removes and returns the most recently used idle connection to an endpoint. If there is none, it returns nil and reserves
// quota for a new connection, for which it may evict an idle connection to another endpoint.
func (p *connPool) takeIdle(ep endpoint, maxIdle time.Duration) (*conn, error) {
	var evicted []*conn
	defer func() {
		for _, c := range evicted {
			c.Conn.Close()
		}
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	if conns := p.idle[ep]; len(conns) > 0 && (maxIdle == 0 || time.Since(conns[len(conns)-1].idleSince) < maxIdle) {
		c := conns[len(conns)-1]
		p.setIdle(ep, conns[:len(conns)-1])
		return c, nil
	}
	for !p.quota.Take(int(ep.pool), 1) {
		c := p.evictIdle(ep.pool)
		if c == nil {
			return nil, errConnectionLimit
		}
		c.closeOnce.Do(func() { // released here under the lock; Close must not release it again
			p.open--
			p.quota.Release(int(c.endpoint.pool), 1)
		})
		evicted = append(evicted, c)
	}
	p.open++
	return nil, nil
}

// evictIdle removes and returns an idle connection that may be closed in favour of a new connection of a pool: one of the same
// pool, or one of a pool that exceeds its guarantee. It returns nil if there is none. The caller holds mu.
func (p *connPool) evictIdle(pool hoststate.PoolID) *conn {
	for ep, conns := range p.idle {
		if ep.pool == pool || p.quota.IsOverGuarantee(int(ep.pool)) {
			p.setIdle(ep, conns[1:])
			return conns[0]
		}
	}
	return nil
}

// put makes a connection idle if it is reusable, and closes it otherwise. It posts ConnectionIdle, so that dispatch can close the
// connection after its idle timeout.
func (p *connPool) put(c *conn) {
	p.mu.Lock()
	if c.br.Buffered() > 0 || c.mustClose || c.idleTimeout < 0 || len(p.idle[c.endpoint]) >= p.limits.IdlePerEndpoint {
		p.mu.Unlock()
		_ = c.Close() // no request is in flight on it
		return
	}
	p.lastIdleID++
	id := p.lastIdleID
	c.idleID, c.idleSince = id, time.Now()
	p.idle[c.endpoint] = append(p.idle[c.endpoint], c)
	timeout := p.idleTimeout(c)
	p.mu.Unlock() // from here on another attempt may use the connection
	p.post(dispatch.ConnectionIdle{Connection: id, Idle: timeout})
}

// idleTimeout returns the idle timeout of a connection: the shorter of its own and that of the limits.
func (p *connPool) idleTimeout(c *conn) time.Duration {
	if c.idleTimeout == 0 {
		return p.limits.UpstreamIdleTimeout
	}
	return min(c.idleTimeout, p.limits.UpstreamIdleTimeout)
}

// closeIdle closes the connection with this idle ID if it is still idle.
func (p *connPool) closeIdle(id uint64) {
	p.mu.Lock()
	var c *conn
	for ep, conns := range p.idle {
		for i := range conns {
			if conns[i].idleID == id {
				c = conns[i]
				p.setIdle(ep, append(conns[:i:i], conns[i+1:]...))
				break
			}
		}
	}
	p.mu.Unlock()
	if c != nil {
		_ = c.Close() // no request is in flight on it
	}
}

// closeIdleTo closes the idle connections to all endpoints for which match returns true.
func (p *connPool) closeIdleTo(match func(endpoint) bool) {
	var closing []*conn
	p.mu.Lock()
	for ep, conns := range p.idle {
		if match(ep) {
			closing = append(closing, conns...)
			delete(p.idle, ep)
		}
	}
	p.mu.Unlock()
	closeAll(closing)
}

// closeIdleToHost closes the idle connections of all pools to the host of an endpoint, since they were probably lost together.
func (p *connPool) closeIdleToHost(ep endpoint) {
	p.closeIdleTo(func(other endpoint) bool { return other.addr == ep.addr && other.host == ep.host })
}

// setMax changes the maximum number of connections. It closes idle ones while there are more than that.
func (p *connPool) setMax(n int64) {
	var closing []*conn
	p.mu.Lock()
	p.quota.Resize(n)
	for ep, conns := range p.idle {
		excess := min(max(p.quota.Used()-n-int64(len(closing)), 0), int64(len(conns)))
		closing = append(closing, conns[:excess]...)
		p.setIdle(ep, conns[excess:])
	}
	p.mu.Unlock()
	closeAll(closing)
}

func (p *connPool) max() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(p.quota.Total())
}

func (p *connPool) setClaim(id hoststate.PoolID, c quota.Claim) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quota.SetClaim(int(id), c)
}

func (p *connPool) removeClaim(id hoststate.PoolID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quota.EndClaim(int(id))
}

func (p *connPool) countOf(id hoststate.PoolID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(p.quota.Reserved(int(id)))
}

func (p *connPool) idleCount() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		n += len(conns)
	}
	return n
}

// release releases the quota of one connection of a pool.
func (p *connPool) release(id hoststate.PoolID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.quota.Release(int(id), 1)
}

// setIdle replaces the idle connections to an endpoint. The caller holds mu.
func (p *connPool) setIdle(ep endpoint, conns []*conn) {
	if len(conns) == 0 {
		delete(p.idle, ep)
		return
	}
	p.idle[ep] = conns
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Close() // no request is in flight on it
	}
}
