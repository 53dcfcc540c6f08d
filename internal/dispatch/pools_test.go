package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/limits"
	"notchhinge/internal/quota"
	"notchhinge/policy"
)

// pools gives a rig two pools more, 1 and 2, and takes the first away.
func pools(t *testing.T, change func(*limits.Limits)) *rig {
	r := newRig(t, 0, change)
	r.Reduce(r.now, ConfigurePool{
		Pool: 1, Name: "one", Module: module(t), SlowStart: 10 * sec, SlowStartInitial: 0.5, RequestQuota: quota.Claim{Guarantee: 2, Max: 3},
		RetryAfter: 700 * time.Millisecond,
	})
	r.Reduce(r.now, ConfigurePool{Pool: 2, Name: "two", Module: module(t), SlowStart: 10 * sec, SlowStartInitial: 0.5, RequestQuota: quota.Claim{Guarantee: 2}})
	r.Reduce(r.now, EndPool{Pool: 0})
	return r
}

func hosts(of hoststate.PoolID, names ...string) EndpointsListed {
	l := EndpointsListed{Pool: of, Kind: policy.ListFull}
	for _, n := range names {
		l.Hosts = append(l.Hosts, Host{Name: n, Addr: "at " + n, Weight: 1, BornAt: 1})
	}
	return l
}

func into(of hoststate.PoolID, e RequestReceived) RequestReceived {
	e.Pool = of
	return e
}

func TestOneIDInTwoPools(t *testing.T) {
	r := pools(t, nil)
	r.turn(0, hosts(1, "a"))
	r.turn(0, hosts(2, "b"))
	x, y, z := taken("x", r.now, sec), taken("y", r.now, sec), taken("z", r.now, sec)
	x.ClientRequestID, y.ClientRequestID, z.ClientRequestID = "id", "id", "id"
	r.expect(0, into(1, x), "send 1.0 for 1s")
	r.expect(0, into(2, y), "send 2.0 for 1s")
	r.expect(0, into(1, z), "decline z taking after 0s")
	r.expect(0, AttemptStarted{AttemptID{1, 0}}, "bind 1.0")
	r.expect(0, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultOK})
	r.expect(0, into(2, z), "decline z taking after 0s") // the other is open still
}

func TestAPoolAtItsLimitIsRefusedItsOwnWayAndTheOtherServed(t *testing.T) {
	r := pools(t, func(l *limits.Limits) { l.ConcurrentRequests = 5 })
	r.turn(0, hosts(1, "a", "b"))
	r.turn(0, hosts(2, "c", "d"))
	for i := range 3 {
		r.turn(0, into(1, taken(fmt.Sprint("x", i), r.now, sec)))
	}
	r.expect(0, into(1, taken("x3", r.now, sec)), "decline x3 refused after 700ms")
	for i := range 2 {
		r.expect(0, into(2, taken(fmt.Sprint("y", i), r.now, sec)), fmt.Sprintf("send %d.0 for 1s", 4+i))
	}
	r.expect(0, into(2, taken("y2", r.now, sec)), "decline y2 refused after 500ms") // all five are out
	c := r.counted(nil)
	if len(c.Pools) != 2 || c.Pools[0].Open != 3 || c.Pools[1].Open != 2 || c.Counters.RejectedByFrontend != 2 || c.Counters.Received != 5 {
		t.Errorf("%+v", c)
	}
}

func TestAPoolThatIsEndedGoesWithItsLastRequest(t *testing.T) {
	r := pools(t, nil)
	r.turn(0, hosts(1, "a", "b"))
	r.expect(0, into(1, taken("x", r.now, 4*sec)), "send 1.0 for 4s")
	r.expect(0, EndPool{Pool: 1})
	// What was led to it before the routes changed is taken, and tried again by its rules.
	r.expect(0, into(1, taken("y", r.now, 4*sec)), "send 2.0 for 4s")
	r.expect(0, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultConnectFailed}, "send 1.1 for 4s")
	for _, id := range []AttemptID{{1, 1}, {2, 0}} {
		r.turn(0, AttemptStarted{id})
		if r.pools[1] == nil {
			t.Fatal("it went before its streams")
		}
		r.turn(0, AttemptEnded{Attempt: id, Result: policy.ResultOK})
	}
	if r.pools[1] != nil {
		t.Error("it is still there")
	}
	r.expect(0, into(1, taken("z", r.now, 4*sec)), "decline z refused after 500ms")
	if c := r.counted(nil).Counters; c.Received != 2 || c.Served != 2 || c.RejectedByFrontend != 1 {
		t.Errorf("the counters of what has gone: %+v", c)
	}
	r.expect(time.Minute, Tick{}) // its module's timers are nobody's
}

func TestADrainToldToOnePoolStopsBoth(t *testing.T) {
	r := pools(t, nil)
	r.turn(0, hosts(1, "shared"))
	r.turn(0, hosts(2, "shared"))
	r.expect(0, into(2, taken("x", r.now, 4*sec)), "send 1.0 for 4s")
	gone := hosts(1, "shared")
	gone.Kind, gone.Hosts[0].State = policy.ListDelta, policy.StateDraining
	r.expect(0, gone)
	r.turn(0, hosts(2, "shared")) // its own discovery is behind
	r.expect(sec, into(2, taken("y", r.now+sec, 4*sec)), "decline y refused after 500ms")
	again := hosts(2, "shared")
	again.Hosts[0].BornAt = 2
	r.turn(sec, again) // another process
	r.expect(sec, into(2, taken("z", r.now+sec, 4*sec)), "send 3.0 for 4s")
}

func TestAResetIsSeenByBothPools(t *testing.T) {
	r := pools(t, nil)
	r.turn(0, hosts(1, "shared", "mine"))
	r.turn(0, hosts(2, "shared", "other", "third", "fourth"))
	e := taken("x", r.now, 4*sec)
	for e.Request.Session = 1; ; e.Request.Session++ { // one whose conversation is drawn to the shared box
		var to string
		for _, f := range r.Reduce(r.now, into(1, e)) {
			if s, ok := f.(StartAttempt); ok {
				to = s.Addr
			}
		}
		if to == "at shared" {
			break
		}
		r.turn(0, ClientLeft{"x"})
		r.turn(0, AttemptEnded{Attempt: AttemptID{r.lastID, 0}, Result: policy.ResultCancelled})
	}
	r.turn(0, AttemptEnded{Attempt: AttemptID{r.lastID, 0}, Result: policy.ResultReset})
	for i := range 60 {
		for _, f := range r.Reduce(r.now, into(2, RequestReceived{Client: i, ReceivedAt: r.now, Request: policy.Request{Session: uint64(i + 1), Timeout: sec}})) {
			if s, ok := f.(StartAttempt); ok && s.Addr == "at shared" {
				t.Fatal("the other pool sends to a box that reset a connection just now")
			}
		}
	}
}

// TestAColdBoxGetsItsShareFromBothPools: what both modules send a box that has just started stays, in any window, within the
// share of both pools' traffic and the one request that may be saved up.
func TestAColdBoxGetsItsShareFromBothPools(t *testing.T) {
	const share = 0.5 // it warms up so slowly that it stays at that
	rapid.Check(t, func(t *rapid.T) {
		b, now := New(limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 4096}, limits.Site{MaxAttempts: 3})), 1000*sec
		var usual [2]float64
		for i := range usual {
			set := settings()
			set.SlowStartInitial, set.SlowStart = share, 1000*time.Hour
			m, err := policy.New(set, rapid.Uint64().Draw(t, "seed"))
			if err != nil {
				t.Fatal(err)
			}
			id := hoststate.PoolID(i + 1)
			b.Reduce(now, ConfigurePool{Pool: id, Name: fmt.Sprint(i), Module: m, SlowStart: set.SlowStart, SlowStartInitial: set.SlowStartInitial})
			l := hosts(id, "shared")
			for k := range rapid.IntRange(1, 3).Draw(t, "own boxes") {
				l.Hosts = append(l.Hosts, hosts(id, fmt.Sprint("own ", i, k)).Hosts...)
			}
			l.Hosts[0].BornAt = now
			usual[i] = float64(len(l.Hosts))
			b.Reduce(now, l)
		}
		over, least := 0.0, 0.0 // what was sent less what the traffic allows, since the start, and the least that it was
		for n := range rapid.IntRange(1, 200).Draw(t, "calls") {
			now += time.Millisecond
			p := rapid.IntRange(0, 1).Draw(t, "pool")
			over -= share / usual[p]
			for _, f := range b.Reduce(now, RequestReceived{Client: n, Pool: hoststate.PoolID(p + 1), ReceivedAt: now, Request: policy.Request{Session: uint64(n + 1), Timeout: sec}}) {
				if s, ok := f.(StartAttempt); ok && s.Addr == "at shared" {
					over++
				}
			}
			if over-least > 1+1e-3 {
				t.Fatalf("by call %d %.3f more than allowed was sent in some window", n+1, over-least-1)
			}
			least = min(least, over)
		}
	})
}

// TestTurnsGoRoundWhenOnePoolFloods: authorisations of one pool that wait do not stand before another's, and one whose
// acquirer leaves while it waits is taken first.
func TestTurnsGoRoundWhenOnePoolFloods(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := pools(t, nil)
		var order []string
		l := NewLoop(r.Dispatcher, func() time.Duration { return r.now }, func(e Effect) {
			if d, ok := e.(Reject); ok {
				order = append(order, d.Client.(string))
			}
		})
		l.fair.Store(true)
		for i := range 100 {
			l.Post(into(1, taken(fmt.Sprint("x", i), r.now, sec)))
		}
		l.Post(into(2, taken("y", r.now, sec)))
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

// TestPoolsKeepTheRules plays random pools, lists, reloads and outcomes against the core: one final answer to each
// authorisation; a leg only to a host of its pool's own list, and for an authorisation of that pool; nothing new to a
// host 500 ms after any pool was told of its end; nothing left at the end.
func TestPoolsKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lim := limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 128},
			limits.Site{ConnectTimeout: sec / 10, UpstreamIdleClose: 5 * sec, MaxAttempts: 3, MaxDeadline: 10 * sec})
		lim.ConcurrentRequests = 12
		b := New(lim)
		now := 1000 * sec
		type call struct {
			pool    hoststate.PoolID
			answers int
			gone    bool
		}
		type out struct{ from int }
		calls, legs := map[int]*call{}, map[AttemptID]*out{}
		order := []AttemptID{}
		lists := map[hoststate.PoolID]map[string]Host{}
		live, next, n := []hoststate.PoolID{}, hoststate.PoolID(0), 0
		births := map[[2]any]time.Duration{}
		ended := map[string]time.Duration{} // when the first pool was told that the process ends
		endOf, endBy, endIs := map[string]time.Duration{}, map[string]hoststate.PoolID{}, map[string]policy.State{}
		reduce := func(e Event) {
			for _, f := range b.Reduce(now, e) {
				switch f := f.(type) {
				case StartAttempt:
					c := calls[f.Client.(int)]
					h, listed := lists[f.Pool][f.Addr]
					if c == nil || c.pool != f.Pool || !listed || c.answers > 0 || c.gone {
						t.Fatalf("a leg of pool %d to %s for %+v; its list: %v", f.Pool, f.Addr, c, lists[f.Pool])
					}
					if at, is := ended[f.Addr]; is && now >= at+sec/2 && h.BornAt <= endOf[f.Addr] && now < at+lim.DrainPrecedence {
						t.Fatalf("a leg to %s, %v after its end was told", f.Addr, now-at)
					}
					legs[f.Attempt] = &out{f.Client.(int)}
					order = append(order, f.Attempt)
				case BindAttempt:
					calls[legs[f.Attempt].from].answers++
				case Reject:
					calls[f.Client.(int)].answers++
				case PoolEnded:
					for _, c := range calls {
						if c.pool == f.Pool && c.answers == 0 && !c.gone {
							t.Fatalf("pool %d went before its authorisations", f.Pool)
						}
					}
					delete(lists, f.Pool)
				}
			}
			for name := range ended { // what no pool has any more is nobody's memory
				if !has(lists, name) {
					delete(ended, name)
					delete(endOf, name)
				}
			}
			for id, c := range calls {
				if c.answers > 1 {
					t.Fatalf("%d has %d final answers", id, c.answers)
				}
			}
		}
		endLeg := func(id AttemptID, r policy.Result) {
			for i := range order {
				if order[i] == id {
					order = append(order[:i:i], order[i+1:]...)
					break
				}
			}
			reduce(AttemptEnded{Attempt: id, Result: r})
		}
		add := func() {
			s := settings()
			s.Limits.MaxAttempts = rapid.IntRange(1, 3).Draw(t, "attempts")
			m, err := policy.New(s, rapid.Uint64().Draw(t, "seed"))
			if err != nil {
				t.Fatal(err)
			}
			lists[next] = map[string]Host{}
			live = append(live, next)
			reduce(ConfigurePool{
				Pool: next, Name: fmt.Sprint("p", next), Module: m, SlowStart: sec, SlowStartInitial: 0.5,
				RequestQuota: quota.Claim{Guarantee: int64(rapid.IntRange(0, 3).Draw(t, "guarantee")), Max: int64(rapid.IntRange(3, 12).Draw(t, "most"))},
			})
			next++
		}
		add()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0: // a reload: a pool more, one fewer, or another claim
				switch {
				case len(live) < 3 && rapid.Bool().Draw(t, "more"):
					add()
				case len(live) > 1:
					i := rapid.IntRange(0, len(live)-1).Draw(t, "which")
					reduce(EndPool{Pool: live[i]})
					live = append(live[:i:i], live[i+1:]...)
				default:
					reduce(ConfigurePool{Pool: live[0], Name: "again", RequestQuota: quota.Claim{Max: int64(rapid.IntRange(1, 12).Draw(t, "most"))}})
				}
			case 1, 2, 3: // a list
				p := rapid.SampledFrom(live).Draw(t, "pool")
				l := EndpointsListed{Pool: p, Kind: policy.ListDelta}
				if rapid.IntRange(0, 3).Draw(t, "whole") == 0 {
					l.Kind = policy.ListFull
				}
				told := map[string]Host{}
				for i := range 5 {
					if !rapid.Bool().Draw(t, "in it") {
						continue
					}
					name := fmt.Sprint("b", i)
					h := Host{
						Name: name, Addr: name, Weight: 1, State: policy.State(rapid.IntRange(0, 2).Draw(t, "state")),
						BornAt: time.Duration(rapid.IntRange(1, 2).Draw(t, "born")),
					}
					before, had := lists[p][name]
					key := [2]any{p, name}
					h.BornAt = max(h.BornAt, births[key]) // no discovery goes back to a process of before
					births[key] = h.BornAt
					l.Hosts = append(l.Hosts, h)
					told[name] = h
					born := h.BornAt
					if h.State == policy.StateGone {
						born = before.BornAt
					}
					if h.State == policy.StateDraining || h.State == policy.StateGone && had {
						if _, is := ended[name]; !is || born > endOf[name] || born == endOf[name] && h.State > endIs[name] {
							ended[name], endOf[name], endBy[name], endIs[name] = now, born, p, h.State
						}
					} else if h.State == policy.StateReady && (born > endOf[name] || now > ended[name]+lim.DrainPrecedence ||
						p == endBy[name]) {
						delete(ended, name)
						delete(endOf, name)
					}
				}
				if l.Kind == policy.ListFull {
					clear(lists[p])
				}
				for name, h := range told {
					if lists[p][name] = h; h.State == policy.StateGone {
						delete(lists[p], name)
					}
				}
				reduce(l)
			case 4, 5, 6, 7: // a call, by routes that may be of before
				p := hoststate.PoolID(rapid.IntRange(0, int(next)-1).Draw(t, "pool"))
				n++
				calls[n] = &call{pool: p}
				reduce(RequestReceived{Client: n, Pool: p, ClientRequestID: fmt.Sprint(n % 7), ReceivedAt: now, Request: policy.Request{
					Session: uint64(rapid.IntRange(0, 5).Draw(t, "session")), Timeout: 2 * sec,
				}})
			case 8:
				if len(order) > 0 {
					id := rapid.SampledFrom(order).Draw(t, "leg")
					reduce(AttemptStarted{id})
				}
			case 9, 10:
				if len(order) > 0 {
					endLeg(rapid.SampledFrom(order).Draw(t, "leg"), policy.Result(rapid.IntRange(0, 6).Draw(t, "result")))
				}
			case 11:
				if n > 0 {
					c := rapid.IntRange(1, n).Draw(t, "who")
					if calls[c].answers == 0 {
						calls[c].gone = true
					}
					reduce(ClientLeft{Client: c})
				}
			}
		}
		now += 20 * sec
		reduce(Tick{})
		for len(order) > 0 {
			endLeg(order[0], policy.ResultOK)
		}
		for id, c := range calls {
			if c.answers == 0 && !c.gone {
				t.Fatalf("%d of pool %d has no answer", id, c.pool)
			}
		}
		for _, p := range live {
			reduce(EndPool{Pool: p})
		}
		if len(b.pools)+len(b.auths)+len(b.byParty)+len(b.names)+b.boxesLen() != 0 || b.places.Used() != 0 {
			t.Fatalf("left: %d pools, %d authorisations, %d names, %d boxes, %d places", len(b.pools), len(b.auths), len(b.names),
				b.boxesLen(), b.places.Used())
		}
		if diff := cmp.Diff(0, b.Open()); diff != "" {
			t.Fatal(diff)
		}
	})
}

func has(lists map[hoststate.PoolID]map[string]Host, name string) bool {
	for _, l := range lists {
		if _, in := l[name]; in {
			return true
		}
	}
	return false
}

func (b *Dispatcher) boxesLen() int {
	if b.boxes == nil {
		return 0
	}
	return b.boxes.Len()
}
