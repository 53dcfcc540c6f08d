package check

import (
	"net/netip"
	"time"

	"notchhinge/internal/control/autoscale"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/control/singleton"
	"notchhinge/internal/control/usage"
	"notchhinge/internal/limits"
)

// leaseDuration is the duration of the leases that hosts grant.
const leaseDuration = 3 * time.Second

// singletonHost runs the singleton.Controller of a host. As lease holder, the Controller scales one service, whose wanted
// size changes every second. A singletonHost ends with its process.
type singletonHost struct {
	*host
	controller *singleton.Controller
	config     singleton.Config
	wasVoter   bool // at the last event
}

// startSingleton starts the host's singleton.Controller.
func (h *host) startSingleton(peers []netip.AddrPort) {
	s := h.cluster
	c := &singletonHost{host: h, wasVoter: h.state.Member(h.id) != nil, config: singleton.Config{
		Self: h.member(), Incarnation: s.lastID, LeaseDuration: leaseDuration, CandidacyDelay: time.Duration(h.id) * 100 * time.Millisecond,
		UsageWindow: 5 * time.Second, UsageDelay: 10 * time.Second, RouterWindow: limits.RouterReportRetention, ScalesEngines: true,
		Peers: func() []netip.AddrPort { return peers },
		Services: func() []autoscale.Service {
			n := 1 + int(s.now/time.Second)%9
			return []autoscale.Service{{Name: "s", Bounds: autoscale.Bounds{Min: n, Max: n}, Ready: map[string]int{"z": 1}, Slots: 4}}
		},
	}}
	if s.brokenRule != brokenPendingMembers {
		c.config.MembershipPending = h.replica.MembershipPending
	}
	c.controller = singleton.New(s.now, c.config)
	h.singleton = c
	s.after(time.Duration(s.draw(500))*time.Millisecond, c.tick)
}

// tick passes a router's usage report and a Tick to the Controller, and repeats this while the process runs.
func (c *singletonHost) tick() {
	if c.host.singleton != c {
		return
	}
	s := c.cluster
	report := usage.Report{Incarnation: 1, Loads: []usage.Load{{Service: "s", Running: 400, Arrived: uint64(s.now / time.Millisecond)}}}
	c.reduce(singleton.CallReceived{Kind: rpc.KindUsageReport, Body: report.Encode()})
	c.reduce(singleton.Tick{})
	s.after(limits.SingletonTickInterval, c.tick)
}

// reduce passes an event to the Controller, and carries out its effects. It returns the reply to a call.
func (c *singletonHost) reduce(e singleton.Event) (reply singleton.SendReply) {
	if c.host.singleton != c {
		return reply // its process has ended
	}
	s := c.cluster
	state := c.replica.State()
	isVoter := state.Member(c.id) != nil
	if isVoter && !c.wasVoter && s.brokenRule == brokenNewVoter {
		c.config.NeverGranted = true
		c.controller = singleton.New(s.now, c.config)
	}
	c.wasVoter = isVoter
	effects := c.controller.Reduce(s.now, time.Unix(0, 0).Add(s.now), &state, e)
	for _, f := range append([]singleton.Effect(nil), effects...) {
		switch f := f.(type) {
		case singleton.SendCall:
			call := replica.SendCall{To: f.To, Kind: f.Kind, Body: f.Body, Timeout: f.Timeout}
			s.call(c.host, call, func(body []byte, err error) {
				c.reduce(singleton.CallReturned{ID: f.ID, Body: body, Err: err})
			})
		case singleton.SendReply:
			reply = f
		case singleton.Propose:
			id := c.proposals.Add(func(err error) { c.reduce(singleton.ProposalDone{Err: err}) })
			c.handle(replica.Propose{Next: f.Next, Deadline: s.now + f.Timeout, Request: id})
		case singleton.ScaleEngines: // the platform is always reachable, and accepts every call
			s.after(time.Millisecond, func() {
				if violation := s.platform.accept(c.index, f.FencingToken); violation != "" {
					s.violate("%s", violation)
				}
			})
			s.after(2*time.Millisecond, func() { c.reduce(singleton.PlatformAnswered{}) })
		}
	}
	return reply
}
