package policy

import (
	"math"
	"testing"
)

// many is a deployment of so many routers that each meets a replica seldom.
func many(n int) Settings {
	s := settings()
	s.Routers, s.Zones, s.Limits.CanProbe, s.ReportColumns = n, 1, true, []string{"x1"}
	for i := range s.Classes {
		s.Classes[i].Effect = EffectSafe
	}
	return s
}

// room lists n replicas of one zone.
func room(n int) []Replica {
	l := fleetOf(n)
	for i := range l {
		l[i].Zone = 0
	}
	return l
}

// probed returns the replicas that the last request is waiting for.
func (b *Balancer) probed(t *testing.T) (one, two *replica) {
	t.Helper()
	if len(b.awaitingProbes) != 1 || len(b.awaitingProbes[0].probed) != 2 {
		t.Fatalf("%d requests wait for probes, want one, for two replicas", len(b.awaitingProbes))
	}
	return b.awaitingProbes[0].probed[0], b.awaitingProbes[0].probed[1]
}

func report(load float64) Report { return Report{N: 1, Values: [4]float64{load}} }

func TestManyRoutersProbeTwoReplicasAndSendToTheLessLoaded(t *testing.T) {
	b, a := start(t, many(80), room(40))
	b.RequestArrived(t0, a, req(1, 0, 77))
	slow, free := b.probed(t)
	if len(a.sends) != 0 || a.count("probe") != 2 {
		t.Fatalf("%q", a.lines)
	}
	b.ProbeFinished(t0+2*ms, a, ProbeResult{Replica: slow.ID, Report: report(30)})
	b.ProbeFinished(t0+3*ms, a, ProbeResult{Replica: free.ID, Report: report(1)})
	if a.last(t).to != free.ID || b.sessions.find(t0, 77) != free {
		t.Errorf("sent to %d, the free one is %d", a.last(t).to, free.ID)
	}
	// What was asked a moment ago is not asked again; a few routers know their replicas and ask nobody.
	b.RequestArrived(t0+4*ms, a, req(2, 0, 77+0))
	if a.count("probe") != 2 || len(a.sends) != 2 {
		t.Errorf("%q", a.lines)
	}
	c, few := start(t, many(minRoutersForProbes-1), room(40))
	c.RequestArrived(t0, few, req(1, 0, 77))
	if few.count("probe") != 0 || len(few.sends) != 1 {
		t.Errorf("of a few routers one did %q", few.lines)
	}
}

func TestDeadReplicaCostsOneProbeAndNoAttempt(t *testing.T) {
	for name, silent := range map[string]bool{"rejects": false, "silent": true} {
		b, a := start(t, many(80), room(40))
		b.RequestArrived(t0, a, req(1, 0, 77))
		gone, there := b.probed(t)
		b.ProbeFinished(t0+2*ms, a, ProbeResult{Replica: there.ID, Report: report(50)})
		if len(a.sends) != 0 {
			t.Fatalf("%s: sent before both were heard", name)
		}
		if silent {
			b.TimerFired(t0+probeTimeout, a, timerProbes)
		} else {
			b.ProbeFinished(t0+3*ms, a, ProbeResult{Replica: gone.ID, Result: ResultConnectFailed})
			if gone.duration == 0 {
				t.Error("a replica that takes no connection is not ejected")
			}
		}
		if len(a.sends) != 1 || a.last(t).to != there.ID {
			t.Errorf("%s: %q", name, a.lines)
		}
	}
}

func TestBothProbedReplicasAreDead(t *testing.T) {
	b, a := start(t, many(80), room(40))
	b.RequestArrived(t0, a, req(1, 0, 77))
	one, two := b.probed(t)
	b.ProbeFinished(t0+ms, a, ProbeResult{Replica: one.ID, Result: ResultConnectFailed})
	b.ProbeFinished(t0+ms, a, ProbeResult{Replica: two.ID, Result: ResultConnectFailed})
	if to := a.last(t).to; to == one.ID || to == two.ID {
		t.Errorf("sent to %d, which takes no connection", to)
	}
}

func TestClientThatLeavesDuringAProbeIsForgotten(t *testing.T) {
	b, a := start(t, many(80), room(40))
	b.RequestArrived(t0, a, req(1, 0, 77))
	b.ClientDisconnected(t0+ms, a, 1)
	b.TimerFired(t0+probeTimeout, a, timerProbes)
	if len(a.sends) != 0 || a.count("cancel") != 0 || len(b.requests) != 0 || len(b.awaitingProbes) != 0 {
		t.Errorf("%q, %d requests held", a.lines, len(b.requests))
	}
}

// What was read for a session is found again only where its turns meet at one replica, whichever router they
// come through: what each router has counted or been reported may not lead them apart.
func TestManyRoutersDrawTheSameReplicaForASession(t *testing.T) {
	same, n := 0, 200
	seen := [2]map[uint64]ReplicaID{{}, {}}
	for g := range seen {
		b, err := New(many(80), uint64(g))
		if err != nil {
			t.Fatal(err)
		}
		a := &recorder{}
		b.ListUpdated(t0, a, List{Kind: ListFull, Replicas: room(40)})
		for i := range n {
			if g == 1 { // it has met another mix of prefixes, and one replica that was busy for a moment
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
		t.Errorf("two routers draw the same replica for %d of %d sessions", same, n)
	}
}

func TestFirstReplicaIsKeptUnlessItsBacklogExceedsAPrefill(t *testing.T) {
	busy := func(x1, held, errors float64) Report { return Report{N: 3, Values: [4]float64{x1, held, errors}} }
	for name, c := range map[string]struct {
		first, second ProbeResult
		moves         bool
	}{
		"a little busier": {ProbeResult{Report: busy(4, 4, 0)}, ProbeResult{Report: busy(0, 0, 0)}, false},
		"much to read":    {ProbeResult{Report: busy(9, 0, 0)}, ProbeResult{Report: busy(0, 0, 0)}, true},
		"holds many":      {ProbeResult{Report: busy(0, 30, 0)}, ProbeResult{Report: busy(0, 2, 0)}, true},
		"errs":            {ProbeResult{Report: busy(0, 0, 3)}, ProbeResult{Report: busy(20, 20, 0)}, true},
		"probe was late":  {ProbeResult{Result: ResultError}, ProbeResult{Report: busy(0, 0, 0)}, false},
		"both were late":  {ProbeResult{Result: ResultError}, ProbeResult{Result: ResultError}, false},
		"hangs":           {ProbeResult{Result: ResultTimedOut}, ProbeResult{Result: ResultError}, true},
	} {
		s := many(80)
		s.ReportColumns = []string{"x1", "inflight", "eps"}
		b, a := start(t, s, room(40))
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

// A router with little traffic learns of an overload by late answers long after it began, and of its end
// long after it has passed. The two that it asks say so at once.
func TestRequestThatWouldBeLateAtBothIsRejectedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		one, two ProbeResult
		resumed  bool
		rejected int
	}{
		"both behind":        {ProbeResult{Report: report(9)}, ProbeResult{Report: report(7)}, false, 1},
		"one has room":       {ProbeResult{Report: report(9)}, ProbeResult{Report: report(2)}, false, 0},
		"the rest of stream": {ProbeResult{Report: report(9)}, ProbeResult{Report: report(7)}, true, 0},
		"nothing is known":   {ProbeResult{Result: ResultTimedOut}, ProbeResult{Result: ResultTimedOut}, false, 0},
	} {
		s := many(80)
		s.Classes[0].TargetLatencyPerKTokens = 40 * ms // of an target of 1 s
		b, a := start(t, s, room(40))
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

// all has every router take some requests, answers each probe at once, and counts the sends to each replica.
func all(t *testing.T, routers, requests int, fleet func(b *Balancer) []Replica) map[ReplicaID]float64 {
	t.Helper()
	count := map[ReplicaID]float64{}
	for g := range routers {
		b, err := New(many(routers), uint64(g))
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

// Many routers with little traffic each: tokens of each for each replica would not be saved up before it is
// warm, and what is not sent to replicas in slow start pushes the warm ones over.
func TestReplicasInSlowStartGetTheirShareFromManyRouters(t *testing.T) {
	const routers, each, n, starting = 80, 15, 40, 24
	count := all(t, routers, each, func(*Balancer) []Replica {
		l := room(n)
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
	from := many(routers).SlowStartInitial
	due := starting * from / (starting*from + n - starting) * routers * each
	if math.Abs(sent/due-1) > 0.3 {
		t.Errorf("%.0f requests went to the replicas in slow start, which can do %.0f", sent, due)
	}
}

// With everything else full, all routers together must not push the one replica in slow start over.
func TestManyRoutersDoNotOverloadAReplicaInSlowStart(t *testing.T) {
	const routers, each, n = 80, 15, 40
	count := all(t, routers, each, func(b *Balancer) []Replica {
		l := room(n)
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
	if most := maxSlowStartShare * share; count[1] > most || count[1] == 0 {
		t.Errorf("%.0f requests went to the replica in slow start, at most %.0f allowed", count[1], most)
	}
}

// Routers that start in one millisecond, or whose discovery fails in one, must not come to it together: it
// serves calls one after another and turns a crowd away.
func TestRoutersThatStartOrFailTogetherCallDiscoveryApart(t *testing.T) {
	const routers = 80
	most := func(waits []Time, in Time) int {
		n := map[Time]int{}
		high := 0
		for _, w := range waits {
			n[w/in]++
			high = max(high, n[w/in])
		}
		return high
	}
	var b [routers]*Balancer
	var a [routers]*recorder
	waits := make([]Time, routers)
	ask := func(g int) Time {
		w := a[g].wakes[len(a[g].wakes)-1]
		if w.token != timerWatch {
			t.Fatalf("router %d: %q", g, a[g].lines)
		}
		return w.after
	}
	for g := range routers {
		var err error
		if b[g], err = New(many(routers), uint64(g)); err != nil {
			t.Fatal(err)
		}
		a[g] = &recorder{}
		b[g].ListUpdated(t0, a[g], List{Kind: ListCached, Replicas: room(40)})
		b[g].RequestArrived(t0, a[g], req(1, 0, 77)) // the list at the start serves at once
		if a[g].count("probe") != 2 {
			t.Fatalf("router %d waits for discovery: %q", g, a[g].lines)
		}
		a[g].wakes = a[g].wakes[:1]
		waits[g] = ask(g)
	}
	if n := most(waits, 500*ms); n > routers/4 {
		t.Errorf("%d of %d routers first call within half a second", n, routers)
	}
	longest := many(routers).WatchWithin
	for try := range 8 {
		for g := range routers {
			b[g].ListUpdated(t0, a[g], List{Kind: ListFailed})
			waits[g] = ask(g)
			if want := min(minWatchBackoff<<try, longest); waits[g] < want/2 || waits[g] > want {
				t.Fatalf("failure %d: router %d calls after %v, wanted half of %v to all", try, g, waits[g], want)
			}
		}
		if n := most(waits, 100*ms); n > routers/2 {
			t.Errorf("failure %d: %d of %d routers call again within 100 ms", try, n, routers)
		}
	}
}
