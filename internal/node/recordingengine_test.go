package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// recordedRequest is a request that an engine has received.
type recordedRequest struct {
	path     string
	instance string // value of X-Expect-Instance
	from     string // remote address of the connection
}

// recordingEngine is an engine that records its requests. Its streams pause after the first event until resume is closed.
type recordingEngine struct {
	*scriptedEngine
	mu       sync.Mutex
	requests []recordedRequest
	resume   chan struct{}
}

func newRecordingEngine(t *testing.T) *recordingEngine {
	t.Helper()
	e := &recordingEngine{resume: make(chan struct{})}
	e.scriptedEngine = newScriptedEngine(t, func(c net.Conn, r *http.Request) bool {
		e.mu.Lock()
		e.requests = append(e.requests, recordedRequest{r.URL.Path, r.Header.Get("X-Expect-Instance"), c.RemoteAddr().String()})
		e.mu.Unlock()
		if !strings.HasPrefix(r.URL.Path, "/long/") {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 4\r\n\r\ngood")
			return true
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 0\ndata: x\n\n\r\n")
		<-e.resume
		io.WriteString(c, "f\r\nid: 1\ndata: y\n\n\r\n0\r\n\r\n")
		return true
	})
	return e
}

// recorded returns the requests received so far.
func (e *recordingEngine) recorded() []recordedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]recordedRequest(nil), e.requests...)
}

// clientStream is a response stream whose first event was read.
type clientStream struct {
	body *bufio.Reader
}

// openStream requests a stream and reads its first event.
func openStream(t *testing.T, addr string) *clientStream {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	io.WriteString(c, "POST /long/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%+v %v", resp, err)
	}
	s := &clientStream{body: bufio.NewReader(resp.Body)}
	for range 3 {
		if _, err := s.body.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// readRest reads the rest of the stream, and returns an error if it is not complete.
func (s *clientStream) readRest() error {
	b, err := io.ReadAll(s.body)
	if err == nil && string(b) != "id: 1\ndata: y\n\n" {
		err = fmt.Errorf("the rest is %q", b)
	}
	return err
}
