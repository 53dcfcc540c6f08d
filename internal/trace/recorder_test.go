package trace

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"notchhinge/policy"
)

const ms = time.Millisecond

// rig is a recorder with what it handed over, and its wakes played by a clock that is given.
type rig struct {
	*Recorder
	now   time.Duration
	wakes []time.Duration
	kept  []*Record
	of    map[policy.RequestID]*RequestSpan
}

func (r *rig) Wake(at time.Duration) { r.wakes = append(r.wakes, at) }
func (r *rig) Keep(t *Record)        { r.kept = append(r.kept, t) }

var classes = &Pool{Classes: []Class{{Name: "chat", TargetLatency: time.Second, TargetLatencyPerKTokens: 100 * ms, TokenLatencyTarget: 50 * ms}}}

func newRig(change func(*Options)) *rig {
	o := Options{
		Router: "n1", Seed: 3, RetryWindow: 10 * time.Second, CompletionGrace: time.Second, Operations: 1000,
	}
	if change != nil {
		change(&o)
	}
	r := &rig{now: 1000 * time.Second, of: map[policy.RequestID]*RequestSpan{}}
	r.Recorder = New(o, r)
	return r
}

// to moves the clock on, and plays the wakes on the way.
func (r *rig) to(at time.Duration) {
	for {
		first := -1
		for i, w := range r.wakes {
			if w <= at && (first < 0 || w < r.wakes[first]) {
				first = i
			}
		}
		if first < 0 {
			break
		}
		r.now = max(r.now, r.wakes[first])
		r.wakes = append(r.wakes[:first], r.wakes[first+1:]...)
		r.Due(r.now)
	}
	r.now = max(r.now, at)
}

func (r *rig) after(d time.Duration) { r.to(r.now + d) }

func (r *rig) take(id policy.RequestID, session uint64, prompt float64, o *Origin) {
	q := policy.Request{ID: id, Session: session, PromptTokens: prompt}
	r.of[id] = r.StartRequest(r.now, id, id, fmt.Sprint("call", id), r.now, &q, o, classes)
}

// serve plays a leg to its end: first its first event, then the stream.
func (r *rig) serve(id policy.RequestID, first, stream time.Duration) {
	r.SetReason(id, r.of[id], policy.ReasonAffinity)
	r.StartAttempt(r.now, id, r.of[id], 0, "s-1", "127.0.0.2:5000")
	sent := r.now
	r.after(first)
	r.BindAttempt(r.now, id, r.of[id], 0)
	bound := r.now
	r.after(stream)
	r.EndAttempt(r.now, id, r.of[id], 0, policy.ResultOK, false, &Times{
		Started: sent, Connected: sent + ms, Written: sent + 2*ms, FirstByte: bound - ms, FirstEvent: bound, Bound: bound, Ended: r.now, Tokens: 10,
	})
	r.RecordResult(r.now, id, r.of[id], 0, policy.ResultOK, 64)
	r.EndRequest(r.now, id, r.of[id], Served, 0)
}

func (r *rig) sum(t *Record) (sum time.Duration) {
	for _, d := range t.Phases {
		sum += d
	}
	return sum
}

func TestOrdinaryOnesWaitAndGo(t *testing.T) {
	r := newRig(nil)
	r.take(1, 9, 100, nil)
	r.serve(1, 300*ms, 200*ms)
	if len(r.kept) != 0 || r.Counters().Pending == 0 {
		t.Fatalf("kept %d, held %d", len(r.kept), r.Counters().Pending)
	}
	r.after(11 * time.Second)
	if c := r.Counters(); c.Dropped != 1 || c.Pending != 0 || c.Steps != 0 || len(r.table.talks) != 0 {
		t.Errorf("%+v", c)
	}
	r.Recorder.sampler = NewSampler(1, 0)
	r.take(2, 9, 100, nil)
	r.serve(2, 300*ms, 200*ms)
	r.after(11 * time.Second)
	if len(r.kept) != 1 || r.kept[0].Reasons != ForShare || r.kept[0].Previous != (Link{}) {
		t.Errorf("kept %+v", r.kept)
	}
}

func TestWhatIsAlwaysKept(t *testing.T) {
	for name, play := range map[string]func(*rig) Reason{
		"late":      func(r *rig) Reason { r.serve(1, 1200*ms, ms); return ForLate },
		"slow pace": func(r *rig) Reason { r.serve(1, 100*ms, 600*ms); return ForLate },
		"refused": func(r *rig) Reason {
			r.SetReason(1, r.of[1], policy.ReasonLoadShed)
			r.EndRequest(r.now, 1, r.of[1], Refused, ms)
			return ForRefused
		},
		"gone": func(r *rig) Reason { r.EndRequest(r.now, 1, r.of[1], Gone, 0); return ForGone },
		"failed after two legs": func(r *rig) Reason {
			for n := range 2 {
				r.StartAttempt(r.now, 1, r.of[1], n, "s", "d")
				r.after(ms)
				r.EndAttempt(r.now, 1, r.of[1], n, policy.ResultReset, false, nil)
				r.RecordResult(r.now, 1, r.of[1], n, policy.ResultReset, 0)
			}
			r.SetReason(1, r.of[1], policy.ReasonRetryBudget)
			r.EndRequest(r.now, 1, r.of[1], Failed, 0)
			return ForFailed | ForLegs
		},
		"broken": func(r *rig) Reason {
			r.StartAttempt(r.now, 1, r.of[1], 0, "s", "d")
			r.BindAttempt(r.now, 1, r.of[1], 0)
			r.EndAttempt(r.now, 1, r.of[1], 0, policy.ResultReset, false, nil)
			r.RecordResult(r.now, 1, r.of[1], 0, policy.ResultReset, 0)
			r.EndRequest(r.now, 1, r.of[1], Broken, 0)
			return ForBroken
		},
	} {
		r := newRig(nil)
		r.take(1, 9, 1000, nil)
		want := play(r)
		if len(r.kept) != 1 || r.kept[0].Reasons != want {
			t.Errorf("%s: kept %+v", name, r.kept)
		} else if y := r.kept[0]; r.sum(y) != y.End {
			t.Errorf("%s: phases add up to %v of %v", name, r.sum(y), y.End)
		}
	}
}

func TestRetryBringsTheTriesBefore(t *testing.T) {
	// The first try was ordinary and waits; its retry has it kept, in one trace, by the conversation and the prompt's
	// length. The next question of the conversation is no retry.
	r := newRig(nil)
	r.take(1, 9, 100, nil)
	r.serve(1, 300*ms, 200*ms)
	r.after(time.Second)
	r.take(2, 9, 150, nil)
	r.serve(2, 300*ms, 200*ms)
	if len(r.kept) != 0 {
		t.Fatal("the next question passed for a retry")
	}
	r.after(time.Second)
	r.take(3, 9, 150, nil)
	if len(r.kept) != 1 || r.kept[0].CallID != "call2" || r.kept[0].Reasons != ForLinked {
		t.Fatalf("kept %+v", r.kept)
	}
	r.serve(3, 300*ms, 200*ms)
	if len(r.kept) != 2 || r.kept[1].Trace != r.kept[0].Trace || r.kept[1].Previous.Span != r.kept[0].Span || r.kept[1].Number != 2 {
		t.Errorf("kept %+v", r.kept)
	}
}

func TestRetryAfterTheNextQuestion(t *testing.T) {
	// The next question of the conversation comes between a try and its retry, which finds its step all the same.
	r := newRig(nil)
	r.take(1, 9, 100, nil)
	r.serve(1, 300*ms, 200*ms)
	r.take(2, 9, 150, nil)
	r.take(3, 9, 100, nil)
	if len(r.kept) != 1 || r.kept[0].CallID != "call1" || r.Counters().Linked != 1 {
		t.Errorf("kept %+v, %+v", r.kept, r.Counters())
	}
	r.take(4, 9, 150, nil) // and so does the next question's own retry, after that
	if r.Counters().Linked != 2 {
		t.Errorf("the second retry is not found: %+v", r.Counters())
	}
}

func TestMarkedRetryOfAStepOfAnotherRouter(t *testing.T) {
	// An agent's run is one trace with many steps. The first try of its second step went to another router; the marked
	// retry that comes here is none of the first step's.
	r := newRig(nil)
	c, _ := ParseParent(goodParent)
	r.take(1, 9, 100, &Origin{Context: c})
	r.serve(1, 300*ms, 200*ms)
	r.take(2, 9, 150, &Origin{Context: c, Retry: true})
	r.serve(2, 300*ms, 200*ms)
	if len(r.kept) != 1 || r.kept[0].CallID != "call2" || r.kept[0].Previous != (Link{}) || r.kept[0].Trace != c.Trace {
		t.Errorf("kept %+v", r.kept)
	}
	r.take(3, 0, 150, &Origin{Context: c, Retry: true}) // without a conversation: of another step of the trace, too
	if r.Counters().Linked != 0 {
		t.Errorf("%+v", r.Counters())
	}
}

func TestRetryBeforeTheFirstHasEnded(t *testing.T) {
	// Two tries of one step are open at once, the second on the client's own trace: both are kept, the first at its end,
	// though the sampling was decided while it ran.
	r := newRig(nil)
	c, _ := ParseParent(goodParent)
	r.take(1, 9, 100, nil)
	r.StartAttempt(r.now, 1, r.of[1], 0, "s-1", "d")
	r.after(time.Second)
	r.take(2, 9, 100, &Origin{Context: c})
	r.serve(2, 100*ms, 100*ms)
	if len(r.kept) != 1 || r.kept[0].Trace != c.Trace || r.kept[0].Parent != c.Span || r.kept[0].Previous == (Link{}) {
		t.Fatalf("kept %+v", r.kept)
	}
	r.BindAttempt(r.now, 1, r.of[1], 0)
	r.EndAttempt(r.now, 1, r.of[1], 0, policy.ResultOK, false, nil)
	r.RecordResult(r.now, 1, r.of[1], 0, policy.ResultOK, 0)
	r.EndRequest(r.now, 1, r.of[1], Served, 0)
	if len(r.kept) != 2 || r.kept[1].CallID != "call1" || r.kept[1].Reasons&ForLinked == 0 && r.kept[1].Reasons&ForLate == 0 {
		t.Errorf("kept %+v", r.kept[1])
	}
}

func TestLateWordOfACancelledLeg(t *testing.T) {
	// A second leg wins, the first is called off; its own end comes later and stands in the record, beside what the
	// module heard.
	r := newRig(nil)
	r.take(1, 9, 100, nil)
	r.StartAttempt(r.now, 1, r.of[1], 0, "s-1", "d1")
	r.after(50 * ms)
	r.StartAttempt(r.now, 1, r.of[1], 1, "s-2", "d2")
	r.after(50 * ms)
	r.BindAttempt(r.now, 1, r.of[1], 1)
	r.RecordResult(r.now, 1, r.of[1], 0, policy.ResultCancelled, 0)
	r.after(50 * ms)
	r.EndAttempt(r.now, 1, r.of[1], 1, policy.ResultOK, false, nil)
	r.RecordResult(r.now, 1, r.of[1], 1, policy.ResultOK, 0)
	r.EndRequest(r.now, 1, r.of[1], Served, 0)
	if len(r.kept) != 0 {
		t.Fatal("closed before the first leg's last word")
	}
	r.after(100 * ms)
	r.EndAttempt(r.now, 1, r.of[1], 0, policy.ResultReset, false, nil)
	if len(r.kept) != 1 {
		t.Fatal("not closed with the last word")
	}
	y := r.kept[0]
	if y.Attempts[0].Result != Result(policy.ResultCancelled) || y.Attempts[0].TransportResult != Result(policy.ResultReset) || y.End != 150*ms || r.sum(y) != y.End {
		t.Errorf("%+v, phases add up to %v", y, r.sum(y))
	}
	// One whose last word never comes is closed all the same.
	r.take(2, 8, 100, nil)
	r.StartAttempt(r.now, 2, r.of[2], 0, "s-1", "d1")
	r.RecordResult(r.now, 2, r.of[2], 0, policy.ResultTimedOut, 0)
	r.SetReason(2, r.of[2], policy.ReasonDeadline)
	r.EndRequest(r.now, 2, r.of[2], Failed, 0)
	r.after(2 * time.Second)
	if len(r.kept) != 2 || r.kept[1].Attempts[0].TransportResult != None || r.kept[1].Why.String() != "out_of_time" {
		t.Errorf("kept %+v", r.kept)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	// Ten thousand ordinary requests in a second, and a failed one in each hundred: these are all kept, and what is held
	// of the others stays in its bound, with every one counted.
	r := newRig(func(o *Options) { o.Operations, o.Share = 500, 0.01 })
	failed := 0
	for id := policy.RequestID(1); id <= 10000; id++ {
		r.take(id, uint64(id), 100, nil)
		if id%100 == 0 {
			r.EndRequest(r.now, id, r.of[id], Failed, 0)
			failed++
		} else {
			r.serve(id, 20*time.Microsecond, 20*time.Microsecond)
		}
		if c := r.Counters(); c.Pending > 500 || c.Steps > 501 {
			t.Fatalf("after %d: %+v", id, c)
		}
		r.after(60 * time.Microsecond)
	}
	r.Flush(r.now)
	c := r.Counters()
	if got := c.Kept - c.Share; got != failed || c.Evicted == 0 || c.Taken != c.Kept+c.Dropped+c.Evicted+c.Limited || c.Pending != 0 {
		t.Errorf("%d failed, %+v", failed, c)
	}
}

func TestDrainWaitsForNoRetry(t *testing.T) {
	// A router that drains may be killed while its last streams run: what has ended leaves at once.
	r := newRig(func(o *Options) { o.Share = 1 })
	r.take(1, 9, 100, nil)
	r.serve(1, 10*ms, 10*ms)
	r.take(2, 8, 100, nil)
	r.Drain(r.now)
	if len(r.kept) != 1 {
		t.Fatalf("%d records left", len(r.kept))
	}
	r.serve(2, 10*ms, 10*ms)
	if c := r.Counters(); len(r.kept) != 2 || c.Pending != 0 || c.Steps != 0 {
		t.Errorf("%d records left, %+v", len(r.kept), c)
	}
}

func TestFlushClosesWhatIsOpen(t *testing.T) {
	r := newRig(nil)
	r.take(1, 9, 100, nil)
	r.StartAttempt(r.now, 1, r.of[1], 0, "s-1", "d")
	r.after(time.Second)
	r.Flush(r.now)
	if len(r.kept) != 1 || r.kept[0].Outcome != Open || r.sum(r.kept[0]) != time.Second || r.of[1].is(1) {
		t.Errorf("kept %+v", r.kept)
	}
}

// TestAnyOrder plays random lives: whatever comes in whatever order, each try is accounted for once, its phases add up
// to its time, and no leg begins before it was sent.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRig(func(o *Options) { o.Share = 0.5 })
		taken := 0
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			r.after(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * ms)
			id := policy.RequestID(rapid.IntRange(1, 5).Draw(t, "id"))
			n := rapid.IntRange(0, 2).Draw(t, "leg")
			at := r.now - time.Duration(rapid.IntRange(-100, 4000).Draw(t, "ago"))*ms
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				if !r.of[id].is(id) {
					r.take(id, uint64(id%3), float64(id%2), &Origin{ReportsRejection: id%2 == 0})
					taken++
				}
			case 1:
				if j := r.of[id]; j.is(id) && !j.over && n == len(j.try.Attempts) {
					r.StartAttempt(r.now, id, r.of[id], n, "s", "d")
				}
			case 2:
				r.BindAttempt(r.now, id, r.of[id], n)
			case 3:
				r.RecordResult(r.now, id, r.of[id], n, policy.Result(n), 1)
			case 4:
				r.EndAttempt(r.now, id, r.of[id], n, policy.Result(n), false, &Times{Started: at, Connected: at + ms, Written: at + 2*ms, Relay: time.Second})
			case 5:
				r.EndRequest(r.now, id, r.of[id], Outcome(rapid.IntRange(1, 5).Draw(t, "outcome")), ms)
			case 6:
				r.RejectionWritten(r.now, id, at)
			case 7:
				r.Due(r.now)
			}
		}
		r.Flush(r.now)
		c := r.Counters()
		if c.Taken != taken || c.Taken != c.Kept+c.Dropped+c.Evicted+c.Limited || c.Pending != 0 || len(r.kept) != c.Kept {
			t.Fatalf("%d taken, %d handed over, %+v", taken, len(r.kept), c)
		}
		for _, y := range r.kept {
			if r.sum(y) != y.End {
				t.Fatalf("phases %v add up to %v of %v: %+v", y.Phases, r.sum(y), y.End, y)
			}
		}
	})
}
