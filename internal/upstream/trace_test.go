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
		start := time.Now()
		dial, accepted := pipes()
		h := newHarness(dial)
		h.cfg.Now = func() time.Duration { return time.Hour + time.Since(start) }
		span, ok := trace.ParseParent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01")
		if span.State = "ot=th:c"; !ok {
			t.Fatal("ParseParent rejected the trace context")
		}
		client := &downstream{body: []byte(`{"model":"chat"}`)}
		h.startTracedAttempt(dispatch.StartTracedAttempt{StartAttempt: startEffect(0, client), Span: &trace.AttemptSpan{Context: span}})
		conn := <-accepted
		play(t, conn, "traced")
		synctest.Wait()
		conn.Close()
		h.Close()
		if len(h.ended) != 1 || h.ended[0].Times == nil {
			t.Fatalf("%+v", h.ended)
		}
		hour, ms := time.Hour, time.Millisecond
		want := trace.Times{
			Started: hour, Connected: hour, NewConnection: true, Written: hour, FirstByte: hour + 300*ms, FirstEvent: hour + 500*ms, Bound: hour + 500*ms,
			Ended: hour + 500*ms, Bytes: h.ended[0].Times.Bytes, Tokens: 7,
		}
		if diff := cmp.Diff(want, *h.ended[0].Times); diff != "" {
			t.Errorf("times (-want +got):\n%s", diff)
		}
	})
}
