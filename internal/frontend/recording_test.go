package frontend

import (
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/directory"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/limits"
	"notchhinge/internal/testutil/replay"
	"notchhinge/policy"
)

// TestRecordedConnections plays recorded connections against a server and compares every byte. Steps of the fake dispatcher:
//
//	received ...   check that the server has passed this request to the dispatcher
//	none           check that the server has posted no other event
//	left           check that the server has reported that the client disconnected
//	forward TEXT   forward an event; also finish, break, reject 0.5s and fail
//	drain          start a drain, as on SIGTERM
//	idle           close idle connections
func TestRecordedConnections(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) < 10 {
		t.Fatalf("found %d recordings: %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRecording(t, file) })
		})
	}
}

// onePool returns a function that returns a directory of one pool with these classes.
func onePool(classes ...string) func() *directory.Directory {
	var all []policy.Class
	for _, c := range classes {
		all = append(all, policy.Class{Name: c})
	}
	d := directory.SinglePool(&directory.Pool{Classes: all, MaxBudget: time.Minute})
	return func() *directory.Directory { return d }
}

// recording is a server and the state of the recording that is played against it.
type recording struct {
	t      *testing.T
	server *Server
	events []dispatch.Event // events that no step has checked yet, except RejectedByFrontend
	open   *openRequest     // the last request received
}

func newRecording(t *testing.T) *recording {
	r := &recording{t: t}
	lim := limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 1024}, limits.Site{MaxDeadline: 12 * time.Second})
	lim.BodyBytes, lim.TotalBodyBytes, lim.ClientConns = 64, 100, 1
	r.server = New(Options{
		Limits: lim, Directory: onePool("chat", "batch"), IsReady: func() bool { return true },
		Now: func() time.Duration { return 0 },
		Post: func(e dispatch.Event) {
			if _, counted := e.(dispatch.RejectedByFrontend); !counted {
				r.events = append(r.events, e)
			}
		},
	})
	return r
}

// playRecording plays a file. Two recordings need a server that already has a connection or a reservation of body bytes.
func playRecording(t *testing.T, file string) {
	t.Helper()
	r := newRecording(t)
	reservedBefore := int64(0)
	switch filepath.Base(file) {
	case "over_limit.txt":
		r.server.conns = map[*conn]struct{}{{server: r.server, busy: true, hasReceived: true}: {}}
	case "body_quota.txt":
		reservedBefore = 60
		r.server.bodyQuota.Take(noPool, reservedBefore)
	}
	serverConn, clientConn := net.Pipe()
	ended := make(chan struct{})
	go func() { r.server.ServeConn(serverConn); close(ended) }()
	replay.Play(t, clientConn, file, r.steps())
	clientConn.Close()
	<-ended
	if r.open != nil {
		r.open.release() // in case the recording ends before the request does
	}
	if n := r.server.bodyQuota.Used() - reservedBefore; n != 0 {
		t.Errorf("%d body bytes are still reserved", n)
	}
}

func (r *recording) steps() replay.Steps {
	return replay.Steps{
		"received": r.received,
		"none": func(string) {
			if e := r.next(); e != nil {
				r.t.Fatalf("unexpected event %#v", e)
			}
		},
		"left": func(string) {
			if e, ok := r.next().(dispatch.ClientLeft); !ok || e.Client != r.open {
				r.t.Fatal("the server did not report that the client disconnected")
			}
		},
		"forward": func(text string) { go func() { _ = r.open.WriteBody([]byte(text + "\n\n")) }() },
		"finish":  func(string) { go func() { _ = r.open.Finish(true) }() },
		"break":   func(string) { go func() { _ = r.open.Finish(false) }() },
		"fail":    func(string) { go r.open.Reject(dispatch.VerdictFailed, 0) },
		"reject": func(text string) {
			d, err := time.ParseDuration(text)
			if err != nil {
				r.t.Fatal(err)
			}
			go r.open.Reject(dispatch.VerdictRejected, d)
		},
		"drain": func(string) { r.server.Drain() },
		"idle":  func(string) { synctest.Wait(); r.server.CloseIdle() },
	}
}

// next removes and returns the next event, or nil if there is none.
func (r *recording) next() dispatch.Event {
	synctest.Wait()
	if len(r.events) == 0 {
		return nil
	}
	e := r.events[0]
	r.events = r.events[1:]
	return e
}

// received checks the next event, which must be a RequestReceived.
func (r *recording) received(want string) {
	e, ok := r.next().(dispatch.RequestReceived)
	if !ok {
		r.t.Fatal("the server did not pass a request to the dispatcher")
	}
	r.open = e.Client.(*openRequest)
	o, q := r.open.Upstream, e.Request
	got := fmt.Sprintf("%s %s %s %s %q class=%d session=%x prefix=%x prompt=%v shared=%v max=%v timeout=%v retry=%v resumed=%v",
		o.Method, o.Target, o.Host, o.CallID, o.Body, q.Class, q.Session, q.Prefix, q.PromptTokens, q.PrefixTokens,
		q.MaxTokens, q.Timeout, q.IsClientRetry, q.IsResumed)
	if diff := cmp.Diff(want, got); diff != "" {
		r.t.Fatalf("request (-want +got):\n%s", diff)
	}
}
