package policy

import (
	"math"
	"testing"
)

// manyRouters returns settings for n routers, each of which probes replicas before it sends to them.
func manyRouters(n int) Settings {
	s := testSettings()
	s.Routers, s.Zones, s.Limits.CanProbe, s.ReportColumns = n, 1, true, []string{"x1"}
	for i := range s.Classes {
		s.Classes[i].Effect = EffectSafe
	}
	return s
}

// singleZoneFleet lists n replicas of one zone.
func singleZoneFleet(n int) []Replica {
	l := newFleet(n)
	for i := range l {
		l[i].Zone = 0
	}
	return l
}

// probed returns the two replicas whose probes the only waiting request needs.
func (b *Balancer) probed(t *testing.T) (one, two *replica) {
	t.Helper()
	if len(b.awaitingProbes) != 1 || len(b.awaitingProbes[0].probed) != 2 {
		t.Fatalf("%d requests wait for probes, want 1 that waits for two replicas", len(b.awaitingProbes))
	}
	return b.awaitingProbes[0].probed[0], b.awaitingProbes[0].probed[1]
}

func report(load float64) Report { return Report{N: 1, Values: [4]float64{load}} }

func TestManyRoutersProbeTwoReplicasAndSendToTheLessLoaded(t *testing.T) {
	b, a := start(t, manyRouters(80), singleZoneFleet(40))
	b.RequestArrived(t0, a, req(1, 0, 77))
	loaded, free := b.probed(t)
	if len(a.sends) != 0 || a.count("probe") != 2 {
		t.Fatalf("%q", a.lines)
	}
	b.ProbeFinished(t0+2*ms, a, ProbeResult{Replica: loaded.ID, Report: report(30)})
	b.ProbeFinished(t0+3*ms, a, ProbeResult{Replica: free.ID, Report: report(1)})
	if a.last(t).to != free.ID || b.sessions.find(t0, 77) != free {
		t.Errorf("sent to %d, want the less loaded %d", a.last(t).to, free.ID)
	}
	// Replicas probed within probeInterval are not probed again, and a small number of routers does not probe.
	b.RequestArrived(t0+4*ms, a, req(2, 0, 77+0))
	if a.count("probe") != 2 || len(a.sends) != 2 {
		t.Errorf("%q", a.lines)
	}
	other, otherActions := start(t, manyRouters(minRoutersForProbes-1), singleZoneFleet(40))
	other.RequestArrived(t0, otherActions, req(1, 0, 77))
	if otherActions.count("probe") != 0 || len(otherActions.sends) != 1 {
		t.Errorf("with few routers: %q, want one send and no probe", otherActions.lines)
	}
}

func TestDeadReplicaCostsOneProbeAndNoAttempt(t *testing.T) {
	for name, silent := range map[string]bool{"rejects": false, "silent": true} {
		b, a := start(t, manyRouters(80), singleZoneFleet(40))
		b.RequestArrived(t0, a, req(1, 0, 77))
		dead, alive := b.probed(t)
		b.ProbeFinished(t0+2*ms, a, ProbeResult{Replica: alive.ID, Report: report(50)})
		if len(a.sends) != 0 {
			t.Fatalf("%s: sent before both probes completed", name)
		}
		if silent {
			b.TimerFired(t0+probeTimeout, a, timerProbes)
		} else {
			b.ProbeFinished(t0+3*ms, a, ProbeResult{Replica: dead.ID, Result: ResultConnectFailed})
			if dead.duration == 0 {
				t.Error("a replica that refuses connections is not ejected")
			}
		}
		if len(a.sends) != 1 || a.last(t).to != alive.ID {
			t.Errorf("%s: %q", name, a.lines)
		}
	}
}

func TestBothProbedReplicasAreDead(t *testing.T) {
	b, a := start(t, manyRouters(80), singleZoneFleet(40))
	b.RequestArrived(t0, a, req(1, 0, 77))
	one, two := b.probed(t)
	b.ProbeFinished(t0+ms, a, ProbeResult{Replica: one.ID, Result: ResultConnectFailed})
	b.ProbeFinished(t0+ms, a, ProbeResult{Replica: two.ID, Result: ResultConnectFailed})
	if to := a.last(t).to; to == one.ID || to == two.ID {
		t.Errorf("sent to %d, which refuses connections", to)
	}
}

func TestDisconnectDuringAProbeRemovesTheRequest(t *testing.T) {
	b, a := start(t, manyRouters(80), singleZoneFleet(40))
	b.RequestArrived(t0, a, req(1, 0, 77))
	b.ClientDisconnected(t0+ms, a, 1)
	b.TimerFired(t0+probeTimeout, a, timerProbes)
	if len(a.sends) != 0 || a.count("cancel") != 0 || len(b.requests) != 0 || len(b.awaitingProbes) != 0 {
		t.Errorf("%q, %d requests remain", a.lines, len(b.requests))
	}
}

// The turns of a session must reach the same replica through any router, or its prefix cache is useless.
// Local prefix counts and load reports must not change the selection.
func TestManyRoutersSelectTheSameReplicaForASession(t *testing.T) {
	same, n := 0, 200
	seen := [2]map[uint64]ReplicaID{{}, {}}
	for g := range seen {
		b, err := New(manyRouters(80), uint64(g))
		if err != nil {
			t.Fatal(err)
		}
		a := &recorder{}
		b.ListUpdated(t0, a, List{Kind: ListFull, Replicas: singleZoneFleet(40)})
		for i := range n {
			if g == 1 { // this router has other prefix counts and load reports
				b.prefixes.countRequest(uint64(i % 3))
				b.recordReport(t0, b.fleet.byID[ReplicaID(i%40+1)], report(float64(i%7)))
			}
			q := req(RequestID(i+1), 0, uint64(1000+i))
			q.Prefix, q.PromptTokens = uint64(i%10+1), 8000
			b.RequestArrived(t0+Time(i)*sec, a, q)
			for len(b.awaitingProbes) > 0 {
				for _, to := range b.awaitingProbes[0].probed {
					b.ProbeFinished(t0+Time(i)*sec, a, ProbeResult{Replica: to.ID, Report: report(3)})
				}
			}
			end := Outcome{ID: q.ID, Replica: a.last(t).to, Result: ResultOK, RequestEnded: true}
			b.AttemptFinished(t0+Time(i)*sec+ms, a, end)
			seen[g][q.Session] = a.last(t).to
		}
	}
	for session, to := range seen[0] {
		if seen[1][session] == to {
			same++
		}
	}
	if same < n*8/10 {
		t.Errorf("two routers select the same replica for %d of %d sessions", same, n)
	}
}

func TestFirstReplicaIsKeptUnlessItsBacklogExceedsAPrefill(t *testing.T) {
	reportOf := func(x1, inFlight, errors float64) Report {
		return Report{N: 3, Values: [4]float64{x1, inFlight, errors}}
	}
	for name, c := range map[string]struct {
		first, second ProbeResult
		moves         bool
	}{
		"a little busier": {ProbeResult{Report: reportOf(4, 4, 0)}, ProbeResult{Report: reportOf(0, 0, 0)}, false},
		"large backlog":   {ProbeResult{Report: reportOf(9, 0, 0)}, ProbeResult{Report: reportOf(0, 0, 0)}, true},
		"many running":    {ProbeResult{Report: reportOf(0, 30, 0)}, ProbeResult{Report: reportOf(0, 2, 0)}, true},
		"errs":            {ProbeResult{Report: reportOf(0, 0, 3)}, ProbeResult{Report: reportOf(20, 20, 0)}, true},
		"probe was late":  {ProbeResult{Result: ResultError}, ProbeResult{Report: reportOf(0, 0, 0)}, false},
		"both were late":  {ProbeResult{Result: ResultError}, ProbeResult{Result: ResultError}, false},
		"hangs":           {ProbeResult{Result: ResultTimedOut}, ProbeResult{Result: ResultError}, true},
	} {
		s := manyRouters(80)
		s.ReportColumns = []string{"x1", "inflight", "eps"}
		b, a := start(t, s, singleZoneFleet(40))
		q := req(1, 0, 77)
		q.PromptTokens = 8000
		b.RequestArrived(t0, a, q)
		one, two := b.probed(t)
		c.first.Replica, c.second.Replica = one.ID, two.ID
		b.ProbeFinished(t0+ms, a, c.first)
		b.ProbeFinished(t0+ms, a, c.second)
		if moved := a.last(t).to == two.ID; moved != c.moves {
			t.Errorf("%s: moved %v", name, moved)
		}
	}
}

// A router with little traffic observes too few late responses to detect an overload in time. The probes of
// both candidates show it immediately.
func TestRequestThatWouldBeLateAtBothIsRejectedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		one, two ProbeResult
		resumed  bool
		rejected int
	}{
		"both behind":      {ProbeResult{Report: report(9)}, ProbeResult{Report: report(7)}, false, 1},
		"one has room":     {ProbeResult{Report: report(9)}, ProbeResult{Report: report(2)}, false, 0},
		"resumed stream":   {ProbeResult{Report: report(9)}, ProbeResult{Report: report(7)}, true, 0},
		"nothing is known": {ProbeResult{Result: ResultTimedOut}, ProbeResult{Result: ResultTimedOut}, false, 0},
	} {
		s := manyRouters(80)
		s.Classes[0].TargetLatencyPerKTokens = 40 * ms // the target without prompt is 1 s
		b, a := start(t, s, singleZoneFleet(40))
		q := req(1, 0, 77)
		q.IsResumed = c.resumed
		b.RequestArrived(t0, a, q)
		one, two := b.probed(t)
		c.one.Replica, c.two.Replica = one.ID, two.ID
		b.ProbeFinished(t0+ms, a, c.one)
		b.ProbeFinished(t0+ms, a, c.two)
		if a.count("reject 1") != c.rejected || len(a.sends) != 1-c.rejected || len(b.requests) != 1-c.rejected {
			t.Errorf("%s: %q", name, a.lines)
		}
	}
}

// sendFromAllRouters sends requests through every router, answers each probe immediately, and returns the
// number of sends to each replica.
func sendFromAllRouters(
	t *testing.T, routers, requests int, fleet func(b *Balancer) []Replica,
) map[ReplicaID]float64 {
	t.Helper()
	count := map[ReplicaID]float64{}
	for g := range routers {
		b, err := New(manyRouters(routers), uint64(g))
		if err != nil {
			t.Fatal(err)
		}
		a := &recorder{}
		b.ListUpdated(t0, a, List{Kind: ListFull, Replicas: fleet(b)})
		for i := range requests {
			b.RequestArrived(t0, a, req(RequestID(i+1), 0, uint64(g*1000+i+1)))
			for len(b.awaitingProbes) > 0 {
				for _, to := range b.awaitingProbes[0].probed {
					b.ProbeFinished(t0, a, ProbeResult{Replica: to.ID})
				}
			}
			count[a.last(t).to]++
		}
	}
	return count
}

// With little traffic per router, a budget per router would keep replicas in slow start idle and overload the
// other replicas.
func TestReplicasInSlowStartGetTheirShareFromManyRouters(t *testing.T) {
	const routers, each, n, starting = 80, 15, 40, 24
	count := sendFromAllRouters(t, routers, each, func(*Balancer) []Replica {
		l := singleZoneFleet(n)
		for i := range l {
			if i < starting {
				l[i].ReadyAt = t0
			}
		}
		return l
	})
	var sent float64
	for id := ReplicaID(1); id <= starting; id++ {
		sent += count[id]
	}
	initial := manyRouters(routers).SlowStartInitial
	want := starting * initial / (starting*initial + n - starting) * routers * each
	if math.Abs(sent/want-1) > 0.3 {
		t.Errorf("%.0f requests went to the replicas in slow start, want about %.0f", sent, want)
	}
}

// Even if all other replicas are full, the routers together must not overload the one in slow start.
func TestManyRoutersDoNotOverloadAReplicaInSlowStart(t *testing.T) {
	const routers, each, n = 80, 15, 40
	count := sendFromAllRouters(t, routers, each, func(b *Balancer) []Replica {
		l := singleZoneFleet(n)
		b.ListUpdated(t0, &recorder{}, List{Kind: ListFull, Replicas: l})
		for _, to := range b.fleet.byID {
			if to.ID > 1 {
				to.fullUntil = t0 + sec
			}
		}
		l[0].ReadyAt = t0
		return l
	})
	share := float64(routers*each) / n
	if limit := maxSlowStartShare * share; count[1] > limit || count[1] == 0 {
		t.Errorf("%.0f requests went to the replica in slow start, at most %.0f allowed", count[1], limit)
	}
}

// Routers that start at the same time, or whose calls fail at the same time, must not call discovery
// together: it serves calls sequentially and rejects bursts.
func TestRoutersThatStartOrFailTogetherCallDiscoveryApart(t *testing.T) {
	const routers = 80
	maxPerInterval := func(delays []Time, interval Time) int {
		n := map[Time]int{}
		highest := 0
		for _, delay := range delays {
			n[delay/interval]++
			highest = max(highest, n[delay/interval])
		}
		return highest
	}
	var b [routers]*Balancer
	var a [routers]*recorder
	delays := make([]Time, routers)
	nextDelay := func(g int) Time {
		delay := a[g].timers[len(a[g].timers)-1]
		if delay.token != timerWatch {
			t.Fatalf("router %d: %q, want a watch timer last", g, a[g].lines)
		}
		return delay.after
	}
	for g := range routers {
		var err error
		if b[g], err = New(manyRouters(routers), uint64(g)); err != nil {
			t.Fatal(err)
		}
		a[g] = &recorder{}
		b[g].ListUpdated(t0, a[g], List{Kind: ListCached, Replicas: singleZoneFleet(40)})
		b[g].RequestArrived(t0, a[g], req(1, 0, 77)) // the cached list is used immediately
		if a[g].count("probe") != 2 {
			t.Fatalf("router %d waits for discovery: %q", g, a[g].lines)
		}
		a[g].timers = a[g].timers[:1]
		delays[g] = nextDelay(g)
	}
	if n := maxPerInterval(delays, 500*ms); n > routers/4 {
		t.Errorf("%d of %d routers make their first call within the same half second", n, routers)
	}
	longest := manyRouters(routers).MaxWatchDelay
	for try := range 8 {
		for g := range routers {
			b[g].ListUpdated(t0, a[g], List{Kind: ListFailed})
			delays[g] = nextDelay(g)
			if want := min(minWatchBackoff<<try, longest); delays[g] < want/2 || delays[g] > want {
				t.Fatalf("failure %d: router %d retries after %v, want half of %v to all", try, g, delays[g], want)
			}
		}
		if n := maxPerInterval(delays, 100*ms); n > routers/2 {
			t.Errorf("failure %d: %d of %d routers retry within the same 100 ms", try, n, routers)
		}
	}
}
