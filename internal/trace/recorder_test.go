package trace

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"notchhinge/policy"
)

const ms = time.Millisecond

// harness owns a recorder: it collects the exported records and calls Due by a simulated clock.
type harness struct {
	*Recorder
	now       time.Duration
	wakeTimes []time.Duration
	exported  []*Record
	spans     map[policy.RequestID]*RequestSpan
}

func (r *harness) Wake(at time.Duration) { r.wakeTimes = append(r.wakeTimes, at) }
func (r *harness) Keep(record *Record)   { r.exported = append(r.exported, record) }

var pool = &Pool{Classes: []Class{{Name: "chat", TargetLatency: time.Second, TargetLatencyPerKTokens: 100 * ms, TokenLatencyTarget: 50 * ms}}}

func newHarness(change func(*Options)) *harness {
	o := Options{
		Router: "n1", Seed: 3, RetryWindow: 10 * time.Second, CompletionGrace: time.Second, Operations: 1000,
	}
	if change != nil {
		change(&o)
	}
	r := &harness{now: 1000 * time.Second, spans: map[policy.RequestID]*RequestSpan{}}
	r.Recorder = New(o, r)
	return r
}

// advanceTo sets the clock and makes the calls of Due that are scheduled until then.
func (r *harness) advanceTo(at time.Duration) {
	for {
		first := -1
		for i, w := range r.wakeTimes {
			if w <= at && (first < 0 || w < r.wakeTimes[first]) {
				first = i
			}
		}
		if first < 0 {
			break
		}
		r.now = max(r.now, r.wakeTimes[first])
		r.wakeTimes = append(r.wakeTimes[:first], r.wakeTimes[first+1:]...)
		r.Due(r.now)
	}
	r.now = max(r.now, at)
}

func (r *harness) advance(d time.Duration) { r.advanceTo(r.now + d) }

func (r *harness) start(id policy.RequestID, session uint64, prompt float64, o *Origin) {
	request := policy.Request{ID: id, Session: session, PromptTokens: prompt}
	r.spans[id] = r.StartRequest(r.now, id, id, fmt.Sprint("call", id), r.now, &request, o, pool)
}

// serve runs attempt 0 of a request: its first event arrives after first, and its stream lasts for stream.
func (r *harness) serve(id policy.RequestID, first, stream time.Duration) {
	r.SetReason(id, r.spans[id], policy.ReasonAffinity)
	r.StartAttempt(r.now, id, r.spans[id], 0, "s-1", "127.0.0.2:5000")
	sent := r.now
	r.advance(first)
	r.BindAttempt(r.now, id, r.spans[id], 0)
	bound := r.now
	r.advance(stream)
	r.EndAttempt(r.now, id, r.spans[id], 0, policy.ResultOK, false, &Times{
		Started: sent, Connected: sent + ms, Written: sent + 2*ms, FirstByte: bound - ms, FirstEvent: bound, Bound: bound,
		Ended: r.now, Tokens: 10,
	})
	r.RecordResult(r.now, id, r.spans[id], 0, policy.ResultOK, 64)
	r.EndRequest(r.now, id, r.spans[id], Served, 0)
}

func (r *harness) phaseSum(record *Record) (sum time.Duration) {
	for _, d := range record.Phases {
		sum += d
	}
	return sum
}

func TestOrdinaryRecordIsSampledAfterTheRetryWindow(t *testing.T) {
	r := newHarness(nil)
	r.start(1, 9, 100, nil)
	r.serve(1, 300*ms, 200*ms)
	if len(r.exported) != 0 || r.Counters().Pending == 0 {
		t.Fatalf("%d records exported, %d pending", len(r.exported), r.Counters().Pending)
	}
	r.advance(11 * time.Second)
	if c := r.Counters(); c.Dropped != 1 || c.Pending != 0 || c.Operations != 0 || len(r.table.bySession) != 0 {
		t.Errorf("%+v", c)
	}
	r.Recorder.sampler = NewSampler(1, 0)
	r.start(2, 9, 100, nil)
	r.serve(2, 300*ms, 200*ms)
	r.advance(11 * time.Second)
	if len(r.exported) != 1 || r.exported[0].Reasons != ForShare || r.exported[0].Previous != (Link{}) {
		t.Errorf("exported %+v", r.exported)
	}
}

func TestRecordsExportedRegardlessOfSampling(t *testing.T) {
	for name, play := range map[string]func(*harness) KeepReason{
		"late":      func(r *harness) KeepReason { r.serve(1, 1200*ms, ms); return ForLate },
		"slow pace": func(r *harness) KeepReason { r.serve(1, 100*ms, 600*ms); return ForLate },
		"refused": func(r *harness) KeepReason {
			r.SetReason(1, r.spans[1], policy.ReasonLoadShed)
			r.EndRequest(r.now, 1, r.spans[1], Refused, ms)
			return ForRefused
		},
		"gone": func(r *harness) KeepReason { r.EndRequest(r.now, 1, r.spans[1], Gone, 0); return ForGone },
		"failed after two attempts": func(r *harness) KeepReason {
			for n := range 2 {
				r.StartAttempt(r.now, 1, r.spans[1], n, "s", "d")
				r.advance(ms)
				r.EndAttempt(r.now, 1, r.spans[1], n, policy.ResultReset, false, nil)
				r.RecordResult(r.now, 1, r.spans[1], n, policy.ResultReset, 0)
			}
			r.SetReason(1, r.spans[1], policy.ReasonRetryBudget)
			r.EndRequest(r.now, 1, r.spans[1], Failed, 0)
			return ForFailed | ForAttempts
		},
		"broken": func(r *harness) KeepReason {
			r.StartAttempt(r.now, 1, r.spans[1], 0, "s", "d")
			r.BindAttempt(r.now, 1, r.spans[1], 0)
			r.EndAttempt(r.now, 1, r.spans[1], 0, policy.ResultReset, false, nil)
			r.RecordResult(r.now, 1, r.spans[1], 0, policy.ResultReset, 0)
			r.EndRequest(r.now, 1, r.spans[1], Broken, 0)
			return ForBroken
		},
	} {
		r := newHarness(nil)
		r.start(1, 9, 1000, nil)
		want := play(r)
		if len(r.exported) != 1 || r.exported[0].Reasons != want {
			t.Errorf("%s: exported %+v", name, r.exported)
		} else if record := r.exported[0]; r.phaseSum(record) != record.End {
			t.Errorf("%s: sum of phases %v, want %v", name, r.phaseSum(record), record.End)
		}
	}
}

func TestRetryExportsTheEarlierRequest(t *testing.T) {
	// A retry, recognized by session and prompt length, has the pending record of the first request exported, in the same
	// trace. The next request of the session is not a retry.
	r := newHarness(nil)
	r.start(1, 9, 100, nil)
	r.serve(1, 300*ms, 200*ms)
	r.advance(time.Second)
	r.start(2, 9, 150, nil)
	r.serve(2, 300*ms, 200*ms)
	if len(r.exported) != 0 {
		t.Fatal("the next request of the session was taken for a retry")
	}
	r.advance(time.Second)
	r.start(3, 9, 150, nil)
	if len(r.exported) != 1 || r.exported[0].CallID != "call2" || r.exported[0].Reasons != ForLinked {
		t.Fatalf("exported %+v", r.exported)
	}
	r.serve(3, 300*ms, 200*ms)
	if len(r.exported) != 2 || r.exported[1].Trace != r.exported[0].Trace ||
		r.exported[1].Previous.Span != r.exported[0].Span || r.exported[1].Number != 2 {
		t.Errorf("exported %+v", r.exported)
	}
}

func TestRetryAfterTheNextRequestOfTheSession(t *testing.T) {
	// A retry is recognized although another request of the session came in between.
	r := newHarness(nil)
	r.start(1, 9, 100, nil)
	r.serve(1, 300*ms, 200*ms)
	r.start(2, 9, 150, nil)
	r.start(3, 9, 100, nil)
	if len(r.exported) != 1 || r.exported[0].CallID != "call1" || r.Counters().Retries != 1 {
		t.Errorf("exported %+v, %+v", r.exported, r.Counters())
	}
	r.start(4, 9, 150, nil) // as is a later retry of the other request
	if r.Counters().Retries != 2 {
		t.Errorf("second retry not recognized: %+v", r.Counters())
	}
}

func TestMarkedRetryIsNotLinkedToAnotherOperationOfItsTrace(t *testing.T) {
	// An agent's run is one trace with several operations. The second operation began at another router, so its marked retry
	// must not be linked to the first operation, which has the same trace ID.
	r := newHarness(nil)
	c, _ := ParseParent(goodParent)
	r.start(1, 9, 100, &Origin{Context: c})
	r.serve(1, 300*ms, 200*ms)
	r.start(2, 9, 150, &Origin{Context: c, Retry: true})
	r.serve(2, 300*ms, 200*ms)
	if len(r.exported) != 1 || r.exported[0].CallID != "call2" || r.exported[0].Previous != (Link{}) ||
		r.exported[0].Trace != c.Trace {
		t.Errorf("exported %+v", r.exported)
	}
	r.start(3, 0, 150, &Origin{Context: c, Retry: true}) // without a session, the prompt length tells operations apart
	if r.Counters().Retries != 0 {
		t.Errorf("%+v", r.Counters())
	}
}

func TestRetryWhileTheFirstRequestIsOpen(t *testing.T) {
	// A retry arrives, with a trace of the client, while the first request is open: both are exported, the first when it ends.
	r := newHarness(nil)
	c, _ := ParseParent(goodParent)
	r.start(1, 9, 100, nil)
	r.StartAttempt(r.now, 1, r.spans[1], 0, "s-1", "d")
	r.advance(time.Second)
	r.start(2, 9, 100, &Origin{Context: c})
	r.serve(2, 100*ms, 100*ms)
	if len(r.exported) != 1 || r.exported[0].Trace != c.Trace || r.exported[0].Parent != c.Span ||
		r.exported[0].Previous == (Link{}) {
		t.Fatalf("exported %+v", r.exported)
	}
	r.BindAttempt(r.now, 1, r.spans[1], 0)
	r.EndAttempt(r.now, 1, r.spans[1], 0, policy.ResultOK, false, nil)
	r.RecordResult(r.now, 1, r.spans[1], 0, policy.ResultOK, 0)
	r.EndRequest(r.now, 1, r.spans[1], Served, 0)
	if len(r.exported) != 2 || r.exported[1].CallID != "call1" || r.exported[1].Reasons&ForLinked == 0 &&
		r.exported[1].Reasons&ForLate == 0 {
		t.Errorf("exported %+v", r.exported[1])
	}
}

func TestLateEndOfACancelledAttempt(t *testing.T) {
	// The second attempt is bound and the first one cancelled. The record waits for the end of the first, and holds both the
	// result that the module received and that of the transport.
	r := newHarness(nil)
	r.start(1, 9, 100, nil)
	r.StartAttempt(r.now, 1, r.spans[1], 0, "s-1", "d1")
	r.advance(50 * ms)
	r.StartAttempt(r.now, 1, r.spans[1], 1, "s-2", "d2")
	r.advance(50 * ms)
	r.BindAttempt(r.now, 1, r.spans[1], 1)
	r.RecordResult(r.now, 1, r.spans[1], 0, policy.ResultCancelled, 0)
	r.advance(50 * ms)
	r.EndAttempt(r.now, 1, r.spans[1], 1, policy.ResultOK, false, nil)
	r.RecordResult(r.now, 1, r.spans[1], 1, policy.ResultOK, 0)
	r.EndRequest(r.now, 1, r.spans[1], Served, 0)
	if len(r.exported) != 0 {
		t.Fatal("record closed before the cancelled attempt ended")
	}
	r.advance(100 * ms)
	r.EndAttempt(r.now, 1, r.spans[1], 0, policy.ResultReset, false, nil)
	if len(r.exported) != 1 {
		t.Fatal("record not closed when the cancelled attempt ended")
	}
	record := r.exported[0]
	if record.Attempts[0].Result != Result(policy.ResultCancelled) ||
		record.Attempts[0].TransportResult != Result(policy.ResultReset) || record.End != 150*ms || r.phaseSum(record) != record.End {
		t.Errorf("%+v, sum of phases %v", record, r.phaseSum(record))
	}
	// A record whose attempt never ends is closed after the grace period.
	r.start(2, 8, 100, nil)
	r.StartAttempt(r.now, 2, r.spans[2], 0, "s-1", "d1")
	r.RecordResult(r.now, 2, r.spans[2], 0, policy.ResultTimedOut, 0)
	r.SetReason(2, r.spans[2], policy.ReasonDeadline)
	r.EndRequest(r.now, 2, r.spans[2], Failed, 0)
	r.advance(2 * time.Second)
	if len(r.exported) != 2 || r.exported[1].Attempts[0].TransportResult != None ||
		r.exported[1].Why.String() != "out_of_time" {
		t.Errorf("exported %+v", r.exported)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	// Of 10,000 requests in a second, one in a hundred fails. All failed ones are exported, the pending records stay within
	// the limit, and each request is counted once.
	r := newHarness(func(o *Options) { o.Operations, o.Share = 500, 0.01 })
	failed := 0
	for id := policy.RequestID(1); id <= 10000; id++ {
		r.start(id, uint64(id), 100, nil)
		if id%100 == 0 {
			r.EndRequest(r.now, id, r.spans[id], Failed, 0)
			failed++
		} else {
			r.serve(id, 20*time.Microsecond, 20*time.Microsecond)
		}
		if c := r.Counters(); c.Pending > 500 || c.Operations > 501 {
			t.Fatalf("after %d: %+v", id, c)
		}
		r.advance(60 * time.Microsecond)
	}
	r.Flush(r.now)
	c := r.Counters()
	if got := c.Exported - c.Sampled; got != failed || c.Evicted == 0 ||
		c.Started != c.Exported+c.Dropped+c.Evicted+c.RateLimited || c.Pending != 0 {
		t.Errorf("%d failed, %+v", failed, c)
	}
}

func TestDrainExportsWithoutWaitingForRetries(t *testing.T) {
	// A draining router may be killed while its last streams run, so ended requests are exported at once.
	r := newHarness(func(o *Options) { o.Share = 1 })
	r.start(1, 9, 100, nil)
	r.serve(1, 10*ms, 10*ms)
	r.start(2, 8, 100, nil)
	r.Drain(r.now)
	if len(r.exported) != 1 {
		t.Fatalf("%d records exported", len(r.exported))
	}
	r.serve(2, 10*ms, 10*ms)
	if c := r.Counters(); len(r.exported) != 2 || c.Pending != 0 || c.Operations != 0 {
		t.Errorf("%d records exported, %+v", len(r.exported), c)
	}
}

func TestFlushExportsOpenRequests(t *testing.T) {
	r := newHarness(nil)
	r.start(1, 9, 100, nil)
	r.StartAttempt(r.now, 1, r.spans[1], 0, "s-1", "d")
	r.advance(time.Second)
	r.Flush(r.now)
	if len(r.exported) != 1 || r.exported[0].Outcome != Open || r.phaseSum(r.exported[0]) != time.Second ||
		r.spans[1].isFor(1) {
		t.Errorf("exported %+v", r.exported)
	}
}

// TestEventsInAnyOrder plays random events: in any order, each request is counted once and its phases add up to its time.
func TestEventsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newHarness(func(o *Options) { o.Share = 0.5 })
		started := 0
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			r.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * ms)
			id := policy.RequestID(rapid.IntRange(1, 5).Draw(t, "id"))
			n := rapid.IntRange(0, 2).Draw(t, "leg")
			at := r.now - time.Duration(rapid.IntRange(-100, 4000).Draw(t, "ago"))*ms
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				if !r.spans[id].isFor(id) {
					r.start(id, uint64(id%3), float64(id%2), &Origin{ReportsRejection: id%2 == 0})
					started++
				}
			case 1:
				if span := r.spans[id]; span.isFor(id) && !span.ended && n == len(span.record.Attempts) {
					r.StartAttempt(r.now, id, r.spans[id], n, "s", "d")
				}
			case 2:
				r.BindAttempt(r.now, id, r.spans[id], n)
			case 3:
				r.RecordResult(r.now, id, r.spans[id], n, policy.Result(n), 1)
			case 4:
				r.EndAttempt(r.now, id, r.spans[id], n, policy.Result(n), false,
					&Times{Started: at, Connected: at + ms, Written: at + 2*ms, Relay: time.Second})
			case 5:
				r.EndRequest(r.now, id, r.spans[id], Outcome(rapid.IntRange(1, 5).Draw(t, "outcome")), ms)
			case 6:
				r.RejectionWritten(r.now, id, at)
			case 7:
				r.Due(r.now)
			}
		}
		r.Flush(r.now)
		c := r.Counters()
		if c.Started != started || c.Started != c.Exported+c.Dropped+c.Evicted+c.RateLimited || c.Pending != 0 ||
			len(r.exported) != c.Exported {
			t.Fatalf("%d started, %d exported, %+v", started, len(r.exported), c)
		}
		for _, record := range r.exported {
			if r.phaseSum(record) != record.End {
				t.Fatalf("phases %v: sum %v, want %v: %+v", record.Phases, r.phaseSum(record), record.End, record)
			}
		}
	})
}
