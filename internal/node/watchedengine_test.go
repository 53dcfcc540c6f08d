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

// recordedRequest is what an engine was shown.
type recordedRequest struct{ path, expect, from string }

// recordingEngine is an engine that notes what comes. Streams stop after their first event until they are let go on.
type recordingEngine struct {
	*scriptedEngine
	mu       sync.Mutex
	requests []recordedRequest
	resume   chan struct{}
}

func newRecordingEngine(t *testing.T) *recordingEngine {
	w := &recordingEngine{resume: make(chan struct{})}
	w.scriptedEngine = newScriptedEngine(t, func(c net.Conn, r *http.Request) bool {
		w.mu.Lock()
		w.requests = append(w.requests, recordedRequest{r.URL.Path, r.Header.Get("X-Expect-Instance"), c.RemoteAddr().String()})
		w.mu.Unlock()
		if !strings.HasPrefix(r.URL.Path, "/long/") {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 4\r\n\r\ngood")
			return true
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 0\ndata: x\n\n\r\n")
		<-w.resume
		io.WriteString(c, "f\r\nid: 1\ndata: y\n\n\r\n0\r\n\r\n")
		return true
	})
	return w
}

func (w *recordingEngine) recorded() []recordedRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]recordedRequest(nil), w.requests...)
}

// clientStream is a client's, of which the first event has come.
type clientStream struct {
	c  net.Conn
	br *bufio.Reader
	*http.Response
	body *bufio.Reader
}

func openStream(t *testing.T, addr string) *clientStream {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	s := &clientStream{c: c, br: bufio.NewReader(c)}
	io.WriteString(c, "POST /long/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}")
	if s.Response, err = http.ReadResponse(s.br, nil); err != nil || s.StatusCode != 200 {
		t.Fatalf("%+v %v", s.Response, err)
	}
	s.body = bufio.NewReader(s.Body)
	for range 3 {
		if _, err := s.body.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// readRest reads the stream to its end.
func (s *clientStream) readRest() error {
	b, err := io.ReadAll(s.body)
	if err == nil && string(b) != "id: 1\ndata: y\n\n" {
		err = fmt.Errorf("the rest is %q", b)
	}
	return err
}
