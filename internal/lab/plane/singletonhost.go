package plane

import (
	"fmt"
	"net/netip"
	"time"

	"notchhinge/internal/control/autoscale"
	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/control/singleton"
	"notchhinge/internal/control/usage"
	"notchhinge/internal/limits"
)

// Figures of the singleton roles, as the platform gives them.
const (
	leaseDuration = 3 * time.Second
	usageWindow   = 5 * time.Second
	usageDelay    = 10 * time.Second
)

// epoch is the time of day at a day's start.
var epoch = time.Unix(1_700_000_000, 0)

// wall is the time of day as a machine has it.
func (m *machine) wall() time.Time { return epoch.Add(m.w.now + m.step) }

// singletonEvent is an event for a replica's Controller.
type singletonEvent struct {
	event   singleton.Event
	request replica.RequestID // of a call, which the reply names
}

// startSingleton starts a replica's part in the singleton roles. neverGranted says that it cannot have granted a lease before.
func (m *machine) startSingleton(self replog.Member, neverGranted bool) {
	w := m.w
	m.singleton = singleton.New(w.now, singleton.Config{
		Self: self, NeverGranted: neverGranted, LeaseDuration: leaseDuration, CandidacyDelay: time.Duration(self.ID%1000) * time.Millisecond,
		UsageWindow: usageWindow, UsageDelay: usageDelay, RouterWindow: limits.RouterReportRetention, ReportsUsage: true, ScalesEngines: true,
		Incarnation: w.rnd.Uint64(), Peers: m.others, Services: m.services, MembershipPending: m.core.MembershipPending,
	})
	life := m.life
	var tick func()
	tick = func() {
		if m.life == life {
			m.take(singletonEvent{event: singleton.Tick{}})
			w.in(limits.SingletonTickInterval, tick)
		}
	}
	w.in(limits.SingletonTickInterval, tick)
}

// others are the replicas that are known here.
func (m *machine) others() []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, p := range m.news.Gossip.Replicas() {
		addrs = append(addrs, p.Addr)
	}
	return addrs
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

// reduceSingleton has the Controller take in an event, and carries out the effects.
func (m *machine) reduceSingleton(e singletonEvent) {
	w, life, s := m.w, m.life, m.core.State()
	// later takes in the outcome of an effect, unless the process has ended.
	later := func(outcome singleton.Event) {
		if m.life == life {
			m.take(singletonEvent{event: outcome})
		}
	}
	for _, f := range append([]singleton.Effect(nil), m.singleton.Reduce(w.now, m.wall(), &s, e.event)...) {
		switch f := f.(type) {
		case singleton.SendCall:
			call := replica.SendCall{To: f.To, Kind: f.Kind, Body: f.Body, Timeout: f.Timeout}
			w.call(m, call, func(body []byte, err error) { later(singleton.CallReturned{ID: f.ID, Body: body, Err: err}) })
		case singleton.SendReply:
			w.back(m, replica.SendReply{Request: e.request, Body: f.Body, Err: f.Err})
		case singleton.Propose:
			id := m.proposals.Add(func(err error) {
				w.notifyUsageStep(m, usageAgreed)
				later(singleton.ProposalDone{Err: err})
			})
			m.queue = append(m.queue, replica.Propose{Next: f.Next, Deadline: w.now + f.Timeout, Request: id})
			w.notifyUsageStep(m, usageProposed)
		case singleton.ReportUsage:
			w.callPlatform(m, f.Timeout, platformCall{subject: usageSubject, token: f.FencingToken, window: f.Window, counts: fmt.Sprint(f.Counts)})
			w.notifyUsageStep(m, usageSent)
		case singleton.ScaleEngines:
			w.report.Orders++
			w.callPlatform(m, f.Timeout, platformCall{subject: f.Service + "/" + f.Zone, token: f.FencingToken})
		}
	}
}

// reportUsage has a router count requests and report to every replica, twice a second.
func (w *world) reportUsage(m *machine) {
	w.in(limits.RouterReportInterval, func() {
		w.reportUsage(m)
		if !m.up || m.frozen {
			return
		}
		m.countRequests()
		m.sendReports()
	})
}

// countRequests has a router count requests: a few of three tenants, or of the next ones of the day's so that each has one in
// every window.
func (m *machine) countRequests() {
	w := m.w
	count := func(tenant int) {
		m.meter.CountRequest(m.wall(), fmt.Sprint("t", tenant))
		w.began[usage.WindowAt(epoch.Add(w.now), usageWindow)]++
	}
	if w.day.Tenants == 0 {
		for range w.rnd.IntN(4) {
			count(w.rnd.IntN(3))
		}
		return
	}
	const reportsPerWindow = int(usageWindow / limits.RouterReportInterval)
	for range w.day.Tenants/reportsPerWindow + 1 {
		count(m.nextTenant % w.day.Tenants)
		m.nextTenant++
	}
}

// usageStep is a step of a lease holder towards the report of a usage window.
type usageStep string

// The steps: an entry is proposed, which may be that of a lease; its outcome is known; the report is sent; the platform has it.
const (
	usageProposed usageStep = "proposed"
	usageAgreed   usageStep = "agreed"
	usageSent     usageStep = "sent"
	usageAccepted usageStep = "accepted"
)

// notifyUsageStep tells a test of a step.
func (w *world) notifyUsageStep(m *machine, step usageStep) {
	if w.onUsageStep != nil {
		w.onUsageStep(m, step)
	}
}

// sendReports makes a report to each replica that a router knows.
func (m *machine) sendReports() {
	w, life, replicas := m.w, m.life, m.news.Gossip.Replicas()
	ids := make([]uint64, len(replicas))
	for i, r := range replicas {
		ids[i] = uint64(r.ID)
	}
	loads := []usage.Load{{Service: "s", Running: uint64(w.rnd.IntN(400)), Arrived: uint64(w.now / time.Second)}}
	for i, p := range m.meter.Reports(m.wall(), loads, ids) {
		call := replica.SendCall{
			To: replicas[i].Addr, Kind: rpc.KindUsageReport, Body: p.Encode(), Timeout: limits.ReplicaFailoverTimeout,
		}
		w.call(m, call, func(body []byte, err error) {
			if m.life != life {
				return
			}
			m.take(discovery.Gossip{Event: gossip.CallCompleted{PeerID: replicas[i].ID, Answered: err == nil}})
			if ack, decodeErr := usage.DecodeAck(body); err == nil && decodeErr == nil {
				m.meter.HandleAck(ids[i], ack, &p)
			}
		})
	}
}
