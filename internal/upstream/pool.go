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

// connPool keeps the idle connections and counts all of them, those in use included.
type connPool struct {
	limits limits.Limits
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	post   func(dispatch.Event)

	mu         sync.Mutex
	idle       map[endpoint][]*conn // the one that was used last is last
	quota      *quota.Quota         // of all connections, by pool
	open       int
	lastIdleID uint64
}

// errConnectionLimit says that there are as many connections as may be, and none of them is idle.
var errConnectionLimit = errors.New("upstream connection limit reached")

// connWait bounds what get may return and how long it may take.
type connOptions struct {
	timeout time.Duration // of dialling
	maxIdle time.Duration // how long a connection may have been idle; 0 = for any time
}

// get returns the connection to an endpoint that was used last, or dials one. One that was idle for longer than w.maxIdle is
// left for others.
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
		_ = c.Close() // nothing is under way on it
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

// takeIdle takes the idle connection to an endpoint that was used last. If there is none it returns nil and has counted a new
// one, for which an idle connection to another endpoint may have to go.
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
		c.closeOnce.Do(func() { // counted out here under the lock; Close must not do it again
			p.open--
			p.quota.Release(int(c.endpoint.pool), 1)
		})
		evicted = append(evicted, c)
	}
	p.open++
	return nil, nil
}

// evictIdle takes out an idle connection that may go for a new one of a pool: one of its own, or one that another pool has
// beyond its guarantee. The lock is held.
func (p *connPool) evictIdle(pool hoststate.PoolID) *conn {
	for ep, conns := range p.idle {
		if ep.pool == pool || p.quota.IsOverGuarantee(int(ep.pool)) {
			p.setIdle(ep, conns[1:])
			return conns[0]
		}
	}
	return nil
}

// put keeps a connection for the next request if it can serve again, and closes it otherwise. Dispatch has an idle connection
// closed before the endpoint would.
func (p *connPool) put(c *conn) {
	p.mu.Lock()
	if c.br.Buffered() > 0 || c.mustClose || c.idleTimeout < 0 || len(p.idle[c.endpoint]) >= p.limits.IdlePerEndpoint {
		p.mu.Unlock()
		_ = c.Close() // nothing is under way on it
		return
	}
	p.lastIdleID++
	id := p.lastIdleID
	c.idleID, c.idleSince = id, time.Now()
	p.idle[c.endpoint] = append(p.idle[c.endpoint], c)
	timeout := p.idleTimeout(c)
	p.mu.Unlock() // from here on another attempt may use it
	p.post(dispatch.ConnectionIdle{Connection: id, Idle: timeout})
}

// idleTimeout returns how long a connection may be idle.
func (p *connPool) idleTimeout(c *conn) time.Duration {
	if c.idleTimeout == 0 {
		return p.limits.UpstreamIdleTimeout
	}
	return min(c.idleTimeout, p.limits.UpstreamIdleTimeout)
}

// closeIdle closes the connection that has been idle under an id, if it still is.
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
		_ = c.Close() // nothing is under way on it
	}
}

// closeIdleTo closes the idle connections to the endpoints that match.
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

// closeIdleToHost closes the idle connections to a host, those of other pools included: what ended one ended them all.
func (p *connPool) closeIdleToHost(ep endpoint) {
	p.closeIdleTo(func(other endpoint) bool { return other.addr == ep.addr && other.host == ep.host })
}

// setMax changes how many connections there may be, and closes idle ones until there are no more, or none is idle.
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

// release counts a connection of a pool out.
func (p *connPool) release(id hoststate.PoolID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.quota.Release(int(id), 1)
}

// setIdle replaces the idle connections to an endpoint. The lock is held.
func (p *connPool) setIdle(ep endpoint, conns []*conn) {
	if len(conns) == 0 {
		delete(p.idle, ep)
		return
	}
	p.idle[ep] = conns
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Close() // nothing is under way on it
	}
}
