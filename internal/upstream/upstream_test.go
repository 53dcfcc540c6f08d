package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/limits"
	"notchhinge/internal/quota"
	"notchhinge/internal/testutil/replay"
	"notchhinge/policy"
)

// customer notes what a leg passes on, a write each.
type customer struct {
	got  []string
	err  error // of Relay
	body []byte
	once bool
}

func (c *customer) UpstreamRequest() *Request {
	return &Request{
		Method: "POST", Target: "/v1/chat/completions?q=%41", Host: "origin.svc", CallID: "9b1f03aa5c7e2d41",
		ContentType: "application/json", Body: c.body, NonIdempotent: c.once,
	}
}

func (c *customer) WriteBody(events []byte) error {
	c.got = append(c.got, string(events))
	return c.err
}

func (c *customer) Finish(whole bool) error {
	c.got = append(c.got, map[bool]string{true: "whole", false: "broken"}[whole])
	return nil
}

// desk stands for the broker: it binds every leg that begins and notes how it ended.
type desk struct {
	*Transport
	ends   []dispatch.AttemptEnded
	events []dispatch.Event
}

func newDesk(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *desk {
	d := &desk{}
	lim := limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 1024},
		limits.Site{ConnectTimeout: 100 * time.Millisecond, UpstreamIdleClose: 5 * time.Second})
	d.Transport = New(Config{
		Limits: lim, Dial: dial,
		LoadReporting: LoadReporting{Columns: []string{"x1", "concurrent"}, OnStatsPath: true, InResponses: true},
		Post: func(e dispatch.Event) {
			switch e := e.(type) {
			case dispatch.AttemptStarted:
				d.BindAttempt(e.Attempt)
			case dispatch.AttemptEnded:
				d.ends = append(d.ends, e)
			default:
				d.events = append(d.events, e)
			}
		},
	})
	return d
}

// pipes dials in-memory connections; the far ends come out of the channel.
func pipes() (func(context.Context, string, string) (net.Conn, error), chan net.Conn) {
	far := make(chan net.Conn, 8)
	return func(context.Context, string, string) (net.Conn, error) {
		near, other := net.Pipe()
		far <- other
		return near, nil
	}, far
}

// play plays a recording, in which "request" stands for the order as the host must get it.
func play(t *testing.T, conn net.Conn, name string) {
	t.Helper()
	replay.Play(t, conn, filepath.Join("testdata", name+".txt"), replay.Steps{"request": func(string) {
		replay.Play(t, conn, filepath.Join("testdata", "request.txt"), nil)
	}})
}

func send(n int, c *customer) dispatch.StartAttempt {
	return dispatch.StartAttempt{Attempt: dispatch.AttemptID{Request: 1, Index: n}, Client: c, Addr: "d", Timeout: 4 * time.Second}
}

const (
	one     = `data: {"choices":[{"delta":{"content":"oq"}}]}` + "\n\n"
	last    = `data: {"usage":{"prompt_tokens_details":{"cached_tokens":4096}}}` + "\n\ndata: [DONE]\n\n"
	comment = ": X-Load-Report: x1=1.5,concurrent=7\n\n"
)

// TestOutcomes goes through the protocol's table of outcomes row by row. Time-outs are the broker's.
func TestOutcomes(t *testing.T) {
	report := policy.Report{N: 2, Values: [4]float64{1.5, 7}}
	for name, want := range map[string]struct {
		result policy.Result
		kept   float64
		report policy.Report
		got    []string
	}{
		"served":          {policy.ResultOK, 4096, report, []string{one, last + comment, "whole"}},
		"served_split":    {policy.ResultOK, 4096, policy.Report{}, []string{one, last, "whole"}},
		"error":           {policy.ResultError, 0, report, nil},
		"full_503":        {policy.ResultFull, 0, policy.Report{}, nil},
		"full_504":        {policy.ResultFull, 0, policy.Report{}, nil},
		"unmarked_503":    {policy.ResultError, 0, policy.Report{}, nil},
		"other_status":    {policy.ResultError, 0, policy.Report{}, nil},
		"no_events":       {policy.ResultError, 0, policy.Report{}, nil},
		"reset":           {policy.ResultReset, 0, policy.Report{}, nil},
		"reset_in_head":   {policy.ResultReset, 0, policy.Report{}, nil},
		"reset_no_event":  {policy.ResultReset, 0, policy.Report{}, nil},
		"reset_in_stream": {policy.ResultReset, 0, policy.Report{}, []string{one, "broken"}},
		"bad_answer":      {policy.ResultError, 0, policy.Report{}, nil},
		"long_head":       {policy.ResultError, 0, policy.Report{}, nil},
		"stopped_head":    {policy.ResultError, 0, policy.Report{}, nil},
		"many_interim":    {policy.ResultError, 0, policy.Report{}, nil},
		"two_framings":    {policy.ResultError, 0, policy.Report{}, nil},
		"noise":           {policy.ResultError, 0, policy.Report{}, nil},
		"bad_chunk":       {policy.ResultError, 0, policy.Report{}, []string{one, "broken"}},
		"wide_chunk":      {policy.ResultError, 0, policy.Report{}, []string{one, "data: {}\n\n\r\n", "broken"}},
		"huge_chunk":      {policy.ResultError, 0, policy.Report{}, []string{one, "broken"}},
		"interim":         {policy.ResultOK, 4096, report, []string{one, last + comment, "whole"}},
		"bad_report":      {policy.ResultOK, 4096, report, []string{one, last + comment, "whole"}},
		"second_answer":   {policy.ResultOK, 4096, report, []string{one, last + comment, "whole"}},
		"cut_request":     {policy.ResultConnectFailed, 0, policy.Report{}, nil},
		"unframed":        {policy.ResultReset, 0, policy.Report{}, []string{one, "broken"}},
		"silent_stream":   {policy.ResultReset, 0, policy.Report{}, []string{one, "broken"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial, far := pipes()
				d, c := newDesk(dial), &customer{body: []byte(`{"model":"chat"}`)}
				d.StartAttempt(send(0, c))
				conn := <-far
				play(t, conn, name)
				synctest.Wait()
				conn.Close()
				d.CloseIdleConnections()
				end := []dispatch.AttemptEnded{{Attempt: dispatch.AttemptID{Request: 1}, Result: want.result, CachedTokens: want.kept, Report: want.report}}
				if diff := cmp.Diff(end, d.ends); diff != "" {
					t.Errorf("outcome (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(want.got, c.got); diff != "" {
					t.Errorf("passed on (-want +got):\n%s", diff)
				}
				if name == "second_answer" && len(d.events) != 0 {
					t.Errorf("a line with bytes left over is kept: %v", d.events)
				}
			})
		})
	}
}

// TestRequestCutShort: a host may begin with a request of which it has some. Only where nothing has left is it sure not to run.
func TestRequestCutShort(t *testing.T) {
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
			d := newDesk(dial)
			if at.runs {
				d.Dialect = truncatedRunsDialect{}
			}
			d.StartAttempt(send(0, &customer{body: []byte(strings.Repeat("x", 300))}))
			conn := <-far
			if n, err := io.ReadFull(conn, make([]byte, read)); n != read {
				t.Fatal(n, err)
			}
			conn.Close()
			synctest.Wait()
			if len(d.ends) != 1 || d.ends[0].Result != want || d.conns.open != 0 {
				t.Errorf("%d bytes had left: ends %v, %d lines open", read, d.ends, d.conns.open)
			}
		})
	}
}

// TestCutShortAndSilent: after a write that failed midway, a host that says nothing and does not end the connection is not waited for.
func TestCutShortAndSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = far.Read(make([]byte, 10)) }()
			return halfWriter{near}, nil
		})
		d.Dialect = truncatedRunsDialect{}
		d.StartAttempt(send(0, &customer{}))
		time.Sleep(time.Second)
		synctest.Wait()
		if len(d.ends) != 1 || d.ends[0].Result != policy.ResultError || d.conns.open != 0 {
			t.Errorf("ends %v, %d lines open", d.ends, d.conns.open)
		}
	})
}

// truncatedRunsDialect is a dialect whose hosts may run what was not written whole.
type truncatedRunsDialect struct{ platform }

func (truncatedRunsDialect) MayRunTruncated() bool { return true }

// halfWriter is a connection on which a write fails once ten bytes have left.
type halfWriter struct{ net.Conn }

func (w halfWriter) Write(b []byte) (int, error) {
	n, _ := w.Conn.Write(b[:10])
	return n, errors.New("no more")
}

func TestConnectFails(t *testing.T) {
	// Refused at once, or a connection that never comes up: both prove that nothing ran.
	for name, refused := range map[string]bool{"refused": true, "silent": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDesk(func(ctx context.Context, _, _ string) (net.Conn, error) {
					if !refused {
						<-ctx.Done()
					}
					return nil, errors.New("no connection")
				})
				began := time.Now()
				d.StartAttempt(send(0, &customer{}))
				time.Sleep(time.Second)
				synctest.Wait()
				if len(d.ends) != 1 || d.ends[0].Result != policy.ResultConnectFailed || d.conns.open != 0 {
					t.Errorf("ends %v after %v, %d lines open", d.ends, time.Since(began), d.conns.open)
				}
			})
		})
	}
}

func TestLineServesAgainAndIsHungUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial, far := pipes()
		d, c := newDesk(dial), &customer{body: []byte(`{"model":"chat"}`)}
		var conn net.Conn
		for n := range 2 {
			d.StartAttempt(send(n, c))
			if n == 0 {
				conn = <-far
			}
			play(t, conn, "served")
			synctest.Wait()
		}
		idle := d.Limits.UpstreamIdleTimeout
		want := []dispatch.Event{dispatch.ConnectionIdle{Connection: 1, Idle: idle}, dispatch.ConnectionIdle{Connection: 2, Idle: idle}}
		if diff := cmp.Diff(want, d.events); diff != "" || len(far) != 0 {
			t.Errorf("parked, %d more connections (-want +got):\n%s", len(far), diff)
		}
		d.CloseIdleConnection(1) // parked anew since: nothing
		if d.conns.open != 1 {
			t.Error("a line was hung up under its old number")
		}
		d.CloseIdleConnection(2)
		if d.conns.open != 0 || len(d.conns.idle) != 0 {
			t.Error("the line was not hung up")
		}
	})
}

func TestStaleLineIsReported(t *testing.T) {
	// A request on a line that the host closes under it is a reset; it is not sent again behind the module's back.
	synctest.Test(t, func(t *testing.T) {
		dial, far := pipes()
		d, c := newDesk(dial), &customer{body: []byte(`{"model":"chat"}`)}
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

// TestForgottenLines: a line that ends as it is used, at a host that takes new ones, is told as forgotten, and the new one is
// kept; at a host that is gone it is not told. While lines may be forgotten, an order that must not run twice gets a new
// line in place of one that has rested, which others go on using.
func TestForgottenLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial, far := pipes()
		gone, forgot := false, 0
		d, c := newDesk(func(ctx context.Context, network, addr string) (net.Conn, error) {
			if gone {
				return nil, errors.New("refused")
			}
			return dial(ctx, network, addr)
		}), &customer{body: []byte(`{"model":"chat"}`)}
		d.OnConnectionForgotten = func() { forgot++ }
		d.MaxReuseAge = func() time.Duration { return 100 * time.Millisecond }
		leg := 0
		turn := func(conn net.Conn, says string) net.Conn {
			t.Helper()
			d.StartAttempt(send(leg, c))
			leg++
			if conn == nil {
				conn = <-far
			}
			play(t, conn, says)
			synctest.Wait()
			return conn
		}
		first := turn(nil, "served")
		c.once = true
		turn(first, "served") // it has not rested
		time.Sleep(200 * time.Millisecond)
		second := turn(nil, "served")
		c.once = false
		time.Sleep(200 * time.Millisecond)
		turn(second, "reset")
		third := <-far
		if forgot != 1 || len(far) != 0 || d.conns.open != 1 {
			t.Errorf("told %d times, %d more connections, %d open", forgot, len(far), d.conns.open)
		}
		gone = true
		turn(third, "reset")
		if forgot != 1 || d.conns.open != 0 {
			t.Errorf("told %d times of a host that is gone, %d lines open", forgot, d.conns.open)
		}
	})
}

func TestStaleLineTakesThoseBesideIt(t *testing.T) {
	// Lines parked at the same time are likely as stale; the next leg gets a new one. A new line's end is no stale one's.
	synctest.Test(t, func(t *testing.T) {
		dial, far := pipes()
		d, c := newDesk(dial), &customer{body: []byte(`{"model":"chat"}`)}
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
			t.Errorf("ends %v, %d lines open", d.ends, d.conns.open)
		}
	})
}

func TestDropClosesTheLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial, far := pipes()
		d, c := newDesk(dial), &customer{body: []byte(`{"model":"chat"}`)}
		d.StartAttempt(send(0, c))
		conn := <-far
		play(t, conn, "request_sent")
		d.CancelAttempt(dispatch.AttemptID{Request: 1})
		play(t, conn, "is_closed")
		synctest.Wait()
		if len(d.ends) != 1 || d.conns.open != 0 || len(d.attempts) != 0 {
			t.Errorf("ends %v, %d lines, %d legs", d.ends, d.conns.open, len(d.attempts))
		}
	})
}

func TestAcquirerThatCannotBeWrittenTo(t *testing.T) {
	// It has gone: the leg is called off, and says nothing against the host.
	synctest.Test(t, func(t *testing.T) {
		dial, far := pipes()
		d, c := newDesk(dial), &customer{body: []byte(`{"model":"chat"}`), err: errors.New("gone")}
		d.StartAttempt(send(0, c))
		conn := <-far
		play(t, conn, "unread")
		synctest.Wait()
		if diff := cmp.Diff([]dispatch.Event{dispatch.ClientLeft{Client: c}}, d.events, cmp.Comparer(func(x, y *customer) bool { return x == y })); diff != "" {
			t.Errorf("events (-want +got):\n%s", diff)
		}
		if len(d.ends) != 1 || d.ends[0].Result != policy.ResultCancelled {
			t.Errorf("ends %v", d.ends)
		}
	})
}

func TestRoomForLines(t *testing.T) {
	// Descriptors are bounded: an idle line to one host makes room for another, and with none idle a leg fails
	// as one that could not connect. The line of a host that has gone does not serve its successor at the address.
	synctest.Test(t, func(t *testing.T) {
		dial, far := pipes()
		d := newDesk(dial)
		d.conns.quota.Resize(1)
		d.ConfigurePool(0, d.LoadReporting, quota.Claim{Guarantee: 1})
		first, err := d.conns.get(t.Context(), endpoint{1, "a", 0}, time.Second, 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := d.conns.get(t.Context(), endpoint{2, "a", 0}, time.Second, 0); !errors.Is(err, errConnectionLimit) {
			t.Errorf("a second line: %v", err)
		}
		d.conns.put(first)
		second, err := d.conns.get(t.Context(), endpoint{2, "a", 0}, time.Second, 0)
		if err != nil || d.conns.open != 1 {
			t.Fatalf("%v, %d open", err, d.conns.open)
		}
		_ = second.Close()
		for range 2 {
			(<-far).Close()
		}
	})
}

func TestProbe(t *testing.T) {
	for name, want := range map[string]dispatch.ProbeDone{
		"probe_ok":     {Result: policy.ResultOK, Report: policy.Report{N: 2, Values: [4]float64{0.25, 3}}},
		"probe_error":  {Result: policy.ResultError},
		"probe_silent": {Result: policy.ResultTimedOut},
		"probe_reset":  {Result: policy.ResultReset},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial, far := pipes()
				d := newDesk(dial)
				d.SendProbe(dispatch.SendProbe{Host: 5, Addr: "d"})
				conn := <-far
				play(t, conn, name)
				synctest.Wait()
				conn.Close()
				d.CloseIdleConnections()
				want.Host = 5
				var got []dispatch.Event
				for _, e := range d.events {
					if p, ok := e.(dispatch.ProbeDone); ok {
						got = append(got, p)
					}
				}
				if diff := cmp.Diff([]dispatch.Event{want}, got); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
			})
		})
	}
}

func TestParseReport(t *testing.T) {
	columns := []string{"x1", "err_ps"}
	for text, want := range map[string]policy.Report{
		"x1=1.5, err_ps=2":  {N: 2, Values: [4]float64{1.5, 2}},
		"err_ps=2,other=9":  {N: 2, Values: [4]float64{0, 2}},
		"x1=NaN":            {},
		"x1=1e999,err_ps=x": {},
		"":                  {},
		"nonsense":          {},
	} {
		if diff := cmp.Diff(want, ParseLoadReport(text, columns)); diff != "" {
			t.Errorf("%q (-want +got):\n%s", text, diff)
		}
	}
}

func TestEndlessEventSpoilsTheStream(t *testing.T) {
	// Memory is bounded whatever a host sends, and what has no end is never passed on: before the first event it
	// would bind a leg to noise, later a chunk of 3 GB would run on without end.
	ev := eventReader{body: strings.NewReader("data: 1\n\ndata: " + strings.Repeat("x", 100) + "\n\n"), maxBytes: 64, buf: make([]byte, 0, 16)}
	var got []string
	var err error
	for err == nil {
		var part []byte
		part, err = ev.next()
		got = append(got, string(part))
	}
	if diff := cmp.Diff([]string{"data: 1\n\n", ""}, got); diff != "" || !errors.Is(err, errMalformedResponse) {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
}

func TestLinesOfTwoPools(t *testing.T) {
	// Lines to a host that two pools share are each one's own; a pool gets back what another has beyond its guarantee, and
	// nothing of what that is guaranteed; a host that closed a line of one has closed the other's, too.
	synctest.Test(t, func(t *testing.T) {
		dial, far := pipes()
		d := newDesk(dial)
		d.conns.quota.Resize(3)
		for id := range hoststate.PoolID(2) {
			d.ConfigurePool(id, d.LoadReporting, quota.Claim{Guarantee: 1})
		}
		get := func(of hoststate.PoolID, host policy.ReplicaID) *conn {
			l, err := d.conns.get(t.Context(), endpoint{host, "a", of}, time.Second, 0)
			if err != nil {
				t.Fatal(err)
			}
			return l
		}
		first, second := get(0, 1), get(0, 2)
		if _, err := d.conns.get(t.Context(), endpoint{3, "a", 0}, time.Second, 0); !errors.Is(err, errConnectionLimit) {
			t.Errorf("a line of the other's guarantee: %v", err)
		}
		other := get(1, 1)
		if other == first || d.Connections(0) != 2 || d.Connections(1) != 1 {
			t.Errorf("%d and %d lines", d.Connections(0), d.Connections(1))
		}
		for _, l := range []*conn{first, second} {
			d.conns.put(l)
		}
		more := get(1, 2) // an idle one of the first pool, which has more than its guarantee, goes for it
		if d.Connections(0) != 1 || d.Connections(1) != 2 || d.conns.open != 3 {
			t.Errorf("%d and %d lines, %d open", d.Connections(0), d.Connections(1), d.conns.open)
		}
		if _, err := d.conns.get(t.Context(), endpoint{4, "a", 1}, time.Second, 0); !errors.Is(err, errConnectionLimit) {
			t.Errorf("the guaranteed one went: %v", err)
		}
		_ = more.Close()
		d.conns.closeIdleTo(func(endpoint) bool { return true })
		mine, theirs, elsewhere := get(0, 1), other, get(1, 2)
		for _, l := range []*conn{mine, theirs, elsewhere} {
			d.conns.put(l)
		}
		d.conns.closeIdleToHost(mine.endpoint)
		if len(d.conns.idle) != 1 || len(d.conns.idle[elsewhere.endpoint]) != 1 || d.conns.open != 1 {
			t.Errorf("idle after the host closed: %v", d.conns.idle)
		}
		d.RemovePool(1)
		if d.conns.open != 0 || d.conns.quota.Used() != 0 {
			t.Errorf("%d lines of a pool that has ended", d.conns.open)
		}
		for len(far) > 0 {
			(<-far).Close()
		}
	})
}
