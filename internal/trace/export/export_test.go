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

func record(n int, reasons trace.KeepReason) *trace.Record {
	return &trace.Record{
		Trace: trace.TraceID{1, byte(n), byte(n >> 8)}, Span: trace.SpanID{2, byte(n), byte(n >> 8)}, Router: "n1",
		Frontend: "calls", CallID: strings.Repeat("c", 16), Class: "chat", At: time.Duration(n) * time.Second,
		End: time.Second, FirstEvent: time.Second / 2, Outcome: trace.Served, Reasons: reasons, Number: 1,
		Attempts: []trace.Attempt{{Span: trace.SpanID{3}, Host: "s-1", TransportResult: trace.None}},
	}
}

func TestFullQueueDropsOrdinaryRecordsFirst(t *testing.T) {
	q := newQueue(100 * recordSize(record(0, 0)))
	for n := range 1000 {
		reasons := trace.ForShare
		if n%20 == 0 {
			reasons = trace.ForFailed
		}
		q.put(record(n, reasons))
	}
	if c := q.Counters(); c.LostKept != 0 || c.Lost != 900 || c.Waiting != 100 {
		t.Errorf("%+v", c)
	}
	taken := q.take(50)
	for n, got := range taken {
		if got.Reasons != trace.ForFailed || got.At != time.Duration(20*n)*time.Second {
			t.Fatalf("record %d: %+v", n, got)
		}
	}
	for n := range 200 {
		q.put(record(n, trace.ForFailed))
	}
	if c := q.Counters(); c.Lost != 950 || c.LostKept != 100 || q.bytes > q.maxBytes {
		t.Errorf("%+v, %d bytes of %d", c, q.bytes, q.maxBytes)
	}
}

func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

func TestFileIsReadBack(t *testing.T) {
	// Records are read back in order across rotated files. A torn write and a flipped bit lose only the records of their
	// frame.
	path := filepath.Join(t.TempDir(), "sub", "traces.zst")
	f, err := NewFile(FileOptions{Path: path, Max: 2000, Files: 30, Flush: time.Hour, Queue: 1 << 20, Log: discardLog()})
	if err != nil {
		t.Fatal(err)
	}
	var want []*trace.Record
	for n := range 600 {
		want = append(want, record(n, trace.ForFailed))
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
	read := func(text []byte) (got []*trace.Record, d Damage) {
		d, err := Read(bytes.NewReader(text), func(t *trace.Record) error { got = append(got, t); return nil })
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
	damaged := bytes.Clone(all)
	damaged[40] ^= 8
	if got, damage := read(damaged); len(got) != 540 || damage.Frames != 1 {
		t.Errorf("a flipped bit: %d records, %v", len(got), damage)
	}
	if got, damage := read(append([]byte("noise"), all...)); len(got) != 600 || damage.Bytes != 5 {
		t.Errorf("noise before the first frame: %d records, %v", len(got), damage)
	}
	stop := errors.New("enough")
	if _, err := Read(bytes.NewReader(all), func(*trace.Record) error { return stop }); !errors.Is(err, stop) {
		t.Errorf("Read returned %v, want the error of the callback", err)
	}
}

func FuzzRead(f *testing.F) {
	exporter, err := NewFile(FileOptions{
		Path: filepath.Join(f.TempDir(), "t"), Max: 1 << 20, Files: 1, Flush: time.Hour,
		Queue: 1 << 20, Log: discardLog(),
	})
	if err != nil {
		f.Fatal(err)
	}
	good := exporter.enc.EncodeAll([]byte(`{"call_id":"x","legs":[{"host":"a","result":"ok","said":"none"}]}`+"\n{\n"), nil)
	exporter.Close(context.Background())
	f.Add(good)
	f.Add(append(good[:len(good)-2], good...))
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, err := Read(bytes.NewReader(text), func(*trace.Record) error { return nil }); err != nil {
			t.Error(err)
		}
	})
}

func TestCollectors(t *testing.T) {
	// Whatever a collector does, Put does not block, Close returns in time, and each record is counted.
	for name, c := range map[string]struct {
		mode standin.Mode
		sent bool
	}{
		"takes": {standin.Accepting, true}, "hangs": {standin.Hanging, false}, "busy": {standin.Throttling, false},
		"denies": {standin.Rejecting, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			collector, err := standin.StartCollector("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer collector.Close()
			collector.SetMode(c.mode)
			e, err := NewOTLP(OTLPOptions{
				Endpoint: collector.URL(), Queue: 1 << 20, Timeout: time.Minute, Router: "n1",
				Log: discardLog(),
			})
			if err != nil {
				t.Fatal(err)
			}
			for n := range 300 {
				e.Put(record(n, trace.ForFailed))
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			if !c.sent && c.mode != standin.Rejecting {
				cancel() // this collector accepts nothing, so Close must not wait
			}
			e.Close(ctx)
			cancel()
			got := e.Counters()
			if got.Waiting != 0 || (got.Sent == 300) != c.sent || (got.Rejected == 300) != (c.mode == standin.Rejecting) {
				t.Errorf("%+v", got)
			}
			if spans, _ := collector.Spans(); len(spans) != got.Spans {
				t.Errorf("collector received %d spans, want %d", len(spans), got.Spans)
			}
		})
	}
}

func TestSpans(t *testing.T) {
	rec := record(1, trace.ForFailed|trace.ForAttempts)
	rec.Outcome, rec.Phases[trace.Wait], rec.Previous = trace.Failed, time.Second, trace.Link{Span: trace.SpanID{9}}
	spans := Spans(rec)
	if len(spans) != 2 || standin.Hex(spans[1].ParentSpanId) != rec.Span.String() ||
		standin.StringAttribute(spans[0], "notchhinge.outcome") != "failed" ||
		standin.IntAttribute(spans[0], "notchhinge.phase.wait_us") != 1e6 || len(spans[0].Links) != 1 ||
		!cmp.Equal(standin.StringsAttribute(spans[0], "notchhinge.kept_for"), []string{"failed", "legs"}) {
		t.Errorf("%v", spans)
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
