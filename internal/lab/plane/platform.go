package plane

import (
	"errors"
	"fmt"
	"time"

	"notchhinge/internal/control/singleton"
	"notchhinge/internal/control/usage"
)

// healGrace is for how long a call after the end of a cut or a stop of its sender is not held against it.
const healGrace = 300 * time.Millisecond

// usageSubject is the subject of usage reports; others are a service and a zone.
const usageSubject = "usage"

// platform takes the calls of lease holders. It accepts every call, is slow to answer some, and watches rule ONE.
type platform struct {
	usage    map[uint64]string       // what was reported, by window
	highest  map[string]uint64       // fencing token, by subject
	holders  map[string]string       // by subject and fencing token
	accepted map[string][]acceptance // by subject, the last few
}

func newPlatform() platform {
	return platform{usage: map[uint64]string{}, highest: map[string]uint64{}, holders: map[string]string{}, accepted: map[string][]acceptance{}}
}

// platformCall is a call to the platform.
type platformCall struct {
	subject string
	token   uint64 // the fencing token
	window  uint64 // of a usage report
	counts  string // likewise
}

// acceptance is a call that the platform has accepted.
type acceptance struct {
	holder string
	at     time.Duration
}

// outside is the platform's index among machines, as far as cuts go.
const outside = -1

var errPlatformTimeout = errors.New("the platform does not answer")

// callPlatform carries a call to the platform and its answer back.
func (w *world) callPlatform(m *machine, timeout time.Duration, c platformCall) {
	life, answerAfter := m.life, 2*time.Millisecond
	if w.rnd.IntN(10) == 0 {
		answerAfter += time.Duration(w.rnd.IntN(1500)) * time.Millisecond
	}
	lost := w.cuts[[2]int{m.i, outside}] > 0 || w.cuts[[2]int{outside, m.i}] > 0 || w.rnd.IntN(50) == 0
	answer := func(err error) {
		if m.life == life {
			m.take(singletonEvent{event: singleton.PlatformAnswered{Err: err}})
		}
	}
	if w.cuts[[2]int{m.i, outside}] <= 0 {
		delay := time.Millisecond
		if w.broken == "calls to the platform wait" && w.rnd.IntN(4) == 0 {
			delay = 5 * time.Second
		}
		w.in(delay, func() { w.platform.accept(w, m, c) })
	}
	if lost || answerAfter > timeout {
		w.in(timeout, func() { answer(errPlatformTimeout) })
		return
	}
	w.in(answerAfter, func() { answer(nil) })
}

// accept takes in a call.
func (p *platform) accept(w *world, m *machine, c platformCall) {
	if c.subject == usageSubject {
		w.notifyUsageStep(m, usageAccepted)
		before, known := p.usage[c.window]
		switch {
		case !known:
			p.usage[c.window] = c.counts
			if w.now-usage.WindowEnd(c.window, usageWindow).Sub(epoch) > usageDelay {
				w.report.Late++
			}
		case before == c.counts:
			return // an exact repetition
		default:
			w.breaks("ONE", "window %d is reported as %s by %s, and was as %s", c.window, c.counts, m.name, before)
		}
	}
	key := fmt.Sprint(c.subject, "/", c.token)
	if other, known := p.holders[key]; known && other != m.name {
		w.breaks("ONE", "%s and %s have both sent fencing token %d for %s", other, m.name, c.token, c.subject)
	}
	p.holders[key], w.core.acted = m.name, m
	if w.now-m.healed < healGrace {
		return
	}
	if c.token < p.highest[c.subject] {
		w.breaks("ONE", "%s sends fencing token %d for %s, which has seen %d", m.name, c.token, c.subject, p.highest[c.subject])
	}
	p.highest[c.subject] = max(p.highest[c.subject], c.token)
	p.checkTurns(w, m, c.subject)
}

// checkTurns notes an accepted call, and checks that within the length of a lease no holder acts again after another has.
func (p *platform) checkTurns(w *world, m *machine, subject string) {
	all := p.accepted[subject]
	all = append(all, acceptance{m.name, w.now})
	other := false
	for i := len(all) - 1; i >= 0 && w.now-all[i].at < leaseDuration; i-- {
		if other = other || all[i].holder != m.name; other && all[i].holder == m.name {
			w.breaks("ONE", "%s acts for %s %v after it had, and another in between", m.name, subject, w.now-all[i].at)
		}
	}
	p.accepted[subject] = all[max(len(all)-64, 0):]
}

// checkUsage counts the windows that were due by now, and those of them that were not reported. The last one was due in calm.
func (w *world) checkUsage() {
	last := usage.WindowAt(epoch.Add(w.now-usageDelay), usageWindow) - 1
	for number, requests := range w.began {
		if number > last || requests == 0 {
			continue
		}
		w.report.Windows++
		if _, reported := w.platform.usage[number]; !reported {
			w.report.Unreported++
			if number == last {
				w.breaks("DUTY", "window %d is over for %v, in calm, and not reported", number, w.now-usage.WindowEnd(number, usageWindow).Sub(epoch))
			}
		}
	}
}
