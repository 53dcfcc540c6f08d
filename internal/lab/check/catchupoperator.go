package check

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/replica"
)

// firstRevision is large enough that CBOR encodes every later revision in the same number of bytes.
const firstRevision = 70_000

// encodedConfig returns an encoded configuration with the given revision and the routes and padding of the load.
func (sim *catchUpSim) encodedConfig(revision uint64) []byte {
	config := map[string]any{"revision": revision, "services": []fleetconfig.Service{{Name: "s"}}, "later": sim.padding}
	routes := make([]fleetconfig.Route, sim.routes)
	for i := range routes {
		routes[i] = fleetconfig.Route{
			Name: fmt.Sprintf("route-%05d", i), Hostname: "a.example", PathPrefix: fmt.Sprintf("/p%05d/", i), Type: fleetconfig.RouteStreaming,
			TimeoutMS: 12000, TargetService: "s", MaxAttempts: 2,
		}
	}
	config["routes"] = routes
	encoded, err := cbor.Marshal(config)
	if err != nil {
		sim.violate("%v", err)
	}
	return encoded
}

// startChange submits the next configuration change, and schedules the one after it once this one is acknowledged. At
// goalRevision it only polls for a new goal. The operator retries at the next member until one acknowledges the change.
func (sim *catchUpSim) startChange() {
	if sim.ackedRevision >= sim.goalRevision {
		sim.after(sim.changeInterval, sim.startChange)
		return
	}
	revision, base, startedAt := max(sim.ackedRevision+1, firstRevision), sim.ackedRevision, sim.now
	config := sim.encodedConfig(revision)
	isAcked := false
	var send func(target int)
	send = func(target int) {
		m := sim.replicas[target%sim.members]
		isResolved := false
		retryAfter := func(delay time.Duration) {
			if !isResolved && !isAcked {
				isResolved = true
				sim.after(delay, func() { send(target + 1) })
			}
		}
		if !m.isUp {
			retryAfter(5 * time.Millisecond)
			return
		}
		sim.after(time.Second, func() { retryAfter(0) })
		m.enqueue(replica.ReplaceConfig{BaseRevision: base, Config: config, Deadline: sim.now + 900*time.Millisecond, Request: m.answers.Add(func(r api.Result) {
			switch {
			case isAcked:
			case r.Status == 200:
				isAcked, sim.ackedRevision, sim.lastReplica = true, revision, target
				sim.slowestChange = max(sim.slowestChange, sim.now-startedAt)
				sim.after(max(startedAt+sim.changeInterval-sim.now, time.Millisecond), sim.startChange)
			case r.Status == 503:
				retryAfter(20 * time.Millisecond)
			default:
				sim.violate("change to %d from %d gets response %d: %s", revision, base, r.Status, r.Message)
			}
		})})
	}
	if sim.rotatesMembers {
		sim.lastReplica++
	}
	send(sim.lastReplica)
}

// makeChanges runs until n more changes are acknowledged. With n = 0 it lets changes continue without end and returns at once.
func (sim *catchUpSim) makeChanges(n uint64) {
	if sim.goalRevision = max(sim.ackedRevision, firstRevision-1) + n; n == 0 {
		sim.goalRevision = 1 << 30
		return
	}
	timeout := time.Duration(n) * time.Second
	if _, ok := sim.runUntil(timeout, func() bool { return sim.ackedRevision >= sim.goalRevision }); !ok {
		sim.violate("%d changes did not complete in %v: revision %d is acknowledged", n, timeout, sim.ackedRevision)
	}
}

// readConfig reads the configuration at a member and retries until the read succeeds; it then calls onRead. It gives up when
// the process restarts.
func (sim *catchUpSim) readConfig(m *simReplica, onRead func()) {
	minRevision, incarnation := sim.ackedRevision, m.incarnation
	m.enqueue(replica.ReadConfig{Deadline: sim.now + 900*time.Millisecond, Request: m.answers.Add(func(r api.Result) {
		switch {
		case r.Status == 200 && r.Revision < minRevision:
			sim.violate("member %d reads revision %d, but %d was already acknowledged", m.index, r.Revision, minRevision)
		case r.Status == 200:
			onRead()
		case m.incarnation == incarnation:
			sim.after(50*time.Millisecond, func() { sim.readConfig(m, onRead) })
		}
	})})
}
