package discovery

import (
	"strings"
	"testing"
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/testutil/golden"
)

// goldenPair is a node whose datagrams are compared with golden files, and a node that receives the golden files as datagrams.
type goldenPair struct {
	from, to *Node
	now      time.Duration
	wallMS   int64
}

func newGoldenPair(t *testing.T) *goldenPair {
	t.Helper()
	zoneHash := func(name string) uint32 { return uint32(len(name)) }
	p := &goldenPair{now: time.Second, wallMS: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC).UnixMilli()}
	p.from = New(Options{Self: gossip.Peer{ID: 1, Addr: testAddr(1), Zone: 1, Flags: gossip.FlagRouter}, Seed: 1, HeartbeatTimeout: heartbeatTimeout, ZoneHash: zoneHash})
	p.to = New(Options{Self: gossip.Peer{ID: 2, Addr: testAddr(2), Zone: 1, Flags: gossip.FlagRouter}, Seed: 2, HeartbeatTimeout: heartbeatTimeout, ZoneHash: zoneHash})
	for _, f := range p.to.Reduce(p.now, p.wallMS, Gossip{gossip.SeedsChanged{Addrs: testAddrs(1)}}) {
		if f, ok := f.(SendPacket); ok && f.To == testAddr(1) {
			p.from.Reduce(p.now, p.wallMS, Gossip{gossip.PacketReceived{Payload: f.Payload}})
		}
	}
	if len(p.from.Gossip.Peers()) != 1 {
		t.Fatalf("peers: %v", p.from.Gossip.Peers())
	}
	return p
}

// send passes an event to node from and compares the urgent datagram that it sends with a golden file. It then passes the golden file
// to node to, and returns the effects.
func (p *goldenPair) send(t *testing.T, name string, e Event) []Effect {
	t.Helper()
	const kindUrgentItems = 6 // fourth byte of a datagram
	p.now += time.Millisecond
	var got []SendPacket
	for _, f := range p.from.Reduce(p.now, p.wallMS, e) {
		if f, ok := f.(SendPacket); ok && f.Payload[3] == kindUrgentItems {
			got = append(got, f)
		}
	}
	if len(got) != 1 || got[0].To != testAddr(2) {
		t.Fatalf("%s: datagrams %v, want one to the other node", name, got)
	}
	golden.Check(t, name+".hex", got[0].Payload)
	return p.to.Reduce(p.now, p.wallMS, Gossip{gossip.PacketReceived{Payload: golden.Read(t, name+".hex")}})
}

// effect returns the first effect of a type.
func effect[E Effect](t *testing.T, effects []Effect) (found E) {
	t.Helper()
	for _, f := range effects {
		if f, ok := f.(E); ok {
			return f
		}
	}
	t.Errorf("no %T among the effects %+v", found, effects)
	return found
}

// TestGoldenItems checks that the encoding of each item does not change, and that a process handles the golden datagrams correctly.
func TestGoldenItems(t *testing.T) {
	p := newGoldenPair(t)
	record := endpoints.Record{ID: "engine-1", Service: "scribe", Addr: "10.0.0.5:8000", Zone: "a", Revision: "r7", Slots: 12, CallCount: 300}
	p.send(t, "item-endpoint", Heartbeat{Record: record})
	e := p.to.Endpoints.Find(record.ID)
	if e == nil {
		t.Fatal("the receiver does not know the endpoint")
	}
	golden.Equal(t, "the record", record, e.Record)

	p.from.publish(suspicionItem(endpoints.Suspicion{ID: record.ID, CallCount: record.CallCount, Suspect: true}))
	if p.send(t, "item-endpoint-failed", Gossip{gossip.Tick{}}); !e.Suspect {
		t.Error("the endpoint is not suspect")
	}
	p.from.publish(suspicionItem(endpoints.Suspicion{ID: record.ID, CallCount: record.CallCount + 1}))
	if p.send(t, "item-endpoint-alive", Gossip{gossip.Tick{}}); e.Suspect {
		t.Error("the endpoint is still suspect")
	}

	c := effect[ConfigAnnounced](t, p.send(t, "item-configuration", ConfigStored{Index: 7}))
	if c.Index != 7 || c.From.ID != 1 {
		t.Errorf("%+v", c)
	}
	effect[IdleDropReported](t, p.send(t, "item-forgotten-connections", IdleDropObserved{}))

	record.State, record.CallCount = endpoints.StateDraining, 302
	p.send(t, "item-endpoint-draining", Heartbeat{Record: record})
	golden.Equal(t, "the record of a draining endpoint", record, p.to.Endpoints.Find(record.ID).Record)
	p.send(t, "item-endpoint-gone", Deregister{EndpointID: record.ID})
	if r := p.to.Endpoints.Find(record.ID); r.State != endpoints.StateGone || r.WarmAtMS != p.wallMS {
		t.Errorf("%+v", r)
	}
}

// TestLargestRecordsFit checks that the record of an endpoint with names of the maximum length fits into a gossip item.
func TestLargestRecordsFit(t *testing.T) {
	name := strings.Repeat("x", 200) // limit of package api
	i := endpointItem(&endpoints.Record{
		ID: name, Service: name, Addr: name, Zone: name, Revision: name, Slots: 1 << 20, State: endpoints.StateGone, CallCount: 1 << 60, WarmAtMS: 1 << 62,
	})
	if n := len(i.Key) + len(i.Body); n > gossip.MaxItemBytes {
		t.Errorf("the item has %d bytes, more than %d", n, gossip.MaxItemBytes)
	}
}
