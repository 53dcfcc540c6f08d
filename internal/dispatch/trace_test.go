package dispatch

import (
	"testing"
	"time"

	"notchhinge/internal/limits"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

func traced(r *rig, o trace.Options) {
	o.Router, o.Window, o.Linger, o.Steps, o.Seed = "n1", 10*sec, 2*sec, 1000, 5
	r.Reduce(r.now, ConfigurePool{Classes: []trace.Class{{Name: "chat", Aim: sec}}})
	r.Trace(o)
}

// keeps takes an event in and returns the records that leave with it, and the spans that legs are sent with.
func (r *rig) keeps(at time.Duration, e Event) (kept []*trace.Try, spans []trace.Context) {
	for _, f := range r.Reduce(r.now+at, e) {
		switch f := f.(type) {
		case ExportTrace:
			kept = append(kept, f.Trace)
		case StartTracedAttempt:
			spans = append(spans, f.Span.Context)
		}
	}
	return kept, spans
}

func TestJourneyOfAStep(t *testing.T) {
	// A reset, another leg that is too slow, and the deadline: the record holds both legs with their results and what the
	// module decided, and leaves once the client has its answer and the last leg's line has said its word.
	r := newRig(t, 3, nil)
	traced(r, trace.Options{})
	parent, _ := trace.ParseParent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01")
	e := taken("a", r.now, 4*sec)
	e.ClientRequestID, e.Origin = "call", &trace.Origin{Context: parent, Front: "calls", Tells: true}
	_, spans := r.keeps(10*time.Millisecond, e)
	if len(spans) != 1 || spans[0].Trace != parent.Trace || spans[0].Span == parent.Span {
		t.Fatalf("sent with %v", spans)
	}
	first := spans[0]
	if _, spans = r.keeps(sec, AttemptEnded{Attempt: AttemptID{1, 0}, Result: policy.ResultReset}); len(spans) != 1 || spans[0].Span == first.Span {
		t.Fatalf("the second leg was sent with %v", spans)
	}
	if kept, _ := r.keeps(5*sec, Tick{}); len(kept) != 0 {
		t.Fatal("it left before its client had its answer")
	}
	r.keeps(5*sec, RejectionWritten{Client: "a", At: r.now + 5*sec})
	kept, _ := r.keeps(5*sec+sec/10, AttemptEnded{Attempt: AttemptID{1, 1}, Result: policy.ResultCancelled})
	if len(kept) != 1 {
		t.Fatalf("%d records", len(kept))
	}
	y := kept[0]
	if y.Outcome != trace.Failed || y.Why.String() != "out_of_time" || len(y.Legs) != 2 || y.CallID != "call" || y.Parent != parent.Span ||
		y.Legs[0].Result.String() != "reset" || y.Legs[1].Result.String() != "timed_out" || y.Legs[1].Said.String() != "cancelled" ||
		y.Legs[0].Why.String() != "drawn" || y.End != 5*sec || y.Phases[trace.Queue] != 10*time.Millisecond || y.Phases[trace.Answer] != 0 {
		t.Errorf("%+v", y)
	}
}

func TestJourneyOfWhatTheModuleNeverSees(t *testing.T) {
	r := newRig(t, 1, func(l *limits.Limits) { l.ConcurrentRequests = 1 })
	traced(r, trace.Options{})
	r.keeps(0, taken("a", r.now, 4*sec))
	kept, _ := r.keeps(0, taken("b", r.now, 4*sec))
	if len(kept) != 1 || kept[0].Why != trace.RouterFull || kept[0].Outcome != trace.Refused {
		t.Errorf("%+v", kept)
	}
}

func TestFlush(t *testing.T) {
	r := newRig(t, 1, nil)
	traced(r, trace.Options{})
	r.keeps(0, taken("a", r.now, 4*sec))
	if kept, _ := r.keeps(sec, FlushTraces{}); len(kept) != 1 || kept[0].Outcome != trace.Open {
		t.Errorf("%+v", kept)
	}
}

// BenchmarkReduce is a request's life in the reducer, without tracing and with it.
func BenchmarkReduce(b *testing.B) {
	for name, on := range map[string]bool{"off": false, "on": true} {
		b.Run(name, func(b *testing.B) {
			lim := limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 1024},
				limits.Site{ConnectTimeout: sec / 10, UpstreamIdleClose: 5 * sec, MaxAttempts: 3, MaxDeadline: 10 * sec})
			x := New(lim)
			x.Reduce(1000*sec, ConfigurePool{Module: module(b), SlowStart: sec, SlowStartInitial: 0.5})
			r := &rig{Dispatcher: x, now: 1000 * sec}
			if on {
				traced(r, trace.Options{Share: 0.01})
			}
			x.Reduce(r.now, EndpointsListed{Kind: policy.ListFull, Hosts: []Host{{Name: "h", Addr: "d", Weight: 1}}})
			var origin *trace.Origin
			if on {
				origin = &trace.Origin{}
			}
			b.ReportAllocs()
			for n := 1; b.Loop(); n++ {
				r.now += 100 * time.Microsecond
				e := taken("a", r.now, 4*sec)
				e.Request.Session, e.Origin = uint64(n), origin
				id := AttemptID{policy.RequestID(n), 0}
				x.Reduce(r.now, e)
				x.Reduce(r.now, AttemptStarted{id})
				x.Reduce(r.now, AttemptEnded{Attempt: id, Result: policy.ResultOK})
			}
		})
	}
}
