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

// TestTruncatedRequestMayHaveRunOnceAByteLeft: an endpoint may run a request of which it has a part. Only if no byte has left
// does it certainly not run.
func TestTruncatedRequestMayHaveRunOnceAByteLeft(t *testing.T) {
	type cut struct {
		read int
		runs bool
	}
	for at, want := range map[cut]policy.Result{
		{0, true}: policy.ResultConnectFailed, {1, true}: policy.ResultReset, {200, true}: policy.ResultReset,
		{0, false}: policy.ResultConnectFailed, {1, false}: policy.ResultConnectFailed, {200, false}: policy.ResultConnectFailed, // the platform's promise
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
				t.Errorf("%d bytes had left: ends %v, %d connections open", read, h.ended, h.conns.open)
			}
		})
	}
}

// TestTruncatedRequestDoesNotWaitForASilentEndpoint: after a write that failed midway, an endpoint that sends nothing and keeps
// the connection open is not waited for.
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
			t.Errorf("ends %v, %d connections open", h.ended, h.conns.open)
		}
	})
}

// truncatedRunsDialect is a dialect whose endpoints may run a request that was not written to its end.
type truncatedRunsDialect struct{ platform }

func (truncatedRunsDialect) MayRunTruncated() bool { return true }

// halfWriter is a connection on which a write fails once ten bytes have left.
type halfWriter struct{ net.Conn }

func (w halfWriter) Write(b []byte) (int, error) {
	n, _ := w.Conn.Write(b[:10])
	return n, errors.New("write fails")
}

func TestNoConnectionProvesThatNothingRan(t *testing.T) {
	// A connection that is refused at once, or that never comes up: both prove that nothing ran.
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
					t.Errorf("ends %v after %v, %d connections open", h.ended, time.Since(start), h.conns.open)
				}
			})
		})
	}
}

func TestResetOnStaleConnectionIsReportedNotRetried(t *testing.T) {
	// A request on a connection that its endpoint closes is a reset. It is not sent again: retries are the policy's to decide.
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
			t.Errorf("ends %v, %d more connections", h.ended, len(accepted))
		}
	})
}

// TestLostIdleConnectionsAreReportedAndAvoided: a connection that ends as it is reused is reported as lost if its endpoint
// accepts new ones, of which one is kept; at an endpoint that is gone it is not. With a bound on their idle time, a
// non-idempotent request gets a new connection in place of one that was idle for longer, which others go on using.
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
		exchange(first, "served") // it was not idle for that long
		time.Sleep(200 * time.Millisecond)
		second := exchange(nil, "served")
		client.nonIdempotent = false
		time.Sleep(200 * time.Millisecond)
		exchange(second, "reset")
		third := <-accepted
		if lost != 1 || len(accepted) != 0 || h.conns.open != 1 {
			t.Errorf("reported %d times, %d more connections, %d open", lost, len(accepted), h.conns.open)
		}
		endpointDown = true
		exchange(third, "reset")
		if lost != 1 || h.conns.open != 0 {
			t.Errorf("reported %d times of an endpoint that is gone, %d connections open", lost, h.conns.open)
		}
	})
}

func TestStaleConnectionClosesOtherIdleOnes(t *testing.T) {
	// Connections that were idle at the same time are likely stale, too; the next attempt gets a new one, whose end is not stale.
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
			t.Errorf("ends %v, %d connections open", h.ended, h.conns.open)
		}
	})
}
