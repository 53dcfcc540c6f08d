package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// requestCount is the source of request ids, which are unique among all fleets in this process.
var requestCount atomic.Int64

// clientRequest sends a client request to a router, with additional headers as pairs of name and value, and returns the
// response and its body. If the connection fails, the response is nil; if reading fails, the body is the text of the error.
func clientRequest(t *testing.T, m *testNode, path, key string, header ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+m.frontend+path, strings.NewReader(`{"q":1}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "f.example"
	req.Header.Set("X-Request-Id", fmt.Sprintf("%016x", requestCount.Add(1)))
	req.Header.Set("X-Credential", key)
	req.Header.Set("X-Deadline-Remaining-Ms", "4000")
	req.Header.Set("X-Tenant", "forged")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp, err.Error()
	}
	return resp, string(b)
}

// newPost returns a client request to a data plane.
func newPost(t *testing.T, addr, path string) *http.Request {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+path, strings.NewReader("{}"))
	if err != nil {
		panic(err) // not t.Fatal, as newPost is also called outside the test's goroutine
	}
	req.Host = "h"
	return req
}

// post sends a client request to a data plane, and returns the response and its body.
func post(t *testing.T, addr, path string) (*http.Response, string, error) {
	t.Helper()
	resp, err := http.DefaultClient.Do(newPost(t, addr, path))
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// outcomes counts requests by outcome.
type outcomes struct{ served, rejected, failed atomic.Int64 }

// load describes requests to paths with a common prefix.
type load struct {
	prefix      string
	requests    int
	concurrency int
}

// postMany sends the requests of a load and counts their outcomes.
func postMany(t *testing.T, addr string, l load) *outcomes {
	t.Helper()
	o := &outcomes{}
	var workers sync.WaitGroup
	next := make(chan int)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: l.concurrency}}
	for range l.concurrency {
		workers.Go(func() {
			for i := range next {
				o.count(client, newPost(t, addr, fmt.Sprint(l.prefix, i)))
			}
		})
	}
	for i := range l.requests {
		next <- i
	}
	close(next)
	workers.Wait()
	return o
}

// count sends a request and counts its outcome.
func (o *outcomes) count(client *http.Client, req *http.Request) {
	resp, err := client.Do(req)
	if err != nil {
		o.failed.Add(1)
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	switch {
	case err == nil && resp.StatusCode == http.StatusOK:
		o.served.Add(1)
	case resp.StatusCode == http.StatusServiceUnavailable:
		o.rejected.Add(1)
	default:
		o.failed.Add(1)
	}
}
