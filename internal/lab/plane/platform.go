package plane

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"notchhinge/internal/control/autoscale"
	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/singleton"
	"notchhinge/internal/control/usage"
	"notchhinge/internal/limits"
)

// What the platform tells of duties.
const (
	lease  = 3 * time.Second
	window = 5 * time.Second
	delay  = 10 * time.Second
	thaw   = 300 * time.Millisecond // what arrives so soon after its sender was thawed or healed is not held against it
)

// epoch is the time of day at a day's start.
var epoch = time.Unix(1_700_000_000, 0)

// wall is the time of day as a machine has it.
func (m *machine) wall() time.Time { return epoch.Add(m.w.now + m.step) }

// toDuty is an event for a keeper's part in the duties.
type toDuty struct {
	event   singleton.Event
	request replica.RequestID // of a call, whose reply it names
}

// act is a call of a holder that the platform has taken.
type act struct {
	holder string
	at     time.Duration
}

// platform is what duties are owed to. It takes every call, is slow to answer some, and watches rule ONE.
type platform struct {
	usage   map[uint64]string // by window
	fences  map[string]uint64 // the highest, by subject
	holders map[string]string // by subject and fence
	acts    map[string][]act  // by subject, the last few
}

// outside is the platform's place among machines, as far as cuts go.
const outside = -1

var errSlow = errors.New("the platform does not answer")

// send carries a call to the platform and its answer back.
func (w *world) toPlatform(m *machine, within time.Duration, subject string, fence uint64, number uint64, counts string) {
	life, answer := m.life, 2*time.Millisecond
	if w.rnd.IntN(10) == 0 {
		answer += time.Duration(w.rnd.IntN(1500)) * time.Millisecond
	}
	lost := w.cuts[[2]int{m.i, outside}] > 0 || w.cuts[[2]int{outside, m.i}] > 0 || w.rnd.IntN(50) == 0
	back := func(err error) {
		if m.life == life {
			m.take(toDuty{event: singleton.PlatformAnswered{Err: err}})
		}
	}
	if w.cuts[[2]int{m.i, outside}] <= 0 {
		way := time.Millisecond
		if w.broken == "calls to the platform wait" && w.rnd.IntN(4) == 0 {
			way = 5 * time.Second
		}
		w.in(way, func() { w.platform.accept(w, m, subject, fence, number, counts) })
	}
	if lost || answer > within {
		w.in(within, func() { back(errSlow) })
		return
	}
	w.in(answer, func() { back(nil) })
}

// accept takes a call.
func (p *platform) accept(w *world, m *machine, subject string, fence, number uint64, counts string) {
	if subject == "usage" {
		before, known := p.usage[number]
		switch {
		case !known:
			p.usage[number] = counts
		case before == counts:
			return // an exact repeat
		default:
			w.breaks("ONE", "window %d is reported as %s by %s, and was as %s", number, counts, m.name, before)
		}
	}
	key := fmt.Sprint(subject, "/", fence)
	if other, known := p.holders[key]; known && other != m.name {
		w.breaks("ONE", "%s and %s have both sent fence %d for %s", other, m.name, fence, subject)
	}
	p.holders[key], w.core.acted = m.name, m
	if w.now-m.healed < thaw {
		return
	}
	if fence < p.fences[subject] {
		w.breaks("ONE", "%s sends fence %d for %s, which has seen %d", m.name, fence, subject, p.fences[subject])
	}
	p.fences[subject] = max(p.fences[subject], fence)
	p.acts[subject] = append(p.acts[subject], act{m.name, w.now})
	acts := p.acts[subject]
	other := false
	for i := len(acts) - 1; i >= 0 && w.now-acts[i].at < lease; i-- {
		if other = other || acts[i].holder != m.name; other && acts[i].holder == m.name {
			w.breaks("ONE", "%s acts for %s %v after it had, and another in between", m.name, subject, w.now-acts[i].at)
		}
	}
	p.acts[subject] = acts[max(len(acts)-64, 0):]
}

// duties makes a keeper's part in them.
func (m *machine) duties(self replog.Member, fresh bool, next uint64) {
	w := m.w
	c := singleton.Config{
		Self: self, NeverGranted: fresh && next == 0, LeaseDuration: lease, UsageWindow: window, UsageDelay: delay, RouterWindow: limits.RouterReportRetention, ReportsUsage: true, ScalesEngines: true,
		Incarnation: w.rnd.Uint64(), CandidacyDelay: time.Duration(self.ID%1000) * time.Millisecond, Peers: m.others, Services: m.services, MembershipPending: m.core.MembershipPending,
	}
	m.duty = singleton.New(w.now, c)
	life := m.life
	var tick func()
	tick = func() {
		if m.life == life {
			m.take(toDuty{event: singleton.Tick{}})
			w.in(limits.SingletonTickInterval, tick)
		}
	}
	w.in(limits.SingletonTickInterval, tick)
}

// others are the keepers that are known here.
func (m *machine) others() (all []netip.AddrPort) {
	for _, p := range m.news.Gossip.Replicas() {
		all = append(all, p.Addr)
	}
	return all
}

// services lists the only one, as this machine knows its engines.
func (m *machine) services() []autoscale.Service {
	s := autoscale.Service{Name: "s", Bounds: autoscale.Bounds{Min: 1, Max: 20}, Ready: map[string]int{}, Slots: 4}
	for _, e := range m.news.Endpoints.Live("s") {
		if s.Ready[e.Zone] += 0; e.State == endpoints.StateReady {
			s.Ready[e.Zone]++
		}
	}
	return []autoscale.Service{s}
}

// owe does what a keeper's part in the duties asks for. request is what a reply answers, if there is one.
func (m *machine) owe(effects []singleton.Effect, request replica.RequestID) {
	w := m.w
	for _, f := range effects {
		switch f := f.(type) {
		case singleton.SendCall:
			life := m.life
			w.call(m, replica.SendCall{To: f.To, Kind: replica.CallKind(f.Kind), Body: f.Body, Timeout: f.Timeout}, func(body []byte, err error) {
				if m.life == life {
					m.take(toDuty{event: singleton.CallReturned{ID: f.ID, Body: body, Err: err}})
				}
			})
		case singleton.SendReply:
			w.back(m, replica.SendReply{Request: request, Body: f.Body, Err: f.Err})
		case singleton.Propose:
			life := m.life
			id := m.proposals.Add(func(err error) {
				if m.life == life {
					m.take(toDuty{event: singleton.ProposalDone{Err: err}})
				}
			})
			m.queue = append(m.queue, replica.Propose{Next: f.Next, Deadline: w.now + f.Timeout, Request: id})
		case singleton.ReportUsage:
			w.toPlatform(m, f.Timeout, "usage", f.FencingToken, f.Window, fmt.Sprint(f.Counts))
		case singleton.ScaleEngines:
			w.report.Orders++
			w.toPlatform(m, f.Timeout, f.Service+"/"+f.Zone, f.FencingToken, 0, "")
		}
	}
}

// reports has a router count requests and tell every keeper, twice a second.
func (w *world) reports(m *machine) {
	w.in(limits.RouterReportInterval, func() {
		w.reports(m)
		if !m.up || m.frozen {
			return
		}
		for range w.rnd.IntN(4) {
			tenant := fmt.Sprint("t", w.rnd.IntN(3))
			m.meter.CountRequest(m.wall(), tenant)
			w.began[usage.WindowAt(epoch.Add(w.now), window)]++
		}
		keepers := m.news.Gossip.Replicas()
		ids := make([]uint64, len(keepers))
		for i, k := range keepers {
			ids[i] = uint64(k.ID)
		}
		life := m.life
		for i, p := range m.meter.Reports(m.wall(), []usage.Load{{Service: "s", Running: uint64(w.rnd.IntN(400)), Arrived: uint64(w.now / time.Second)}}, ids) {
			w.call(m, replica.SendCall{To: keepers[i].Addr, Kind: replica.CallKind(singleton.CallUsageReport), Body: p.Encode(), Timeout: limits.ReplicaFailoverTimeout}, func(body []byte, err error) {
				if m.life != life {
					return
				}
				m.take(discovery.Gossip{Event: gossip.CallCompleted{PeerID: keepers[i].ID, Answered: err == nil}})
				if word, bad := usage.DecodeAck(body); err == nil && bad == nil {
					m.meter.HandleAck(uint64(keepers[i].ID), word, &p)
				}
			})
		}
	})
}

// owed counts the windows that were due by now, and those of them that the platform has not been told of. The last one was
// due in calm.
func (w *world) owed() {
	last := usage.WindowAt(epoch.Add(w.now-delay), window) - 1
	for number, n := range w.began {
		if number > last || n == 0 {
			continue
		}
		w.report.Windows++
		if _, told := w.platform.usage[number]; !told {
			w.report.Untold++
			if number == last {
				w.breaks("DUTY", "window %d is over for %v, in calm, and not reported", number, w.now-usage.WindowEnd(number, window).Sub(epoch))
			}
		}
	}
}
