package discovery

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"notchhinge/internal/control/endpoints"
)

// signOff makes endpoint k drain or deregister at a node, and fails the test unless that is acknowledged at once.
func (f *fleet) signOff(t *testing.T, node, k int, s endpoints.State) {
	t.Helper()
	reply, ok := Reply{}, false
	if s == endpoints.StateDraining {
		reply, ok = f.heartbeat(node, k, 20, s)
	} else {
		reply, ok = f.deregister(node, k)
	}
	if !ok || reply.Err != nil {
		t.Fatalf("endpoint %d at node %d: %+v, acknowledged %v", k, node, reply, ok)
	}
}

// TestAcknowledgedDrainSurvivesARestartOfAll guards against an engine that is live again after it has drained or deregistered: all
// processes are killed at once after the acknowledgement, as many disks are lost as tolerated, and a heartbeat that was on its way
// arrives at any process (docs/incidents/2026-12-04-a-late-heartbeat-after-a-kill-of-all.md). Engines that have not signed off are live
// with their first heartbeat, also at the address of one that has.
func TestAcknowledgedDrainSurvivesARestartOfAll(t *testing.T) {
	const nodes, leaving, known, successor = 8, 1, 2, 3
	for _, state := range []endpoints.State{endpoints.StateDraining, endpoints.StateGone} {
		for lostDisk := range testReplicas + 1 { // the last value: no disk is lost
			for late := range nodes {
				t.Run(fmt.Sprintf("state %d, disk %d lost, late heartbeat at %d", state, lostDisk, late), func(t *testing.T) {
					f := newFleet(nodes)
					f.heartbeat(late, leaving, 4, endpoints.StateReady)
					f.heartbeat(late, known, 50, endpoints.StateReady)
					f.signOff(t, (late+lostDisk)%nodes, leaving, state)
					if lostDisk < testReplicas {
						clear(f.disks[lostDisk])
					}
					f.startAll(100)
					f.advance(4 * time.Second)
					f.heartbeat(late, leaving, 5, endpoints.StateReady)
					f.heartbeat(late, known, 51, endpoints.StateReady)
					f.checkServing(t, leaving, known, late)
					r := testRecord(successor, 1, endpoints.StateReady)
					r.Addr = testRecord(leaving, 1, endpoints.StateReady).Addr
					f.reduce(late, Heartbeat{Record: r})
					f.checkServing(t, leaving, successor, late)
				})
			}
		}
	}
}

// TestDrainSurvivesDisksLostInTurn guards against a drain that is lost with the last disk of those that had stored it: each disk is lost in
// turn, each time with a restart of all processes, after the replica before has caught up.
func TestDrainSurvivesDisksLostInTurn(t *testing.T) {
	const nodes, leaving, known = 8, 1, 2
	for _, state := range []endpoints.State{endpoints.StateDraining, endpoints.StateGone} {
		f := newFleet(nodes)
		f.heartbeat(0, leaving, 4, endpoints.StateReady)
		f.heartbeat(0, known, 50, endpoints.StateReady)
		f.signOff(t, 5, leaving, state)
		for lostDisk := range testReplicas {
			clear(f.disks[lostDisk])
			f.startAll(uint64(100 * (lostDisk + 1)))
			f.advance(5 * time.Second)
		}
		f.heartbeat(6, leaving, 5, endpoints.StateReady)
		f.heartbeat(6, known, 51, endpoints.StateReady)
		f.checkServing(t, leaving, known, 6)
	}
}

// TestReplacedEndpointIsNotStored checks that an endpoint which counts as gone because another one has come at its address is live again
// after a restart of all, since it may be sound: only what the endpoint itself has announced is stored.
func TestReplacedEndpointIsNotStored(t *testing.T) {
	const replaced, successor = 1, 2
	f := newFleet(5)
	f.heartbeat(4, replaced, 9, endpoints.StateReady)
	r := testRecord(successor, 1, endpoints.StateReady)
	r.Addr = testRecord(replaced, 1, endpoints.StateReady).Addr
	f.reduce(4, Heartbeat{Record: r})
	f.advance(2 * time.Second)
	f.heartbeat(4, replaced, 10, endpoints.StateReady)
	if live := f.liveAt(replaced); live > 0 {
		t.Errorf("the replaced endpoint is live at %d nodes", live)
	}
	for i := range f.disks {
		if len(f.disks[i]) > 0 {
			t.Errorf("replica %d has stored %v", i, f.disks[i])
		}
	}
	f.startAll(100)
	f.advance(4 * time.Second)
	if f.heartbeat(4, replaced, 11, endpoints.StateReady); f.liveAt(replaced) == 0 {
		t.Error("the replaced endpoint is not live after a restart of all")
	}
}

// TestRefusedRecordIsStoredLater checks that a replica whose disk is full stores a drain once the disk takes writes again.
func TestRefusedRecordIsStoredLater(t *testing.T) {
	f := newFleet(5)
	f.heartbeat(4, 1, 1, endpoints.StateReady)
	f.fullDisks[1] = true
	f.signOff(t, 4, 1, endpoints.StateGone)
	f.advance(2 * time.Second)
	f.fullDisks[1] = false
	f.advance(time.Second)
	if len(f.disks[1]) != 1 {
		t.Errorf("the replica has stored %d records, want 1", len(f.disks[1]))
	}
}

// checkServing checks that one endpoint is not ready at any node, and that another one is ready at a node at once and soon at all.
func (f *fleet) checkServing(t *testing.T, leaving, serving, node int) {
	t.Helper()
	isReady := func(n *Node, k int) bool {
		e := n.Endpoints.Find(endpointID(k))
		return e != nil && e.State == endpoints.StateReady && !e.Suspect
	}
	if !isReady(f.nodes[node], serving) {
		t.Errorf("endpoint %d is not ready with its first heartbeat", serving)
	}
	f.advance(2 * time.Second)
	for i, n := range f.nodes {
		if isReady(n, leaving) || !isReady(n, serving) {
			t.Errorf("node %d: ready are endpoint %d: %v, endpoint %d: %v", i, leaving, isReady(n, leaving), serving, isReady(n, serving))
		}
	}
}

// TestDrainIsAcknowledgedByDisks checks that a deregistration is acknowledged while one disk of three refuses writes, and not while two
// do.
func TestDrainIsAcknowledgedByDisks(t *testing.T) {
	for node := range 5 {
		f := newFleet(5)
		f.heartbeat(node, 1, 1, endpoints.StateReady)
		f.fullDisks[0], f.fullDisks[2] = true, true
		f.deregister(node, 1)
		f.advance(time.Second)
		if reply, ok := f.replies[f.lastRequest]; !ok || !errors.Is(reply.Err, ErrNotAcknowledged) {
			t.Errorf("node %d, two full disks: %+v %v", node, reply, ok)
		}
		f.fullDisks[0] = false
		f.deregister(node, 1)
		f.advance(time.Second)
		if reply, ok := f.replies[f.lastRequest]; !ok || reply.Err != nil {
			t.Errorf("node %d, one full disk: %+v %v", node, reply, ok)
		}
	}
}

// TestStoredRecordsAreForgotten checks that replicas store nothing of ready endpoints, and remove the records of endpoints that have been
// gone for over a minute, also if they were restarted meanwhile.
func TestStoredRecordsAreForgotten(t *testing.T) {
	f := newFleet(5)
	for k := range 30 {
		f.heartbeat(k%5, k, 1, endpoints.StateReady)
	}
	for k := range 20 {
		f.signOff(t, k%5, k, endpoints.StateGone)
	}
	f.advance(time.Second)
	for i := range f.disks {
		if len(f.disks[i]) != 20 {
			t.Errorf("replica %d has stored %d records, want 20", i, len(f.disks[i]))
		}
	}
	f.advance(30 * time.Second)
	f.startAll(100)
	f.advance(35 * time.Second)
	for i := range f.disks {
		if len(f.disks[i]) != 0 {
			t.Errorf("replica %d still has %d records", i, len(f.disks[i]))
		}
	}
}
