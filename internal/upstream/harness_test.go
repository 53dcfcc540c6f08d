package upstream

import (
	"context"
	"net"
	"path/filepath"
	"testing"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/limits"
	"notchhinge/internal/testutil/replay"
)

// downstream is a client that records what an attempt forwards, an element for each write.
type downstream struct {
	got           []string
	err           error // of WriteBody
	body          []byte
	nonIdempotent bool
}

func (c *downstream) UpstreamRequest() *Request {
	return &Request{
		Method: "POST", Target: "/v1/chat/completions?q=%41", Host: "origin.svc", CallID: "9b1f03aa5c7e2d41",
		ContentType: "application/json", Body: c.body, NonIdempotent: c.nonIdempotent,
	}
}

func (c *downstream) WriteBody(events []byte) error {
	c.got = append(c.got, string(events))
	return c.err
}

func (c *downstream) Finish(complete bool) error {
	c.got = append(c.got, map[bool]string{true: "complete", false: "broken"}[complete])
	return nil
}

// harness stands in for dispatch: it binds every attempt that starts, and records how it ended.
type harness struct {
	*Transport
	ends   []dispatch.AttemptEnded
	events []dispatch.Event
}

func newHarness(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *harness {
	d := &harness{}
	lim := limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 1024},
		limits.Site{ConnectTimeout: 100 * time.Millisecond, UpstreamIdleClose: 5 * time.Second})
	d.Transport = New(Config{
		Limits: lim, Dial: dial,
		LoadReporting: LoadReporting{Columns: []string{"x1", "concurrent"}, StatsPath: true, InResponses: true},
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

// pipes dials in-memory connections and sends their far ends on the channel.
func pipes() (func(context.Context, string, string) (net.Conn, error), chan net.Conn) {
	far := make(chan net.Conn, 8)
	return func(context.Context, string, string) (net.Conn, error) {
		near, other := net.Pipe()
		far <- other
		return near, nil
	}, far
}

// play plays a recording at the endpoint's side, in which "request" stands for the request as the endpoint must get it.
func play(t *testing.T, conn net.Conn, name string) {
	t.Helper()
	replay.Play(t, conn, filepath.Join("testdata", name+".txt"), replay.Steps{"request": func(string) {
		replay.Play(t, conn, filepath.Join("testdata", "request.txt"), nil)
	}})
}

func send(n int, c *downstream) dispatch.StartAttempt {
	return dispatch.StartAttempt{Attempt: dispatch.AttemptID{Request: 1, Index: n}, Client: c, Addr: "d", Timeout: 4 * time.Second}
}

const (
	one     = `data: {"choices":[{"delta":{"content":"oq"}}]}` + "\n\n"
	last    = `data: {"usage":{"prompt_tokens_details":{"cached_tokens":4096}}}` + "\n\ndata: [DONE]\n\n"
	comment = ": X-Load-Report: x1=1.5,concurrent=7\n\n"
)
