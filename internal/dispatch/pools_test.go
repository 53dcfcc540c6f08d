package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/limits"
	"notchhinge/internal/quota"
	"notchhinge/policy"
)

// newTwoPoolFixture gives a rig two newTwoPoolFixture more, 1 and 2, and takes the first away.
func newTwoPoolFixture(t *testing.T, change func(*limits.Limits)) *fixture {
	r := newFixture(t, 0, change)
	r.Reduce(r.now, ConfigurePool{
		Pool: 1, Name: "one", Module: newModule(t), SlowStart: 10 * sec, SlowStartInitial: 0.5, RequestQuota: quota.Claim{Guarantee: 2, Max: 3},
		RetryAfter: 700 * time.Millisecond,
	})
	r.Reduce(r.now, ConfigurePool{Pool: 2, Name: "two", Module: newModule(t), SlowStart: 10 * sec, SlowStartInitial: 0.5, RequestQuota: quota.Claim{Guarantee: 2}})
	r.Reduce(r.now, EndPool{Pool: 0})
	return r
}

func fullList(pool hoststate.PoolID, names ...string) EndpointsListed {
	l := EndpointsListed{Pool: pool, Kind: policy.ListFull}
	for _, n := range names {
		l.Hosts = append(l.Hosts, Host{Name: n, Addr: "at " + n, Weight: 1, StartedAt: 1})
	}
	return l
}

func inPool(pool hoststate.PoolID, request RequestReceived) RequestReceived {
	request.Pool = pool
	return request
}

func TestOneClientRequestIDInTwoPools(t *testing.T) {
	r := newTwoPoolFixture(t, nil)
	r.reduce(0, fullList(1, "a"))
	r.reduce(0, fullList(2, "b"))
	x, y, z := requestFrom("x", r.now, sec), requestFrom("y", r.now, sec), requestFrom("z", r.now, sec)
	x.ClientRequestID, y.ClientRequestID, z.ClientRequestID = "id", "id", "id"
	r.expect(0, inPool(1, x), "send 1.0 for 1s")
	r.expect(0, inPool(2, y), "send 2.0 for 1s")
	r.expect(0, inPool(1, z), "reject z duplicate after 0s")
	r.expect(0, AttemptStarted{AttemptID{1, 0}}, "bind 1.0")
	r.expect(0, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultOK})
	r.expect(0, inPool(2, z), "reject z duplicate after 0s") // the other is open still
}

func TestPoolAtItsLimitRejectsWhileTheOtherServes(t *testing.T) {
	r := newTwoPoolFixture(t, func(l *limits.Limits) { l.ConcurrentRequests = 5 })
	r.reduce(0, fullList(1, "a", "b"))
	r.reduce(0, fullList(2, "c", "d"))
	for i := range 3 {
		r.reduce(0, inPool(1, requestFrom(fmt.Sprint("x", i), r.now, sec)))
	}
	r.expect(0, inPool(1, requestFrom("x3", r.now, sec)), "reject x3 rejected after 700ms")
	for i := range 2 {
		r.expect(0, inPool(2, requestFrom(fmt.Sprint("y", i), r.now, sec)), fmt.Sprintf("send %d.0 for 1s", 4+i))
	}
	r.expect(0, inPool(2, requestFrom("y2", r.now, sec)), "reject y2 rejected after 500ms") // all five are out
	c := r.countersReport(nil)
	if len(c.Pools) != 2 || c.Pools[0].Open != 3 || c.Pools[1].Open != 2 || c.Counters.RejectedByFrontend != 2 || c.Counters.Received != 5 {
		t.Errorf("%+v", c)
	}
}

func TestEndedPoolIsRemovedWithItsLastRequest(t *testing.T) {
	r := newTwoPoolFixture(t, nil)
	r.reduce(0, fullList(1, "a", "b"))
	r.expect(0, inPool(1, requestFrom("x", r.now, 4*sec)), "send 1.0 for 4s")
	r.expect(0, EndPool{Pool: 1})
	// What was led to it before the routes changed is taken, and tried again by its rules.
	r.expect(0, inPool(1, requestFrom("y", r.now, 4*sec)), "send 2.0 for 4s")
	r.expect(0, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultConnectFailed}, "send 1.1 for 4s")
	for _, id := range []AttemptID{{1, 1}, {2, 0}} {
		r.reduce(0, AttemptStarted{id})
		if r.pools[1] == nil {
			t.Fatal("it went before its streams")
		}
		r.reduce(0, AttemptEnded{Attempt: id, Result: policy.ResultOK})
	}
	if r.pools[1] != nil {
		t.Error("it is still there")
	}
	r.expect(0, inPool(1, requestFrom("z", r.now, 4*sec)), "reject z rejected after 500ms")
	if c := r.countersReport(nil).Counters; c.Received != 2 || c.Served != 2 || c.RejectedByFrontend != 1 {
		t.Errorf("the counters of what has gone: %+v", c)
	}
	r.expect(time.Minute, Tick{}) // its module's timers are nobody's
}

func TestDrainInOnePoolStopsBoth(t *testing.T) {
	r := newTwoPoolFixture(t, nil)
	r.reduce(0, fullList(1, "shared"))
	r.reduce(0, fullList(2, "shared"))
	r.expect(0, inPool(2, requestFrom("x", r.now, 4*sec)), "send 1.0 for 4s")
	gone := fullList(1, "shared")
	gone.Kind, gone.Hosts[0].State = policy.ListDelta, policy.StateDraining
	r.expect(0, gone)
	r.reduce(0, fullList(2, "shared")) // its own discovery is behind
	r.expect(sec, inPool(2, requestFrom("y", r.now+sec, 4*sec)), "reject y rejected after 500ms")
	again := fullList(2, "shared")
	again.Hosts[0].StartedAt = 2
	r.reduce(sec, again) // another process
	r.expect(sec, inPool(2, requestFrom("z", r.now+sec, 4*sec)), "send 3.0 for 4s")
}

func TestResetIsSeenByBothPools(t *testing.T) {
	r := newTwoPoolFixture(t, nil)
	r.reduce(0, fullList(1, "shared", "mine"))
	r.reduce(0, fullList(2, "shared", "other", "third", "fourth"))
	e := requestFrom("x", r.now, 4*sec)
	for e.Request.Session = 1; ; e.Request.Session++ { // one whose conversation is drawn to the shared host
		var to string
		for _, f := range r.Reduce(r.now, inPool(1, e)) {
			if s, ok := f.(StartAttempt); ok {
				to = s.Addr
			}
		}
		if to == "at shared" {
			break
		}
		r.reduce(0, ClientLeft{"x"})
		r.reduce(0, AttemptEnded{Attempt: AttemptID{r.lastRequestID, 0}, Result: policy.ResultCancelled})
	}
	r.reduce(0, AttemptEnded{Attempt: AttemptID{r.lastRequestID, 0}, Result: policy.ResultReset})
	for i := range 60 {
		for _, f := range r.Reduce(r.now, inPool(2, RequestReceived{Client: i, ReceivedAt: r.now, Request: policy.Request{Session: uint64(i + 1), Timeout: sec}})) {
			if s, ok := f.(StartAttempt); ok && s.Addr == "at shared" {
				t.Fatal("the other pool sends to a host that reset a connection just now")
			}
		}
	}
}

// TestColdHostGetsItsShareFromBothPools: what both modules send a host that has just started stays, in any window, within the
// share of both pools' traffic and the one request that may be saved up.
func TestColdHostGetsItsShareFromBothPools(t *testing.T) {
	const share = 0.5 // it warms up so slowly that it stays at that
	rapid.Check(t, func(t *rapid.T) {
		b, now := New(limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 4096}, limits.Site{MaxAttempts: 3})), 1000*sec
		var hostCounts [2]float64
		for i := range hostCounts {
			set := testSettings()
			set.SlowStartInitial, set.SlowStart = share, 1000*time.Hour
			m, err := policy.New(set, rapid.Uint64().Draw(t, "seed"))
			if err != nil {
				t.Fatal(err)
			}
			id := hoststate.PoolID(i + 1)
			b.Reduce(now, ConfigurePool{Pool: id, Name: fmt.Sprint(i), Module: m, SlowStart: set.SlowStart, SlowStartInitial: set.SlowStartInitial})
			l := fullList(id, "shared")
			for k := range rapid.IntRange(1, 3).Draw(t, "own hosts") {
				l.Hosts = append(l.Hosts, fullList(id, fmt.Sprint("own ", i, k)).Hosts...)
			}
			l.Hosts[0].StartedAt = now
			hostCounts[i] = float64(len(l.Hosts))
			b.Reduce(now, l)
		}
		excess, minExcess := 0.0, 0.0 // what was sent less what the traffic allows, since the start, and the least that it was
		for n := range rapid.IntRange(1, 200).Draw(t, "calls") {
			now += time.Millisecond
			p := rapid.IntRange(0, 1).Draw(t, "pool")
			excess -= share / hostCounts[p]
			for _, f := range b.Reduce(now, RequestReceived{Client: n, Pool: hoststate.PoolID(p + 1), ReceivedAt: now, Request: policy.Request{Session: uint64(n + 1), Timeout: sec}}) {
				if s, ok := f.(StartAttempt); ok && s.Addr == "at shared" {
					excess++
				}
			}
			if excess-minExcess > 1+1e-3 {
				t.Fatalf("by call %d %.3f more than allowed was sent in some window", n+1, excess-minExcess-1)
			}
			minExcess = min(minExcess, excess)
		}
	})
}

// TestPoolsTakeTurnsWhenOneFloods: requests of one pool that wait do not stand before another's, and one whose
// client leaves while it waits is taken first.
func TestPoolsTakeTurnsWhenOneFloods(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTwoPoolFixture(t, nil)
		var order []string
		l := NewLoop(r.Dispatcher, func() time.Duration { return r.now }, func(e Effect) {
			if d, ok := e.(Reject); ok {
				order = append(order, d.Client.(string))
			}
		})
		l.isFair.Store(true)
		for i := range 100 {
			l.Post(inPool(1, requestFrom(fmt.Sprint("x", i), r.now, sec)))
		}
		l.Post(inPool(2, requestFrom("y", r.now, sec)))
		l.Post(ClientLeft{Client: "x99"})
		go l.Run(t.Context())
		synctest.Wait()
		at := map[string]int{}
		for i, s := range order {
			at[s] = i
		}
		if len(order) != 101 || at["y"] > 2 {
			t.Errorf("%d answers; the other pool's was number %d", len(order), at["y"]+1)
		}
	})
}

// TestPoolsKeepTheRules plays random pools, lists, reloads and outcomes against the dispatcher: one final answer to each
// request; an attempt only to a host of its pool's own list, and for an request of that pool; nothing new to a
// host 500 ms after any list said that it ends; nothing left at the end.
func TestPoolsKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPoolsModel(t)
		m.addPool()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			m.step()
		}
		m.endAll()
	})
}

// modelRequest is a request of the model.
type modelRequest struct {
	pool    hoststate.PoolID
	answers int
	left    bool
}

// processEnd is the end of the latest process at a host that any list reported.
type processEnd struct {
	at         time.Duration
	startedAt  time.Duration
	reportedBy hoststate.PoolID
	state      policy.State
}

// poolsModel plays up to three pools that share five hosts, and checks each effect against what lists and clients said.
type poolsModel struct {
	t           *rapid.T
	dispatcher  *Dispatcher
	limits      limits.Limits
	now         time.Duration
	requests    map[int]*modelRequest
	lastRequest int
	attempts    map[AttemptID]int // the call that each is for
	running     []AttemptID
	lists       map[hoststate.PoolID]map[string]Host
	pools       []hoststate.PoolID // that requests are routed to
	nextPool    hoststate.PoolID
	startTimes  map[[2]any]time.Duration
	ends        map[string]processEnd
}

func newPoolsModel(t *rapid.T) *poolsModel {
	lim := limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 128},
		limits.Site{ConnectTimeout: sec / 10, UpstreamIdleClose: 5 * sec, MaxAttempts: 3, MaxDeadline: 10 * sec})
	lim.ConcurrentRequests = 12
	return &poolsModel{
		t: t, dispatcher: New(lim), limits: lim, now: 1000 * sec, requests: map[int]*modelRequest{}, attempts: map[AttemptID]int{},
		lists: map[hoststate.PoolID]map[string]Host{}, startTimes: map[[2]any]time.Duration{}, ends: map[string]processEnd{},
	}
}

func (m *poolsModel) step() {
	t := m.t
	switch rapid.IntRange(0, 11).Draw(t, "step") {
	case 0:
		m.reconfigure()
	case 1, 2, 3:
		m.updateList()
	case 4, 5, 6, 7:
		m.sendRequest()
	case 8:
		if len(m.running) > 0 {
			m.reduce(AttemptStarted{rapid.SampledFrom(m.running).Draw(t, "attempt")})
		}
	case 9, 10:
		if len(m.running) > 0 {
			id := rapid.SampledFrom(m.running).Draw(t, "attempt")
			m.endAttempt(id, policy.Result(rapid.IntRange(0, 6).Draw(t, "result")))
		}
	case 11:
		if m.lastRequest > 0 {
			c := rapid.IntRange(1, m.lastRequest).Draw(t, "who")
			if m.requests[c].answers == 0 {
				m.requests[c].left = true
			}
			m.reduce(ClientLeft{Client: c})
		}
	}
}

// reduce checks every effect of an event.
func (m *poolsModel) reduce(e Event) {
	for _, f := range m.dispatcher.Reduce(m.now, e) {
		switch f := f.(type) {
		case StartAttempt:
			m.checkAttempt(f)
			m.attempts[f.Attempt] = f.Client.(int)
			m.running = append(m.running, f.Attempt)
		case BindAttempt:
			m.requests[m.attempts[f.Attempt]].answers++
		case Reject:
			m.requests[f.Client.(int)].answers++
		case PoolEnded:
			m.checkPoolEnded(f.Pool)
			delete(m.lists, f.Pool)
		}
	}
	for name := range m.ends { // a host that no pool has is forgotten
		if !isListed(m.lists, name) {
			delete(m.ends, name)
		}
	}
	for id, c := range m.requests {
		if c.answers > 1 {
			m.t.Fatalf("%d has %d final answers", id, c.answers)
		}
	}
}

func (m *poolsModel) checkAttempt(f StartAttempt) {
	c := m.requests[f.Client.(int)]
	h, isListed := m.lists[f.Pool][f.Addr]
	if c == nil || c.pool != f.Pool || !isListed || c.answers > 0 || c.left {
		m.t.Fatalf("an attempt of pool %d to %s for %+v; its list: %v", f.Pool, f.Addr, c, m.lists[f.Pool])
	}
	end, hasEnded := m.ends[f.Addr]
	if hasEnded && m.now >= end.at+sec/2 && h.StartedAt <= end.startedAt && m.now < end.at+m.limits.DrainPrecedence {
		m.t.Fatalf("an attempt to %s, %v after its end was listed", f.Addr, m.now-end.at)
	}
}

func (m *poolsModel) checkPoolEnded(pool hoststate.PoolID) {
	for _, c := range m.requests {
		if c.pool == pool && c.answers == 0 && !c.left {
			m.t.Fatalf("pool %d ended before its requests", pool)
		}
	}
}

func (m *poolsModel) endAttempt(id AttemptID, r policy.Result) {
	if i := slices.Index(m.running, id); i >= 0 {
		m.running = slices.Delete(slices.Clone(m.running), i, i+1)
	}
	m.reduce(AttemptEnded{Attempt: id, Result: r})
}

func (m *poolsModel) addPool() {
	s := testSettings()
	s.Limits.MaxAttempts = rapid.IntRange(1, 3).Draw(m.t, "attempts")
	module, err := policy.New(s, rapid.Uint64().Draw(m.t, "seed"))
	if err != nil {
		m.t.Fatal(err)
	}
	m.lists[m.nextPool] = map[string]Host{}
	m.pools = append(m.pools, m.nextPool)
	m.reduce(ConfigurePool{
		Pool: m.nextPool, Name: fmt.Sprint("p", m.nextPool), Module: module, SlowStart: sec, SlowStartInitial: 0.5,
		RequestQuota: quota.Claim{
			Guarantee: int64(rapid.IntRange(0, 3).Draw(m.t, "guarantee")), Max: int64(rapid.IntRange(3, 12).Draw(m.t, "most")),
		},
	})
	m.nextPool++
}

// reconfigure adds a pool, ends one, or changes a claim.
func (m *poolsModel) reconfigure() {
	switch {
	case len(m.pools) < 3 && rapid.Bool().Draw(m.t, "more"):
		m.addPool()
	case len(m.pools) > 1:
		i := rapid.IntRange(0, len(m.pools)-1).Draw(m.t, "which")
		m.reduce(EndPool{Pool: m.pools[i]})
		m.pools = slices.Delete(slices.Clone(m.pools), i, i+1)
	default:
		claim := quota.Claim{Max: int64(rapid.IntRange(1, 12).Draw(m.t, "most"))}
		m.reduce(ConfigurePool{Pool: m.pools[0], Name: "again", RequestQuota: claim})
	}
}

// updateList has one pool's updateList say something of some of the hosts.
func (m *poolsModel) updateList() {
	pool := rapid.SampledFrom(m.pools).Draw(m.t, "pool")
	l := EndpointsListed{Pool: pool, Kind: policy.ListDelta}
	if rapid.IntRange(0, 3).Draw(m.t, "whole") == 0 {
		l.Kind = policy.ListFull
	}
	for i := range 5 {
		if !rapid.Bool().Draw(m.t, "in it") {
			continue
		}
		name := fmt.Sprint("b", i)
		h := Host{
			Name: name, Addr: name, Weight: 1, State: policy.State(rapid.IntRange(0, 2).Draw(m.t, "state")),
			StartedAt: time.Duration(rapid.IntRange(1, 2).Draw(m.t, "born")),
		}
		key := [2]any{pool, name}
		h.StartedAt = max(h.StartedAt, m.startTimes[key]) // no discovery goes back to an earlier process
		m.startTimes[key] = h.StartedAt
		l.Hosts = append(l.Hosts, h)
		m.recordEnd(pool, &h)
	}
	if l.Kind == policy.ListFull {
		clear(m.lists[pool])
	}
	for _, h := range l.Hosts {
		m.lists[pool][h.Name] = h
		if h.State == policy.StateGone {
			delete(m.lists[pool], h.Name)
		}
	}
	m.reduce(l)
}

// recordEnd notes that a list says that a process ends, or that another one is there.
func (m *poolsModel) recordEnd(pool hoststate.PoolID, h *Host) {
	previous, wasListed := m.lists[pool][h.Name]
	startedAt := h.StartedAt
	if h.State == policy.StateGone {
		startedAt = previous.StartedAt
	}
	end, hasEnded := m.ends[h.Name]
	switch {
	case h.State == policy.StateDraining || h.State == policy.StateGone && wasListed:
		if !hasEnded || startedAt > end.startedAt || startedAt == end.startedAt && h.State > end.state {
			m.ends[h.Name] = processEnd{m.now, startedAt, pool, h.State}
		}
	case h.State != policy.StateReady:
	case startedAt > end.startedAt || m.now > end.at+m.limits.DrainPrecedence || pool == end.reportedBy:
		delete(m.ends, h.Name)
	}
}

// sendRequest has a request arrive, by routes that may be of an earlier configuration.
func (m *poolsModel) sendRequest() {
	pool := hoststate.PoolID(rapid.IntRange(0, int(m.nextPool)-1).Draw(m.t, "pool"))
	m.lastRequest++
	m.requests[m.lastRequest] = &modelRequest{pool: pool}
	m.reduce(RequestReceived{
		Client: m.lastRequest, Pool: pool, ClientRequestID: fmt.Sprint(m.lastRequest % 7), ReceivedAt: m.now,
		Request: policy.Request{Session: uint64(rapid.IntRange(0, 5).Draw(m.t, "session")), Timeout: 2 * sec},
	})
}

// endAll ends everything, and checks that nothing is left.
func (m *poolsModel) endAll() {
	m.now += 20 * sec
	m.reduce(Tick{})
	for len(m.running) > 0 {
		m.endAttempt(m.running[0], policy.ResultOK)
	}
	for id, c := range m.requests {
		if c.answers == 0 && !c.left {
			m.t.Fatalf("%d of pool %d has no answer", id, c.pool)
		}
	}
	for _, p := range m.pools {
		m.reduce(EndPool{Pool: p})
	}
	d := m.dispatcher
	if len(d.pools)+len(d.requests)+len(d.byClient)+len(d.clientRequests)+d.sharedHostCount() != 0 || d.requestQuota.Used() != 0 {
		m.t.Fatalf("left: %d pools, %d requests, %d ids, %d hosts, %d reserved", len(d.pools), len(d.requests),
			len(d.clientRequests), d.sharedHostCount(), d.requestQuota.Used())
	}
	if d.OpenRequests() != 0 {
		m.t.Fatalf("%d requests are open", d.OpenRequests())
	}
}

func isListed(lists map[hoststate.PoolID]map[string]Host, name string) bool {
	for _, l := range lists {
		if _, in := l[name]; in {
			return true
		}
	}
	return false
}

func (d *Dispatcher) sharedHostCount() int {
	if d.sharedHosts == nil {
		return 0
	}
	return d.sharedHosts.Len()
}
