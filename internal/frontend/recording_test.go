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

// TestBytesOfConnectionsAreAsRecorded plays recorded connections against a server. The steps that stand for the dispatcher:
//
//	received ...   the server has handed over this request
//	none           it has handed over nothing since, and reported no client that left
//	left           it has reported that the client left
//	forward TEXT   an event is forwarded; also finish, break, reject 0.5s and fail
//	drain, idle    SIGTERM has come; idle connections are to be closed
func TestBytesOfConnectionsAreAsRecorded(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) < 10 {
		t.Fatalf("%d recordings, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRecording(t, file) })
		})
	}
}

// onePool is a directory of one pool with these classes.
func onePool(classes ...string) func() *directory.Directory {
	var all []policy.Class
	for _, c := range classes {
		all = append(all, policy.Class{Name: c})
	}
	d := directory.SinglePool(&directory.Pool{Classes: all, MaxBudget: time.Minute})
	return func() *directory.Directory { return d }
}

// recording is a server as a recording sees it.
type recording struct {
	t      *testing.T
	server *Server
	events []dispatch.Event // not yet looked at, but for counted rejections
	open   *openRequest     // the latest request
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

// playRecording plays a file. Two of them need a server with a connection, or with bytes of bodies, already there.
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
		r.open.release() // as its end does, should the recording have stopped before
	}
	if n := r.server.bodyQuota.Used() - reservedBefore; n != 0 {
		t.Errorf("%d bytes of bodies are still reserved", n)
	}
}

func (r *recording) steps() replay.Steps {
	return replay.Steps{
		"received": r.received,
		"none": func(string) {
			if e := r.next(); e != nil {
				r.t.Fatalf("an event: %#v", e)
			}
		},
		"left": func(string) {
			if e, ok := r.next().(dispatch.ClientLeft); !ok || e.Client != r.open {
				r.t.Fatal("the client that left is not reported")
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

// next takes the next event; nil = none.
func (r *recording) next() dispatch.Event {
	synctest.Wait()
	if len(r.events) == 0 {
		return nil
	}
	e := r.events[0]
	r.events = r.events[1:]
	return e
}

// received checks the request that has been handed over.
func (r *recording) received(want string) {
	e, ok := r.next().(dispatch.RequestReceived)
	if !ok {
		r.t.Fatal("no request was handed over")
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
