package gossip

import (
	"slices"
	"testing"
	"time"
)

// sentPackets returns the decoded packets among effects.
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

// isCompleted reports whether an urgent broadcast has ended with enough acknowledgements.
func isCompleted(effects []Effect) bool {
	for _, e := range effects {
		if c, ok := e.(BroadcastCompleted); ok && c.Sufficient {
			return true
		}
	}
	return false
}

// TestAcknowledgementsOfThePredecessorDoNotCount: a process that starts anew repeats an urgent broadcast. An acknowledgement that
// was on its way to the process before it says nothing of what others will know once that and this one have ended, and neither
// does one of a peer that this process has not asked.
func TestAcknowledgementsOfThePredecessorDoNotCount(t *testing.T) {
	self, peer := Peer{ID: 1, Addr: testAddr(0), Flags: FlagRouter}, Peer{ID: 2, Addr: testAddr(1), Flags: FlagRouter}
	hello := (&packet{kind: kindShuffleReply, from: peer}).encode()
	urgent := UrgentBroadcast{ID: 1, Items: []Item{testItem("k", 1)}, MinAcks: 2}
	ackOf := func(n *Node, isAsked bool) []byte {
		n.Reduce(time.Second, SeedsChanged{testAddrs(1)})
		if isAsked {
			n.Reduce(time.Second, PacketReceived{hello})
		}
		for _, p := range sentPackets(t, n.Reduce(time.Second, urgent)) {
			if p.kind == kindUrgentItems {
				return (&packet{kind: kindAck, from: peer, ackID: p.ackID}).encode()
			}
		}
		return (&packet{kind: kindAck, from: peer, ackID: n.lastAckID}).encode()
	}

	predecessor, successor := New(self, 10), New(self, 11)
	old, current := ackOf(predecessor, true), ackOf(successor, true)
	if isCompleted(successor.Reduce(time.Second, PacketReceived{old})) {
		t.Error("the acknowledgement for the process before counts")
	}
	if !isCompleted(successor.Reduce(time.Second, PacketReceived{current})) {
		t.Error("its own does not count: it knows one peer, which has acknowledged")
	}
	stranger := New(self, 12)
	if isCompleted(stranger.Reduce(time.Second, PacketReceived{ackOf(stranger, false)})) {
		t.Error("the acknowledgement of a peer that was not asked counts")
	}
}

// TestPeersKnownLaterAreAsked: a process that has just started knows one peer; those that it learns of before that has
// acknowledged count, so that the acknowledgements of two are wanted.
func TestPeersKnownLaterAreAsked(t *testing.T) {
	const step = 10 * time.Millisecond
	f := newFleet(8, 3)
	f.advance(3 * time.Second)
	f.restart(5, 0)
	f.reduce(5, UrgentBroadcast{ID: 9, Items: []Item{testItem("k", 1)}, MinAcks: 2})
	for end := f.now + 5*time.Second; f.now < end && f.acks[9] == 0; {
		f.advance(step)
	}
	if f.acks[9] < 2 || f.holders("k", 1) < 3 {
		t.Errorf("%d acknowledgements, %d nodes have the item", f.acks[9], f.holders("k", 1))
	}
}

// TestIslandsDoNotAcknowledge: nodes that reach no majority of the replicas acknowledge nothing to each other, however many they are;
// those that do acknowledge.
func TestIslandsDoNotAcknowledge(t *testing.T) {
	for name, c := range map[string]struct {
		island         []int // the replicas are 0, 1 and 2
		isAcknowledged bool
	}{
		"routers alone":             {[]int{5, 6, 7, 8, 9}, false},
		"with one replica of three": {[]int{0, 5, 6, 7, 8, 9}, false},
		"with two replicas":         {[]int{0, 1, 5, 6, 7, 8, 9}, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(20, 4)
			f.advance(5 * time.Second)
			f.isPartitioned = func(i, k int) bool { return slices.Contains(c.island, i) != slices.Contains(c.island, k) }
			f.advance(2 * quorumTimeout)
			for range 3 { // as an engine repeats its call
				f.reduce(7, UrgentBroadcast{ID: 5, Items: []Item{testItem("k", 1)}, MinAcks: 2})
				f.advance(4 * ackTimeout)
			}
			if acks := f.acks[5]; (acks > 0) != c.isAcknowledged {
				t.Errorf("%d acknowledgements; known to %d nodes", acks, f.holders("k", 1))
			}
		})
	}
}
