package discovery

import (
	"net/netip"
	"testing"
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/testutil/golden"
)

// TestGoldenItems: what a process makes known leaves in the datagrams that it left in, and a process that gets such a datagram
// knows the same.
func TestGoldenItems(t *testing.T) {
	const acknowledged = 6 // the kind of a datagram with items that wants an answer
	wall := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC).UnixMilli()
	at := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000) }
	zone := func(name string) uint32 { return uint32(len(name)) }
	a := New(gossip.Peer{ID: 1, Addr: at(1), Zone: 1, Flags: gossip.Edge}, 1, 5*time.Second, zone)
	b := New(gossip.Peer{ID: 2, Addr: at(2), Zone: 1, Flags: gossip.Edge}, 2, 5*time.Second, zone)
	for _, f := range b.Reduce(time.Second, wall, gossip.Seeds{Addrs: []netip.AddrPort{at(1)}}) {
		if f, ok := f.(gossip.Send); ok && f.To == at(1) {
			a.Reduce(time.Second, wall, gossip.Packet{Bytes: f.Bytes})
		}
	}
	if len(a.Gossip.Peers()) != 1 {
		t.Fatalf("peers: %v", a.Gossip.Peers())
	}
	record := endpoints.Record{ID: "engine-1", Service: "scribe", Addr: "10.0.0.5:8000", Zone: "a", Revision: "r7", Slots: 12, Calls: 300}
	now := time.Second
	sent := func(name string, e Event) []Effect {
		t.Helper()
		now += time.Millisecond
		var got []gossip.Send
		for _, f := range a.Reduce(now, wall, e) {
			if f, ok := f.(gossip.Send); ok && f.Bytes[3] == acknowledged {
				got = append(got, f)
			}
		}
		if len(got) != 1 || got[0].To != at(2) {
			t.Fatalf("%s: datagrams %v", name, got)
		}
		golden.Check(t, name+".hex", got[0].Bytes)
		return b.Reduce(now, wall, gossip.Packet{Bytes: golden.Read(t, name+".hex")})
	}
	has := func(name string, effects []Effect, is func(Effect) bool) {
		t.Helper()
		for _, f := range effects {
			if is(f) {
				return
			}
		}
		t.Errorf("%s: %+v", name, effects)
	}

	sent("item-endpoint", Beat{Record: record})
	e := b.Roster.Find(record.ID)
	if e == nil {
		t.Fatal("the engine is not known")
	}
	golden.Equal(t, "the record", record, e.Record)

	a.publish(silentItem(record.ID, record.Calls, true))
	if sent("item-endpoint-failed", gossip.Tick{}); !e.Silent {
		t.Error("the engine does not count as failed")
	}
	a.publish(silentItem(record.ID, record.Calls+1, false))
	if sent("item-endpoint-alive", gossip.Tick{}); e.Silent {
		t.Error("the engine counts as failed still")
	}

	has("a configuration", sent("item-configuration", Config{Place: 7}), func(f Effect) bool {
		c, ok := f.(Configured)
		return ok && c.Place == 7 && c.From.ID == 1
	})
	has("an engine that forgets connections", sent("item-forgotten-connections", Forgot{}), func(f Effect) bool {
		_, ok := f.(Forgets)
		return ok
	})

	record.State, record.Calls = endpoints.Draining, 302
	sent("item-endpoint-draining", Beat{Record: record})
	golden.Equal(t, "the record of one that leaves", record, b.Roster.Find(record.ID).Record)
	sent("item-endpoint-gone", SignOff{ID: record.ID})
	if r := b.Roster.Find(record.ID); r.State != endpoints.Gone || r.WarmAt != wall {
		t.Errorf("%+v", r)
	}
}
