package export

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/lab/standin"
	"notchhinge/internal/trace"
)

func try(n int, why trace.Reason) *trace.Try {
	return &trace.Try{
		Trace: trace.TraceID{1, byte(n), byte(n >> 8)}, Span: trace.SpanID{2, byte(n), byte(n >> 8)}, Router: "n1", Front: "calls",
		CallID: strings.Repeat("c", 16), Class: "chat", At: time.Duration(n) * time.Second, End: time.Second, First: time.Second / 2,
		Outcome: trace.Served, Reasons: why, Number: 1,
		Legs: []trace.Leg{{Span: trace.SpanID{3}, Host: "s-1", Said: trace.None}},
	}
}

func TestQueueLosesOrdinaryOnesFirst(t *testing.T) {
	q := newQueue(100 * size(try(0, 0)))
	for n := range 1000 {
		why := trace.ForShare
		if n%20 == 0 {
			why = trace.ForFailed
		}
		q.put(try(n, why))
	}
	if c := q.Counters(); c.LostKept != 0 || c.Lost != 900 || c.Waiting != 100 {
		t.Errorf("%+v", c)
	}
	some := q.take(50)
	for n, y := range some {
		if y.Reasons != trace.ForFailed || y.At != time.Duration(20*n)*time.Second {
			t.Fatalf("taken %d: %+v", n, y)
		}
	}
	for n := range 200 {
		q.put(try(n, trace.ForFailed))
	}
	if c := q.Counters(); c.Lost != 950 || c.LostKept != 100 || q.bytes > q.most {
		t.Errorf("%+v, %d bytes of %d", c, q.bytes, q.most)
	}
}

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

func TestFileIsReadBack(t *testing.T) {
	// What is written is read back whole and in order, over rotated files; a torn write and a flipped bit cost their own
	// frames only.
	path := filepath.Join(t.TempDir(), "sub", "traces.zst")
	f, err := NewFile(FileOptions{Path: path, Max: 2000, Files: 30, Flush: time.Hour, Queue: 1 << 20, Log: quiet()})
	if err != nil {
		t.Fatal(err)
	}
	var want []*trace.Try
	for n := range 600 {
		want = append(want, try(n, trace.ForFailed))
		f.Put(want[n])
		if n%60 == 59 {
			f.flush()
		}
	}
	f.Close(context.Background())
	if c := f.Counters(); c.Sent != 600 || c.Spans != 1200 || c.Waiting != 0 {
		t.Errorf("%+v", c)
	}
	files, err := Rotated(path)
	if err != nil || len(files) < 3 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	var all []byte
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, text...)
	}
	read := func(text []byte) (got []*trace.Try, d Damage) {
		d, err := Read(bytes.NewReader(text), func(t *trace.Try) error { got = append(got, t); return nil })
		if err != nil {
			t.Fatal(err)
		}
		return got, d
	}
	got, damage := read(all)
	if diff := cmp.Diff(want, got); diff != "" || damage != (Damage{}) {
		t.Fatalf("%v (-want +got):\n%s", damage, diff)
	}
	if got, damage := read(all[:len(all)-10]); len(got) != 540 || damage.Frames != 1 {
		t.Errorf("torn: %d records, %v", len(got), damage)
	}
	spoilt := bytes.Clone(all)
	spoilt[40] ^= 8
	if got, damage := read(spoilt); len(got) != 540 || damage.Frames != 1 {
		t.Errorf("a flipped bit: %d records, %v", len(got), damage)
	}
	if got, damage := read(append([]byte("noise"), all...)); len(got) != 600 || damage.Bytes != 5 {
		t.Errorf("noise in front: %d records, %v", len(got), damage)
	}
	stop := errors.New("enough")
	if _, err := Read(bytes.NewReader(all), func(*trace.Try) error { return stop }); !errors.Is(err, stop) {
		t.Errorf("stopped by %v", err)
	}
}

func FuzzRead(f *testing.F) {
	sink, err := NewFile(FileOptions{Path: filepath.Join(f.TempDir(), "t"), Max: 1 << 20, Files: 1, Flush: time.Hour, Queue: 1 << 20, Log: quiet()})
	if err != nil {
		f.Fatal(err)
	}
	good := sink.enc.EncodeAll([]byte(`{"call_id":"x","legs":[{"host":"a","result":"ok","said":"none"}]}`+"\n{\n"), nil)
	sink.Close(context.Background())
	f.Add(good)
	f.Add(append(good[:len(good)-2], good...))
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, err := Read(bytes.NewReader(text), func(*trace.Try) error { return nil }); err != nil {
			t.Error(err)
		}
	})
}

func TestCollectors(t *testing.T) {
	// Whatever a collector does, Put does not wait, the end comes within its bound, and each record is accounted for.
	for name, c := range map[string]struct {
		mode standin.Mode
		sent bool
	}{"takes": {standin.Accepting, true}, "hangs": {standin.Hanging, false}, "busy": {standin.Throttling, false}, "denies": {standin.Rejecting, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			collector, err := standin.StartCollector("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer collector.Close()
			collector.SetMode(c.mode)
			e, err := NewOTLP(OTLPOptions{Endpoint: collector.URL(), Queue: 1 << 20, Timeout: time.Minute, Router: "n1", Log: quiet()})
			if err != nil {
				t.Fatal(err)
			}
			for n := range 300 {
				e.Put(try(n, trace.ForFailed))
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			if !c.sent && c.mode != standin.Rejecting {
				cancel() // nothing is to be waited for
			}
			e.Close(ctx)
			cancel()
			got := e.Counters()
			if got.Waiting != 0 || (got.Sent == 300) != c.sent || (got.Rejected == 300) != (c.mode == standin.Rejecting) {
				t.Errorf("%+v", got)
			}
			if spans, _ := collector.Spans(); len(spans) != got.Spans {
				t.Errorf("%d spans came of %d", len(spans), got.Spans)
			}
		})
	}
}

func TestSpans(t *testing.T) {
	y := try(1, trace.ForFailed|trace.ForLegs)
	y.Outcome, y.Phases[trace.Wait], y.Before = trace.Failed, time.Second, trace.Link{Span: trace.SpanID{9}}
	s := Spans(y)
	if len(s) != 2 || standin.Hex(s[1].ParentSpanId) != y.Span.String() || standin.StringAttribute(s[0], "notchhinge.outcome") != "failed" ||
		standin.IntAttribute(s[0], "notchhinge.phase.wait_us") != 1e6 || len(s[0].Links) != 1 ||
		!cmp.Equal(standin.StringsAttribute(s[0], "notchhinge.kept_for"), []string{"failed", "legs"}) {
		t.Errorf("%v", s)
	}
}

func TestHeaders(t *testing.T) {
	got, err := ParseHeaders("api-key = s%20x, b=c=d,")
	if diff := cmp.Diff(map[string]string{"api-key": "s x", "b": "c=d"}, got); diff != "" || err != nil {
		t.Errorf("%v %s", err, diff)
	}
	if _, err := ParseHeaders("secret"); err == nil || strings.Contains(err.Error(), "secret") {
		t.Errorf("%v", err)
	}
}
