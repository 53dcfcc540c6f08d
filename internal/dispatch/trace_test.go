package dispatch

import (
	"fmt"
	"testing"
	"time"

	"notchhinge/internal/limits"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// enableTracing turns tracing on, with the options that all tests share.
func enableTracing(f *fixture, o trace.Options) {
	o.Router, o.RetryWindow, o.CompletionGrace, o.Operations, o.Seed = "n1", 10*sec, 2*sec, 1000, 5
	f.Reduce(f.now, ConfigurePool{Classes: []trace.Class{{Name: "chat", TargetLatency: sec}}})
	f.Trace(o)
}

// reduceTraced reduces an event and returns the traces that it exports and the spans of the attempts that it starts.
func (f *fixture) reduceTraced(at time.Duration, e Event) (records []*trace.Record, spans []trace.Context) {
	for _, effect := range f.Reduce(f.now+at, e) {
		switch effect := effect.(type) {
		case ExportTrace:
			records = append(records, effect.Trace)
		case StartTracedAttempt:
			spans = append(spans, effect.Span.Context)
		}
	}
	return records, spans
}

func TestTraceOfARequest(t *testing.T) {
	// The first attempt is reset, the second one runs into the deadline. The record holds both attempts with their results and the
	// module's reasons, and is exported once the client has its answer and the last attempt has ended.
	f := newFixture(t, 3, nil)
	enableTracing(f, trace.Options{})
	parent, _ := trace.ParseParent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01")
	e := requestFrom("a", f.now, 4*sec)
	e.ClientRequestID, e.Origin = "call", &trace.Origin{Context: parent, Frontend: "calls", ReportsRejection: true}
	_, spans := f.reduceTraced(10*time.Millisecond, e)
	if len(spans) != 1 || spans[0].Trace != parent.Trace || spans[0].Span == parent.Span {
		t.Fatalf("the first attempt was sent with spans %v", spans)
	}
	first := spans[0]
	if _, spans = f.reduceTraced(sec, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultReset}); len(spans) != 1 || spans[0].Span == first.Span {
		t.Fatalf("the second attempt was sent with spans %v", spans)
	}
	if records, _ := f.reduceTraced(5*sec, Tick{}); len(records) != 0 {
		t.Fatal("the record was exported before the client had its answer")
	}
	f.reduceTraced(5*sec, RejectionWritten{Client: "a", At: f.now + 5*sec})
	records, _ := f.reduceTraced(5*sec+sec/10, AttemptEnded{Attempt: AttemptID{1, 1}, Result: policy.ResultCancelled})
	if len(records) != 1 {
		t.Fatalf("%d records were exported, want 1", len(records))
	}
	record := records[0]
	got := fmt.Sprintf("%v %v %v %v %v %v %v %v", record.Outcome == trace.Failed, record.Why, len(record.Attempts), record.CallID,
		record.Parent == parent.Span, record.End, record.Phases[trace.Queue], record.Phases[trace.Answer])
	if want := "true out_of_time 2 call true 5s 10ms 0s"; got != want {
		t.Fatalf("got %s, want %s: %+v", got, want, record)
	}
	earlier, second := record.Attempts[0], record.Attempts[1]
	got = fmt.Sprintf("%v %v %v %v", earlier.Why, earlier.Result, second.Result, second.TransportResult)
	if want := "drawn reset timed_out cancelled"; got != want {
		t.Errorf("got %s, want %s: %+v", got, want, record)
	}
}

func TestTraceOfRequestRejectedBeforeTheModule(t *testing.T) {
	f := newFixture(t, 1, func(l *limits.Limits) { l.ConcurrentRequests = 1 })
	enableTracing(f, trace.Options{})
	f.reduceTraced(0, requestFrom("a", f.now, 4*sec))
	records, _ := f.reduceTraced(0, requestFrom("b", f.now, 4*sec))
	if len(records) != 1 || records[0].Why != trace.RouterFull || records[0].Outcome != trace.Refused {
		t.Errorf("%+v", records)
	}
}

func TestFlushExportsAllTraces(t *testing.T) {
	f := newFixture(t, 1, nil)
	enableTracing(f, trace.Options{})
	f.reduceTraced(0, requestFrom("a", f.now, 4*sec))
	if records, _ := f.reduceTraced(sec, FlushTraces{}); len(records) != 1 || records[0].Outcome != trace.Open {
		t.Errorf("%+v", records)
	}
}

// BenchmarkReduce measures a served request in the reducer, with tracing off and on.
func BenchmarkReduce(b *testing.B) {
	for name, on := range map[string]bool{"off": false, "on": true} {
		b.Run(name, func(b *testing.B) {
			lim := limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 1024},
				limits.Site{ConnectTimeout: sec / 10, UpstreamIdleClose: 5 * sec, MaxAttempts: 3, MaxDeadline: 10 * sec})
			x := New(lim)
			x.Reduce(1000*sec, ConfigurePool{Module: newModule(b), SlowStart: sec, SlowStartInitial: 0.5})
			f := &fixture{Dispatcher: x, now: 1000 * sec}
			if on {
				enableTracing(f, trace.Options{Share: 0.01})
			}
			x.Reduce(f.now, EndpointsListed{Kind: policy.ListFull, Hosts: []Host{{Name: "h", Addr: "d", Weight: 1}}})
			var origin *trace.Origin
			if on {
				origin = &trace.Origin{}
			}
			b.ReportAllocs()
			for n := 1; b.Loop(); n++ {
				f.now += 100 * time.Microsecond
				e := requestFrom("a", f.now, 4*sec)
				e.Request.Session, e.Origin = uint64(n), origin
				id := AttemptID{policy.RequestID(n), 0}
				x.Reduce(f.now, e)
				x.Reduce(f.now, AttemptStarted{id})
				x.Reduce(f.now, AttemptEnded{Attempt: id, Result: policy.ResultOK})
			}
		})
	}
}
