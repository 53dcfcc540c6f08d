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

// downstream is a client that records what an attempt forwards, with one element per write.
type downstream struct {
	writes        []string
	writeErr      error // returned by WriteBody
	body          []byte
	nonIdempotent bool
}

func (d *downstream) UpstreamRequest() *Request {
	return &Request{
		Method: "POST", Target: "/v1/chat/completions?q=%41", Host: "origin.svc", CallID: "9b1f03aa5c7e2d41",
		ContentType: "application/json", Body: d.body, NonIdempotent: d.nonIdempotent,
	}
}

func (d *downstream) WriteBody(events []byte) error {
	d.writes = append(d.writes, string(events))
	return d.writeErr
}

func (d *downstream) Finish(complete bool) error {
	d.writes = append(d.writes, map[bool]string{true: "complete", false: "broken"}[complete])
	return nil
}

// harness is a Transport with a fake dispatcher, which binds every attempt that starts and records events and outcomes.
type harness struct {
	*Transport
	ended  []dispatch.AttemptEnded
	events []dispatch.Event
}

func newHarness(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *harness {
	h := &harness{}
	lim := limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 1024},
		limits.Site{ConnectTimeout: 100 * time.Millisecond, UpstreamIdleClose: 5 * time.Second})
	h.Transport = New(Config{
		Limits: lim, Dial: dial,
		LoadReporting: LoadReporting{Columns: []string{"x1", "concurrent"}, StatsPath: true, InResponses: true},
		Post: func(e dispatch.Event) {
			switch e := e.(type) {
			case dispatch.AttemptStarted:
				h.BindAttempt(e.Attempt)
			case dispatch.AttemptEnded:
				h.ended = append(h.ended, e)
			default:
				h.events = append(h.events, e)
			}
		},
	})
	return h
}

// pipes returns a dial function for in-memory connections and a channel that receives the endpoint's side of each.
func pipes() (func(context.Context, string, string) (net.Conn, error), chan net.Conn) {
	accepted := make(chan net.Conn, 8)
	return func(context.Context, string, string) (net.Conn, error) {
		near, other := net.Pipe()
		accepted <- other
		return near, nil
	}, accepted
}

// play plays a recording as the endpoint. Its step "request" plays request.txt, the request that the endpoint must receive.
func play(t *testing.T, conn net.Conn, name string) {
	t.Helper()
	replay.Play(t, conn, filepath.Join("testdata", name+".txt"), replay.Steps{"request": func(string) {
		replay.Play(t, conn, filepath.Join("testdata", "request.txt"), nil)
	}})
}

// startEffect returns the effect that starts the attempt with this index.
func startEffect(index int, client *downstream) dispatch.StartAttempt {
	return dispatch.StartAttempt{Attempt: dispatch.AttemptID{Request: 1, Index: index}, Client: client, Addr: "d", Timeout: 4 * time.Second}
}

// Data forwarded by the recordings.
const (
	firstEvent    = `data: {"choices":[{"delta":{"content":"oq"}}]}` + "\n\n"
	lastEvents    = `data: {"usage":{"prompt_tokens_details":{"cached_tokens":4096}}}` + "\n\ndata: [DONE]\n\n"
	reportComment = ": X-Load-Report: x1=1.5,concurrent=7\n\n"
)
