package gossip

import (
	"slices"
	"testing"
	"time"
)

// sentPackets decodes the packets among the effects.
func sentPackets(t *testing.T, effects []Effect) (packets []*packet) {
	t.Helper()
	for _, e := range effects {
		if s, ok := e.(SendPacket); ok {
			p, err := decode(s.Payload)
			if err != nil {
				t.Fatal(err)
			}
			packets = append(packets, p)
		}
	}
	return packets
}

// isCompleted reports whether the effects end an urgent broadcast with enough acknowledgements.
func isCompleted(effects []Effect) bool {
	for _, e := range effects {
		if c, ok := e.(BroadcastCompleted); ok && c.Sufficient {
			return true
		}
	}
	return false
}

// TestAcknowledgementsForPreviousProcessDoNotCount checks that a restarted process which repeats an urgent broadcast ignores an
// acknowledgement for the process before it, and one of a peer to which it has not sent the items.
func TestAcknowledgementsForPreviousProcessDoNotCount(t *testing.T) {
	self, peer := Peer{ID: 1, Addr: testAddr(0), Flags: FlagRouter}, Peer{ID: 2, Addr: testAddr(1), Flags: FlagRouter}
	shuffleReply := (&packet{kind: kindShuffleReply, from: peer}).encode()
	urgent := UrgentBroadcast{ID: 1, Items: []Item{testItem("k", 1)}, MinAcks: 2}
	ackOf := func(n *Node, knowsPeer bool) []byte {
		n.Reduce(time.Second, SeedsChanged{testAddrs(1)})
		if knowsPeer {
			n.Reduce(time.Second, PacketReceived{shuffleReply})
		}
		for _, p := range sentPackets(t, n.Reduce(time.Second, urgent)) {
			if p.kind == kindUrgentItems {
				return (&packet{kind: kindAck, from: peer, ackID: p.ackID}).encode()
			}
		}
		return (&packet{kind: kindAck, from: peer, ackID: n.lastAckID}).encode()
	}

	previous, restarted := New(self, 10), New(self, 11)
	staleAck, currentAck := ackOf(previous, true), ackOf(restarted, true)
	if isCompleted(restarted.Reduce(time.Second, PacketReceived{staleAck})) {
		t.Error("an acknowledgement for the previous process counts")
	}
	if !isCompleted(restarted.Reduce(time.Second, PacketReceived{currentAck})) {
		t.Error("the acknowledgement of the only known peer does not complete the broadcast")
	}
	nodeWithoutPeers := New(self, 12)
	if isCompleted(nodeWithoutPeers.Reduce(time.Second, PacketReceived{ackOf(nodeWithoutPeers, false)})) {
		t.Error("the acknowledgement of a peer that was not sent the items counts")
	}
}

// TestUrgentBroadcastIncludesPeersFoundLater checks that a new process with one known peer needs two acknowledgements if it finds
// more peers before the first acknowledgement.
func TestUrgentBroadcastIncludesPeersFoundLater(t *testing.T) {
	const step = 10 * time.Millisecond
	f := newFleet(8, 3)
	f.advance(3 * time.Second)
	f.restart(5, 0)
	f.reduce(5, UrgentBroadcast{ID: 9, Items: []Item{testItem("k", 1)}, MinAcks: 2})
	for end := f.now + 5*time.Second; f.now < end && f.acks[9] == 0; {
		f.advance(step)
	}
	if f.acks[9] < 2 || f.holders("k", 1) < 3 {
		t.Errorf("%d acknowledgements, want 2 or more; %d nodes hold the item, want 3 or more", f.acks[9], f.holders("k", 1))
	}
}

// TestMinorityPartitionDoesNotAcknowledge checks that an urgent broadcast succeeds only in a partition with a majority of the replicas,
// however many nodes the partition has.
func TestMinorityPartitionDoesNotAcknowledge(t *testing.T) {
	for name, c := range map[string]struct {
		partition      []int // the replicas are 0, 1 and 2
		isAcknowledged bool
	}{
		"routers alone":             {[]int{5, 6, 7, 8, 9}, false},
		"with one replica of three": {[]int{0, 5, 6, 7, 8, 9}, false},
		"with two replicas":         {[]int{0, 1, 5, 6, 7, 8, 9}, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(20, 4)
			f.advance(5 * time.Second)
			f.isPartitioned = func(i, k int) bool { return slices.Contains(c.partition, i) != slices.Contains(c.partition, k) }
			f.advance(2 * quorumTimeout)
			for range 3 { // an engine retries its call
				f.reduce(7, UrgentBroadcast{ID: 5, Items: []Item{testItem("k", 1)}, MinAcks: 2})
				f.advance(4 * ackTimeout)
			}
			if acks := f.acks[5]; (acks > 0) != c.isAcknowledged {
				t.Errorf("%d acknowledgements; %d nodes hold the item", acks, f.holders("k", 1))
			}
		})
	}
}
