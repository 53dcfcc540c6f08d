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
	a := New(gossip.Peer{ID: 1, Addr: at(1), Zone: 1, Flags: gossip.FlagRouter}, 1, 5*time.Second, zone)
	b := New(gossip.Peer{ID: 2, Addr: at(2), Zone: 1, Flags: gossip.FlagRouter}, 2, 5*time.Second, zone)
	for _, f := range b.Reduce(time.Second, wall, gossip.SeedsChanged{Addrs: []netip.AddrPort{at(1)}}) {
		if f, ok := f.(gossip.SendPacket); ok && f.To == at(1) {
			a.Reduce(time.Second, wall, gossip.PacketReceived{Payload: f.Payload})
		}
	}
	if len(a.Gossip.Peers()) != 1 {
		t.Fatalf("peers: %v", a.Gossip.Peers())
	}
	record := endpoints.Record{ID: "engine-1", Service: "scribe", Addr: "10.0.0.5:8000", Zone: "a", Revision: "r7", Slots: 12, CallCount: 300}
	now := time.Second
	sent := func(name string, e Event) []Effect {
		t.Helper()
		now += time.Millisecond
		var got []gossip.SendPacket
		for _, f := range a.Reduce(now, wall, e) {
			if f, ok := f.(gossip.SendPacket); ok && f.Payload[3] == acknowledged {
				got = append(got, f)
			}
		}
		if len(got) != 1 || got[0].To != at(2) {
			t.Fatalf("%s: datagrams %v", name, got)
		}
		golden.Check(t, name+".hex", got[0].Payload)
		return b.Reduce(now, wall, gossip.PacketReceived{Payload: golden.Read(t, name+".hex")})
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

	sent("item-endpoint", Heartbeat{Record: record})
	e := b.Endpoints.Find(record.ID)
	if e == nil {
		t.Fatal("the engine is not known")
	}
	golden.Equal(t, "the record", record, e.Record)

	a.publish(silentItem(record.ID, record.CallCount, true))
	if sent("item-endpoint-failed", gossip.Tick{}); !e.Suspect {
		t.Error("the engine does not count as failed")
	}
	a.publish(silentItem(record.ID, record.CallCount+1, false))
	if sent("item-endpoint-alive", gossip.Tick{}); e.Suspect {
		t.Error("the engine counts as failed still")
	}

	has("a configuration", sent("item-configuration", ConfigStored{Index: 7}), func(f Effect) bool {
		c, ok := f.(ConfigAnnounced)
		return ok && c.Index == 7 && c.From.ID == 1
	})
	has("an engine that forgets connections", sent("item-forgotten-connections", IdleDropObserved{}), func(f Effect) bool {
		_, ok := f.(IdleDropReported)
		return ok
	})

	record.State, record.CallCount = endpoints.StateDraining, 302
	sent("item-endpoint-draining", Heartbeat{Record: record})
	golden.Equal(t, "the record of one that leaves", record, b.Endpoints.Find(record.ID).Record)
	sent("item-endpoint-gone", Deregister{EndpointID: record.ID})
	if r := b.Endpoints.Find(record.ID); r.State != endpoints.StateGone || r.WarmAtMS != wall {
		t.Errorf("%+v", r)
	}
}
