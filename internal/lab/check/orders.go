package check

import (
	"bytes"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/fleetconfig"
	replica "notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
)

// Operators race under one number: the same revision upon the same version with another text each, at all keepers at once,
// while these are cut for 20 s one way or both, killed at any write, or lose their disks. Answers are lost, once and twice, and
// the order goes to the next keeper until there is a clear one, and some again long after that. Others read meanwhile. What
// is said is held against what was agreed: of two upon one version one is confirmed, by everybody for ever; what was refused,
// by anybody at any time, is never taken; what is read is no older than what had been confirmed.

// order is an operator's configuration.
type order struct {
	on, revision uint64
	text         []byte
	digest       fleetconfig.Digest
	lenient      bool // no keeper of this program would propose it
	lose         int  // answers that are still to be lost on their way
	over         bool // the operator has a clear answer
	confirmed    bool // somebody has said so, whether it was heard or not
	refused      bool // likewise
}

// operators are those of a life.
type operators struct {
	*site
	orders  []*order
	newest  uint64 // confirmed
	last    uint64 // number
	answers int    // that were clear
	reads   int    // that were answered
}

// lenient has a keeper of an earlier program propose what this one takes for invalid, and its answer is lost: the operator
// sends it again, to a keeper of this program.
func (o *operators) lenient(on, revision uint64, at int) {
	x := &order{on: on, revision: revision, lenient: true, over: true}
	var err error
	if x.text, err = cbor.Marshal(fleetconfig.Config{
		Revision: revision, Routes: []fleetconfig.Route{}, Services: []fleetconfig.Service{}, RequestLimits: fleetconfig.RequestLimits{MaxBodyBytes: -1},
	}); err != nil {
		return
	}
	if _, x.digest, err = fleetconfig.DecodeWithDigest(x.text); err != nil {
		return
	}
	o.orders = append(o.orders, x)
	entry := replog.Entry{Payload: replog.ConfigChange{BaseRevision: on, Config: x.text}}.Encode()
	h := o.hosts[at%len(o.hosts)]
	h.take(replica.Propose{Deadline: o.now + within, Next: func(s *replog.State) []byte {
		if s.CheckConfig(on, revision, x.digest) == replog.ConfigAcceptable {
			return entry
		}
		return nil
	}, Request: h.proposals.Add(func(err error) {
		if err == nil { // else it may be taken later, which nobody can tell who does not propose it
			x.over = false
			o.send(x, at+1)
		}
	})})
}

// order sends a new one.
func (o *operators) order(on, revision uint64, variant, at, lose int) {
	x := &order{on: on, revision: revision, lose: lose}
	var err error
	if x.text, err = cbor.Marshal(fleetconfig.Config{
		Revision: revision, Routes: []fleetconfig.Route{}, Services: []fleetconfig.Service{}, RequestLimits: fleetconfig.RequestLimits{MaxBodyBytes: variant},
	}); err != nil {
		return
	}
	if _, x.digest, err = fleetconfig.DecodeWithDigest(x.text); err != nil {
		return
	}
	o.orders = append(o.orders, x)
	o.send(x, at)
}

// send sends an order to a keeper, and to the next one until there is a clear answer.
func (o *operators) send(x *order, at int) {
	h, waiting := o.hosts[at%len(o.hosts)], true
	heard := func(r api.Result, lost bool) {
		if !waiting {
			return
		}
		waiting = false
		if lost || r.Status >= 500 {
			o.in(time.Duration(100+o.draw(300))*time.Millisecond, func() { o.send(x, at+1) })
			return
		}
		if !x.over {
			x.over = true
			o.answers++
		}
		if r.Status == http.StatusOK && o.draw(3) == 0 { // and again, long after
			o.in(time.Duration(o.draw(20000))*time.Millisecond, func() { o.send(x, at+1+o.draw(4)) })
		}
	}
	o.in(patience, func() { heard(api.Result{}, true) })
	life := h.life
	o.in(time.Millisecond, func() {
		if !h.up || h.life != life {
			return
		}
		answer := func(r api.Result) {
			o.said(x, h, r)
			lost := x.lose > 0
			if r.Status < 500 && lost {
				x.lose--
			}
			if !lost {
				o.in(time.Millisecond, func() { heard(r, false) })
			}
		}
		s := h.core.State()
		switch known := s.CheckConfig(x.on, x.revision, x.digest); {
		case o.broken == "refuses upon what it knows itself" && (known == replog.ConfigStaleBase || known == replog.ConfigRevisionTooLow):
			answer(api.Result{Status: http.StatusPreconditionFailed})
			return
		case o.broken == "judges by its form before it looks" && x.lenient:
			answer(api.Result{Status: http.StatusBadRequest})
			return
		case o.broken == "keeps two of the history" && known == replog.ConfigAlreadyAccepted && x.revision < s.History[max(len(s.History)-2, 0)].Revision:
			answer(api.Result{Status: http.StatusPreconditionFailed})
			return
		case o.broken == "a ballot that was won is taken for one's own" && known == replog.ConfigAcceptable:
			given := answer
			once := false
			answer = func(r api.Result) {
				if !once {
					once = true
					given(r)
				}
			}
			next := s.NextIndex
			var look func()
			look = func() {
				if !h.up || h.life != life || once {
					return
				}
				if now := h.core.State(); now.NextIndex > next {
					answer(api.Result{Status: http.StatusOK})
				}
				o.in(time.Millisecond, look)
			}
			o.in(time.Millisecond, look)
		}
		h.take(replica.ReplaceConfig{BaseRevision: x.on, Config: x.text, Deadline: o.now + within, Request: h.answers.Add(answer)})
	})
}

// said notes what a keeper has said of an order, whether anybody hears it or not.
func (o *operators) said(x *order, h *host, r api.Result) {
	switch {
	case r.Status == http.StatusOK:
		x.confirmed = true
		o.newest = max(o.newest, x.revision)
		for _, y := range o.orders {
			if y != x && y.on == x.on && y.confirmed {
				o.breaks("upon version %d two are confirmed, numbers %d and %d", x.on, y.revision, x.revision)
			}
		}
	case r.Status < 500:
		x.refused = true
	}
	if x.confirmed && x.refused {
		o.breaks("number %d upon %d is refused by somebody and confirmed by somebody (keeper %d says %d: %s)", x.revision, x.on, h.i, r.Status, r.Message)
	}
}

// read reads the configuration at a keeper.
func (o *operators) read(at int) {
	h, floor := o.hosts[at%len(o.hosts)], o.newest
	if !h.up {
		return
	}
	of := func(r api.Result) {
		if r.Status >= 500 {
			return
		}
		o.reads++
		if r.Status == http.StatusNotFound && floor == 0 {
			return
		}
		if r.Revision < floor {
			o.breaks("keeper %d says that version %d is the newest, and %d was confirmed before it was asked", h.i, r.Revision, floor)
		}
		for _, x := range o.orders {
			if x.revision == r.Revision && bytes.Equal(x.text, r.Body) {
				if x.refused {
					o.breaks("version %d is read back, and was refused", r.Revision)
				}
				return
			}
		}
		o.breaks("version %d is read back, and nobody has sent it", r.Revision)
	}
	if s := h.core.State(); o.broken == "reads without a majority" && s.Config != nil {
		of(api.Result{Status: http.StatusOK, Revision: s.Revision, Body: s.Config})
		return
	}
	h.take(replica.ReadConfig{Deadline: o.now + within, Request: h.answers.Add(of)})
}

// agreed holds what was said against what is in the chain, as far as it is known anywhere. In the end, all of it must be: a
// value that was chosen may be known for a while to nobody but those that have accepted it.
func (o *operators) agreed(end bool) {
	s := o.site.newest()
	for _, x := range o.orders {
		switch was := s.WasAccepted(x.revision, x.digest); {
		case was && x.refused:
			o.breaks("number %d upon %d was refused, and is in the chain", x.revision, x.on)
		case end && !was && x.confirmed:
			o.breaks("number %d upon %d was confirmed, and is not in the chain", x.revision, x.on)
		}
	}
}

// race has two to four operators send upon one version under one number, each to another keeper.
func (o *operators) race() {
	on := o.newest
	if o.draw(3) == 0 { // as somebody knows who has asked a keeper long ago
		h := o.hosts[o.draw(len(o.hosts))]
		on = h.state.Revision
	}
	o.last = max(o.last, on) + 1 + uint64(o.draw(3))
	first := o.draw(len(o.hosts))
	if o.draw(12) == 0 {
		o.lenient(on, o.last, first)
		return
	}
	for k := range 2 + o.draw(min(len(o.hosts), 4)-1) {
		o.order(on, o.last, k, first+k, o.draw(3))
	}
}

// trouble has something happen to a machine or between them.
func (o *operators) trouble() {
	h := o.hosts[o.draw(len(o.hosts))]
	switch k := o.draw(10); {
	case k < 3:
		o.cut(1<<h.i, o.draw(3), cutMost)
	case k < 5:
		o.cut(1+o.draw(1<<len(o.hosts)-2), o.draw(3), time.Duration(1+o.draw(20))*time.Second)
	case k < 8 && h.up:
		h.kill(time.Duration(50+o.draw(4000)) * time.Millisecond)
	case k == 8:
		o.wipe(h)
	case k == 9:
		// One is behind, one of those that know more loses its disk, the others are away when the first can be reached again.
		o.cut(1<<h.i, 0, 4*time.Second)
		for at := range 2 {
			o.in(time.Duration(at+1)*time.Second, func() { o.race() })
		}
		o.in(4*time.Second-time.Duration(o.draw(200))*time.Millisecond, func() {
			for k := 1; k < len(o.hosts); k++ {
				switch other := o.hosts[(h.i+k)%len(o.hosts)]; {
				case o.draw(2) == 0:
					o.wipe(other)
				case other.up:
					other.kill(time.Duration(500+o.draw(3000)) * time.Millisecond)
				}
			}
			for at := range 10 {
				o.in(time.Duration(at)*100*time.Millisecond, func() { o.read(h.i) })
			}
		})
	}
}

// wipe has a machine lose its disk, if one more may be lost.
func (o *operators) wipe(h *host) {
	if !o.calm && o.spare() {
		h.die()
		h.format()
		h.kill(time.Duration(50+o.draw(300)) * time.Millisecond)
	}
}

// ordersLife plays a life, and says what is wrong.
func ordersLife(seed int, broken string) (found string, answers, reads int) {
	draw := draws(seed)
	o := &operators{site: newSite(draw, 3+2*draw(2), 0, broken)}
	o.run(time.Second)
	for range 45 {
		switch k := draw(8); {
		case k < 3:
			o.race()
		case k < 5:
			o.read(draw(len(o.hosts)))
		case k == 5:
			o.trouble()
		}
		o.run(time.Duration(20+draw(1500)) * time.Millisecond)
		if o.agreed(false); o.found != "" {
			return o.found, o.answers, o.reads
		}
	}
	o.heal()
	o.run(8 * time.Second)
	for _, x := range o.orders {
		if !x.over {
			o.breaks("number %d upon %d has no clear answer 8 s after all is well", x.revision, x.on)
		}
		for at := range o.hosts { // once more, at each
			if o.site.newest().WasAccepted(x.revision, x.digest) {
				x.lose = 0
				o.send(x, at)
			}
		}
	}
	for at := range o.hosts {
		o.read(at)
	}
	o.run(3 * time.Second)
	o.agreed(true)
	return o.found, o.answers, o.reads
}

// orders plays so many lives, and returns the first fault.
func orders(lives int, broken string) (found string, seed int) {
	for seed := range lives {
		if found, _, _ := ordersLife(seed, broken); found != "" {
			return found, seed
		}
	}
	return "", lives
}

// brokenOrders are the rules that are broken on purpose; each must be found.
var brokenOrders = []string{
	"refuses upon what it knows itself", "keeps two of the history", "a ballot that was won is taken for one's own",
	"reads without a majority", "who is no member counts",
	"judges by its form before it looks",
}
