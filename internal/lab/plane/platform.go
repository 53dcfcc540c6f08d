package plane

import (
	"errors"
	"fmt"
	"time"

	"notchhinge/internal/control/singleton"
	"notchhinge/internal/control/usage"
)

// healGrace is the time after the end of a partition or freeze in which late calls of the machine are not checked.
const healGrace = 300 * time.Millisecond

// usageSubject is the subject of usage reports. Other subjects name a service and a zone.
const usageSubject = "usage"

// platform accepts the calls of lease holders, answers some of them late, and checks rule ONE.
type platform struct {
	usage    map[uint64]string       // reported counts, by window
	highest  map[string]uint64       // highest fencing token, by subject
	holders  map[string]string       // name of the machine, by subject and fencing token
	accepted map[string][]acceptance // the last 64, by subject
}

func newPlatform() platform {
	return platform{usage: map[uint64]string{}, highest: map[string]uint64{}, holders: map[string]string{}, accepted: map[string][]acceptance{}}
}

// platformCall is a call to the platform.
type platformCall struct {
	subject string
	token   uint64 // the fencing token
	window  uint64 // of a usage report
	counts  string // of a usage report
}

// acceptance is a call that the platform has accepted.
type acceptance struct {
	holder string
	at     time.Duration
}

// platformIndex is the index of the platform as an end of blocked links.
const platformIndex = -1

var errPlatformTimeout = errors.New("the platform does not answer")

// callPlatform sends a call to the platform and delivers the answer.
func (w *world) callPlatform(m *machine, timeout time.Duration, c platformCall) {
	incarnation, answerAfter := m.incarnation, 2*time.Millisecond
	if w.rand.IntN(10) == 0 {
		answerAfter += time.Duration(w.rand.IntN(1500)) * time.Millisecond
	}
	lost := w.blockedLinks[[2]int{m.index, platformIndex}] > 0 || w.blockedLinks[[2]int{platformIndex, m.index}] > 0 || w.rand.IntN(50) == 0
	answer := func(err error) {
		if m.incarnation == incarnation {
			m.deliver(singletonEvent{event: singleton.PlatformAnswered{Err: err}})
		}
	}
	if w.blockedLinks[[2]int{m.index, platformIndex}] <= 0 {
		delay := time.Millisecond
		if w.injectedBug == "platform calls are delayed" && w.rand.IntN(4) == 0 {
			delay = 5 * time.Second
		}
		w.schedule(delay, func() { w.platform.accept(w, m, c) })
	}
	if lost || answerAfter > timeout {
		w.schedule(timeout, func() { answer(errPlatformTimeout) })
		return
	}
	w.schedule(answerAfter, func() { answer(nil) })
}

// accept handles a call.
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
			return // identical repeated report
		default:
			w.violate("ONE", "window %d is reported as %s by %s, and was reported as %s before", c.window, c.counts, m.name, before)
		}
	}
	key := fmt.Sprint(c.subject, "/", c.token)
	if other, known := p.holders[key]; known && other != m.name {
		w.violate("ONE", "%s and %s have both sent fencing token %d for %s", other, m.name, c.token, c.subject)
	}
	p.holders[key], w.core.lastActor = m.name, m
	if w.now-m.healedAt < healGrace {
		return
	}
	if c.token < p.highest[c.subject] {
		w.violate("ONE", "%s sends fencing token %d for %s after token %d was seen", m.name, c.token, c.subject, p.highest[c.subject])
	}
	p.highest[c.subject] = max(p.highest[c.subject], c.token)
	p.checkExclusive(w, m, c.subject)
}

// checkExclusive records an accepted call. Within the length of a lease, no holder may act again after another one has.
func (p *platform) checkExclusive(w *world, m *machine, subject string) {
	all := p.accepted[subject]
	all = append(all, acceptance{m.name, w.now})
	other := false
	for i := len(all) - 1; i >= 0 && w.now-all[i].at < leaseDuration; i-- {
		if other = other || all[i].holder != m.name; other && all[i].holder == m.name {
			w.violate("ONE", "%s acts for %s %v after its earlier call, with another holder in between", m.name, subject, w.now-all[i].at)
		}
	}
	p.accepted[subject] = all[max(len(all)-64, 0):]
}

// checkUsage counts the usage windows that were due, and those that were not reported. The last one ended without faults and
// must be reported.
func (w *world) checkUsage() {
	last := usage.WindowAt(epoch.Add(w.now-usageDelay), usageWindow) - 1
	for number, requests := range w.requestsByWindow {
		if number > last || requests == 0 {
			continue
		}
		w.report.Windows++
		if _, reported := w.platform.usage[number]; !reported {
			w.report.Unreported++
			if number == last {
				w.violate("DUTY", "window %d ended %v ago, without faults, and is not reported", number, w.now-usage.WindowEnd(number, usageWindow).Sub(epoch))
			}
		}
	}
}
