package plane

import (
	"bytes"
	"net/http"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
)

// What operators do at the most.
const (
	underWay    = 8                      // orders at once
	stormEvery  = time.Second / 14       // between two orders of a storm
	listLag     = 3 * time.Second        // the operators' list of machines is so old
	readsEvery  = 700 * time.Millisecond // between two reads of the configuration, anywhere
	givenUp     = time.Minute            // an order without an answer is sent for so long
	withinCalls = 900 * time.Millisecond // a process has for an operator's call
)

// change is an operator's configuration.
type change struct {
	revision, on uint64
	text         []byte
	first        time.Duration
	answered     bool // its operator has an answer
	acked        bool // a 200 was sent, which may have been lost
	refused      bool
	chosen       bool
	lose         int           // answers that are lost on their way
	lost         time.Duration // when the last of them was
	tries        int
}

// change has an operator send a configuration upon a version until there is a clear answer.
func (w *world) change(on uint64, at int) *change {
	w.last += 1 + w.rnd.Uint64N(3)
	return w.order(w.last, on, at, 0)
}

// race has two operators change the same version, under two numbers or one.
func (w *world) race(same bool) {
	on := w.newest
	w.change(on, w.anyone())
	if same {
		w.order(w.last, on, w.anyone(), 1)
		return
	}
	w.change(on, w.anyone())
}

// storm has orders come until a time, up to eight under way, one in six with another upon the same version and under its number, and some
// with answers that get lost.
func (w *world) storm(until time.Duration) {
	if w.now >= until || w.over {
		return
	}
	w.in(stormEvery, func() { w.storm(until) })
	if len(w.open)+2 > underWay {
		return
	}
	if w.rnd.IntN(8) == 0 {
		w.lose = append(w.lose, 1+w.rnd.IntN(2))
	}
	if w.rnd.IntN(6) == 0 {
		w.race(true)
		return
	}
	w.change(w.newest, w.anyone())
}

// anyone is a machine as the operators' list has them: without those that are gone for longer than it lags.
func (w *world) anyone() int {
	for {
		if i := w.rnd.IntN(len(w.machines)); !w.machines[i].gone || w.now-w.machines[i].calm < listLag {
			return i
		}
	}
}

// order has an operator send a configuration. variant tells apart those of one number.
func (w *world) order(revision, on uint64, at, variant int) *change {
	c := &change{revision: revision, on: on, first: w.now}
	text, err := cbor.Marshal(fleetconfig.Config{Revision: revision, Routes: []fleetconfig.Route{}, Services: []fleetconfig.Service{}, RequestLimits: fleetconfig.RequestLimits{MaxBodyBytes: variant}})
	if err != nil {
		return nil
	}
	_, digest, err := fleetconfig.DecodeWithDigest(text)
	if err != nil {
		return nil
	}
	if c.text = text; len(w.lose) > 0 {
		c.lose, w.lose = w.lose[0], w.lose[1:]
	}
	w.sent[digest] = c
	w.open = append(w.open, c)
	w.report.Changes++
	w.send(c, at)
	w.in(w.bounds.ack, func() {
		isSettled := w.calmFor(w.bounds.ack+w.bounds.contact) && (!w.day.Overlaps || w.now-w.core.unsettled >= w.bounds.ack)
		if !c.answered && c.lost == 0 && isSettled { // with lost answers AVAILABLE sees to it
			w.breaks("ACKS", "version %d was sent %v ago, in calm, and is not acknowledged", c.revision, w.bounds.ack)
		}
	})
	return c
}

// again has it sent again. Every second time that is to a keeper in touch with most of the core, so that what is asked of the
// fleet does not depend on an operator's luck.
func (w *world) again(c *change) {
	w.in(time.Duration(100+w.rnd.IntN(200)*(1+min(c.tries, 3)))*time.Millisecond, func() {
		at := w.anyone()
		if c.tries++; c.tries%2 == 1 {
			if m := w.inTouch(); m != nil {
				at = m.i
			}
		}
		w.send(c, at)
	})
}

// send sends a configuration to a machine, which sends the operator on to a keeper if it is none.
func (w *world) send(c *change, at int) {
	if c.answered || w.now-c.first > givenUp {
		return
	}
	m := w.machines[at]
	if m.up && !m.keeper {
		all := m.news.Gossip.ResponsiveReplicas()
		if len(all) == 0 {
			w.again(c)
			return
		}
		m = w.at(all[w.rnd.IntN(len(all))].Addr)
	}
	waiting := true
	clear := func(r api.Result) {
		if !waiting {
			return
		}
		waiting = false
		switch {
		case r.Status == http.StatusOK:
			w.answered(c)
			for _, t := range w.aimed {
				if !m.gone {
					w.strike(&Fault{Kind: Wipe, For: t.For, On: []int{w.seatOf(m)}})
				}
				w.strike(&Fault{Kind: Dark, For: t.For})
			}
			w.aimed = nil
		case r.Status < 500:
			w.refused(c, r)
			w.answered(c)
		default:
			w.again(c)
		}
	}
	w.in(patience, func() { clear(api.Result{Status: http.StatusServiceUnavailable}) })
	come := func(r api.Result) {
		if r.Status == http.StatusOK {
			w.acked(c, m)
		}
		if r.Status < 500 && c.lose > 0 {
			if r.Status != http.StatusOK {
				w.refused(c, r)
			}
			c.lose--
			c.lost = w.now
			return
		}
		clear(r)
	}
	w.in(time.Millisecond, func() {
		if !m.up {
			clear(api.Result{Status: http.StatusServiceUnavailable})
			return
		}
		put := replica.ReplaceConfig{BaseRevision: c.on, Config: c.text, Deadline: w.now + withinCalls}
		switch s := m.state(); {
		case w.broken == "acknowledges what it has only heard":
			m.take(put) // nobody waits for its answer
			come(api.Result{Status: http.StatusOK})
			return
		case w.broken == "knows no order again" && s.Revision > c.on:
			come(api.Result{Status: http.StatusPreconditionFailed, Revision: s.Revision})
			return
		}
		life := m.life
		put.Request = m.answers.Add(func(r api.Result) {
			if m.life == life {
				come(r) // at once: what strikes at an acknowledgement comes before its word to others has
			}
		})
		m.take(put)
	})
}

// state is what the machine has of the state.
func (m *machine) state() replog.State {
	if m.core == nil {
		return replog.State{}
	}
	return m.core.State()
}

// calmFor tells whether nothing has happened to the core for so long.
func (w *world) calmFor(d time.Duration) bool { return w.now-w.shaken >= d }

// answered notes that the operator has a clear answer.
func (w *world) answered(c *change) {
	if c.answered {
		return
	}
	c.answered = true
	w.open = slices.DeleteFunc(w.open, func(x *change) bool { return x == c })
	if c.acked && !c.refused && w.calmFor(w.now-c.first+w.bounds.contact) {
		w.report.Slowest = max(w.report.Slowest, w.now-c.first)
	}
}

// acked notes an acknowledgement by a machine, also one that gets lost.
func (w *world) acked(c *change, by *machine) {
	w.core.acted = by
	if c.acked || c.refused {
		if c.refused {
			w.breaks("CONFIG", "version %d was refused, and then acknowledged", c.revision)
		}
		return
	}
	c.acked = true
	w.report.Acked++
	if w.settledSince() <= w.now && w.lost() == w.day.Tolerate {
		w.report.AckedAtMaxLoss++
	}
	w.newest = max(w.newest, c.revision)
	if other, known := w.upon[c.on]; known && other != c {
		w.breaks("CONFIG", "upon version %d both %d and %d are acknowledged", c.on, other.revision, c.revision)
	}
	w.upon[c.on] = c
}

// refused notes a refusal, also one that gets lost.
func (w *world) refused(c *change, r api.Result) {
	if c.refused = true; c.acked || c.chosen {
		w.breaks("CONFIG", "version %d was taken, and is refused with %d when it is sent again", c.revision, r.Status)
	}
}

// chosen notes which configuration stands in a state.
func (w *world) chosen(s *replog.State) {
	if s.Config == nil {
		return
	}
	switch c := w.sent[s.Digest]; {
	case c == nil:
		w.breaks("CONFIG", "version %d is in the chain, and was never sent", s.Revision)
	case c.refused && !c.chosen:
		w.breaks("CONFIG", "version %d is in the chain, and was refused", s.Revision)
	default:
		c.chosen = true
	}
}

// dismissal is an operator's order to take a keeper out that is gone.
type dismissal struct {
	name  string
	first time.Duration
	taken bool // a 200 was sent
	over  bool
}

// dismiss has it sent to a machine, and to others until there is a clear answer; that it was taken is lost once. An order that was
// taken is not refused when it comes again.
func (w *world) dismiss(d *dismissal, at int) {
	m := w.machines[at]
	if d.over || w.over || w.now-d.first > givenUp {
		return
	}
	waiting := true
	again := func() {
		if waiting {
			waiting = false
			w.in(time.Duration(w.rnd.IntN(300))*time.Millisecond, func() { w.dismiss(d, w.anyone()) })
		}
	}
	w.in(patience, again)
	if !m.up || m.core == nil {
		return
	}
	clear := func(r api.Result) {
		switch {
		case r.Status >= 500:
			again()
		case r.Status == http.StatusOK:
			d.taken, d.over = true, d.taken // the first such answer is lost
		default:
			if d.over = true; d.taken {
				w.breaks("CONFIG", "%s was taken out, and that is refused with %d when it is ordered again", d.name, r.Status)
			}
		}
	}
	if w.broken == "looks for members alone" && d.taken && m.state().NextIndex > 0 {
		clear(api.Result{Status: http.StatusNotFound})
		return
	}
	m.take(replica.RemoveMember{Name: d.name, Deadline: w.now + withinCalls, Request: m.answers.Add(clear)})
}

// reads has operators read the configuration now and then, at any keeper, also one that is cut off: an answer is no older than
// what was acknowledged before it was asked for.
func (w *world) reads() {
	w.in(readsEvery, func() {
		if w.over {
			return
		}
		w.reads()
		all := w.keepers()
		m, newest, life := all[int(w.now/readsEvery)*7%len(all)], w.newest, 0
		if !m.up {
			return
		}
		life = m.life
		read := func(r api.Result) {
			if m.life == life && r.Status == http.StatusOK && r.Revision < newest {
				w.breaks("CURRENT", "%s hands out version %d, and %d was acknowledged before that was asked for", m.name, r.Revision, newest)
			}
		}
		if w.broken == "reads what it has" {
			if s := m.state(); s.Config != nil {
				read(api.Result{Status: http.StatusOK, Revision: s.Revision})
			}
			return
		}
		m.take(replica.ReadConfig{Deadline: w.now + withinCalls, Request: m.answers.Add(read)})
	})
}

// readBack reads the configuration at the end of the day, as often as it takes, and holds it against what was acknowledged.
func (w *world) readBack() {
	got := false
	for try := 0; try < 20 && !got; try++ {
		m := w.seats[w.rnd.IntN(len(w.seats))]
		m.take(replica.ReadConfig{Deadline: w.now + withinCalls, Request: m.answers.Add(func(r api.Result) {
			if got || r.Status != http.StatusOK {
				return
			}
			got = true
			w.report.Revision = r.Revision
			c := w.sentAs(r.Body)
			switch {
			case c == nil || c.revision != r.Revision:
				w.breaks("CONFIG", "version %d is read back, and is not what was sent", r.Revision)
			case c.refused:
				w.breaks("CONFIG", "version %d is read back, and was refused", r.Revision)
			case r.Revision < w.newest:
				w.breaks("LOST", "version %d is read back, %d was acknowledged", r.Revision, w.newest)
			}
		})})
		w.run(w.now + time.Second)
	}
	if !got {
		w.breaks("CONFIG", "no configuration can be read back")
		return
	}
	for _, m := range w.keepers() {
		s := m.state()
		for _, h := range s.History {
			if c := w.sent[h.Digest]; c == nil || c.refused {
				w.breaks("CONFIG", "version %d is in the chain, and was refused or never sent", h.Revision)
			}
		}
	}
}

// sentAs finds what was sent by its text.
func (w *world) sentAs(text []byte) *change {
	_, digest, err := fleetconfig.DecodeWithDigest(text)
	if c := w.sent[digest]; err == nil && c != nil && bytes.Equal(c.text, text) {
		return c
	}
	return nil
}
