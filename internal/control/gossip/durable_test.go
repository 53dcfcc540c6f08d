package gossip

import (
	"testing"
	"time"
)

// newOrigin returns a router that knows three replicas with extra flags and another router.
func newOrigin(t *testing.T, replicaFlags uint8) (n *Node, replicas []Peer, router Peer) {
	t.Helper()
	n = New(Peer{ID: 1, Addr: testAddr(0), Flags: FlagRouter}, 10)
	n.Reduce(time.Second, SeedsChanged{testAddrs(1)})
	router = Peer{ID: 5, Addr: testAddr(4), Flags: FlagRouter, Zone: 1}
	for i := range 3 {
		replicas = append(replicas, Peer{ID: PeerID(i + 2), Addr: testAddr(i + 1), Flags: FlagReplica | replicaFlags, Zone: uint32(i)})
	}
	for _, p := range append([]Peer{router}, replicas...) {
		n.Reduce(time.Second, PacketReceived{(&packet{kind: kindShuffleReply, from: p}).encode()})
	}
	return n, replicas, router
}

// sentKinds counts the packets of a broadcast by kind, and returns its acknowledgement number.
func sentKinds(t *testing.T, effects []Effect) (kinds map[packetKind]int, ack ackID) {
	t.Helper()
	kinds = map[packetKind]int{}
	for _, p := range sentPackets(t, effects) {
		if p.kind == kindUrgentItems || p.kind == kindDurableItems {
			kinds[p.kind]++
			ack = p.ackID
		}
	}
	return kinds, ack
}

// TestDurableBroadcastWaitsForReplicas checks that a durable broadcast is complete only once enough replicas have acknowledged it, that
// replicas which have not are sent it again, and that replicas of an earlier release, which cannot store items, do not hold it up.
func TestDurableBroadcastWaitsForReplicas(t *testing.T) {
	urgent := UrgentBroadcast{ID: 1, Items: []Item{testItem("k", 1)}, MinAcks: 2, MinStored: 2}
	n, replicas, router := newOrigin(t, FlagStoresItems)
	kinds, ack := sentKinds(t, n.Reduce(2*time.Second, urgent))
	if kinds[kindDurableItems] != 3 || kinds[kindUrgentItems] != 1 {
		t.Errorf("sent %v, want 3 durable and 1 urgent packet", kinds)
	}
	acknowledge := func(p Peer) bool {
		return isCompleted(n.Reduce(2*time.Second, PacketReceived{(&packet{kind: kindAck, from: p, ackID: ack}).encode()}))
	}
	if acknowledge(router) || acknowledge(replicas[1]) {
		t.Error("one replica completes the broadcast")
	}
	if kinds, _ := sentKinds(t, n.Reduce(2*time.Second+ackTimeout, Tick{})); kinds[kindDurableItems] != 2 {
		t.Errorf("second attempt sent %v, want 2 durable packets", kinds)
	}
	if !acknowledge(replicas[2]) {
		t.Error("two replicas do not complete the broadcast")
	}

	n, replicas, router = newOrigin(t, 0)
	kinds, ack = sentKinds(t, n.Reduce(2*time.Second, urgent))
	if kinds[kindDurableItems] != 0 {
		t.Errorf("sent %v to an earlier release", kinds)
	}
	if acknowledge(router) || !acknowledge(replicas[1]) {
		t.Error("acknowledgements of an earlier release do not complete the broadcast")
	}
}

// TestReplicaAcknowledgesStoredItems checks that a replica acknowledges items of a durable broadcast after they are on its disk, and not
// if the disk has refused them.
func TestReplicaAcknowledgesStoredItems(t *testing.T) {
	for _, isStored := range []bool{true, false} {
		n := New(Peer{ID: 1, Addr: testAddr(0), Flags: FlagReplica}, 10)
		n.Reduce(time.Second, VotersChanged{[]PeerID{1}})
		n.updateContact()
		from := Peer{ID: 5, Addr: testAddr(4), Flags: FlagRouter}
		received := (&packet{kind: kindDurableItems, from: from, ackID: 7, items: []Item{testItem("k", 1)}}).encode()
		var request *StoreItems
		for _, e := range n.Reduce(time.Second, PacketReceived{received}) {
			if s, ok := e.(StoreItems); ok {
				request = &s
			}
		}
		if request == nil || len(request.Items) != 1 || len(ackedIDs(t, n.Reduce(time.Second, Tick{}))) > 0 {
			t.Fatalf("storage request %+v, or an acknowledgement before the items are stored", request)
		}
		acked := ackedIDs(t, n.Reduce(time.Second, ItemsStored{ID: request.ID, Stored: isStored}))
		if isStored != (len(acked) == 1 && acked[0] == 7) {
			t.Errorf("stored: %v, acknowledged: %v", isStored, acked)
		}
		if again := ackedIDs(t, n.Reduce(time.Second, ItemsStored{ID: request.ID, Stored: true})); len(again) > 0 {
			t.Errorf("acknowledged a second time: %v", again)
		}
	}
}

// ackedIDs returns the numbers of the acknowledgements that were sent.
func ackedIDs(t *testing.T, effects []Effect) (ids []ackID) {
	t.Helper()
	for _, p := range sentPackets(t, effects) {
		if p.kind == kindAck {
			ids = append(ids, p.ackID)
		}
	}
	return ids
}
