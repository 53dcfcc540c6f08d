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

// Settings of the singleton roles, as on the platform.
const (
	leaseDuration = 3 * time.Second
	usageWindow   = 5 * time.Second
	usageDelay    = 10 * time.Second
)

// epoch is the wall-clock time at the start of a scenario.
var epoch = time.Unix(1_700_000_000, 0)

// wallClock returns the time of the wall clock of a machine.
func (m *machine) wallClock() time.Time { return epoch.Add(m.world.now + m.clockOffset) }

// singletonEvent is an event for the singleton controller of a replica.
type singletonEvent struct {
	event   singleton.Event
	request replica.RequestID // the call that the reply answers, if the event is one
}

// startSingleton starts the singleton controller of a replica. neverGranted states that it cannot have granted a lease before.
func (m *machine) startSingleton(self replog.Member, neverGranted bool) {
	w := m.world
	m.singleton = singleton.New(w.now, singleton.Config{
		Self: self, NeverGranted: neverGranted, LeaseDuration: leaseDuration, CandidacyDelay: time.Duration(self.ID%1000) * time.Millisecond,
		UsageWindow: usageWindow, UsageDelay: usageDelay, RouterWindow: limits.RouterReportRetention, ReportsUsage: true, ScalesEngines: true,
		Incarnation: w.rand.Uint64(), Peers: m.replicaAddrs, Services: m.services, MembershipPending: m.replica.MembershipPending,
	})
	incarnation := m.incarnation
	var tick func()
	tick = func() {
		if m.incarnation == incarnation {
			m.deliver(singletonEvent{event: singleton.Tick{}})
			w.schedule(limits.SingletonTickInterval, tick)
		}
	}
	w.schedule(limits.SingletonTickInterval, tick)
}

// replicaAddrs returns the addresses of the replicas that this machine knows.
func (m *machine) replicaAddrs() []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, p := range m.discovery.Gossip.Replicas() {
		addrs = append(addrs, p.Addr)
	}
	return addrs
}

// services returns the only service with the ready engines that this machine knows.
func (m *machine) services() []autoscale.Service {
	s := autoscale.Service{Name: "s", Bounds: autoscale.Bounds{Min: 1, Max: 20}, Ready: map[string]int{}, Slots: 4}
	for _, e := range m.discovery.Endpoints.Live("s") {
		if s.Ready[e.Zone] += 0; e.State == endpoints.StateReady {
			s.Ready[e.Zone]++
		}
	}
	return []autoscale.Service{s}
}

// reduceSingleton applies an event to the singleton controller and performs the effects.
func (m *machine) reduceSingleton(e singletonEvent) {
	w, incarnation, s := m.world, m.incarnation, m.replica.State()
	// later delivers the outcome of an effect, unless the process has ended.
	later := func(outcome singleton.Event) {
		if m.incarnation == incarnation {
			m.deliver(singletonEvent{event: outcome})
		}
	}
	for _, f := range append([]singleton.Effect(nil), m.singleton.Reduce(w.now, m.wallClock(), &s, e.event)...) {
		switch f := f.(type) {
		case singleton.SendCall:
			call := replica.SendCall{To: f.To, Kind: f.Kind, Body: f.Body, Timeout: f.Timeout}
			w.sendCall(m, call, func(body []byte, err error) { later(singleton.CallReturned{ID: f.ID, Body: body, Err: err}) })
		case singleton.SendReply:
			w.sendReply(m, replica.SendReply{Request: e.request, Body: f.Body, Err: f.Err})
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

// reportUsage makes a router count requests and send usage reports to every replica at a fixed interval.
func (w *world) reportUsage(m *machine) {
	w.schedule(limits.RouterReportInterval, func() {
		w.reportUsage(m)
		if !m.up || m.frozen {
			return
		}
		m.countRequests()
		m.sendReports()
	})
}

// countRequests counts a few requests of three random tenants, or, if the scenario sets Tenants, enough that each of them has
// requests in every window.
func (m *machine) countRequests() {
	w := m.world
	count := func(tenant int) {
		m.meter.CountRequest(m.wallClock(), fmt.Sprint("t", tenant))
		w.requestsByWindow[usage.WindowAt(epoch.Add(w.now), usageWindow)]++
	}
	if w.scenario.Tenants == 0 {
		for range w.rand.IntN(4) {
			count(w.rand.IntN(3))
		}
		return
	}
	const reportsPerWindow = int(usageWindow / limits.RouterReportInterval)
	for range w.scenario.Tenants/reportsPerWindow + 1 {
		count(m.nextTenant % w.scenario.Tenants)
		m.nextTenant++
	}
}

// usageStep is a step of a lease holder on the way to the report of a usage window.
type usageStep string

// The steps of a report. Proposals of other entries, such as leases, also count as usageProposed and usageAgreed.
const (
	usageProposed usageStep = "proposed" // an entry is proposed
	usageAgreed   usageStep = "agreed"   // the outcome of the proposal is known
	usageSent     usageStep = "sent"     // the report is sent
	usageAccepted usageStep = "accepted" // the platform has received the report
)

// notifyUsageStep calls the hook of a test, if set.
func (w *world) notifyUsageStep(m *machine, step usageStep) {
	if w.onUsageStep != nil {
		w.onUsageStep(m, step)
	}
}

// sendReports sends a usage report to each replica that a router knows.
func (m *machine) sendReports() {
	w, incarnation, replicas := m.world, m.incarnation, m.discovery.Gossip.Replicas()
	ids := make([]uint64, len(replicas))
	for i, r := range replicas {
		ids[i] = uint64(r.ID)
	}
	loads := []usage.Load{{Service: "s", Running: uint64(w.rand.IntN(400)), Arrived: uint64(w.now / time.Second)}}
	for i, p := range m.meter.Reports(m.wallClock(), loads, ids) {
		call := replica.SendCall{
			To: replicas[i].Addr, Kind: rpc.KindUsageReport, Body: p.Encode(), Timeout: limits.ReplicaFailoverTimeout,
		}
		w.sendCall(m, call, func(body []byte, err error) {
			if m.incarnation != incarnation {
				return
			}
			m.deliver(discovery.Gossip{Event: gossip.CallCompleted{PeerID: replicas[i].ID, Answered: err == nil}})
			if ack, decodeErr := usage.DecodeAck(body); err == nil && decodeErr == nil {
				m.meter.HandleAck(ids[i], ack, &p)
			}
		})
	}
}
