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

// recorder keeps what the balancer does, as lines, and what it sent last.
type recorder struct {
	why   Why // of the latest action
	lines []string
	sends []send
	wakes []wake
}

type send struct {
	id      RequestID
	to      ReplicaID
	timeout time.Duration
}

type wake struct {
	after time.Duration
	token uint64
}

func (r *recorder) add(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

func (r *recorder) Because(id RequestID, why Why) { r.why = why }

func (r *recorder) Send(id RequestID, to ReplicaID, timeout time.Duration) {
	r.add("send %d to %d for %v", id, to, timeout)
	r.sends = append(r.sends, send{id, to, timeout})
}
func (r *recorder) Refuse(id RequestID, retryAfter time.Duration) { r.add("refuse %d", id) }
func (r *recorder) Fail(id RequestID)                             { r.add("fail %d", id) }
func (r *recorder) Cancel(id RequestID, attempt int)              { r.add("cancel %d/%d", id, attempt) }
func (r *recorder) Probe(to ReplicaID)                            { r.add("probe %d", to) }
func (r *recorder) Watch()                                        { r.add("watch") }
func (r *recorder) Log(line string)                               {}
func (r *recorder) Wake(after time.Duration, token uint64) {
	r.add("wake %v %d", after, token)
	r.wakes = append(r.wakes, wake{after, token})
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

func settings() Settings {
	return Settings{
		Gateways: 4, Zones: 2, Weights: SizeWeights,
		Classes: []Class{
			{Name: "safe", Aim: sec, Deadline: 10 * sec, Worth: 1, Streaming: true},
			{Name: "unsafe", Aim: sec, Deadline: 10 * sec, Worth: 1, Effect: Unsafe},
			{
				Name: "keyed", Aim: sec, Deadline: 10 * sec, Worth: 1,
				Effect: Keyed, Group: GroupZone, DedupWindow: 2 * sec,
			},
		},
		Limits: Limits{
			Cancel: true, MaxAttempts: 3,
			MaxRetryAfter: sec,
		},
		CrossZone:  0.1,
		DrainGrace: 500 * ms, ColdFrom: 0.2, WarmUp: 20 * sec, AskWithin: 10 * sec, AskDiscovery: true,
	}
}

// fleetOf lists n ready replicas, numbered from 1, all in zone 0 but for every third.
func fleetOf(n int) []Replica {
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
	b.Listed(100*sec, a, List{Kind: ListCached, Replicas: replicas})
	return b, a
}

const t0 = 100 * sec

func req(id RequestID, class int, session uint64) Request {
	return Request{ID: id, Class: class, Session: session, PromptTokens: 500, ExpiresIn: 5 * sec}
}

func (a *recorder) last(t *testing.T) send {
	t.Helper()
	if len(a.sends) == 0 {
		t.Fatal("nothing was sent")
	}
	return a.sends[len(a.sends)-1]
}

// ends counts the final answers that the balancer gave to a request.
func (a *recorder) ends(id RequestID) int {
	return a.count(fmt.Sprintf("refuse %d", id)) + a.count(fmt.Sprintf("fail %d", id))
}

func TestSessionStaysWithItsReplica(t *testing.T) {
	b, a := start(t, settings(), fleetOf(9))
	b.Arrive(t0, a, req(1, 0, 77))
	first := a.last(t).to
	for i := range 20 {
		now := t0 + Time(i)*sec
		b.Arrive(now, a, req(RequestID(i+2), 0, 77))
		if got := a.last(t).to; got != first {
			t.Fatalf("turn %d went to %d, the session is pinned to %d", i, got, first)
		}
	}
}

func TestNewSessionsAreSpread(t *testing.T) {
	b, a := start(t, settings(), fleetOf(8))
	seen := map[ReplicaID]int{}
	for i := range 800 {
		b.Arrive(t0, a, req(RequestID(i+1), 0, uint64(i+1)*7919))
		seen[a.last(t).to]++
	}
	for id := ReplicaID(1); id <= 8; id++ {
		if id%3 != 0 && seen[id] < 50 {
			t.Errorf("replica %d got %d of 800 new sessions", id, seen[id])
		}
	}
}

func TestFailedConnectionIsRetriedElsewhereAndTheSessionMoves(t *testing.T) {
	b, a := start(t, settings(), fleetOf(9))
	b.Arrive(t0, a, req(1, 0, 77))
	first := a.last(t).to
	b.Finished(t0+10*ms, a, Outcome{ID: 1, Attempt: 0, Replica: first, Result: ConnectFailed})
	second := a.last(t).to
	if len(a.sends) != 2 || second == first {
		t.Fatalf("sends %v: want a second attempt elsewhere", a.sends)
	}
	b.Arrive(t0+20*ms, a, req(2, 0, 77))
	if got := a.last(t).to; got != second {
		t.Errorf("the session's next turn went to %d, it was served last by %d", got, second)
	}
}

func TestOneFinalAnswerOnEveryPath(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(b *Balancer, a *recorder)
		own  int // final answers that the balancer must give itself
	}{
		{"times out at the deadline", func(b *Balancer, a *recorder) {
			b.Arrive(t0, a, req(1, 0, 7))
			b.Finished(t0+5*sec, a, Outcome{ID: 1, Replica: a.sends[0].to, Result: TimedOut})
		}, 1},
		{"served", func(b *Balancer, a *recorder) {
			b.Arrive(t0, a, req(1, 0, 7))
			b.Started(t0+sec, a, Started{ID: 1, Replica: a.sends[0].to})
			b.Finished(t0+2*sec, a, Outcome{ID: 1, Replica: a.sends[0].to, Result: OK, Ended: true})
		}, 0},
		{"the stream breaks", func(b *Balancer, a *recorder) {
			b.Arrive(t0, a, req(1, 0, 7))
			b.Started(t0+sec, a, Started{ID: 1, Replica: a.sends[0].to})
			b.Finished(t0+2*sec, a, Outcome{ID: 1, Replica: a.sends[0].to, Result: Reset, Ended: true})
		}, 0},
		{"the client leaves", func(b *Balancer, a *recorder) {
			b.Arrive(t0, a, req(1, 0, 7))
			b.Departed(t0+sec, a, 1)
			b.Finished(t0+sec, a, Outcome{ID: 1, Replica: a.sends[0].to, Result: Cancelled, Ended: true})
		}, 0},
		{"all attempts are used", func(b *Balancer, a *recorder) {
			b.Arrive(t0, a, req(1, 0, 7))
			for i := range 3 {
				b.Finished(t0+Time(i)*ms, a, Outcome{ID: 1, Attempt: i, Replica: a.sends[i].to, Result: Full})
			}
		}, 1},
		{"expires on arrival", func(b *Balancer, a *recorder) {
			b.Arrive(t0, a, Request{ID: 1})
		}, 1},
		{"of an unknown class", func(b *Balancer, a *recorder) {
			b.Arrive(t0, a, Request{ID: 1, Class: 99, ExpiresIn: sec})
		}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, a := start(t, settings(), fleetOf(9))
			tc.run(b, a)
			if got := a.ends(1); got != tc.own {
				t.Errorf("%d final answers, want %d: %q", got, tc.own, a.lines)
			}
			if len(b.requests) != 0 {
				t.Errorf("the request is still held: %+v", b.requests[1])
			}
			n := len(a.sends)
			b.Finished(t0+6*sec, a, Outcome{ID: 1, Replica: 1, Result: Error})
			b.Departed(t0+6*sec, a, 1)
			if len(a.sends) != n || a.ends(1) != tc.own {
				t.Errorf("late events moved a finished request: %q", a.lines)
			}
		})
	}
}

func TestNoReplicaAtAll(t *testing.T) {
	b, a := start(t, settings(), nil)
	b.Arrive(t0, a, req(1, 1, 7))
	if a.count("refuse 1") != 1 || len(a.sends) != 0 {
		t.Errorf("got %q, want one refusal", a.lines)
	}
}

func TestUnsafeRequestsAreSentAgainOnlyAfterProof(t *testing.T) {
	for _, tc := range []struct {
		result Result
		sends  int
		end    string
	}{
		{Full, 2, ""},
		{ConnectFailed, 2, ""},
		{Error, 1, "fail 1"},
		{Reset, 1, "fail 1"},
		{TimedOut, 1, "fail 1"},
	} {
		b, a := start(t, settings(), fleetOf(9))
		b.Arrive(t0, a, req(1, 1, 7))
		b.Finished(t0+ms, a, Outcome{ID: 1, Replica: a.sends[0].to, Result: tc.result})
		if len(a.sends) != tc.sends || tc.end != "" && a.count(tc.end) != 1 {
			t.Errorf("after result %d: %q", tc.result, a.lines)
		}
	}
}

func TestKeyedRequestsStayInTheirGroupAndWindow(t *testing.T) {
	b, a := start(t, settings(), fleetOf(12))
	b.Arrive(t0, a, req(1, 2, 7))
	zone := func(id ReplicaID) int { return b.fleet.byID[id].Zone }
	b.Finished(t0+ms, a, Outcome{ID: 1, Replica: a.sends[0].to, Result: Error})
	if len(a.sends) != 2 || zone(a.sends[0].to) != zone(a.sends[1].to) {
		t.Fatalf("sends %v: want a repeat in the same zone", a.sends)
	}
	b.Finished(t0+2*sec, a, Outcome{ID: 1, Attempt: 1, Replica: a.sends[1].to, Result: Error})
	if len(a.sends) != 2 || a.count("fail 1") != 1 {
		t.Errorf("after the window: %q", a.lines)
	}
}

func TestDrainingReplicaKeepsItsSessionsForTheGraceOnly(t *testing.T) {
	fleet := fleetOf(9)
	b, a := start(t, settings(), fleet)
	b.Arrive(t0, a, req(1, 0, 77))
	to := a.last(t).to
	drained := fleet[to-1]
	drained.State = Draining
	// The watch fails meanwhile: what was told stays in force.
	b.Listed(t0+sec, a, List{Kind: ListDelta, Replicas: []Replica{drained}})
	b.Listed(t0+sec, a, List{Kind: ListFailed})
	b.Arrive(t0+sec+499*ms, a, req(2, 0, 77))
	if got := a.last(t).to; got != to {
		t.Errorf("within the grace the session went to %d, want %d", got, to)
	}
	// Told again: the first time counts.
	b.Listed(t0+sec+499*ms, a, List{Kind: ListDelta, Replicas: []Replica{drained}})
	b.Arrive(t0+sec+501*ms, a, req(3, 0, 77))
	if got := a.last(t).to; got == to {
		t.Error("a draining replica was sent a request after the grace")
	}
	for i := range 300 {
		b.Arrive(t0+sec, a, req(RequestID(10+i), 0, uint64(1000+i)))
		if a.last(t).to == to {
			t.Fatal("a new session was drawn to a draining replica")
		}
	}
}

func TestGoneReplicaGetsNothing(t *testing.T) {
	b, a := start(t, settings(), fleetOf(9))
	b.Arrive(t0, a, req(1, 0, 77))
	to := a.last(t).to
	var rest []Replica
	for _, e := range fleetOf(9) {
		if e.ID != to {
			rest = append(rest, e)
		}
	}
	b.Listed(t0+sec, a, List{Kind: ListFull, Replicas: rest})
	b.Arrive(t0+sec, a, req(2, 0, 77))
	if a.last(t).to == to {
		t.Error("a replica that left the list was sent a request")
	}
}

// A restarted replica is sent its cold share at most, with its pinned sessions counted.
func TestColdReplicaGetsItsShareOfPinnedAndNewSessions(t *testing.T) {
	fleet := fleetOf(8)
	b, a := start(t, settings(), fleet)
	const n = 4000
	for i := range n {
		b.Arrive(t0, a, req(RequestID(i+1), 0, uint64(i+1)))
	}
	cold := a.sends[0].to
	warmCount := 0
	for _, s := range a.sends {
		if s.to == cold {
			warmCount++
		}
	}
	restarted := fleet[cold-1]
	restarted.ReadyAt = t0 + sec
	b.Listed(t0+2*sec, a, List{Kind: ListDelta, Replicas: []Replica{restarted}})
	a.sends = nil
	for i := range n {
		b.Arrive(t0+2*sec, a, req(RequestID(n+i+1), 0, uint64(i+1)))
	}
	got := 0
	for _, s := range a.sends {
		if s.to == cold {
			got++
		}
	}
	// At an age of 1 s of 20 the share is 0.24 of the usual traffic.
	if usual := float64(warmCount); float64(got) > 0.32*usual || got == 0 {
		t.Errorf("%d requests went to the cold replica, which usually takes %d", got, warmCount)
	}
}

func TestWatchIsSpreadAndRetriedWithGrowingWaits(t *testing.T) {
	waits := map[time.Duration]bool{}
	for seed := range uint64(50) {
		b, err := New(settings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		a := &recorder{}
		b.Listed(t0, a, List{Kind: ListCached, Replicas: fleetOf(3)})
		if len(a.wakes) != 1 || a.count("watch") != 0 {
			t.Fatalf("at the start: %q", a.lines)
		}
		waits[a.wakes[0].after] = true
		b.Timer(t0+a.wakes[0].after, a, a.wakes[0].token)
		b.Listed(t0+sec, a, List{Kind: ListDelta})
		if a.count("watch") != 1 || len(a.wakes) != 1 {
			t.Fatalf("one watch and no polling wanted: %q", a.lines)
		}
		most := time.Duration(0)
		for range 6 {
			b.Listed(t0+2*sec, a, List{Kind: ListFailed})
			w := a.wakes[len(a.wakes)-1].after
			if w > settings().AskWithin {
				t.Fatalf("a wait of %v outlasts AskWithin", w)
			}
			most = max(most, w)
		}
		if most < 4*sec {
			t.Errorf("the waits do not grow: %q", a.lines)
		}
	}
	if len(waits) < 40 {
		t.Errorf("only %d different first waits over 50 gateways", len(waits))
	}
}

func TestPushedListIsNotAskedFor(t *testing.T) {
	s := settings()
	s.AskDiscovery = false
	_, a := start(t, s, fleetOf(3))
	if len(a.lines) != 0 {
		t.Errorf("got %q", a.lines)
	}
}

func TestSessionTableIsBoundedAndExpires(t *testing.T) {
	b, a := start(t, settings(), fleetOf(3))
	for i := range maxSessions + 1000 {
		b.sessions.pin(t0, uint64(i+1), b.fleet.byID[1])
	}
	if n := len(b.sessions.entries); n != maxSessions || b.sessions.recent.Len() != n {
		t.Errorf("%d entries, want %d", n, maxSessions)
	}
	if b.sessions.find(t0, 1) != nil || b.sessions.find(t0, maxSessions+1000) == nil {
		t.Error("the oldest entry should have left, the newest should be there")
	}
	b.sessions.pin(t0+sessionIdle+sec, 5, b.fleet.byID[1])
	if n := len(b.sessions.entries); n != 1 {
		t.Errorf("%d entries after the idle time, want 1", n)
	}
	_ = a
}

func TestUnknownEventsAreIgnored(t *testing.T) {
	b, a := start(t, settings(), fleetOf(3))
	n := len(a.lines)
	b.Started(t0, a, Started{ID: 9, Replica: 99})
	b.Finished(t0, a, Outcome{ID: 9, Replica: 99, Attempt: -1})
	b.Departed(t0, a, 9)
	b.Probed(t0, a, ProbeResult{Replica: 99})
	b.Timer(t0, a, 1<<60)
	if len(a.lines) != n {
		t.Errorf("got %q", a.lines[n:])
	}
}

func TestNewNamesTheSettingAtFault(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"Classes":            func(s *Settings) { s.Classes = nil },
		"Limits.MaxAttempts": func(s *Settings) { s.Limits.MaxAttempts = 0 },
		"ColdFrom":           func(s *Settings) { s.ColdFrom = 0 },
		"Gateway":            func(s *Settings) { s.Gateway = 4 },
		"Zone":               func(s *Settings) { s.Zone = -1 },
		"AskWithin":          func(s *Settings) { s.AskWithin = 0 },
		"WarmUp":             func(s *Settings) { s.WarmUp = -1 },
		"DrainGrace":         func(s *Settings) { s.DrainGrace = -1 },
		"MaxRetryAfter":      func(s *Settings) { s.Limits.MaxRetryAfter = -1 },
		"ReportColumns":      func(s *Settings) { s.ReportColumns = make([]string, 5) },
		"keyed":              func(s *Settings) { s.Classes[2].Deadline = 0 },
	} {
		s := settings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s out of range: error %v", name, err)
		}
	}
}

func TestGatewaysDrawAlikeForOneSession(t *testing.T) {
	counts := map[ReplicaID]int{}
	for session := uint64(1); session <= 3000; session++ {
		b1, err1 := New(settings(), 1)
		b2, err2 := New(settings(), 2)
		if err1 != nil || err2 != nil {
			t.Fatal(err1, err2)
		}
		a1, a2 := &recorder{}, &recorder{}
		fleet := fleetOf(2)
		fleet[1].Weight = 3
		b1.Listed(t0, a1, List{Kind: ListCached, Replicas: fleet})
		b2.Listed(t0, a2, List{Kind: ListCached, Replicas: fleet})
		b1.Arrive(t0, a1, req(1, 0, session))
		b2.Arrive(t0, a2, req(1, 0, session))
		if a1.last(t).to != a2.last(t).to {
			t.Fatalf("session %d was drawn to %d and to %d", session, a1.last(t).to, a2.last(t).to)
		}
		counts[a1.last(t).to]++
	}
	if share := float64(counts[2]) / 3000; share < 0.7 || share > 0.8 {
		t.Errorf("a replica of weight 3 beside one of 1 got %.2f of the sessions", share)
	}
}

func TestReportsShiftTheDrawAndFade(t *testing.T) {
	s := settings()
	s.ReportColumns = []string{"eps", "util"}
	share := func(now Time, coldSince Time) float64 {
		b, a := start(t, s, fleetOf(2))
		for range 40 { // replica 1 is busy, replica 2 nearly idle
			b.Finished(t0, a, Outcome{ID: 1e9, Replica: 1, Report: Report{N: 2, Values: [4]float64{0, 0.9}}})
			b.Finished(t0, a, Outcome{ID: 1e9, Replica: 2, Report: Report{N: 2, Values: [4]float64{9, 0.1}}})
		}
		b.fleet.byID[2].coldUntil = coldSince
		n := 0
		for i := range 2000 {
			b.Arrive(now, a, req(RequestID(i+1), 0, uint64(i+1)))
			if a.last(t).to == 2 {
				n++
			}
		}
		return float64(n) / 2000
	}
	if got := share(t0, 0); got < 0.75 {
		t.Errorf("the idle replica drew %.2f of the sessions, the busy one the rest", got)
	}
	if got := share(t0+reportFades, 0); got < 0.45 || got > 0.55 {
		t.Errorf("by a stale report the idle replica drew %.2f", got)
	}
	// A cold replica is idle because it is cold: it may only lose by its report.
	if got := share(t0, t0+settings().WarmUp); got > 0.2 {
		t.Errorf("a cold idle replica drew %.2f", got)
	}
}

func TestPopularPrefixesHaveWiderLists(t *testing.T) {
	b, a := start(t, settings(), fleetOf(60))
	used := map[uint64]map[ReplicaID]bool{1: {}, 2: {}}
	for i := range 400 {
		q := req(RequestID(i+1), 0, uint64(i+1)*31)
		q.Prefix = 1
		if i%20 == 0 {
			q.Prefix = 2
		} else if i%2 == 0 {
			q.Prefix = uint64(1000 + i)
		}
		b.Arrive(t0, a, q)
		if set := used[q.Prefix]; set != nil && i >= 200 {
			set[a.last(t).to] = true
		}
	}
	if rare, popular := len(used[2]), len(used[1]); rare > 8 || popular < 20 {
		t.Errorf("a prefix of 5%% of the traffic used %d replicas, one of 50%% used %d", rare, popular)
	}
	if n := len(b.prefixes.count); n > 2*prefixMemory {
		t.Errorf("%d prefixes are remembered", n)
	}
}

func TestOwnZoneFirstAndASmallZoneSpills(t *testing.T) {
	nearShare := func(replicas []Replica) float64 {
		b, a := start(t, settings(), replicas)
		n := 0
		for i := range 1000 {
			b.Arrive(t0, a, req(RequestID(i+1), 0, uint64(i+1)*31))
			if b.fleet.byID[a.last(t).to].Zone == 0 {
				n++
			}
		}
		return float64(n) / 1000
	}
	if got := nearShare(fleetOf(9)); got != 1 {
		t.Errorf("%.2f stayed in a zone that holds two thirds of the fleet", got)
	}
	small := fleetOf(10)
	for i := range small {
		small[i].Zone = 1
	}
	small[0].Zone = 0
	// A tenth of the fleet for half of the clients: it keeps a fifth, and its part of what spills.
	if got := nearShare(small); got < 0.1 || got > 0.35 {
		t.Errorf("%.2f stayed in a zone that holds a tenth of the fleet", got)
	}
}

func TestLatenessInTheZoneSpills(t *testing.T) {
	b, a := start(t, settings(), fleetOf(9))
	for i := range 20 {
		b.Arrive(t0, a, req(RequestID(i+1), 0, uint64(i+1)*31))
		b.Started(t0+3*sec, a, Started{ID: RequestID(i + 1), Replica: a.last(t).to, Elapsed: 3 * sec})
	}
	high := b.spill
	if high < 0.5 {
		t.Errorf("spilled share %.2f after late answers only", high)
	}
	for i := range 400 {
		b.Arrive(t0, a, req(RequestID(i+100), 0, uint64(i+100)*31))
		b.Started(t0+9*ms, a, Started{ID: RequestID(i + 100), Replica: a.last(t).to, Elapsed: 9 * ms})
	}
	if b.spill >= high && b.set.CrossZone > 0 {
		t.Errorf("spilled share %.2f after prompt answers, %.2f before", b.spill, high)
	}
}

func TestLatenessShedsNewSessionsBeforeKnownOnes(t *testing.T) {
	b, a := start(t, settings(), fleetOf(9))
	b.Arrive(t0, a, req(1, 0, 4242)) // a session that is known before the trouble
	now := t0
	for i := range 200 {
		now += 100 * ms
		id := RequestID(i + 10)
		b.Arrive(now, a, req(id, 0, uint64(i+1)*31))
		b.Started(now, a, Started{ID: id, Replica: a.last(t).to, Elapsed: 2 * sec})
	}
	if b.shed != shedMost {
		t.Fatalf("share refused is %.2f after late answers only", b.shed)
	}
	n := a.count("refuse")
	b.Arrive(now, a, req(900, 0, 4242))
	if a.count("refuse") != n {
		t.Error("a session with kept prompts was refused")
	}
	refused := 0
	for i := range 200 {
		first, again := RequestID(1000+2*i), RequestID(1001+2*i)
		b.Arrive(now, a, req(first, 0, uint64(i+7000)))
		if a.ends(first) == 1 {
			refused++
			b.Arrive(now, a, req(again, 0, uint64(i+7000)))
			if a.count(fmt.Sprintf("send %d ", again)) != 0 {
				t.Error("a refused session got in by trying again")
			}
		}
	}
	if refused < 80 || refused > 160 {
		t.Errorf("%d of 200 new sessions refused, want about %v", refused, 200*shedMost)
	}
}

func TestHungReplicaIsMarkedUntilItAnswers(t *testing.T) {
	b, a := start(t, settings(), fleetOf(9))
	b.Arrive(t0, a, req(1, 0, 77))
	hung := a.last(t).to
	b.Finished(t0+5*sec, a, Outcome{ID: 1, Replica: hung, Result: TimedOut, Elapsed: 5 * sec})
	b.Arrive(t0+5*sec, a, req(2, 0, 77))
	if a.last(t).to == hung {
		t.Fatal("a session stayed with a replica that hangs")
	}
	// Its spell over, one request tries it, and while that is out no other.
	now := t0 + 5*sec + closedFirst
	b.fleet.out = 1000 // so that the bound on own attempts is out of the way
	a.sends = nil
	for i := range 300 {
		b.Arrive(now, a, req(RequestID(10+i), 0, uint64(500+i)))
	}
	tried := 0
	for _, s := range a.sends {
		if s.to == hung {
			tried++
		}
	}
	if tried != 1 {
		t.Errorf("%d requests tried a replica whose mark had lapsed, want 1", tried)
	}
	b.Started(now+ms, a, Started{ID: 1, Replica: hung, Elapsed: 2 * sec})
	if !b.usable(now+ms, b.fleet.byID[hung], b.requests[2], newSession) {
		t.Error("an answer did not clear the mark")
	}
}

func TestStaleConnectionIsNoSignAgainstItsReplica(t *testing.T) {
	// A replica may close connections that it keeps at any time: that closes no replica, drives no session away
	// from its kept prompt, and uses up none of what is saved for a crash.
	b, a := start(t, settings(), fleetOf(1))
	b.Arrive(t0, a, req(1, 0, 77))
	saved := b.retries
	b.Finished(t0+ms, a, Outcome{ID: 1, Replica: 1, Result: Reset, Stale: true})
	if len(a.sends) != 2 || b.fleet.byID[1].spell != 0 || b.retries != saved {
		t.Errorf("%d sends, mark %v, %v of %v saved", len(a.sends), b.fleet.byID[1].spell, b.retries, saved)
	}
	b.Finished(t0+2*ms, a, Outcome{ID: 1, Attempt: 1, Replica: 1, Result: Reset})
	if len(a.sends) != 2 || b.fleet.byID[1].spell == 0 {
		t.Errorf("a reset of a new connection: %d sends, mark %v", len(a.sends), b.fleet.byID[1].spell)
	}
}

func TestHungReplicaRefusesNobody(t *testing.T) {
	// Time-outs at a replica that hangs are no overload: refusing new sessions would not help the ones it holds.
	for name, answers := range map[string]bool{"hung": false, "overloaded": true} {
		b, a := start(t, settings(), fleetOf(1))
		for i := range 40 {
			b.Arrive(t0, a, req(RequestID(i+1), 0, uint64(i+1)))
		}
		for i := range 40 {
			now := t0 + 5*sec + Time(i)*sec/4
			if answers {
				b.fleet.answers(now-ms, 1)
			}
			b.Finished(now, a, Outcome{ID: RequestID(i + 1), Replica: 1, Result: TimedOut, Elapsed: now - t0})
		}
		if refuses := b.shed > 0; refuses != answers {
			t.Errorf("%s: new sessions are refused: %v", name, refuses)
		}
	}
}

func TestBeingTurnedAwayRefusesNobody(t *testing.T) {
	// A replica that drains turns all away while others have room: that is no overload; the request goes on.
	b, a := start(t, settings(), fleetOf(9))
	for i := range 40 {
		now, id := t0+Time(i)*sec/4, RequestID(i+1)
		b.Arrive(now, a, req(id, 0, uint64(id)))
		b.Finished(now, a, Outcome{ID: id, Replica: a.last(t).to, Result: Full})
	}
	if b.shed > 0 || len(a.sends) < 80 {
		t.Errorf("%v of the new sessions are refused, %d sends", b.shed, len(a.sends))
	}
}

func TestTimeOutAtAnAnsweringReplicaMarksNothing(t *testing.T) {
	b, a := start(t, settings(), fleetOf(1))
	b.Arrive(t0, a, req(1, 0, 77))
	b.Started(t0+2*ms, a, Started{ID: 2, Replica: 1, Elapsed: ms})
	b.Finished(t0+5*sec, a, Outcome{ID: 1, Replica: 1, Result: TimedOut, Elapsed: 5 * sec})
	if to := b.fleet.byID[1]; to.spell != 0 {
		t.Error("a replica that answers others was marked for one heavy request")
	}
}

func TestNeverTooMuchOfTheFleetIsMarked(t *testing.T) {
	b, a := start(t, settings(), fleetOf(10))
	for _, to := range b.fleet.all.replicas {
		b.mark(t0, a, to, "test")
	}
	marked := 0
	for _, to := range b.fleet.all.replicas {
		if to.spell > 0 {
			marked++
		}
	}
	if marked != 3 {
		t.Errorf("%d of 10 replicas marked at once, want 3", marked)
	}
}

// Full replicas beside it, a popular prefix and its pins must not push a cold replica over.
func TestColdBudgetHoldsWhateverTheLoad(t *testing.T) {
	fleet := fleetOf(10)
	total, gateways := 0, 40
	for g := range gateways {
		b, err := New(settings(), uint64(g))
		if err != nil {
			t.Fatal(err)
		}
		a := &recorder{}
		b.Listed(t0, a, List{Kind: ListCached, Replicas: fleet})
		restarted := fleet[0]
		restarted.ReadyAt = t0
		b.Listed(t0, a, List{Kind: ListDelta, Replicas: []Replica{restarted}})
		for _, to := range b.fleet.all.replicas[1:] {
			to.fullUntil = t0 + sec // all others turn requests away
		}
		for i := range 10 {
			q := req(RequestID(i+1), 0, uint64(g*1000+i+1))
			q.Prefix = 9
			b.Arrive(t0, a, q)
			if a.last(t).to == 1 {
				total++
			}
		}
	}
	// 400 requests: an even share is 40, of which a cold replica may have ColdFrom.
	if most := 40 * settings().ColdFrom; float64(total) > 1.5*most || total == 0 {
		t.Errorf("%d requests went to the cold replica, want about %.0f at most", total, most)
	}
}

func TestFullReplicaIsNotAskedAgainAtOnce(t *testing.T) {
	b, a := start(t, settings(), fleetOf(9))
	b.Arrive(t0, a, req(1, 0, 77))
	full := a.last(t).to
	b.Finished(t0+ms, a, Outcome{ID: 1, Replica: full, Result: Full})
	for i := range 50 {
		b.Arrive(t0+2*ms, a, req(RequestID(10+i), 0, uint64(i+1)))
		if a.last(t).to == full {
			t.Fatal("a replica that was full a moment ago was asked again while others were free")
		}
	}
}

func TestLiveWeightsAreEvenedOut(t *testing.T) {
	s := settings()
	s.Weights = LiveWeights
	b, a := start(t, s, fleetOf(9))
	before := map[uint64]ReplicaID{}
	for i := range uint64(300) {
		b.Arrive(t0, a, req(RequestID(i+1), 0, i+1))
		before[i+1] = a.last(t).to
	}
	busy := fleetOf(9)
	for i := range busy {
		busy[i].Weight = 1 / float64(1+i%3) // a burst: for a moment some hold three times as much
	}
	c, _ := start(t, s, fleetOf(9))
	c.Listed(t0, a, List{Kind: ListDelta, Replicas: busy})
	moved := 0
	for i := range uint64(300) {
		c.Arrive(t0, a, req(RequestID(i+1), 0, i+1))
		if a.last(t).to != before[i+1] {
			moved++
		}
	}
	if moved > 30 {
		t.Errorf("%d of 300 sessions are drawn elsewhere after one list of other loads", moved)
	}
}

func TestRefusingEndsSoonAfterTheOverload(t *testing.T) {
	b, _ := start(t, settings(), fleetOf(9))
	now := t0
	for range 100 {
		now += 100 * ms
		b.learnShed(now, 1)
	}
	if b.shed != shedMost {
		t.Fatalf("share refused is %.2f in overload", b.shed)
	}
	for range 100 {
		now += 100 * ms
		b.learnShed(now, 0)
	}
	if b.shed != 0 {
		t.Errorf("share refused is still %.2f ten seconds after the overload", b.shed)
	}
}

func TestCutOffZoneIsClosedAsOne(t *testing.T) {
	b, a := start(t, settings(), fleetOf(30))
	zone0 := b.fleet.near.replicas
	for i := range zoneFails {
		b.mark(t0, a, zone0[i], "test")
	}
	for i := range 10 {
		b.Arrive(t0+ms, a, req(RequestID(i+1), 0, uint64(i+1)))
		if to := b.fleet.byID[a.last(t).to]; to.Zone == 0 {
			t.Fatalf("sent to replica %d of a zone in which %d failed in a row", to.ID, zoneFails)
		}
	}
	b.Started(t0+2*ms, a, Started{ID: 1, Replica: zone0[9].ID})
	if !b.usable(t0+2*ms, zone0[9], b.requests[1], newSession) {
		t.Error("an answer from the zone did not open it")
	}
}

func TestLoneZoneIsNeverClosedAsOne(t *testing.T) {
	// That would close the whole fleet: every session would be sent as a last resort, which asks for no
	// marks, and so to the very replicas that fail.
	s := settings()
	s.Zones = 1
	fleet := fleetOf(30)
	for i := range fleet {
		fleet[i].Zone = 0
	}
	b, a := start(t, s, fleet)
	for i := range zoneFails {
		b.mark(t0, a, b.fleet.near.replicas[i], "test")
	}
	for i := range 200 {
		b.Arrive(t0+ms, a, req(RequestID(i+1), 0, uint64(i+1)))
		if to := b.fleet.byID[a.last(t).to]; to.spell > 0 {
			t.Fatalf("sent to replica %d, which is closed", to.ID)
		}
	}
}

func TestTrafficBeyondAShareIsRefusedFirst(t *testing.T) {
	x := tenants{share: []float64{0.5, 0.5}, count: []float64{0, 0}}
	for i := range 60 {
		x.saw(i % 3 / 2) // tenant 0 sends two thirds
	}
	if got := x.refuse(1, 0.1); got != 0 {
		t.Errorf("a tenant within its share is refused %.2f", got)
	}
	if got := x.refuse(0, 0.1); got < 0.14 || got > 0.16 {
		t.Errorf("the tenant beyond its share is refused %.2f, want 0.15 for a tenth of all", got)
	}
	if a, b := x.refuse(0, 0.5), x.refuse(1, 0.5); b <= 0 || a <= b || 2*a/3+b/3 < 0.49 || 2*a/3+b/3 > 0.51 {
		t.Errorf("of half of all, %.2f and %.2f are refused", a, b)
	}
	if got := x.refuse(7, 0.3); got != 0.3 {
		t.Errorf("a request without a tenant is refused %.2f", got)
	}
}

func TestRefusingSpillsWhereNothingIsReported(t *testing.T) {
	for _, columns := range [][]string{nil, {"util"}} {
		s := settings()
		s.ReportColumns = columns
		b, a := start(t, s, fleetOf(9))
		b.shed = 0.3
		far := 0
		for i := range 1000 {
			b.Arrive(t0, a, req(RequestID(i+1), 0, uint64(i+1)*31))
			if b.fleet.byID[a.last(t).to].Zone != 0 {
				far++
			}
		}
		if blind := columns == nil; blind != (far > 100) {
			t.Errorf("with report columns %v, %d of 1000 went to the other zone", columns, far)
		}
	}
}

func TestFastErrorsCloseAReplica(t *testing.T) {
	b, a := start(t, settings(), fleetOf(9))
	b.Finished(t0, a, Outcome{ID: 900, Replica: 1, Result: Error, Elapsed: ms})
	if b.fleet.byID[1].spell != 0 {
		t.Fatal("one error marked a replica")
	}
	b.Finished(t0+sec, a, Outcome{ID: 901, Replica: 1, Result: Error, Elapsed: ms})
	for i := range 100 {
		b.Arrive(t0+sec, a, req(RequestID(i+1), 0, uint64(i+1)))
		if a.last(t).to == 1 {
			t.Fatal("a replica that answers errors was sent a new session")
		}
	}
	b.Finished(t0+2*sec, a, Outcome{ID: 902, Replica: 1, Result: OK, Elapsed: ms})
	if b.fleet.byID[1].spell != 0 {
		t.Error("an answer did not clear the mark")
	}
}

// A list that flaps must not lose requests or leave a replica's counts wrong.
func TestReplicaThatLeavesTheListAndReturns(t *testing.T) {
	fleet := fleetOf(9)
	b, a := start(t, settings(), fleet)
	b.Arrive(t0, a, req(1, 0, 77))
	to := a.last(t).to
	var rest []Replica
	for _, e := range fleet {
		if e.ID != to {
			rest = append(rest, e)
		}
	}
	for i := range 5 {
		now := t0 + Time(i)*sec
		b.Listed(now, a, List{Kind: ListFull, Replicas: rest})
		b.Arrive(now, a, req(RequestID(10+2*i), 0, 77))
		if a.last(t).to == to {
			t.Fatal("sent to a replica that has left the list")
		}
		b.Listed(now, a, List{Kind: ListFull, Replicas: fleet})
		b.Arrive(now, a, req(RequestID(11+2*i), 0, uint64(900+i)))
	}
	b.Finished(t0+6*sec, a, Outcome{ID: 1, Replica: to, Result: OK, Ended: true})
	if b.requests[1] != nil {
		t.Error("the request that was out at the flapping replica is still held")
	}
	if got := b.fleet.byID[to].out; got < 0 {
		t.Errorf("the replica that returned counts %d attempts out", got)
	}
}

func TestClockJumpForward(t *testing.T) {
	b, a := start(t, settings(), fleetOf(9))
	b.Arrive(t0, a, req(1, 0, 77))
	later := t0 + 30*24*time.Hour
	b.Finished(later, a, Outcome{ID: 1, Replica: a.last(t).to, Result: Error, Elapsed: sec})
	if len(a.sends) != 1 || a.ends(1) != 1 {
		t.Errorf("after its deadline a request got %q", a.lines)
	}
	b.Arrive(later, a, req(2, 0, 77))
	if len(a.sends) != 2 || len(b.sessions.entries) != 1 {
		t.Errorf("after the jump: %q and %d sessions", a.lines, len(b.sessions.entries))
	}
	if b.shed < 0 || b.shed > shedMost || b.spill < 0 || b.spill > 1 {
		t.Errorf("shares out of range: shed %v, spill %v", b.shed, b.spill)
	}
}

func TestReportsThatAreNoNumbersAreIgnored(t *testing.T) {
	s := settings()
	s.ReportColumns = []string{"util", "x0"}
	b, a := start(t, s, fleetOf(9))
	for _, v := range []float64{math.NaN(), math.Inf(1), -1} {
		b.Finished(t0, a, Outcome{ID: 900, Replica: 1, Report: Report{N: 2, Values: [4]float64{v, 0.5}}})
	}
	for i := range 50 {
		b.Arrive(t0, a, req(RequestID(i+1), 0, uint64(i+1)))
	}
	if to := b.fleet.byID[1]; len(a.sends) != 50 || to.load != to.load || to.backlog != to.backlog {
		t.Errorf("%d of 50 requests were sent, the load is %v and %v", len(a.sends), to.load, to.backlog)
	}
}

func TestBoundIsTighterWhereNoSizesAreListed(t *testing.T) {
	most := func(w Weights) int {
		s := settings()
		s.Weights = w
		b, a := start(t, s, fleetOf(8))
		counts := map[ReplicaID]int{}
		for i := range 240 {
			b.Arrive(t0, a, req(RequestID(i+1), 0, uint64(i+1)))
			counts[a.last(t).to]++
		}
		high := 0
		for _, n := range counts {
			high = max(high, n)
		}
		return high
	}
	// 240 attempts at 8 replicas: at most the mean of 30, and one.
	if sized, unsized := most(SizeWeights), most(NoWeights); unsized > 31 || unsized >= sized {
		t.Errorf("of 240 attempts out, one of 8 replicas holds %d with sizes listed, %d without", sized, unsized)
	}
}

func TestLatenessOfAnswersThatAreNotStreamed(t *testing.T) {
	b, a := start(t, settings(), fleetOf(9))
	for i := range 30 {
		id := RequestID(i + 1)
		b.Arrive(t0+Time(i)*sec, a, req(id, 1, 0))
		if a.ends(id) == 0 {
			b.Finished(t0+Time(i)*sec, a, Outcome{
				ID: id, Replica: a.last(t).to,
				Result: OK, Elapsed: 4 * sec, Ended: true,
			})
		}
	}
	if b.shed == 0 {
		t.Error("late answers of a class that is not streamed went unnoticed")
	}
}

func TestFullHouseDoesNotTryMarkedReplicas(t *testing.T) {
	// Every replica that may be used is over the bound of new sessions: that is no reason to ignore the mark of
	// one that does not answer. Guards a deploy, where cold replicas keep the mean low.
	s := settings()
	s.Weights, s.WarmUp = NoWeights, 100*sec
	replicas := fleetOf(8)
	for i := 2; i < len(replicas); i++ {
		replicas[i].ReadyAt = t0 // cold: they take next to nothing
	}
	b, a := start(t, s, replicas)
	marked := replicas[0].ID
	b.mark(t0, a, b.fleet.byID[marked], "no connection")
	over := 0
	for i := range 40 {
		b.Arrive(t0, a, req(RequestID(i+1), 0, uint64(i+1)))
		if a.why == OverBound {
			over++
		}
		if a.last(t).to == marked || a.why == LastResort {
			t.Fatalf("request %d went to replica %d: %v, the marked one is %d", i+1, a.last(t).to, a.why, marked)
		}
	}
	if over == 0 {
		t.Error("the bound was never reached")
	}
}

func TestClientThatLeftAtItsDeadlineTellsOfItsReplicaOnly(t *testing.T) {
	// Its time-out marks a replica that answers nobody, but is no sign of overload: that refused a third of the
	// requests on a recorded incident.
	s := settings()
	s.Classes[0].Effect = Safe
	b, a := start(t, s, fleetOf(4))
	for i := range 200 {
		id, at := RequestID(i+1), t0+time.Duration(i)*sec/10
		b.Arrive(at, a, req(id, 0, uint64(i+1)))
		to := a.last(t).to
		b.Started(at+sec, a, Started{ID: 9999, Replica: to}) // it answers others
		b.Departed(at+5*sec, a, id)
		b.Finished(at+5*sec, a, Outcome{ID: id, Replica: to, Result: TimedOut, Elapsed: 5 * sec, Ended: true})
	}
	if b.shed != 0 {
		t.Errorf("a share of %v is refused", b.shed)
	}
	b.Arrive(t0+100*sec, a, req(1000, 0, 1000))
	hung := a.last(t).to
	b.Departed(t0+105*sec, a, 1000)
	b.Finished(t0+105*sec, a, Outcome{ID: 1000, Replica: hung, Result: TimedOut, Elapsed: 5 * sec, Ended: true})
	if b.fleet.byID[hung].spell == 0 {
		t.Error("a replica that answers nobody is not marked")
	}
}
