package plane

import (
	"fmt"
	"time"

	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/endpoints"
)

// Time limits of the platform, and parameters of engines and operators.
const (
	drainDeadline     = 4 * time.Second   // after the acknowledgement of a drain no router sends new work
	drainGrace        = drainDeadline / 4 // how long routers may still send known sessions to a draining engine
	heartbeatInterval = 1500 * time.Millisecond
	clientTimeout     = time.Second // how long operators and engines wait for an answer

	maxDeregisterCalls = 10 // further calls of an engine that gets no acknowledgement

	maxHeartbeatDelay = 15 * time.Second // of a heartbeat that arrives late
)

// engine is a simulated engine that sends heartbeats.
type engine struct {
	world        *world
	index        int
	id           string
	calls        uint64
	state        endpoints.State
	homeReplica  *machine
	lastAcked    time.Duration // when a heartbeat was last acknowledged
	drainAckedAt time.Duration // when the drain was acknowledged; 0 = not yet
	dead         bool

	deregistered bool // deregistration has begun; no more heartbeats are sent
}

// startEngine starts an engine.
func (w *world) startEngine(k int) {
	e := &engine{world: w, index: k, id: fmt.Sprint("i-", k)}
	w.engines = append(w.engines, e)
	var sendHeartbeat, check func()
	sendHeartbeat = func() {
		if !e.dead {
			if !e.deregistered {
				e.heartbeat(0)
			}
			w.schedule(heartbeatInterval+time.Duration(w.rand.IntN(100))*time.Millisecond, sendHeartbeat)
		}
	}
	check = func() {
		e.check()
		w.schedule(500*time.Millisecond, check)
	}
	w.schedule(time.Second+time.Duration(w.rand.IntN(1500))*time.Millisecond, sendHeartbeat)
	w.schedule(warmUpTime, check)
}

// drain makes the engine announce that it drains.
func (e *engine) drain() {
	if !e.dead && e.state == endpoints.StateReady {
		e.sendLateHeartbeat()
		e.state = endpoints.StateDraining
		e.heartbeat(0)
		e.world.schedule(20*time.Second, func() { e.dead = true })
	}
}

// startDeregister makes the engine deregister without draining first, and retry until a machine acknowledges that. It keeps
// serving for as long as a draining engine, without heartbeats.
func (e *engine) startDeregister() {
	if e.dead || e.state != endpoints.StateReady {
		return
	}
	e.sendLateHeartbeat()
	e.state, e.deregistered = endpoints.StateGone, true
	e.deregister(0)
	e.world.schedule(20*time.Second, func() { e.dead = true })
}

// deregister sends the call to a random machine, and to another one if that fails.
func (e *engine) deregister(attempt int) {
	w := e.world
	if attempt > maxDeregisterCalls || e.dead {
		return
	}
	m := w.machines[w.randomMachine()]
	incarnation, waiting := m.incarnation, true
	handleReply := func(a discovery.Reply) {
		if !waiting {
			return
		}
		waiting = false
		if a.Err != nil || m.incarnation != incarnation {
			e.deregister(attempt + 1)
			return
		}
		e.noteDrainAck(m)
	}
	failed := discovery.Reply{Err: errNoAnswer}
	w.schedule(clientTimeout, func() { handleReply(failed) })
	w.schedule(time.Millisecond, func() {
		if !m.up || m.incarnation != incarnation {
			handleReply(failed)
			return
		}
		request := discovery.Deregister{Request: m.nextRequest(), EndpointID: e.id}
		m.replies[request.Request] = func(a discovery.Reply) { w.schedule(time.Millisecond, func() { handleReply(a) }) }
		m.deliver(request)
	})
}

// record returns the record that a heartbeat of the engine reports.
func (e *engine) record(calls uint64, state endpoints.State) endpoints.Record {
	return endpoints.Record{
		ID: e.id, Service: "s", Addr: fmt.Sprintf("10.9.%d.%d:80", e.index>>8, e.index&255), Zone: "z", Slots: 4, CallCount: calls, State: state,
	}
}

// sendLateHeartbeat sends a heartbeat of the engine, which is still ready, to a random machine. It arrives up to maxHeartbeatDelay later.
func (e *engine) sendLateHeartbeat() {
	w := e.world
	e.calls++
	late := e.record(e.calls, endpoints.StateReady)
	w.schedule(time.Duration(w.rand.Int64N(int64(maxHeartbeatDelay))), func() {
		m := w.machines[w.randomMachine()]
		m.deliver(discovery.Heartbeat{Request: m.nextRequest(), Record: late})
	})
}

// noteDrainAck records that a machine has acknowledged that the engine drains or has deregistered.
func (e *engine) noteDrainAck(m *machine) {
	e.drainAckedAt = e.world.now
	e.world.report.Drained++
	e.world.injectAckFaults(m)
}

// crash stops the engine without notice.
func (e *engine) crash() { e.dead = true }

// heartbeat sends a heartbeat to the home replica, or to a random machine, and retries elsewhere if that fails.
func (e *engine) heartbeat(attempt int) {
	w := e.world
	if attempt > 5 || e.dead || e.deregistered {
		return
	}
	m := e.homeReplica
	if m == nil {
		m = w.machines[w.randomMachine()]
	}
	e.calls++
	state, waiting, incarnation := e.state, true, m.incarnation
	fail := func() {
		if waiting {
			waiting, e.homeReplica = false, nil
			e.heartbeat(attempt + 1)
		}
	}
	handleReply := func(a discovery.Reply) {
		if !waiting || m.incarnation != incarnation {
			return
		}
		if a.Err != nil {
			fail()
			return
		}
		waiting = false
		e.lastAcked = w.now
		if e.homeReplica = nil; a.HomeReplica.IsValid() {
			e.homeReplica = w.machineAt(a.HomeReplica)
		}
		if state == endpoints.StateDraining && e.drainAckedAt == 0 { // also if the machine had no quorum contact
			e.noteDrainAck(m)
		}
	}
	w.schedule(clientTimeout, fail)
	w.schedule(time.Millisecond, func() {
		if !m.up || m.incarnation != incarnation {
			fail()
			return
		}
		request := discovery.Heartbeat{Request: m.nextRequest(), Record: e.record(e.calls, state)}
		m.replies[request.Request] = func(a discovery.Reply) { w.schedule(time.Millisecond, func() { handleReply(a) }) }
		if w.injectedBug == "acknowledges a drain without gossip" {
			delete(m.replies, request.Request)
			w.schedule(time.Millisecond, func() { handleReply(discovery.Reply{}) })
			if state == endpoints.StateDraining { // the machine acknowledges and does not spread the drain
				return
			}
		}
		if m.isReplica && w.meter.on {
			w.meter.engineCalls++
		}
		m.deliver(request)
	})
}

// partitionedFromReplica reports whether a link between a machine and a replica is blocked, in either direction.
func (w *world) partitionedFromReplica(m *machine) bool {
	for _, k := range w.replicas() {
		if w.blockedLinks[[2]int{m.index, k.index}] > 0 || w.blockedLinks[[2]int{k.index, m.index}] > 0 {
			return true
		}
	}
	return false
}

// hasLiveSeed reports whether a router whose seeds are restricted to isolated replicas has had one of them up for long
// enough to learn of other machines. It is true if the seeds are not restricted.
func (w *world) hasLiveSeed(m *machine) bool {
	for _, x := range m.soleSeeds {
		if x.up && !x.frozen && w.now-x.lastFault >= w.bounds.contact {
			return true
		}
	}
	return len(m.soleSeeds) == 0
}

// check compares the state of the engine with the registries of routers that are in contact with the replicas.
func (e *engine) check() {
	w := e.world
	contact := w.bounds.contact
	for _, m := range w.machines[w.scenario.Replicas : w.scenario.Replicas+w.scenario.Routers] {
		if !m.up || m.frozen || w.now-m.lastFault < contact || !w.faultFreeFor(contact) || w.partitionedFromReplica(m) || !w.hasLiveSeed(m) {
			continue
		}
		r := m.discovery.Endpoints.Find(e.id)
		switch {
		case e.drainAckedAt != 0 && w.now-e.drainAckedAt > drainDeadline-drainGrace && r != nil && r.State == endpoints.StateReady && !r.Suspect:
			w.violate("DRAIN", "%s still routes to %s %v after its drain was acknowledged", m.name, e.id, w.now-e.drainAckedAt)
		case !e.dead && e.state == endpoints.StateReady && e.lastAcked != 0 && w.now-e.lastAcked < 2*time.Second && w.now > warmUpTime+contact && (r == nil || r.Suspect):
			w.violate("SILENT", "%s suspects %s, whose heartbeat was acknowledged %v ago", m.name, e.id, w.now-e.lastAcked)
		}
	}
}
