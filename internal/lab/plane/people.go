package plane

import (
	"fmt"
	"time"

	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/endpoints"
)

// The platform's bounds, and what the oracles allow.
const (
	drains   = 4 * time.Second
	grace    = drains / 4 // known sessions go on to a draining engine for so long: it must be known earlier by that
	beats    = 1500 * time.Millisecond
	patience = time.Second // of operators and engines, for an answer

	mostSignOffs = 10 // calls of an engine that deregisters, before it ends without an acknowledgement
)

// engine is one that calls.
type engine struct {
	w       *world
	k       int
	id      string
	calls   uint64
	state   endpoints.State
	home    *machine
	heard   time.Duration // last call that was acknowledged
	drained time.Duration // when that it leaves was acknowledged; 0 = it was not
	dead    bool

	signedOff bool // it makes no heartbeats any more
}

// engine starts one.
func (w *world) engine(k int) {
	e := &engine{w: w, k: k, id: fmt.Sprint("i-", k)}
	w.engines = append(w.engines, e)
	var beat, watch func()
	beat = func() {
		if !e.dead {
			if !e.signedOff {
				e.call(0)
			}
			w.in(beats+time.Duration(w.rnd.IntN(100))*time.Millisecond, beat)
		}
	}
	watch = func() {
		e.watch()
		w.in(500*time.Millisecond, watch)
	}
	w.in(time.Second+time.Duration(w.rnd.IntN(1500))*time.Millisecond, beat)
	w.in(lead, watch)
}

// leave has it say so from now on.
func (e *engine) leave() {
	if !e.dead && e.state == endpoints.StateReady {
		e.state = endpoints.StateDraining
		e.call(0)
		e.w.in(20*time.Second, func() { e.dead = true })
	}
}

// signOff has it deregister, without having said that it drains, at any machine until one acknowledges that. It serves on for as
// long as one that drains, and makes no call any more.
func (e *engine) signOff() {
	if e.dead || e.state != endpoints.StateReady {
		return
	}
	e.state, e.signedOff = endpoints.StateGone, true
	e.deregister(0)
	e.w.in(20*time.Second, func() { e.dead = true })
}

// deregister makes the call at a machine; where that fails it calls another.
func (e *engine) deregister(try int) {
	w := e.w
	if try > mostSignOffs || e.dead {
		return
	}
	m := w.machines[w.anyone()]
	life, waiting := m.life, true
	done := func(a discovery.Reply) {
		if !waiting {
			return
		}
		waiting = false
		if a.Err != nil || m.life != life {
			e.deregister(try + 1)
			return
		}
		e.drained = w.now
		w.report.Drained++
	}
	failed := discovery.Reply{Err: errGone}
	w.in(patience, func() { done(failed) })
	w.in(time.Millisecond, func() {
		if !m.up || m.life != life {
			done(failed)
			return
		}
		b := discovery.Deregister{Request: m.nextRequest(), EndpointID: e.id}
		m.replies[b.Request] = func(a discovery.Reply) { w.in(time.Millisecond, func() { done(a) }) }
		m.take(b)
	})
}

// crash ends it without a word.
func (e *engine) crash() { e.dead = true }

// call makes a call at its home, or at any machine; where that fails it calls the next.
func (e *engine) call(try int) {
	w := e.w
	if try > 5 || e.dead || e.signedOff {
		return
	}
	m := e.home
	if m == nil {
		m = w.machines[w.anyone()]
	}
	e.calls++
	state, waiting, life := e.state, true, m.life
	fails := func() {
		if waiting {
			waiting, e.home = false, nil
			e.call(try + 1)
		}
	}
	answered := func(a discovery.Reply) {
		if !waiting || m.life != life {
			return
		}
		if a.Err != nil {
			fails()
			return
		}
		waiting = false
		e.heard = w.now
		if e.home = nil; a.HomeReplica.IsValid() {
			e.home = w.at(a.HomeReplica)
		}
		if state == endpoints.StateDraining && e.drained == 0 { // also where the machine was not in touch
			e.drained = w.now
			w.report.Drained++
		}
	}
	w.in(patience, fails)
	w.in(time.Millisecond, func() {
		if !m.up || m.life != life {
			fails()
			return
		}
		b := discovery.Heartbeat{Request: m.nextRequest(), Record: endpoints.Record{
			ID: e.id, Service: "s", Addr: fmt.Sprintf("10.9.%d.%d:80", e.k>>8, e.k&255), Zone: "z", Slots: 4, CallCount: e.calls, State: state,
		}}
		m.replies[b.Request] = func(a discovery.Reply) { w.in(time.Millisecond, func() { answered(a) }) }
		if w.broken == "acknowledges a drain alone" {
			delete(m.replies, b.Request)
			w.in(time.Millisecond, func() { answered(discovery.Reply{}) })
			if state == endpoints.StateDraining { // and tells nobody, as one that dies right then
				return
			}
		}
		if m.keeper && w.meter.on {
			w.meter.calls++
		}
		m.take(b)
	})
}

// severed tells whether a machine has no path to a keeper, or a keeper none to it.
func (w *world) apart(m *machine) bool {
	for _, k := range w.keepers() {
		if w.cuts[[2]int{m.i, k.i}] > 0 || w.cuts[[2]int{k.i, m.i}] > 0 {
			return true
		}
	}
	return false
}

// informed tells whether a router that was told of nobody but who is cut off has one of them there for long enough to hear of others.
func (w *world) informed(m *machine) bool {
	for _, x := range m.told {
		if x.up && !x.frozen && w.now-x.calm >= w.bounds.contact {
			return true
		}
	}
	return len(m.told) == 0
}

// watch holds what routers in touch think of it against what they ought to.
func (e *engine) watch() {
	w := e.w
	contact := w.bounds.contact
	for _, m := range w.machines[w.day.Replicas : w.day.Replicas+w.day.Routers] {
		if !m.up || m.frozen || w.now-m.calm < contact || !w.calmFor(contact) || w.apart(m) || !w.informed(m) {
			continue
		}
		r := m.news.Endpoints.Find(e.id)
		switch {
		case e.drained != 0 && w.now-e.drained > drains-grace && r != nil && r.State == endpoints.StateReady && !r.Suspect:
			w.breaks("DRAIN", "%s still sends %s work %v after it was acknowledged", m.name, e.id, w.now-e.drained)
		case !e.dead && e.state == endpoints.StateReady && e.heard != 0 && w.now-e.heard < 2*time.Second && w.now > lead+contact && (r == nil || r.Suspect):
			w.breaks("SILENT", "%s holds %s for silent, which was heard %v ago", m.name, e.id, w.now-e.heard)
		}
	}
}
