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

// newTwoPoolFixture returns a fixture with the pools 1 and 2 in place of pool 0.
func newTwoPoolFixture(t *testing.T, change func(*limits.Limits)) *fixture {
	f := newFixture(t, 0, change)
	f.Reduce(f.now, ConfigurePool{
		Pool: 1, Name: "one", Module: newModule(t), SlowStart: 10 * sec, SlowStartInitial: 0.5, RequestQuota: quota.Claim{Guarantee: 2, Max: 3},
		RetryAfter: 700 * time.Millisecond,
	})
	f.Reduce(f.now, ConfigurePool{Pool: 2, Name: "two", Module: newModule(t), SlowStart: 10 * sec, SlowStartInitial: 0.5, RequestQuota: quota.Claim{Guarantee: 2}})
	f.Reduce(f.now, EndPool{Pool: 0})
	return f
}

// fullList returns a full endpoint list of a pool, with one ready host for each name.
func fullList(pool hoststate.PoolID, names ...string) EndpointsListed {
	l := EndpointsListed{Pool: pool, Kind: policy.ListFull}
	for _, n := range names {
		l.Hosts = append(l.Hosts, Host{Name: n, Addr: "at " + n, Weight: 1, StartedAt: 1})
	}
	return l
}

// inPool returns the request with its pool set.
func inPool(pool hoststate.PoolID, request RequestReceived) RequestReceived {
	request.Pool = pool
	return request
}

func TestOneClientRequestIDInTwoPools(t *testing.T) {
	f := newTwoPoolFixture(t, nil)
	f.reduce(0, fullList(1, "a"))
	f.reduce(0, fullList(2, "b"))
	x, y, z := requestFrom("x", f.now, sec), requestFrom("y", f.now, sec), requestFrom("z", f.now, sec)
	x.ClientRequestID, y.ClientRequestID, z.ClientRequestID = "id", "id", "id"
	f.expect(0, inPool(1, x), "send 1.0 for 1s")
	f.expect(0, inPool(2, y), "send 2.0 for 1s")
	f.expect(0, inPool(1, z), "reject z duplicate after 0s")
	f.expect(0, AttemptStarted{AttemptID{1, 0}}, "bind 1.0")
	f.expect(0, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultOK})
	f.expect(0, inPool(2, z), "reject z duplicate after 0s") // the first one of that pool is still open
}

func TestPoolAtItsQuotaRejectsWhileAnotherServes(t *testing.T) {
	f := newTwoPoolFixture(t, func(l *limits.Limits) { l.ConcurrentRequests = 5 })
	f.reduce(0, fullList(1, "a", "b"))
	f.reduce(0, fullList(2, "c", "d"))
	for i := range 3 {
		f.reduce(0, inPool(1, requestFrom(fmt.Sprint("x", i), f.now, sec)))
	}
	f.expect(0, inPool(1, requestFrom("x3", f.now, sec)), "reject x3 rejected after 700ms")
	for i := range 2 {
		f.expect(0, inPool(2, requestFrom(fmt.Sprint("y", i), f.now, sec)), fmt.Sprintf("send %d.0 for 1s", 4+i))
	}
	f.expect(0, inPool(2, requestFrom("y2", f.now, sec)), "reject y2 rejected after 500ms") // all five requests of the router are open
	c := f.countersReport(nil)
	if len(c.Pools) != 2 || c.Pools[0].Open != 3 || c.Pools[1].Open != 2 || c.Counters.RejectedBeforeModule != 2 || c.Counters.Received != 5 {
		t.Errorf("%+v", c)
	}
}

func TestEndedPoolIsRemovedWithItsLastRequest(t *testing.T) {
	f := newTwoPoolFixture(t, nil)
	f.reduce(0, fullList(1, "a", "b"))
	f.expect(0, inPool(1, requestFrom("x", f.now, 4*sec)), "send 1.0 for 4s")
	f.expect(0, EndPool{Pool: 1})
	// A request that was routed to the pool before the routes changed is accepted, and retried as usual.
	f.expect(0, inPool(1, requestFrom("y", f.now, 4*sec)), "send 2.0 for 4s")
	f.expect(0, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultConnectFailed}, "send 1.1 for 4s")
	for _, id := range []AttemptID{{1, 1}, {2, 0}} {
		f.reduce(0, AttemptStarted{id})
		if f.pools[1] == nil {
			t.Fatal("the pool was removed while responses were streaming")
		}
		f.reduce(0, AttemptEnded{Attempt: id, Result: policy.ResultOK})
	}
	if f.pools[1] != nil {
		t.Error("the pool was not removed after its last request")
	}
	f.expect(0, inPool(1, requestFrom("z", f.now, 4*sec)), "reject z rejected after 500ms")
	if c := f.countersReport(nil).Counters; c.Received != 2 || c.Served != 2 || c.RejectedBeforeModule != 1 {
		t.Errorf("counters that include the ended pool: %+v", c)
	}
	f.expect(time.Minute, Tick{}) // the module's remaining timers are ignored
}

func TestDrainInOnePoolStopsAttemptsFromBoth(t *testing.T) {
	f := newTwoPoolFixture(t, nil)
	f.reduce(0, fullList(1, "shared"))
	f.reduce(0, fullList(2, "shared"))
	f.expect(0, inPool(2, requestFrom("x", f.now, 4*sec)), "send 1.0 for 4s")
	gone := fullList(1, "shared")
	gone.Kind, gone.Hosts[0].State = policy.ListDelta, policy.StateDraining
	f.expect(0, gone)
	f.reduce(0, fullList(2, "shared")) // the pool's own list does not show the drain yet
	f.expect(sec, inPool(2, requestFrom("y", f.now+sec, 4*sec)), "reject y rejected after 500ms")
	again := fullList(2, "shared")
	again.Hosts[0].StartedAt = 2
	f.reduce(sec, again) // a new process at the same address
	f.expect(sec, inPool(2, requestFrom("z", f.now+sec, 4*sec)), "send 3.0 for 4s")
}

func TestResetIsSeenByBothPools(t *testing.T) {
	f := newTwoPoolFixture(t, nil)
	f.reduce(0, fullList(1, "shared", "mine"))
	f.reduce(0, fullList(2, "shared", "other", "third", "fourth"))
	e := requestFrom("x", f.now, 4*sec)
	for e.Request.Session = 1; ; e.Request.Session++ { // find a session that the module sends to the shared host
		var to string
		for _, effect := range f.Reduce(f.now, inPool(1, e)) {
			if s, ok := effect.(StartAttempt); ok {
				to = s.Addr
			}
		}
		if to == "at shared" {
			break
		}
		f.reduce(0, ClientLeft{"x"})
		f.reduce(0, AttemptEnded{Attempt: AttemptID{f.lastRequestID, 0}, Result: policy.ResultCancelled})
	}
	f.reduce(0, AttemptEnded{Attempt: AttemptID{f.lastRequestID, 0}, Result: policy.ResultReset})
	for i := range 60 {
		for _, effect := range f.Reduce(f.now, inPool(2, RequestReceived{Client: i, ReceivedAt: f.now, Request: policy.Request{Session: uint64(i + 1), Timeout: sec}})) {
			if s, ok := effect.(StartAttempt); ok && s.Addr == "at shared" {
				t.Fatal("the other pool sends to a host that has just reset a connection")
			}
		}
	}
}

// TestPoolsTogetherStayWithinSlowStartShare checks a host that has just started: in any window, both modules together send it no
// more than its share of both pools' traffic and the one request that may be saved up.
func TestPoolsTogetherStayWithinSlowStartShare(t *testing.T) {
	const share = 0.5 // constant, since slow start takes 1000 h
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
		excess, minExcess := 0.0, 0.0 // requests sent minus requests allowed since the start, and the minimum so far
		for n := range rapid.IntRange(1, 200).Draw(t, "calls") {
			now += time.Millisecond
			p := rapid.IntRange(0, 1).Draw(t, "pool")
			excess -= share / hostCounts[p]
			for _, effect := range b.Reduce(now, RequestReceived{Client: n, Pool: hoststate.PoolID(p + 1), ReceivedAt: now, Request: policy.Request{Session: uint64(n + 1), Timeout: sec}}) {
				if s, ok := effect.(StartAttempt); ok && s.Addr == "at shared" {
					excess++
				}
			}
			if excess-minExcess > 1+1e-3 {
				t.Fatalf("up to request %d, %.3f requests more than allowed were sent in some window", n+1, excess-minExcess-1)
			}
			minExcess = min(minExcess, excess)
		}
	})
}

// TestFairQueueBoundsDelayByAFloodingPool checks that queued requests of one pool do not delay those of another, and that the
// request of a client that leaves is reduced before its ClientLeft.
func TestFairQueueBoundsDelayByAFloodingPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTwoPoolFixture(t, nil)
		var order []string
		l := NewLoop(f.Dispatcher, func() time.Duration { return f.now }, func(e Effect) {
			if d, ok := e.(Reject); ok {
				order = append(order, d.Client.(string))
			}
		})
		l.isFair.Store(true)
		for i := range 100 {
			l.Post(inPool(1, requestFrom(fmt.Sprint("x", i), f.now, sec)))
		}
		l.Post(inPool(2, requestFrom("y", f.now, sec)))
		l.Post(ClientLeft{Client: "x99"})
		go l.Run(t.Context())
		synctest.Wait()
		at := map[string]int{}
		for i, s := range order {
			at[s] = i
		}
		if len(order) != 101 || at["y"] > 2 {
			t.Errorf("%d requests were answered, want 101; that of the other pool was number %d", len(order), at["y"]+1)
		}
	})
}

// TestRandomEventsKeepInvariants reduces random lists, reconfigurations, requests and outcomes of several pools and checks the
// invariants: one final answer for each request; attempts only for requests of the pool and to hosts of its list; no new attempt
// to a host 500 ms after any list reported its end; no state left when everything has ended.
func TestRandomEventsKeepInvariants(t *testing.T) {
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

// modelRequest is what the model records of a request.
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

// poolsModel generates events of up to three pools that share five hosts, and checks each effect against the lists and requests so
// far.
type poolsModel struct {
	t           *rapid.T
	dispatcher  *Dispatcher
	limits      limits.Limits
	now         time.Duration
	requests    map[int]*modelRequest
	lastRequest int
	attempts    map[AttemptID]int // request number of each attempt
	running     []AttemptID
	lists       map[hoststate.PoolID]map[string]Host
	pools       []hoststate.PoolID // pools that requests are routed to
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

// reduce reduces an event and checks every effect.
func (m *poolsModel) reduce(e Event) {
	for _, effect := range m.dispatcher.Reduce(m.now, e) {
		switch effect := effect.(type) {
		case StartAttempt:
			m.checkAttempt(effect)
			m.attempts[effect.Attempt] = effect.Client.(int)
			m.running = append(m.running, effect.Attempt)
		case BindAttempt:
			m.requests[m.attempts[effect.Attempt]].answers++
		case Reject:
			m.requests[effect.Client.(int)].answers++
		case PoolEnded:
			m.checkPoolEnded(effect.Pool)
			delete(m.lists, effect.Pool)
		}
	}
	for name := range m.ends { // a host that is in no list any more has no recorded end
		if !isListed(m.lists, name) {
			delete(m.ends, name)
		}
	}
	for id, c := range m.requests {
		if c.answers > 1 {
			m.t.Fatalf("request %d has %d final answers", id, c.answers)
		}
	}
}

func (m *poolsModel) checkAttempt(effect StartAttempt) {
	c := m.requests[effect.Client.(int)]
	h, isListed := m.lists[effect.Pool][effect.Addr]
	if c == nil || c.pool != effect.Pool || !isListed || c.answers > 0 || c.left {
		m.t.Fatalf("invalid attempt of pool %d to %s for request %+v; list of the pool: %v", effect.Pool, effect.Addr, c, m.lists[effect.Pool])
	}
	end, hasEnded := m.ends[effect.Addr]
	if hasEnded && m.now >= end.at+sec/2 && h.StartedAt <= end.startedAt && m.now < end.at+m.limits.DrainPrecedence {
		m.t.Fatalf("attempt to %s %v after a list reported its end", effect.Addr, m.now-end.at)
	}
}

func (m *poolsModel) checkPoolEnded(pool hoststate.PoolID) {
	for _, c := range m.requests {
		if c.pool == pool && c.answers == 0 && !c.left {
			m.t.Fatalf("pool %d ended while a request of it was open", pool)
		}
	}
}

func (m *poolsModel) endAttempt(id AttemptID, result policy.Result) {
	if i := slices.Index(m.running, id); i >= 0 {
		m.running = slices.Delete(slices.Clone(m.running), i, i+1)
	}
	m.reduce(AttemptEnded{Attempt: id, Result: result})
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

// reconfigure adds a pool or ends one, or changes the quota of the only pool.
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

// updateList sends a random update of one pool's list, full or delta.
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
		h.StartedAt = max(h.StartedAt, m.startTimes[key]) // a list never reports an earlier process than before
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

// recordEnd records the end of a process that a list reports, and clears it when a list reports a new process or withdraws the end.
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

// sendRequest sends a request to any pool that was added so far; outdated routes may lead to one that has ended.
func (m *poolsModel) sendRequest() {
	pool := hoststate.PoolID(rapid.IntRange(0, int(m.nextPool)-1).Draw(m.t, "pool"))
	m.lastRequest++
	m.requests[m.lastRequest] = &modelRequest{pool: pool}
	m.reduce(RequestReceived{
		Client: m.lastRequest, Pool: pool, ClientRequestID: fmt.Sprint(m.lastRequest % 7), ReceivedAt: m.now,
		Request: policy.Request{Session: uint64(rapid.IntRange(0, 5).Draw(m.t, "session")), Timeout: 2 * sec},
	})
}

// endAll ends all requests and pools, and checks that no state is left.
func (m *poolsModel) endAll() {
	m.now += 20 * sec
	m.reduce(Tick{})
	for len(m.running) > 0 {
		m.endAttempt(m.running[0], policy.ResultOK)
	}
	for id, c := range m.requests {
		if c.answers == 0 && !c.left {
			m.t.Fatalf("request %d of pool %d has no answer", id, c.pool)
		}
	}
	for _, p := range m.pools {
		m.reduce(EndPool{Pool: p})
	}
	d := m.dispatcher
	if len(d.pools)+len(d.requests)+len(d.byClient)+len(d.clientRequests)+d.sharedHostCount() != 0 || d.requestQuota.Used() != 0 {
		m.t.Fatalf("left over: %d pools, %d requests, %d client request IDs, %d hosts, %d reserved units", len(d.pools), len(d.requests),
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
