package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"notchhinge/policy"
)

// TestTruncatedRequestMayHaveRunOnceAByteWasWritten checks that a request whose connection failed while it was written counts as
// not run only if no byte was written, or if the dialect rules out that a truncated request runs.
func TestTruncatedRequestMayHaveRunOnceAByteWasWritten(t *testing.T) {
	type cut struct {
		read int
		runs bool
	}
	for at, want := range map[cut]policy.Result{
		{0, true}: policy.ResultConnectFailed, {1, true}: policy.ResultReset, {200, true}: policy.ResultReset,
		{0, false}: policy.ResultConnectFailed, {1, false}: policy.ResultConnectFailed, {200, false}: policy.ResultConnectFailed, // the platform never runs a truncated request
	} {
		synctest.Test(t, func(t *testing.T) {
			read := at.read
			dial, accepted := pipes()
			h := newHarness(dial)
			if at.runs {
				h.cfg.Dialect = truncatedRunsDialect{}
			}
			h.StartAttempt(startEffect(0, &downstream{body: []byte(strings.Repeat("x", 300))}))
			conn := <-accepted
			if n, err := io.ReadFull(conn, make([]byte, read)); n != read {
				t.Fatal(n, err)
			}
			conn.Close()
			synctest.Wait()
			if len(h.ended) != 1 || h.ended[0].Result != want || h.conns.open != 0 {
				t.Errorf("%d bytes written: outcomes %v, %d open connections", read, h.ended, h.conns.open)
			}
		})
	}
}

// TestTruncatedRequestDoesNotWaitForASilentEndpoint checks that an attempt whose write failed midway ends within a bounded time even
// if the endpoint keeps the connection open and sends nothing.
func TestTruncatedRequestDoesNotWaitForASilentEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = far.Read(make([]byte, 10)) }()
			return halfWriter{near}, nil
		})
		h.cfg.Dialect = truncatedRunsDialect{}
		h.StartAttempt(startEffect(0, &downstream{}))
		time.Sleep(time.Second)
		synctest.Wait()
		if len(h.ended) != 1 || h.ended[0].Result != policy.ResultError || h.conns.open != 0 {
			t.Errorf("outcomes %v, %d open connections", h.ended, h.conns.open)
		}
	})
}

// truncatedRunsDialect is a dialect whose endpoints may run a truncated request.
type truncatedRunsDialect struct{ platform }

func (truncatedRunsDialect) MayRunTruncated() bool { return true }

// halfWriter is a connection on which each write fails after ten bytes.
type halfWriter struct{ net.Conn }

func (w halfWriter) Write(b []byte) (int, error) {
	n, _ := w.Conn.Write(b[:10])
	return n, errors.New("write failed")
}

func TestConnectFailureProvesThatRequestDidNotRun(t *testing.T) {
	// A refused connection and a connect timeout both prove that the request did not run.
	for name, refused := range map[string]bool{"refused": true, "no answer": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(func(ctx context.Context, _, _ string) (net.Conn, error) {
					if !refused {
						<-ctx.Done()
					}
					return nil, errors.New("no connection")
				})
				start := time.Now()
				h.StartAttempt(startEffect(0, &downstream{}))
				time.Sleep(time.Second)
				synctest.Wait()
				if len(h.ended) != 1 || h.ended[0].Result != policy.ResultConnectFailed || h.conns.open != 0 {
					t.Errorf("outcomes %v after %v, %d open connections", h.ended, time.Since(start), h.conns.open)
				}
			})
		})
	}
}

func TestResetOnStaleConnectionIsReportedNotRetried(t *testing.T) {
	// A request on a connection that the endpoint closes ends with a reset. It is not sent again here: the policy decides on retries.
	synctest.Test(t, func(t *testing.T) {
		dial, accepted := pipes()
		h, client := newHarness(dial), &downstream{body: []byte(`{"model":"chat"}`)}
		h.StartAttempt(startEffect(0, client))
		conn := <-accepted
		play(t, conn, "served")
		synctest.Wait()
		h.StartAttempt(startEffect(1, client))
		play(t, conn, "reset")
		synctest.Wait()
		if len(h.ended) != 2 || h.ended[1].Result != policy.ResultReset || !h.ended[1].StaleConnection || len(accepted) != 0 {
			t.Errorf("outcomes %v, %d more connections", h.ended, len(accepted))
		}
	})
}

// TestLostIdleConnectionsAreReportedAndAvoided checks that a reused connection that ends is reported as lost only if its endpoint
// accepts a new connection, which is kept. It also checks that a non-idempotent request does not reuse a connection that was idle
// for longer than the bound, while other requests do.
func TestLostIdleConnectionsAreReportedAndAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial, accepted := pipes()
		endpointDown, lost := false, 0
		h, client := newHarness(func(ctx context.Context, network, addr string) (net.Conn, error) {
			if endpointDown {
				return nil, errors.New("refused")
			}
			return dial(ctx, network, addr)
		}), &downstream{body: []byte(`{"model":"chat"}`)}
		h.cfg.OnIdleConnectionsLost = func() { lost++ }
		h.cfg.NonIdempotentMaxIdle = func() time.Duration { return 100 * time.Millisecond }
		attempts := 0
		exchange := func(conn net.Conn, recording string) net.Conn {
			t.Helper()
			h.StartAttempt(startEffect(attempts, client))
			attempts++
			if conn == nil {
				conn = <-accepted
			}
			play(t, conn, recording)
			synctest.Wait()
			return conn
		}
		first := exchange(nil, "served")
		client.nonIdempotent = true
		exchange(first, "served") // idle for less than the bound
		time.Sleep(200 * time.Millisecond)
		second := exchange(nil, "served")
		client.nonIdempotent = false
		time.Sleep(200 * time.Millisecond)
		exchange(second, "reset")
		third := <-accepted
		if lost != 1 || len(accepted) != 0 || h.conns.open != 1 {
			t.Errorf("reported %d times, %d more connections, %d open connections", lost, len(accepted), h.conns.open)
		}
		endpointDown = true
		exchange(third, "reset")
		if lost != 1 || h.conns.open != 0 {
			t.Errorf("reported %d times after the endpoint went down, %d open connections", lost, h.conns.open)
		}
	})
}

func TestStaleConnectionClosesOtherIdleOnes(t *testing.T) {
	// Connections that were idle at the same time are probably stale as well, so the next attempt dials. A reset there is not stale.
	synctest.Test(t, func(t *testing.T) {
		dial, accepted := pipes()
		h, client := newHarness(dial), &downstream{body: []byte(`{"model":"chat"}`)}
		var conns []net.Conn
		for n := range 2 {
			h.StartAttempt(startEffect(n, client))
			conns = append(conns, <-accepted)
		}
		for _, conn := range conns {
			play(t, conn, "served")
			synctest.Wait()
		}
		h.StartAttempt(startEffect(2, client))
		play(t, conns[1], "reset")
		synctest.Wait()
		h.StartAttempt(startEffect(3, client))
		play(t, <-accepted, "reset")
		synctest.Wait()
		if len(h.ended) != 4 || !h.ended[2].StaleConnection || h.ended[3].StaleConnection || h.conns.open != 0 {
			t.Errorf("outcomes %v, %d open connections", h.ended, h.conns.open)
		}
	})
}
