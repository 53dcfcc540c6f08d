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

var requestCount int

// clientRequest makes a client's request.
func clientRequest(t *testing.T, m *testNode, path, key string, header ...string) (*http.Response, string) {
	t.Helper()
	requestCount++
	req, err := http.NewRequest("POST", "http://"+m.frontend+path, strings.NewReader(`{"q":1}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "f.example"
	req.Header.Set("X-Request-Id", fmt.Sprintf("%016x", requestCount))
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

func post(t *testing.T, addr, path string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest("POST", "http://"+addr+path, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// outcomes is what came of requests.
type outcomes struct{ served, rejected, failed atomic.Int64 }

// postMany makes requests, so many at once, and counts what came of them.
func postMany(t *testing.T, addr, path string, n, atOnce int) *outcomes {
	f := &outcomes{}
	var wait sync.WaitGroup
	next := make(chan int)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: atOnce}}
	for range atOnce {
		wait.Go(func() {
			for i := range next {
				req, err := http.NewRequest("POST", "http://"+addr+fmt.Sprint(path, i), strings.NewReader("{}"))
				if err != nil {
					t.Error(err)
					return
				}
				req.Host = "h"
				resp, err := client.Do(req)
				if err != nil {
					f.failed.Add(1)
					continue
				}
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				switch {
				case err == nil && resp.StatusCode == 200:
					f.served.Add(1)
				case resp.StatusCode == 503:
					f.rejected.Add(1)
				default:
					f.failed.Add(1)
				}
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wait.Wait()
	return f
}
