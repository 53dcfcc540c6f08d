package plane

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/core"
	"notchhinge/internal/control/declared"
	"notchhinge/internal/control/news"
	"notchhinge/internal/control/roster"
)

// The platform's bounds, and what the oracles allow.
const (
	contact  = 5 * time.Second // a machine is in touch that nothing has happened to for so long
	ackBound = 6 * time.Second
	drains   = 4 * time.Second
	grace    = drains / 4 // known sessions go on to a draining engine for so long: it must be known earlier by that
	beats    = 1500 * time.Millisecond
	patience = time.Second // of operators and engines, for an answer
)

// change is an operator's configuration.
type change struct {
	revision, on uint64
	text         []byte
	first        time.Duration
	acked        bool
	refused      bool
	over         bool
}

// change has an operator send a configuration upon a version until there is a clear answer.
func (w *world) change(on uint64, at int) {
	w.last += 1 + w.rnd.Uint64N(3)
	c := &change{revision: w.last, on: on, first: w.now}
	var err error
	if c.text, err = cbor.Marshal(declared.Config{Revision: c.revision, Routes: []declared.Route{}, Services: []declared.Service{}}); err != nil {
		return
	}
	w.sent[c.revision] = c
	w.report.Changes++
	w.send(c, at, 0)
}

// send sends a configuration to a machine, which sends the operator on to a keeper if it is none.
func (w *world) send(c *change, at, try int) {
	if c.over || w.now-c.first > time.Minute {
		return
	}
	again := func() {
		w.in(time.Duration(100+w.rnd.IntN(200)*(1+min(try, 3)))*time.Millisecond, func() { w.send(c, w.rnd.IntN(len(w.machines)), try+1) })
	}
	m := w.machines[at]
	if m.up && !m.keeper {
		all := m.news.Gossip.Answering()
		if len(all) == 0 {
			again()
			return
		}
		m = w.at(all[w.rnd.IntN(len(all))].Addr)
	}
	waiting := true
	answered := func(r api.Result) {
		if !waiting {
			return
		}
		waiting = false
		switch {
		case r.Status == http.StatusOK:
			w.acked(c)
			for _, t := range w.aimed {
				w.strike(&Trouble{Kind: Wipe, For: t.For, On: []int{m.i}})
				w.strike(&Trouble{Kind: Dark, For: t.For})
			}
			w.aimed = nil
		case r.Status < 500:
			c.refused, c.over = true, true
		default:
			again()
		}
	}
	w.in(patience, func() { answered(api.Result{Status: http.StatusServiceUnavailable}) })
	w.in(time.Millisecond, func() {
		if !m.up {
			answered(api.Result{Status: http.StatusServiceUnavailable})
			return
		}
		if w.broken == "acknowledges what it has only heard" {
			m.take(core.Put{On: c.on, Text: c.text, Of: func(api.Result) {}, Until: w.now + 900*time.Millisecond})
			answered(api.Result{Status: http.StatusOK})
			return
		}
		life := m.life
		m.take(core.Put{On: c.on, Text: c.text, Until: w.now + 900*time.Millisecond, Of: func(r api.Result) {
			if m.life == life {
				answered(r) // at once: what strikes at an acknowledgement comes before its word to others has
			}
		}})
	})
	if c.first == w.now {
		w.in(ackBound, func() {
			if !c.over && w.calmFor(ackBound+contact) {
				w.breaks("ACKS", "version %d was sent %v ago, in calm, and is not acknowledged", c.revision, ackBound)
			}
		})
	}
}

// calmFor tells whether nothing has happened to the core for so long.
func (w *world) calmFor(d time.Duration) bool { return w.now-w.shaken >= d }

// acked notes an acknowledgement.
func (w *world) acked(c *change) {
	if c.over {
		return
	}
	c.acked, c.over = true, true
	w.report.Acked++
	w.newest = max(w.newest, c.revision)
	if other, known := w.upon[c.on]; known && other != c.revision {
		w.breaks("CONFIG", "upon version %d both %d and %d are acknowledged", c.on, other, c.revision)
	}
	w.upon[c.on] = c.revision
	if w.calmFor(w.now - c.first + contact) {
		w.report.Slowest = max(w.report.Slowest, w.now-c.first)
	}
}

// readBack reads the configuration at the end of the day, as often as it takes, and holds it against what was acknowledged.
func (w *world) readBack() {
	got := false
	for try := 0; try < 20 && !got; try++ {
		m := w.machines[w.rnd.IntN(w.day.Keepers)]
		m.take(core.Get{Until: w.now + 900*time.Millisecond, Of: func(r api.Result) {
			if got || r.Status != http.StatusOK {
				return
			}
			got = true
			w.report.Revision = r.Rev
			c := w.sent[r.Rev]
			switch {
			case c == nil || !bytes.Equal(c.text, r.Body):
				w.breaks("CONFIG", "version %d is read back, and is not what was sent", r.Rev)
			case c.refused:
				w.breaks("CONFIG", "version %d is read back, and was refused", r.Rev)
			case r.Rev < w.newest:
				w.breaks("LOST", "version %d is read back, %d was acknowledged", r.Rev, w.newest)
			}
		}})
		w.run(w.now + time.Second)
	}
	if !got {
		w.breaks("CONFIG", "no configuration can be read back")
		return
	}
	for _, m := range w.machines[:w.day.Keepers] {
		s := m.core.State()
		for _, h := range s.History {
			if c := w.sent[h.Revision]; c == nil || c.refused {
				w.breaks("CONFIG", "version %d is in the chain, and was refused or never sent", h.Revision)
			}
		}
	}
}

// engine is one that calls.
type engine struct {
	w       *world
	k       int
	id      string
	calls   uint64
	state   roster.State
	home    *machine
	heard   time.Duration // last call that was acknowledged
	drained time.Duration // when that it leaves was acknowledged; 0 = it was not
	dead    bool
}

// engine starts one.
func (w *world) engine(k int) {
	e := &engine{w: w, k: k, id: fmt.Sprint("i-", k)}
	w.engines = append(w.engines, e)
	var beat, watch func()
	beat = func() {
		if !e.dead {
			e.call(0)
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
	if !e.dead && e.state == roster.Ready {
		e.state = roster.Draining
		e.call(0)
		e.w.in(20*time.Second, func() { e.dead = true })
	}
}

// crash ends it without a word.
func (e *engine) crash() { e.dead = true }

// call makes a call at its home, or at any machine; where that fails it calls the next.
func (e *engine) call(try int) {
	w := e.w
	if try > 5 || e.dead {
		return
	}
	m := e.home
	if m == nil {
		m = w.machines[w.rnd.IntN(len(w.machines))]
	}
	e.calls++
	state, waiting, life := e.state, true, m.life
	fails := func() {
		if waiting {
			waiting, e.home = false, nil
			e.call(try + 1)
		}
	}
	answered := func(a news.Answer) {
		if !waiting || m.life != life {
			return
		}
		if a.Err != nil {
			fails()
			return
		}
		waiting = false
		e.heard = w.now
		if e.home = nil; a.Home.IsValid() {
			e.home = w.at(a.Home)
		}
		if state == roster.Draining && e.drained == 0 && e.w.now-m.calm >= contact {
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
		b := news.Beat{Record: roster.Record{
			ID: e.id, Service: "s", Addr: fmt.Sprintf("10.9.%d.%d:80", e.k>>8, e.k&255), Zone: "z", Slots: 4, Calls: e.calls, State: state,
		}, Of: func(a news.Answer) { w.in(time.Millisecond, func() { answered(a) }) }}
		if w.broken == "acknowledges a drain alone" {
			b.Of = func(news.Answer) {}
			w.in(time.Millisecond, func() { answered(news.Answer{}) })
			if state == roster.Draining { // and tells nobody, as one that dies right then
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
func (w *world) severed(m *machine) bool {
	for _, k := range w.machines[:w.day.Keepers] {
		if w.cuts[[2]int{m.i, k.i}] > 0 || w.cuts[[2]int{k.i, m.i}] > 0 {
			return true
		}
	}
	return false
}

// watch holds what routers in touch think of it against what they ought to.
func (e *engine) watch() {
	w := e.w
	for _, m := range w.machines[w.day.Keepers:] {
		if !m.up || m.frozen || w.now-m.calm < contact || !w.calmFor(contact) || w.severed(m) {
			continue
		}
		r := m.news.Roster.Find(e.id)
		switch {
		case e.drained != 0 && w.now-e.drained > drains-grace && r != nil && r.State == roster.Ready && !r.Silent:
			w.breaks("DRAIN", "%s still sends %s work %v after it was acknowledged", m.name, e.id, w.now-e.drained)
		case !e.dead && e.state == roster.Ready && e.heard != 0 && w.now-e.heard < 2*time.Second && w.now > lead+contact && (r == nil || r.Silent):
			w.breaks("SILENT", "%s holds %s for silent, which was heard %v ago", m.name, e.id, w.now-e.heard)
		}
	}
}
