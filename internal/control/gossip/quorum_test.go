package gossip

import (
	"maps"
	"testing"
	"time"
)

// TestIsolatedReplicaLosesQuorumContact checks that a replica with a link fault, in one direction or both, loses quorum contact, that
// the other replicas keep it, and that contact resumes after the fault.
func TestIsolatedReplicaLosesQuorumContact(t *testing.T) {
	faults := maps.Clone(oneWayFaults)
	faults["isolated"] = func(f *fleet) map[int]bool { return f.isolated }
	for name, blockedNodes := range faults {
		t.Run(name, func(t *testing.T) {
			f := newFleet(20, 6)
			f.setVoters()
			checkContact := func(want ...bool) {
				t.Helper()
				for i, w := range want {
					if _, got := f.nodes[i].QuorumContact(); got != w {
						t.Errorf("replica %d has quorum contact: %v at %v, want %v", i, got, f.now, w)
					}
				}
			}
			f.advance(4 * time.Second)
			checkContact(true, true, true)
			blockedNodes(f)[1] = true
			f.advance(quorumTimeout + 3*BroadcastInterval)
			checkContact(true, false, true)
			clear(blockedNodes(f))
			f.advance(2 * BroadcastInterval)
			checkContact(true, true, true)
			if d, _ := f.nodes[1].QuorumContact(); d > 2*BroadcastInterval {
				t.Errorf("replica 1 reports contact for %v, which includes the fault", d)
			}
		})
	}
}

// TestQuorumContactAfterCommonStart checks that replicas which start together send their lists of heard replicas at once, without
// waiting for the next round.
func TestQuorumContactAfterCommonStart(t *testing.T) {
	f := newFleet(12, 3)
	f.setVoters()
	f.advance(BroadcastInterval + 50*time.Millisecond)
	for i, n := range f.nodes[:testReplicas] {
		if _, hasContact := n.QuorumContact(); !hasContact {
			t.Errorf("replica %d has no quorum contact after %v", i, f.now)
		}
	}
}
