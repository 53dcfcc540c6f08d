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
			dial, far := pipes()
			d := newHarness(dial)
			if at.runs {
				d.cfg.Dialect = truncatedRunsDialect{}
			}
			d.StartAttempt(send(0, &downstream{body: []byte(strings.Repeat("x", 300))}))
			conn := <-far
			if n, err := io.ReadFull(conn, make([]byte, read)); n != read {
				t.Fatal(n, err)
			}
			conn.Close()
			synctest.Wait()
			if len(d.ends) != 1 || d.ends[0].Result != want || d.conns.open != 0 {
				t.Errorf("%d bytes had left: ends %v, %d connections open", read, d.ends, d.conns.open)
			}
		})
	}
}

// TestTruncatedRequestDoesNotWaitForASilentEndpoint: after a write that failed midway, an endpoint that sends nothing and keeps
// the connection open is not waited for.
func TestTruncatedRequestDoesNotWaitForASilentEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newHarness(func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = far.Read(make([]byte, 10)) }()
			return halfWriter{near}, nil
		})
		d.cfg.Dialect = truncatedRunsDialect{}
		d.StartAttempt(send(0, &downstream{}))
		time.Sleep(time.Second)
		synctest.Wait()
		if len(d.ends) != 1 || d.ends[0].Result != policy.ResultError || d.conns.open != 0 {
			t.Errorf("ends %v, %d connections open", d.ends, d.conns.open)
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
				d := newHarness(func(ctx context.Context, _, _ string) (net.Conn, error) {
					if !refused {
						<-ctx.Done()
					}
					return nil, errors.New("no connection")
				})
				began := time.Now()
				d.StartAttempt(send(0, &downstream{}))
				time.Sleep(time.Second)
				synctest.Wait()
				if len(d.ends) != 1 || d.ends[0].Result != policy.ResultConnectFailed || d.conns.open != 0 {
					t.Errorf("ends %v after %v, %d connections open", d.ends, time.Since(began), d.conns.open)
				}
			})
		})
	}
}

func TestResetOnStaleConnectionIsReportedNotRetried(t *testing.T) {
	// A request on a connection that its endpoint closes is a reset. It is not sent again: retries are the policy's to decide.
	synctest.Test(t, func(t *testing.T) {
		dial, far := pipes()
		d, c := newHarness(dial), &downstream{body: []byte(`{"model":"chat"}`)}
		d.StartAttempt(send(0, c))
		conn := <-far
		play(t, conn, "served")
		synctest.Wait()
		d.StartAttempt(send(1, c))
		play(t, conn, "reset")
		synctest.Wait()
		if len(d.ends) != 2 || d.ends[1].Result != policy.ResultReset || !d.ends[1].StaleConnection || len(far) != 0 {
			t.Errorf("ends %v, %d more connections", d.ends, len(far))
		}
	})
}

// TestLostIdleConnectionsAreReportedAndAvoided: a connection that ends as it is reused is reported as lost if its endpoint
// accepts new ones, of which one is kept; at an endpoint that is gone it is not. With a bound on their idle time, a
// non-idempotent request gets a new connection in place of one that was idle for longer, which others go on using.
func TestLostIdleConnectionsAreReportedAndAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial, far := pipes()
		gone, lost := false, 0
		d, c := newHarness(func(ctx context.Context, network, addr string) (net.Conn, error) {
			if gone {
				return nil, errors.New("refused")
			}
			return dial(ctx, network, addr)
		}), &downstream{body: []byte(`{"model":"chat"}`)}
		d.cfg.OnIdleConnectionsLost = func() { lost++ }
		d.cfg.NonIdempotentMaxIdle = func() time.Duration { return 100 * time.Millisecond }
		attempts := 0
		exchange := func(conn net.Conn, recording string) net.Conn {
			t.Helper()
			d.StartAttempt(send(attempts, c))
			attempts++
			if conn == nil {
				conn = <-far
			}
			play(t, conn, recording)
			synctest.Wait()
			return conn
		}
		first := exchange(nil, "served")
		c.nonIdempotent = true
		exchange(first, "served") // it was not idle for that long
		time.Sleep(200 * time.Millisecond)
		second := exchange(nil, "served")
		c.nonIdempotent = false
		time.Sleep(200 * time.Millisecond)
		exchange(second, "reset")
		third := <-far
		if lost != 1 || len(far) != 0 || d.conns.open != 1 {
			t.Errorf("reported %d times, %d more connections, %d open", lost, len(far), d.conns.open)
		}
		gone = true
		exchange(third, "reset")
		if lost != 1 || d.conns.open != 0 {
			t.Errorf("reported %d times of an endpoint that is gone, %d connections open", lost, d.conns.open)
		}
	})
}

func TestStaleConnectionClosesOtherIdleOnes(t *testing.T) {
	// Connections that were idle at the same time are likely stale, too; the next attempt gets a new one, whose end is not stale.
	synctest.Test(t, func(t *testing.T) {
		dial, far := pipes()
		d, c := newHarness(dial), &downstream{body: []byte(`{"model":"chat"}`)}
		var conns []net.Conn
		for n := range 2 {
			d.StartAttempt(send(n, c))
			conns = append(conns, <-far)
		}
		for _, conn := range conns {
			play(t, conn, "served")
			synctest.Wait()
		}
		d.StartAttempt(send(2, c))
		play(t, conns[1], "reset")
		synctest.Wait()
		d.StartAttempt(send(3, c))
		play(t, <-far, "reset")
		synctest.Wait()
		if len(d.ends) != 4 || !d.ends[2].StaleConnection || d.ends[3].StaleConnection || d.conns.open != 0 {
			t.Errorf("ends %v, %d connections open", d.ends, d.conns.open)
		}
	})
}
