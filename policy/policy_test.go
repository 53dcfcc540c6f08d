package policy

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// recorder is an Actions that records every call.
type recorder struct {
	why    Reason // of the last action
	lines  []string
	sends  []send
	timers []timerCall
}

type send struct {
	id      RequestID
	to      ReplicaID
	timeout time.Duration
}

type timerCall struct {
	after time.Duration
	token uint64
}

func (r *recorder) add(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

func (r *recorder) Explain(id RequestID, why Reason) { r.why = why }

func (r *recorder) Send(id RequestID, to ReplicaID, timeout time.Duration) {
	r.add("send %d to %d for %v", id, to, timeout)
	r.sends = append(r.sends, send{id, to, timeout})
}
func (r *recorder) Reject(id RequestID, retryAfter time.Duration) { r.add("reject %d", id) }
func (r *recorder) Fail(id RequestID)                             { r.add("fail %d", id) }
func (r *recorder) Cancel(id RequestID, attempt int)              { r.add("cancel %d/%d", id, attempt) }
func (r *recorder) Probe(to ReplicaID)                            { r.add("probe %d", to) }
func (r *recorder) Watch()                                        { r.add("watch") }
func (r *recorder) Log(line string)                               {}
func (r *recorder) SetTimer(after time.Duration, token uint64) {
	r.add("wake %v %d", after, token)
	r.timers = append(r.timers, timerCall{after, token})
}

func (r *recorder) count(prefix string) int {
	n := 0
	for _, l := range r.lines {
		if strings.HasPrefix(l, prefix) {
			n++
		}
	}
	return n
}

func testSettings() Settings {
	return Settings{
		Routers: 4, Zones: 2, WeightMeaning: WeightSize,
		Classes: []Class{
			{Name: "safe", TargetLatency: sec, Deadline: 10 * sec, Value: 1, IsStreaming: true},
			{Name: "unsafe", TargetLatency: sec, Deadline: 10 * sec, Value: 1, Effect: EffectUnsafe},
			{
				Name: "keyed", TargetLatency: sec, Deadline: 10 * sec, Value: 1,
				Effect: EffectKeyed, DedupGroup: GroupZone, DedupWindow: 2 * sec,
			},
		},
		Limits: Limits{
			CanCancel: true, MaxAttempts: 3,
			MaxRetryAfter: sec,
		},
		CrossZonePrice: 0.1,
		DrainGrace:     500 * ms, SlowStartInitial: 0.2, SlowStart: 20 * sec,
		MaxWatchDelay: 10 * sec, NeedsWatch: true,
	}
}

// newFleet lists n ready replicas, numbered from 1. Every third one is in zone 1, the others in zone 0.
func newFleet(n int) []Replica {
	var l []Replica
	for i := 1; i <= n; i++ {
		zone := 0
		if i%3 == 0 {
			zone = 1
		}
		l = append(l, Replica{ID: ReplicaID(i), Zone: zone, Cell: zone, Weight: 1})
	}
	return l
}

func start(t *testing.T, s Settings, replicas []Replica) (*Balancer, *recorder) {
	t.Helper()
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	a := &recorder{}
	b.ListUpdated(100*sec, a, List{Kind: ListCached, Replicas: replicas})
	return b, a
}

const t0 = 100 * sec

func req(id RequestID, class int, session uint64) Request {
	return Request{ID: id, Class: class, Session: session, PromptTokens: 500, Timeout: 5 * sec}
}

func (r *recorder) last(t *testing.T) send {
	t.Helper()
	if len(r.sends) == 0 {
		t.Fatal("nothing was sent")
	}
	return r.sends[len(r.sends)-1]
}

// finalResponses returns how often the balancer rejected or failed a request.
func (r *recorder) finalResponses(id RequestID) int {
	return r.count(fmt.Sprintf("reject %d", id)) + r.count(fmt.Sprintf("fail %d", id))
}

func TestSessionStaysWithItsReplica(t *testing.T) {
	b, a := start(t, testSettings(), newFleet(9))
	b.RequestArrived(t0, a, req(1, 0, 77))
	first := a.last(t).to
	for i := range 20 {
		now := t0 + Time(i)*sec
		b.RequestArrived(now, a, req(RequestID(i+2), 0, 77))
		if got := a.last(t).to; got != first {
			t.Fatalf("turn %d went to %d, want %d as before", i, got, first)
		}
	}
}

func TestNewSessionsAreSpread(t *testing.T) {
	b, a := start(t, testSettings(), newFleet(8))
	seen := map[ReplicaID]int{}
	for i := range 800 {
		b.RequestArrived(t0, a, req(RequestID(i+1), 0, uint64(i+1)*7919))
		seen[a.last(t).to]++
	}
	for id := ReplicaID(1); id <= 8; id++ {
		if id%3 != 0 && seen[id] < 50 {
			t.Errorf("replica %d got %d of 800 new sessions", id, seen[id])
		}
	}
}

func TestFailedConnectionIsRetriedElsewhereAndTheSessionMoves(t *testing.T) {
	b, a := start(t, testSettings(), newFleet(9))
	b.RequestArrived(t0, a, req(1, 0, 77))
	first := a.last(t).to
	b.AttemptFinished(t0+10*ms, a, Outcome{ID: 1, Attempt: 0, Replica: first, Result: ResultConnectFailed})
	second := a.last(t).to
	if len(a.sends) != 2 || second == first {
		t.Fatalf("sends %v: want a second attempt elsewhere", a.sends)
	}
	b.RequestArrived(t0+20*ms, a, req(2, 0, 77))
	if got := a.last(t).to; got != second {
		t.Errorf("the session's next turn went to %d, want %d as in the last attempt", got, second)
	}
}

func TestEveryRequestGetsOneFinalResponse(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(b *Balancer, a *recorder)
		own  int // final responses expected from the balancer
	}{
		{"times out at the deadline", func(b *Balancer, a *recorder) {
			b.RequestArrived(t0, a, req(1, 0, 7))
			b.AttemptFinished(t0+5*sec, a, Outcome{ID: 1, Replica: a.sends[0].to, Result: ResultTimedOut})
		}, 1},
		{"served", func(b *Balancer, a *recorder) {
			b.RequestArrived(t0, a, req(1, 0, 7))
			b.ResponseStarted(t0+sec, a, ResponseStarted{ID: 1, Replica: a.sends[0].to})
			b.AttemptFinished(t0+2*sec, a,
				Outcome{ID: 1, Replica: a.sends[0].to, Result: ResultOK, RequestEnded: true})
		}, 0},
		{"the stream breaks", func(b *Balancer, a *recorder) {
			b.RequestArrived(t0, a, req(1, 0, 7))
			b.ResponseStarted(t0+sec, a, ResponseStarted{ID: 1, Replica: a.sends[0].to})
			b.AttemptFinished(t0+2*sec, a,
				Outcome{ID: 1, Replica: a.sends[0].to, Result: ResultReset, RequestEnded: true})
		}, 0},
		{"the client leaves", func(b *Balancer, a *recorder) {
			b.RequestArrived(t0, a, req(1, 0, 7))
			b.ClientDisconnected(t0+sec, a, 1)
			b.AttemptFinished(t0+sec, a,
				Outcome{ID: 1, Replica: a.sends[0].to, Result: ResultCancelled, RequestEnded: true})
		}, 0},
		{"all attempts are used", func(b *Balancer, a *recorder) {
			b.RequestArrived(t0, a, req(1, 0, 7))
			for i := range 3 {
				b.AttemptFinished(t0+Time(i)*ms, a,
					Outcome{ID: 1, Attempt: i, Replica: a.sends[i].to, Result: ResultFull})
			}
		}, 1},
		{"expires on arrival", func(b *Balancer, a *recorder) {
			b.RequestArrived(t0, a, Request{ID: 1})
		}, 1},
		{"of an unknown class", func(b *Balancer, a *recorder) {
			b.RequestArrived(t0, a, Request{ID: 1, Class: 99, Timeout: sec})
		}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, a := start(t, testSettings(), newFleet(9))
			tc.run(b, a)
			if got := a.finalResponses(1); got != tc.own {
				t.Errorf("%d final responses, want %d: %q", got, tc.own, a.lines)
			}
			if len(b.requests) != 0 {
				t.Errorf("the request was not removed: %+v", b.requests[1])
			}
			n := len(a.sends)
			b.AttemptFinished(t0+6*sec, a, Outcome{ID: 1, Replica: 1, Result: ResultError})
			b.ClientDisconnected(t0+6*sec, a, 1)
			if len(a.sends) != n || a.finalResponses(1) != tc.own {
				t.Errorf("late events changed a finished request: %q", a.lines)
			}
		})
	}
}

func TestRequestIsRejectedWithoutReplicas(t *testing.T) {
	b, a := start(t, testSettings(), nil)
	b.RequestArrived(t0, a, req(1, 1, 7))
	if a.count("reject 1") != 1 || len(a.sends) != 0 {
		t.Errorf("got %q, want one rejection", a.lines)
	}
}

func TestUnsafeRequestIsRetriedOnlyIfItHasNotRun(t *testing.T) {
	for _, tc := range []struct {
		result Result
		sends  int
		end    string
	}{
		{ResultFull, 2, ""},
		{ResultConnectFailed, 2, ""},
		{ResultError, 1, "fail 1"},
		{ResultReset, 1, "fail 1"},
		{ResultTimedOut, 1, "fail 1"},
	} {
		b, a := start(t, testSettings(), newFleet(9))
		b.RequestArrived(t0, a, req(1, 1, 7))
		b.AttemptFinished(t0+ms, a, Outcome{ID: 1, Replica: a.sends[0].to, Result: tc.result})
		if len(a.sends) != tc.sends || tc.end != "" && a.count(tc.end) != 1 {
			t.Errorf("after result %d: %q", tc.result, a.lines)
		}
	}
}

func TestKeyedRequestIsRetriedInItsGroupAndWindowOnly(t *testing.T) {
	b, a := start(t, testSettings(), newFleet(12))
	b.RequestArrived(t0, a, req(1, 2, 7))
	zone := func(id ReplicaID) int { return b.fleet.byID[id].Zone }
	b.AttemptFinished(t0+ms, a, Outcome{ID: 1, Replica: a.sends[0].to, Result: ResultError})
	if len(a.sends) != 2 || zone(a.sends[0].to) != zone(a.sends[1].to) {
		t.Fatalf("sends %v: want a retry in the same zone", a.sends)
	}
	b.AttemptFinished(t0+2*sec, a, Outcome{ID: 1, Attempt: 1, Replica: a.sends[1].to, Result: ResultError})
	if len(a.sends) != 2 || a.count("fail 1") != 1 {
		t.Errorf("after the window: %q", a.lines)
	}
}

func TestDrainingReplicaKeepsItsSessionsForTheGracePeriodOnly(t *testing.T) {
	fleet := newFleet(9)
	b, a := start(t, testSettings(), fleet)
	b.RequestArrived(t0, a, req(1, 0, 77))
	to := a.last(t).to
	drained := fleet[to-1]
	drained.State = StateDraining
	// A failed call to discovery does not change the list.
	b.ListUpdated(t0+sec, a, List{Kind: ListDelta, Replicas: []Replica{drained}})
	b.ListUpdated(t0+sec, a, List{Kind: ListFailed})
	b.RequestArrived(t0+sec+499*ms, a, req(2, 0, 77))
	if got := a.last(t).to; got != to {
		t.Errorf("within the grace period the session went to %d, want %d", got, to)
	}
	// A repeated draining state does not extend the grace period.
	b.ListUpdated(t0+sec+499*ms, a, List{Kind: ListDelta, Replicas: []Replica{drained}})
	b.RequestArrived(t0+sec+501*ms, a, req(3, 0, 77))
	if got := a.last(t).to; got == to {
		t.Error("a draining replica was sent a request after the grace period")
	}
	for i := range 300 {
		b.RequestArrived(t0+sec, a, req(RequestID(10+i), 0, uint64(1000+i)))
		if a.last(t).to == to {
			t.Fatal("a new session was sent to a draining replica")
		}
	}
}

func TestGoneReplicaGetsNothing(t *testing.T) {
	b, a := start(t, testSettings(), newFleet(9))
	b.RequestArrived(t0, a, req(1, 0, 77))
	to := a.last(t).to
	var rest []Replica
	for _, e := range newFleet(9) {
		if e.ID != to {
			rest = append(rest, e)
		}
	}
	b.ListUpdated(t0+sec, a, List{Kind: ListFull, Replicas: rest})
	b.RequestArrived(t0+sec, a, req(2, 0, 77))
	if a.last(t).to == to {
		t.Error("a replica that left the list was sent a request")
	}
}

// A restarted replica gets at most its share in slow start, known sessions included.
func TestReplicaInSlowStartGetsItsShareOfKnownAndNewSessions(t *testing.T) {
	fleet := newFleet(8)
	b, a := start(t, testSettings(), fleet)
	const n = 4000
	for i := range n {
		b.RequestArrived(t0, a, req(RequestID(i+1), 0, uint64(i+1)))
	}
	starting := a.sends[0].to
	warmCount := 0
	for _, s := range a.sends {
		if s.to == starting {
			warmCount++
		}
	}
	restarted := fleet[starting-1]
	restarted.ReadyAt = t0 + sec
	b.ListUpdated(t0+2*sec, a, List{Kind: ListDelta, Replicas: []Replica{restarted}})
	a.sends = nil
	for i := range n {
		b.RequestArrived(t0+2*sec, a, req(RequestID(n+i+1), 0, uint64(i+1)))
	}
	got := 0
	for _, s := range a.sends {
		if s.to == starting {
			got++
		}
	}
	// At an age of 1 s of 20 the share is 0.24 of the usual traffic.
	if usual := float64(warmCount); float64(got) > 0.32*usual || got == 0 {
		t.Errorf("%d requests went to the replica in slow start, %d before its restart", got, warmCount)
	}
}

func TestWatchIsSpreadAndRetriedWithBackoff(t *testing.T) {
	delays := map[time.Duration]bool{}
	for seed := range uint64(50) {
		b, err := New(testSettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		a := &recorder{}
		b.ListUpdated(t0, a, List{Kind: ListCached, Replicas: newFleet(3)})
		if len(a.timers) != 1 || a.count("watch") != 0 {
			t.Fatalf("at the start: %q", a.lines)
		}
		delays[a.timers[0].after] = true
		b.TimerFired(t0+a.timers[0].after, a, a.timers[0].token)
		b.ListUpdated(t0+sec, a, List{Kind: ListDelta})
		if a.count("watch") != 1 || len(a.timers) != 1 {
			t.Fatalf("want one watch and no polling: %q", a.lines)
		}
		longest := time.Duration(0)
		for range 6 {
			b.ListUpdated(t0+2*sec, a, List{Kind: ListFailed})
			delay := a.timers[len(a.timers)-1].after
			if delay > testSettings().MaxWatchDelay {
				t.Fatalf("delay %v is longer than MaxWatchDelay", delay)
			}
			longest = max(longest, delay)
		}
		if longest < 4*sec {
			t.Errorf("the delays do not grow: %q", a.lines)
		}
	}
	if len(delays) < 40 {
		t.Errorf("only %d different first delays of 50 routers", len(delays))
	}
}

func TestPushedListIsNotWatched(t *testing.T) {
	s := testSettings()
	s.NeedsWatch = false
	_, a := start(t, s, newFleet(3))
	if len(a.lines) != 0 {
		t.Errorf("got %q", a.lines)
	}
}

func TestSessionTableIsBoundedAndExpires(t *testing.T) {
	b, a := start(t, testSettings(), newFleet(3))
	for i := range maxSessions + 1000 {
		b.sessions.assign(t0, uint64(i+1), b.fleet.byID[1])
	}
	if n := len(b.sessions.entries); n != maxSessions || b.sessions.recent.Len() != n {
		t.Errorf("%d entries, want %d", n, maxSessions)
	}
	if b.sessions.find(t0, 1) != nil || b.sessions.find(t0, maxSessions+1000) == nil {
		t.Error("want the oldest entry evicted and the newest one present")
	}
	b.sessions.assign(t0+sessionIdle+sec, 5, b.fleet.byID[1])
	if n := len(b.sessions.entries); n != 1 {
		t.Errorf("%d entries after the idle time, want 1", n)
	}
	_ = a
}

func TestUnknownEventsAreIgnored(t *testing.T) {
	b, a := start(t, testSettings(), newFleet(3))
	n := len(a.lines)
	b.ResponseStarted(t0, a, ResponseStarted{ID: 9, Replica: 99})
	b.AttemptFinished(t0, a, Outcome{ID: 9, Replica: 99, Attempt: -1})
	b.ClientDisconnected(t0, a, 9)
	b.ProbeFinished(t0, a, ProbeResult{Replica: 99})
	b.TimerFired(t0, a, 1<<60)
	if len(a.lines) != n {
		t.Errorf("got %q", a.lines[n:])
	}
}

func TestNewNamesTheInvalidSetting(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"Classes":            func(s *Settings) { s.Classes = nil },
		"Limits.MaxAttempts": func(s *Settings) { s.Limits.MaxAttempts = 0 },
		"SlowStartInitial":   func(s *Settings) { s.SlowStartInitial = 0 },
		"Router":             func(s *Settings) { s.Router = 4 },
		"Zone":               func(s *Settings) { s.Zone = -1 },
		"MaxWatchDelay":      func(s *Settings) { s.MaxWatchDelay = 0 },
		"SlowStart":          func(s *Settings) { s.SlowStart = -1 },
		"DrainGrace":         func(s *Settings) { s.DrainGrace = -1 },
		"MaxRetryAfter":      func(s *Settings) { s.Limits.MaxRetryAfter = -1 },
		"ReportColumns":      func(s *Settings) { s.ReportColumns = make([]string, 5) },
		"keyed":              func(s *Settings) { s.Classes[2].Deadline = 0 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s out of range: error %v", name, err)
		}
	}
}

func TestRoutersSelectTheSameReplicaForASession(t *testing.T) {
	counts := map[ReplicaID]int{}
	for session := uint64(1); session <= 3000; session++ {
		b1, err1 := New(testSettings(), 1)
		b2, err2 := New(testSettings(), 2)
		if err1 != nil || err2 != nil {
			t.Fatal(err1, err2)
		}
		a1, a2 := &recorder{}, &recorder{}
		fleet := newFleet(2)
		fleet[1].Weight = 3
		b1.ListUpdated(t0, a1, List{Kind: ListCached, Replicas: fleet})
		b2.ListUpdated(t0, a2, List{Kind: ListCached, Replicas: fleet})
		b1.RequestArrived(t0, a1, req(1, 0, session))
		b2.RequestArrived(t0, a2, req(1, 0, session))
		if a1.last(t).to != a2.last(t).to {
			t.Fatalf("session %d was sent to %d and to %d", session, a1.last(t).to, a2.last(t).to)
		}
		counts[a1.last(t).to]++
	}
	if share := float64(counts[2]) / 3000; share < 0.7 || share > 0.8 {
		t.Errorf("a replica of weight 3 got %.2f of the sessions beside one of weight 1, want 0.75", share)
	}
}

func TestReportsShiftTheSelectionAndExpire(t *testing.T) {
	s := testSettings()
	s.ReportColumns = []string{"eps", "util"}
	share := func(now Time, startingUntil Time) float64 {
		b, a := start(t, s, newFleet(2))
		for range 40 { // replica 1 is busy, replica 2 nearly idle
			b.AttemptFinished(t0, a, Outcome{ID: 1e9, Replica: 1, Report: Report{N: 2, Values: [4]float64{0, 0.9}}})
			b.AttemptFinished(t0, a, Outcome{ID: 1e9, Replica: 2, Report: Report{N: 2, Values: [4]float64{9, 0.1}}})
		}
		b.fleet.byID[2].slowStartUntil = startingUntil
		n := 0
		for i := range 2000 {
			b.RequestArrived(now, a, req(RequestID(i+1), 0, uint64(i+1)))
			if a.last(t).to == 2 {
				n++
			}
		}
		return float64(n) / 2000
	}
	if got := share(t0, 0); got < 0.75 {
		t.Errorf("the idle replica got %.2f of the sessions, want at least 0.75", got)
	}
	if got := share(t0+reportLifetime, 0); got < 0.45 || got > 0.55 {
		t.Errorf("with a stale report the idle replica got %.2f, want 0.5", got)
	}
	// In slow start, a report of low load must not raise a replica's weight.
	if got := share(t0, t0+testSettings().SlowStart); got > 0.2 {
		t.Errorf("an idle replica in slow start got %.2f", got)
	}
}

func TestPopularPrefixesGetMoreReplicas(t *testing.T) {
	b, a := start(t, testSettings(), newFleet(60))
	used := map[uint64]map[ReplicaID]bool{1: {}, 2: {}}
	for i := range 400 {
		q := req(RequestID(i+1), 0, uint64(i+1)*31)
		q.Prefix = 1
		if i%20 == 0 {
			q.Prefix = 2
		} else if i%2 == 0 {
			q.Prefix = uint64(1000 + i)
		}
		b.RequestArrived(t0, a, q)
		if set := used[q.Prefix]; set != nil && i >= 200 {
			set[a.last(t).to] = true
		}
	}
	if rare, popular := len(used[2]), len(used[1]); rare > 8 || popular < 20 {
		t.Errorf("a prefix of 5%% of the traffic used %d replicas, one of 50%% used %d", rare, popular)
	}
	if n := len(b.prefixes.count); n > 2*prefixWindow {
		t.Errorf("%d prefixes are counted", n)
	}
}

func TestOwnZoneFirstAndASmallZoneSpills(t *testing.T) {
	nearShare := func(replicas []Replica) float64 {
		b, a := start(t, testSettings(), replicas)
		n := 0
		for i := range 1000 {
			b.RequestArrived(t0, a, req(RequestID(i+1), 0, uint64(i+1)*31))
			if b.fleet.byID[a.last(t).to].Zone == 0 {
				n++
			}
		}
		return float64(n) / 1000
	}
	if got := nearShare(newFleet(9)); got != 1 {
		t.Errorf("%.2f stayed in a zone with two thirds of the fleet, want 1", got)
	}
	small := newFleet(10)
	for i := range small {
		small[i].Zone = 1
	}
	small[0].Zone = 0
	// The zone has a tenth of the fleet for half of the clients: it keeps a fifth and its part of the rest.
	if got := nearShare(small); got < 0.1 || got > 0.35 {
		t.Errorf("%.2f stayed in a zone with a tenth of the fleet, want about 0.2", got)
	}
}

func TestLatenessInTheZoneSpills(t *testing.T) {
	b, a := start(t, testSettings(), newFleet(9))
	for i := range 20 {
		b.RequestArrived(t0, a, req(RequestID(i+1), 0, uint64(i+1)*31))
		b.ResponseStarted(t0+3*sec, a,
			ResponseStarted{ID: RequestID(i + 1), Replica: a.last(t).to, Elapsed: 3 * sec})
	}
	high := b.spillShare
	if high < 0.5 {
		t.Errorf("spilled share %.2f after only late responses", high)
	}
	for i := range 400 {
		b.RequestArrived(t0, a, req(RequestID(i+100), 0, uint64(i+100)*31))
		b.ResponseStarted(t0+9*ms, a,
			ResponseStarted{ID: RequestID(i + 100), Replica: a.last(t).to, Elapsed: 9 * ms})
	}
	if b.spillShare >= high && b.settings.CrossZonePrice > 0 {
		t.Errorf("spilled share %.2f after prompt responses, %.2f before", b.spillShare, high)
	}
}

func TestLatenessShedsNewSessionsBeforeKnownOnes(t *testing.T) {
	b, a := start(t, testSettings(), newFleet(9))
	b.RequestArrived(t0, a, req(1, 0, 4242)) // a known session
	now := t0
	for i := range 200 {
		now += 100 * ms
		id := RequestID(i + 10)
		b.RequestArrived(now, a, req(id, 0, uint64(i+1)*31))
		b.ResponseStarted(now, a, ResponseStarted{ID: id, Replica: a.last(t).to, Elapsed: 2 * sec})
	}
	if b.shedShare != maxShedShare {
		t.Fatalf("share rejected is %.2f after only late responses", b.shedShare)
	}
	n := a.count("reject")
	b.RequestArrived(now, a, req(900, 0, 4242))
	if a.count("reject") != n {
		t.Error("a known session was rejected")
	}
	rejected := 0
	for i := range 200 {
		first, again := RequestID(1000+2*i), RequestID(1001+2*i)
		b.RequestArrived(now, a, req(first, 0, uint64(i+7000)))
		if a.finalResponses(first) == 1 {
			rejected++
			b.RequestArrived(now, a, req(again, 0, uint64(i+7000)))
			if a.count(fmt.Sprintf("send %d ", again)) != 0 {
				t.Error("a rejected session was admitted on its retry")
			}
		}
	}
	if rejected < 80 || rejected > 160 {
		t.Errorf("%d of 200 new sessions rejected, want about %v", rejected, 200*maxShedShare)
	}
}

func TestHungReplicaIsEjectedUntilItAnswers(t *testing.T) {
	b, a := start(t, testSettings(), newFleet(9))
	b.RequestArrived(t0, a, req(1, 0, 77))
	hung := a.last(t).to
	b.AttemptFinished(t0+5*sec, a, Outcome{ID: 1, Replica: hung, Result: ResultTimedOut, Elapsed: 5 * sec})
	b.RequestArrived(t0+5*sec, a, req(2, 0, 77))
	if a.last(t).to == hung {
		t.Fatal("a session stayed with a hung replica")
	}
	// After the ejection only one trial request is sent at a time.
	now := t0 + 5*sec + minEjection
	b.fleet.inFlight = 1000 // so that the load bound does not apply
	a.sends = nil
	for i := range 300 {
		b.RequestArrived(now, a, req(RequestID(10+i), 0, uint64(500+i)))
	}
	tried := 0
	for _, s := range a.sends {
		if s.to == hung {
			tried++
		}
	}
	if tried != 1 {
		t.Errorf("%d trial requests after the ejection, want 1", tried)
	}
	b.ResponseStarted(now+ms, a, ResponseStarted{ID: 1, Replica: hung, Elapsed: 2 * sec})
	if !b.isUsable(now+ms, b.fleet.byID[hung], b.requests[2], purposeNewSession) {
		t.Error("a response did not clear the ejection")
	}
}

func TestStaleConnectionDoesNotEjectItsReplica(t *testing.T) {
	// A replica may close an idle connection at any time. That must neither eject the replica, move its
	// sessions, nor use the retry budget.
	b, a := start(t, testSettings(), newFleet(1))
	b.RequestArrived(t0, a, req(1, 0, 77))
	saved := b.retryBudget
	b.AttemptFinished(t0+ms, a, Outcome{ID: 1, Replica: 1, Result: ResultReset, StaleConnection: true})
	if len(a.sends) != 2 || b.fleet.byID[1].duration != 0 || b.retryBudget != saved {
		ejection := b.fleet.byID[1].duration
		t.Errorf("%d sends, ejection %v, retry budget %v, want %v", len(a.sends), ejection, b.retryBudget, saved)
	}
	b.AttemptFinished(t0+2*ms, a, Outcome{ID: 1, Attempt: 1, Replica: 1, Result: ResultReset})
	if len(a.sends) != 2 || b.fleet.byID[1].duration == 0 {
		t.Errorf("a reset of a new connection: %d sends, ejection %v", len(a.sends), b.fleet.byID[1].duration)
	}
}

func TestHungReplicaDoesNotCauseShedding(t *testing.T) {
	// Timeouts at a hung replica are no overload: shedding new sessions would not help its requests.
	for name, isResponsive := range map[string]bool{"hung": false, "overloaded": true} {
		b, a := start(t, testSettings(), newFleet(1))
		for i := range 40 {
			b.RequestArrived(t0, a, req(RequestID(i+1), 0, uint64(i+1)))
		}
		for i := range 40 {
			now := t0 + 5*sec + Time(i)*sec/4
			if isResponsive {
				b.fleet.recordResponse(now-ms, 1)
			}
			b.AttemptFinished(now, a,
				Outcome{ID: RequestID(i + 1), Replica: 1, Result: ResultTimedOut, Elapsed: now - t0})
		}
		if isShedding := b.shedShare > 0; isShedding != isResponsive {
			t.Errorf("%s: shedding is %v", name, isShedding)
		}
	}
}

func TestRejectionsByReplicasDoNotCauseShedding(t *testing.T) {
	// A replica that rejects requests while others have capacity is no overload: the requests are retried.
	b, a := start(t, testSettings(), newFleet(9))
	for i := range 40 {
		now, id := t0+Time(i)*sec/4, RequestID(i+1)
		b.RequestArrived(now, a, req(id, 0, uint64(id)))
		b.AttemptFinished(now, a, Outcome{ID: id, Replica: a.last(t).to, Result: ResultFull})
	}
	if b.shedShare > 0 || len(a.sends) < 80 {
		t.Errorf("share rejected is %v, %d sends", b.shedShare, len(a.sends))
	}
}

func TestTimeoutDoesNotEjectAResponsiveReplica(t *testing.T) {
	b, a := start(t, testSettings(), newFleet(1))
	b.RequestArrived(t0, a, req(1, 0, 77))
	b.ResponseStarted(t0+2*ms, a, ResponseStarted{ID: 2, Replica: 1, Elapsed: ms})
	b.AttemptFinished(t0+5*sec, a, Outcome{ID: 1, Replica: 1, Result: ResultTimedOut, Elapsed: 5 * sec})
	if to := b.fleet.byID[1]; to.duration != 0 {
		t.Error("a responsive replica was ejected after one slow request")
	}
}

func TestNeverTooMuchOfTheFleetIsEjected(t *testing.T) {
	b, a := start(t, testSettings(), newFleet(10))
	for _, to := range b.fleet.all.replicas {
		b.eject(t0, a, to, "test")
	}
	ejected := 0
	for _, to := range b.fleet.all.replicas {
		if to.duration > 0 {
			ejected++
		}
	}
	if ejected != 3 {
		t.Errorf("%d of 10 replicas ejected at once, want 3", ejected)
	}
}

// Neither full replicas nor a popular prefix must overload a replica in slow start.
func TestSlowStartBudgetHoldsWhateverTheLoad(t *testing.T) {
	fleet := newFleet(10)
	total, routers := 0, 40
	for g := range routers {
		b, err := New(testSettings(), uint64(g))
		if err != nil {
			t.Fatal(err)
		}
		a := &recorder{}
		b.ListUpdated(t0, a, List{Kind: ListCached, Replicas: fleet})
		restarted := fleet[0]
		restarted.ReadyAt = t0
		b.ListUpdated(t0, a, List{Kind: ListDelta, Replicas: []Replica{restarted}})
		for _, to := range b.fleet.all.replicas[1:] {
			to.fullUntil = t0 + sec // all others reject requests
		}
		for i := range 10 {
			q := req(RequestID(i+1), 0, uint64(g*1000+i+1))
			q.Prefix = 9
			b.RequestArrived(t0, a, q)
			if a.last(t).to == 1 {
				total++
			}
		}
	}
	// The even share of 400 requests is 40. In slow start a replica gets SlowStartInitial of that.
	if most := 40 * testSettings().SlowStartInitial; float64(total) > 1.5*most || total == 0 {
		t.Errorf("%d requests went to the replica in slow start, want about %.0f at most", total, most)
	}
}

func TestFullReplicaGetsNoRequestForAWhile(t *testing.T) {
	b, a := start(t, testSettings(), newFleet(9))
	b.RequestArrived(t0, a, req(1, 0, 77))
	full := a.last(t).to
	b.AttemptFinished(t0+ms, a, Outcome{ID: 1, Replica: full, Result: ResultFull})
	for i := range 50 {
		b.RequestArrived(t0+2*ms, a, req(RequestID(10+i), 0, uint64(i+1)))
		if a.last(t).to == full {
			t.Fatal("a full replica was sent a request again while others were free")
		}
	}
}

func TestLiveWeightsAreSmoothed(t *testing.T) {
	s := testSettings()
	s.WeightMeaning = WeightLive
	b, a := start(t, s, newFleet(9))
	before := map[uint64]ReplicaID{}
	for i := range uint64(300) {
		b.RequestArrived(t0, a, req(RequestID(i+1), 0, i+1))
		before[i+1] = a.last(t).to
	}
	busy := newFleet(9)
	for i := range busy {
		busy[i].Weight = 1 / float64(1+i%3) // a burst: some briefly have three times the load
	}
	c, _ := start(t, s, newFleet(9))
	c.ListUpdated(t0, a, List{Kind: ListDelta, Replicas: busy})
	moved := 0
	for i := range uint64(300) {
		c.RequestArrived(t0, a, req(RequestID(i+1), 0, i+1))
		if a.last(t).to != before[i+1] {
			moved++
		}
	}
	if moved > 30 {
		t.Errorf("%d of 300 sessions moved after one list with other weights", moved)
	}
}

func TestSheddingEndsSoonAfterTheOverload(t *testing.T) {
	b, _ := start(t, testSettings(), newFleet(9))
	now := t0
	for range 100 {
		now += 100 * ms
		b.updateShedShare(now, 1)
	}
	if b.shedShare != maxShedShare {
		t.Fatalf("share rejected is %.2f in overload", b.shedShare)
	}
	for range 100 {
		now += 100 * ms
		b.updateShedShare(now, 0)
	}
	if b.shedShare != 0 {
		t.Errorf("share rejected is still %.2f ten seconds after the overload", b.shedShare)
	}
}

func TestZoneThatIsCutOffIsEjectedAsAWhole(t *testing.T) {
	b, a := start(t, testSettings(), newFleet(30))
	zone0 := b.fleet.sameZone.replicas
	for i := range zoneFailureLimit {
		b.eject(t0, a, zone0[i], "test")
	}
	for i := range 10 {
		b.RequestArrived(t0+ms, a, req(RequestID(i+1), 0, uint64(i+1)))
		if to := b.fleet.byID[a.last(t).to]; to.Zone == 0 {
			t.Fatalf("sent to replica %d of a zone with %d consecutive failures", to.ID, zoneFailureLimit)
		}
	}
	b.ResponseStarted(t0+2*ms, a, ResponseStarted{ID: 1, Replica: zone0[9].ID})
	if !b.isUsable(t0+2*ms, zone0[9], b.requests[1], purposeNewSession) {
		t.Error("a response from the zone did not end its ejection")
	}
}

func TestOnlyZoneIsNeverEjected(t *testing.T) {
	// Its ejection would eject the whole fleet. Every request would then be sent as a last resort, which ignores
	// ejections, and could go to a failed replica.
	s := testSettings()
	s.Zones = 1
	fleet := newFleet(30)
	for i := range fleet {
		fleet[i].Zone = 0
	}
	b, a := start(t, s, fleet)
	for i := range zoneFailureLimit {
		b.eject(t0, a, b.fleet.sameZone.replicas[i], "test")
	}
	for i := range 200 {
		b.RequestArrived(t0+ms, a, req(RequestID(i+1), 0, uint64(i+1)))
		if to := b.fleet.byID[a.last(t).to]; to.duration > 0 {
			t.Fatalf("sent to replica %d, which is ejected", to.ID)
		}
	}
}

func TestTrafficBeyondAShareIsRejectedFirst(t *testing.T) {
	counts := tenants{share: []float64{0.5, 0.5}, count: []float64{0, 0}}
	for i := range 60 {
		counts.countRequest(i % 3 / 2) // two thirds from tenant 0
	}
	if got := counts.rejectShare(1, 0.1); got != 0 {
		t.Errorf("share rejected of a tenant within its share is %.2f, want 0", got)
	}
	if got := counts.rejectShare(0, 0.1); got < 0.14 || got > 0.16 {
		t.Errorf("share rejected of the tenant beyond its share is %.2f, want 0.15 for a tenth of all", got)
	}
	first, second := counts.rejectShare(0, 0.5), counts.rejectShare(1, 0.5)
	if second <= 0 || first <= second || 2*first/3+second/3 < 0.49 || 2*first/3+second/3 > 0.51 {
		t.Errorf("shares rejected for half of all are %.2f and %.2f", first, second)
	}
	if got := counts.rejectShare(7, 0.3); got != 0.3 {
		t.Errorf("share rejected of a request without a tenant is %.2f, want 0.3", got)
	}
}

func TestSheddingSpillsWhereNothingIsReported(t *testing.T) {
	for _, columns := range [][]string{nil, {"util"}} {
		s := testSettings()
		s.ReportColumns = columns
		b, a := start(t, s, newFleet(9))
		b.shedShare = 0.3
		otherZone := 0
		for i := range 1000 {
			b.RequestArrived(t0, a, req(RequestID(i+1), 0, uint64(i+1)*31))
			if b.fleet.byID[a.last(t).to].Zone != 0 {
				otherZone++
			}
		}
		if noReports := columns == nil; noReports != (otherZone > 100) {
			t.Errorf("with report columns %v, %d of 1000 went to the other zone", columns, otherZone)
		}
	}
}

func TestFastErrorsEjectAReplica(t *testing.T) {
	b, a := start(t, testSettings(), newFleet(9))
	b.AttemptFinished(t0, a, Outcome{ID: 900, Replica: 1, Result: ResultError, Elapsed: ms})
	if b.fleet.byID[1].duration != 0 {
		t.Fatal("one error ejected a replica")
	}
	b.AttemptFinished(t0+sec, a, Outcome{ID: 901, Replica: 1, Result: ResultError, Elapsed: ms})
	for i := range 100 {
		b.RequestArrived(t0+sec, a, req(RequestID(i+1), 0, uint64(i+1)))
		if a.last(t).to == 1 {
			t.Fatal("a replica that returns errors was sent a new session")
		}
	}
	b.AttemptFinished(t0+2*sec, a, Outcome{ID: 902, Replica: 1, Result: ResultOK, Elapsed: ms})
	if b.fleet.byID[1].duration != 0 {
		t.Error("a response did not clear the ejection")
	}
}

// A flapping list must not lose requests or corrupt a replica's counters.
func TestReplicaThatLeavesTheListAndReturns(t *testing.T) {
	fleet := newFleet(9)
	b, a := start(t, testSettings(), fleet)
	b.RequestArrived(t0, a, req(1, 0, 77))
	to := a.last(t).to
	var rest []Replica
	for _, e := range fleet {
		if e.ID != to {
			rest = append(rest, e)
		}
	}
	for i := range 5 {
		now := t0 + Time(i)*sec
		b.ListUpdated(now, a, List{Kind: ListFull, Replicas: rest})
		b.RequestArrived(now, a, req(RequestID(10+2*i), 0, 77))
		if a.last(t).to == to {
			t.Fatal("sent to a replica that is not listed")
		}
		b.ListUpdated(now, a, List{Kind: ListFull, Replicas: fleet})
		b.RequestArrived(now, a, req(RequestID(11+2*i), 0, uint64(900+i)))
	}
	b.AttemptFinished(t0+6*sec, a, Outcome{ID: 1, Replica: to, Result: ResultOK, RequestEnded: true})
	if b.requests[1] != nil {
		t.Error("the request in flight at the flapping replica was not removed")
	}
	if got := b.fleet.byID[to].inFlight; got < 0 {
		t.Errorf("the replica that returned has %d attempts in flight", got)
	}
}

func TestClockJumpForward(t *testing.T) {
	b, a := start(t, testSettings(), newFleet(9))
	b.RequestArrived(t0, a, req(1, 0, 77))
	later := t0 + 30*24*time.Hour
	b.AttemptFinished(later, a, Outcome{ID: 1, Replica: a.last(t).to, Result: ResultError, Elapsed: sec})
	if len(a.sends) != 1 || a.finalResponses(1) != 1 {
		t.Errorf("after the deadline: %q, want one final response", a.lines)
	}
	b.RequestArrived(later, a, req(2, 0, 77))
	if len(a.sends) != 2 || len(b.sessions.entries) != 1 {
		t.Errorf("after the jump: %q and %d sessions", a.lines, len(b.sessions.entries))
	}
	if b.shedShare < 0 || b.shedShare > maxShedShare || b.spillShare < 0 || b.spillShare > 1 {
		t.Errorf("shares out of range: shed %v, spill %v", b.shedShare, b.spillShare)
	}
}

func TestReportsThatAreNotNumbersAreIgnored(t *testing.T) {
	s := testSettings()
	s.ReportColumns = []string{"util", "x0"}
	b, a := start(t, s, newFleet(9))
	for _, v := range []float64{math.NaN(), math.Inf(1), -1} {
		b.AttemptFinished(t0, a, Outcome{ID: 900, Replica: 1, Report: Report{N: 2, Values: [4]float64{v, 0.5}}})
	}
	for i := range 50 {
		b.RequestArrived(t0, a, req(RequestID(i+1), 0, uint64(i+1)))
	}
	if to := b.fleet.byID[1]; len(a.sends) != 50 || to.load != to.load || to.backlog != to.backlog {
		t.Errorf("%d of 50 requests were sent, load %v, backlog %v", len(a.sends), to.load, to.backlog)
	}
}

func TestLoadBoundIsTighterWhereNoWeightsAreListed(t *testing.T) {
	maxAttempts := func(w WeightMeaning) int {
		s := testSettings()
		s.WeightMeaning = w
		b, a := start(t, s, newFleet(8))
		counts := map[ReplicaID]int{}
		for i := range 240 {
			b.RequestArrived(t0, a, req(RequestID(i+1), 0, uint64(i+1)))
			counts[a.last(t).to]++
		}
		highest := 0
		for _, n := range counts {
			highest = max(highest, n)
		}
		return highest
	}
	// The mean of 240 attempts at 8 replicas is 30; the bound without sizes is the mean and one.
	if sized, unsized := maxAttempts(WeightSize), maxAttempts(WeightUnused); unsized > 31 || unsized >= sized {
		t.Errorf("most attempts of a replica: %d with sizes listed, %d without, want at most 31", sized, unsized)
	}
}

func TestLatenessOfAnswersWithoutAStream(t *testing.T) {
	b, a := start(t, testSettings(), newFleet(9))
	for i := range 30 {
		id := RequestID(i + 1)
		b.RequestArrived(t0+Time(i)*sec, a, req(id, 1, 0))
		if a.finalResponses(id) == 0 {
			b.AttemptFinished(t0+Time(i)*sec, a, Outcome{
				ID: id, Replica: a.last(t).to,
				Result: ResultOK, Elapsed: 4 * sec, RequestEnded: true,
			})
		}
	}
	if b.shedShare == 0 {
		t.Error("late responses of a class without streaming did not cause shedding")
	}
}

func TestFullFleetDoesNotTryEjectedReplicas(t *testing.T) {
	// The ejection of a replica must hold even if all usable replicas are over the load bound. This happens in a
	// deployment, when replicas in slow start keep the mean low.
	s := testSettings()
	s.WeightMeaning, s.SlowStart = WeightUnused, 100*sec
	replicas := newFleet(8)
	for i := 2; i < len(replicas); i++ {
		replicas[i].ReadyAt = t0 // in slow start: almost no traffic
	}
	b, a := start(t, s, replicas)
	ejected := replicas[0].ID
	b.eject(t0, a, b.fleet.byID[ejected], "no connection")
	overBound := 0
	for i := range 40 {
		b.RequestArrived(t0, a, req(RequestID(i+1), 0, uint64(i+1)))
		if a.why == ReasonOverBound {
			overBound++
		}
		if a.last(t).to == ejected || a.why == ReasonLastResort {
			t.Fatalf("request %d went to replica %d (%v), the ejected one is %d", i+1, a.last(t).to, a.why, ejected)
		}
	}
	if overBound == 0 {
		t.Error("the load bound was never exceeded")
	}
}

func TestDisconnectAtTheDeadlineEjectsButDoesNotShed(t *testing.T) {
	// The timeout of a request whose client disconnected may eject its replica but must not cause shedding.
	s := testSettings()
	s.Classes[0].Effect = EffectSafe
	b, a := start(t, s, newFleet(4))
	for i := range 200 {
		id, at := RequestID(i+1), t0+time.Duration(i)*sec/10
		b.RequestArrived(at, a, req(id, 0, uint64(i+1)))
		to := a.last(t).to
		b.ResponseStarted(at+sec, a, ResponseStarted{ID: 9999, Replica: to}) // a response to another request
		b.ClientDisconnected(at+5*sec, a, id)
		outcome := Outcome{ID: id, Replica: to, Result: ResultTimedOut, Elapsed: 5 * sec, RequestEnded: true}
		b.AttemptFinished(at+5*sec, a, outcome)
	}
	if b.shedShare != 0 {
		t.Errorf("share rejected is %v, want 0", b.shedShare)
	}
	b.RequestArrived(t0+100*sec, a, req(1000, 0, 1000))
	hung := a.last(t).to
	b.ClientDisconnected(t0+105*sec, a, 1000)
	outcome := Outcome{ID: 1000, Replica: hung, Result: ResultTimedOut, Elapsed: 5 * sec, RequestEnded: true}
	b.AttemptFinished(t0+105*sec, a, outcome)
	if b.fleet.byID[hung].duration == 0 {
		t.Error("a replica without responses is not ejected")
	}
}
