package router

import (
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"notchhinge/internal/config/operatorconfig"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/testutil/replay"
	"notchhinge/internal/trace"
	"notchhinge/internal/trace/show"
)

// TestTracesAreWrittenToAFile checks that the complete record of a request that was answered during a drain is in the file when the
// router has ended, and that the logged counters account for it.
func TestTracesAreWrittenToAFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "traces.zst")
	f, err := operatorconfig.Parse([]byte("[trace]\nshare = 1\nper_second = 0\n[trace.file]\npath = \"traces.zst\"\n"), path, nil)
	if err != nil {
		t.Fatal(err)
	}
	var log strings.Builder
	synctest.Test(t, func(t *testing.T) {
		listener, stop, done := newPipeListener(), make(chan os.Signal, 1), make(chan error, 1)
		cfg := loadConfig(t)
		r := New(cfg, firstPlan(t, cfg), slog.New(slog.NewTextHandler(&log, nil)), func(_ context.Context, _, addr string) (net.Conn, error) {
			near, far := net.Pipe()
			if addr == cfg.DiscoveryAddr {
				go func() { io.Copy(io.Discard, far); far.Close() }()
			} else {
				go serveEngine(far, 2*time.Second)
			}
			return near, nil
		}, dispatch.UnixClock())
		if err := r.EnableTracing(f.Trace, "test"); err != nil {
			t.Fatal(err)
		}
		go func() { done <- r.ServeOn(listener, Signals{Stop: stop}) }()
		played := make(chan struct{})
		go func() { replay.Play(t, mustDial(listener.dial()), "testdata/last_answer.txt", nil); close(played) }()
		time.Sleep(time.Second)
		stop <- syscall.SIGTERM
		<-played
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	var got []*trace.Record
	if err := show.Scan(path, os.Stderr, func(record *trace.Record) error { got = append(got, record); return nil }); err != nil {
		t.Fatal(err)
	}
	if len(got) != 1 {
		t.Fatalf("%d records\n%s", len(got), log.String())
	}
	record := got[0]
	var sum time.Duration
	for _, d := range record.Phases {
		sum += d
	}
	if record.Outcome != trace.Served || record.End != 2*time.Second || sum != record.End || len(record.Attempts) != 1 || record.Attempts[0].Result.String() != "ok" ||
		record.Phases[trace.Wait] < 2*time.Second-time.Microsecond || record.Frontend != "calls" {
		t.Errorf("%+v", record)
	}
	if want := "taken=1 kept=1 share=1 dropped=0 early=0 limited=0 linked=0 held=0 file_put=1 file_sent=1 file_spans=2"; !strings.Contains(log.String(), want) {
		t.Errorf("the counters are not %q:\n%s", want, log.String())
	}
}
