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

// requestCount numbers the clients' requests of all fleets in this process.
var requestCount atomic.Int64

// clientRequest makes a client's request at a router, with further headers by name and value, and returns the answer and its
// body. There is no answer where the connection fails; the body is the error's text where it breaks.
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

// newPost is a client's request at a data plane.
func newPost(t *testing.T, addr, path string) *http.Request {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+path, strings.NewReader("{}"))
	if err != nil {
		panic(err) // the tests' own addresses and paths are well-formed; it is called off the test's goroutine, too
	}
	req.Host = "h"
	return req
}

// post makes a client's request at a data plane, and returns the answer and its body.
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

// outcomes counts what came of requests.
type outcomes struct{ served, rejected, failed atomic.Int64 }

// load is a number of requests for paths with a prefix.
type load struct {
	prefix      string
	requests    int
	concurrency int
}

// postMany makes requests and counts what came of them.
func postMany(t *testing.T, addr string, l load) *outcomes {
	t.Helper()
	o := &outcomes{}
	var wait sync.WaitGroup
	next := make(chan int)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: l.concurrency}}
	for range l.concurrency {
		wait.Go(func() {
			for i := range next {
				o.count(client, newPost(t, addr, fmt.Sprint(l.prefix, i)))
			}
		})
	}
	for i := range l.requests {
		next <- i
	}
	close(next)
	wait.Wait()
	return o
}

// count makes a request and counts what came of it.
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
