package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/trace"
)

func TestTracedAttemptTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		dial, far := pipes()
		d := newHarness(dial)
		d.cfg.Now = func() time.Duration { return time.Hour + time.Since(began) }
		span, ok := trace.ParseParent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01")
		if span.State = "ot=th:c"; !ok {
			t.Fatal("the trace context does not parse")
		}
		c := &downstream{body: []byte(`{"model":"chat"}`)}
		d.startTracedAttempt(dispatch.StartTracedAttempt{StartAttempt: send(0, c), Span: &trace.Carried{Context: span}})
		conn := <-far
		play(t, conn, "traced")
		synctest.Wait()
		conn.Close()
		d.Close()
		if len(d.ends) != 1 || d.ends[0].Times == nil {
			t.Fatalf("%+v", d.ends)
		}
		h, ms := time.Hour, time.Millisecond
		want := trace.Times{
			Begun: h, Lined: h, Fresh: true, Written: h, First: h + 300*ms, Event: h + 500*ms, Bound: h + 500*ms,
			Ended: h + 500*ms, Bytes: d.ends[0].Times.Bytes, Tokens: 7,
		}
		if diff := cmp.Diff(want, *d.ends[0].Times); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}
