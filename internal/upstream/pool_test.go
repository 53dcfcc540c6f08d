package upstream

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/quota"
	"notchhinge/policy"
)

func TestConnectionIsReusedAndClosedWhenIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial, accepted := pipes()
		h, client := newHarness(dial), &downstream{body: []byte(`{"model":"chat"}`)}
		var conn net.Conn
		for n := range 2 {
			h.StartAttempt(startEffect(n, client))
			if n == 0 {
				conn = <-accepted
			}
			play(t, conn, "served")
			synctest.Wait()
		}
		idle := h.cfg.Limits.UpstreamIdleTimeout
		want := []dispatch.Event{dispatch.ConnectionIdle{Connection: 1, Idle: idle}, dispatch.ConnectionIdle{Connection: 2, Idle: idle}}
		if diff := cmp.Diff(want, h.events); diff != "" || len(accepted) != 0 {
			t.Errorf("%d more connections, idle connections (-want +got):\n%s", len(accepted), diff)
		}
		h.conns.closeIdle(1) // the connection has a new idle ID by now, so nothing happens
		if h.conns.open != 1 {
			t.Error("a connection was closed by its old idle ID")
		}
		h.conns.closeIdle(2)
		if h.conns.open != 0 || len(h.conns.idle) != 0 {
			t.Error("the connection was not closed")
		}
	})
}

func TestConnectionLimitEvictsIdleOnes(t *testing.T) {
	// At the limit, an idle connection to one host is evicted for another host, and without an idle connection get fails. A
	// connection to one host is not reused for another host at the same address.
	synctest.Test(t, func(t *testing.T) {
		dial, accepted := pipes()
		h := newHarness(dial)
		h.conns.quota.Resize(1)
		h.ConfigurePool(0, h.cfg.LoadReporting, quota.Claim{Guarantee: 1})
		first, err := h.conns.get(t.Context(), endpoint{1, "a", 0}, connOptions{timeout: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := h.conns.get(t.Context(), endpoint{2, "a", 0}, connOptions{timeout: time.Second}); !errors.Is(err, errConnectionLimit) {
			t.Errorf("a connection above the limit: error %v", err)
		}
		h.conns.put(first)
		second, err := h.conns.get(t.Context(), endpoint{2, "a", 0}, connOptions{timeout: time.Second})
		if err != nil || h.conns.open != 1 {
			t.Fatalf("%v, %d open", err, h.conns.open)
		}
		_ = second.Close()
		for range 2 {
			(<-accepted).Close()
		}
	})
}

// twoPools is a harness with two pools and three connections, one of which is guaranteed to each pool.
type twoPools struct {
	*harness
	t        *testing.T
	accepted chan net.Conn
}

func newTwoPools(t *testing.T) twoPools {
	t.Helper()
	dial, accepted := pipes()
	p := twoPools{newHarness(dial), t, accepted}
	p.conns.quota.Resize(3)
	for id := range hoststate.PoolID(2) {
		p.ConfigurePool(id, p.cfg.LoadReporting, quota.Claim{Guarantee: 1})
	}
	return p
}

func (p twoPools) get(pool hoststate.PoolID, host policy.ReplicaID) *conn {
	p.t.Helper()
	c, err := p.conns.get(p.t.Context(), endpoint{host, "a", pool}, connOptions{timeout: time.Second})
	if err != nil {
		p.t.Fatal(err)
	}
	return c
}

// mustBeFull checks that a pool cannot open another connection.
func (p twoPools) mustBeFull(pool hoststate.PoolID, host policy.ReplicaID) {
	p.t.Helper()
	if _, err := p.conns.get(p.t.Context(), endpoint{host, "a", pool}, connOptions{timeout: time.Second}); !errors.Is(err, errConnectionLimit) {
		p.t.Errorf("a connection within the guarantee of the other pool: error %v", err)
	}
}

// mustCount checks the numbers of open connections of the pools and in total.
func (p twoPools) mustCount(first, second int) {
	p.t.Helper()
	if p.Connections(0) != first || p.Connections(1) != second || p.conns.open != first+second {
		p.t.Errorf("%d and %d connections, %d open; want %d and %d", p.Connections(0), p.Connections(1), p.conns.open, first, second)
	}
}

func (p twoPools) closeFarEnds() {
	for len(p.accepted) > 0 {
		(<-p.accepted).Close()
	}
}

// TestGuaranteedConnectionsOfTwoPools checks that pools do not share connections to the same host, and that a pool can evict idle
// connections of another pool only above the other pool's guarantee.
func TestGuaranteedConnectionsOfTwoPools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTwoPools(t)
		first, second := p.get(0, 1), p.get(0, 2)
		p.mustBeFull(0, 3)
		if other := p.get(1, 1); other == first {
			t.Error("two pools share a connection")
		}
		p.mustCount(2, 1)
		for _, c := range []*conn{first, second} {
			p.conns.put(c)
		}
		p.get(1, 2) // evicts an idle connection of the first pool, which exceeds its guarantee
		p.mustCount(1, 2)
		p.mustBeFull(1, 4)
		p.closeFarEnds()
	})
}

// TestStaleConnectionClosesIdleOnesOfAllPools checks that closeIdleToHost closes the idle connections of all pools to a host and
// keeps those to other hosts, and that RemovePool closes the rest of its pool.
func TestStaleConnectionClosesIdleOnesOfAllPools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTwoPools(t)
		first, second, otherHost := p.get(0, 1), p.get(1, 1), p.get(1, 2)
		for _, c := range []*conn{first, second, otherHost} {
			p.conns.put(c)
		}
		p.conns.closeIdleToHost(first.endpoint)
		if len(p.conns.idle) != 1 || len(p.conns.idle[otherHost.endpoint]) != 1 || p.conns.open != 1 {
			t.Errorf("idle connections after closeIdleToHost: %v", p.conns.idle)
		}
		p.RemovePool(1)
		if p.conns.open != 0 || p.conns.quota.Used() != 0 {
			t.Errorf("%d open connections after RemovePool", p.conns.open)
		}
		p.closeFarEnds()
	})
}
