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

// TestTracedToAFile: a request that is answered during a drain is in the file once the router has ended, whole, and the
// account that the router prints closes.
func TestTracedToAFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "traces.zst")
	f, err := operatorconfig.Parse([]byte("[trace]\nshare = 1\nper_second = 0\n[trace.file]\npath = \"traces.zst\"\n"), path, nil)
	if err != nil {
		t.Fatal(err)
	}
	var log strings.Builder
	synctest.Test(t, func(t *testing.T) {
		front, stop, done := newPipeListener(), make(chan os.Signal, 1), make(chan error, 1)
		cfg := load(t)
		r := New(cfg, begin(t, cfg), slog.New(slog.NewTextHandler(&log, nil)), func(_ context.Context, _, addr string) (net.Conn, error) {
			near, far := net.Pipe()
			if addr == cfg.DiscoveryAddr {
				go func() { io.Copy(io.Discard, far); far.Close() }()
			} else {
				go host(far, 2*time.Second)
			}
			return near, nil
		}, dispatch.UnixClock())
		if err := r.EnableTracing(f.Trace, "test"); err != nil {
			t.Fatal(err)
		}
		go func() { done <- r.ServeOn(front, Signals{Stop: stop}) }()
		played := make(chan struct{})
		go func() { replay.Play(t, must(front.dial()), "testdata/last_answer.txt", nil); close(played) }()
		time.Sleep(time.Second)
		stop <- syscall.SIGTERM
		<-played
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	var got []*trace.Try
	if err := show.Scan(path, os.Stderr, func(y *trace.Try) error { got = append(got, y); return nil }); err != nil {
		t.Fatal(err)
	}
	if len(got) != 1 {
		t.Fatalf("%d records\n%s", len(got), log.String())
	}
	y := got[0]
	var sum time.Duration
	for _, d := range y.Phases {
		sum += d
	}
	if y.Outcome != trace.Served || y.End != 2*time.Second || sum != y.End || len(y.Legs) != 1 || y.Legs[0].Result.String() != "ok" ||
		y.Phases[trace.Wait] < 2*time.Second-time.Microsecond || y.Front != "calls" {
		t.Errorf("%+v", y)
	}
	if want := "taken=1 kept=1 share=1 dropped=0 early=0 limited=0 linked=0 held=0 file_put=1 file_sent=1 file_spans=2"; !strings.Contains(log.String(), want) {
		t.Errorf("the account is not %q:\n%s", want, log.String())
	}
}
