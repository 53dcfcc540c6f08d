package gossip

import (
	"maps"
	"testing"
	"time"
)

// TestIsolatedReplicaLosesQuorumContact: a replica that is cut off from the others, in one direction or both, loses contact within
// three seconds, and the others keep it. After the fault it has contact again.
func TestIsolatedReplicaLosesQuorumContact(t *testing.T) {
	faults := maps.Clone(oneWayFaults)
	faults["isolated"] = func(f *fleet) map[int]bool { return f.isolated }
	for name, faulty := range faults {
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
			faulty(f)[1] = true
			f.advance(quorumTimeout + 3*BroadcastInterval)
			checkContact(true, false, true)
			clear(faulty(f))
			f.advance(2 * BroadcastInterval)
			checkContact(true, true, true)
			if d, _ := f.nodes[1].QuorumContact(); d > 2*BroadcastInterval {
				t.Errorf("contact lasts for %v again", d)
			}
		})
	}
}

// TestQuorumContactAfterCommonStart: replicas that start at one moment announce whom they hear as soon as they hear somebody, without
// waiting for their timers.
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
