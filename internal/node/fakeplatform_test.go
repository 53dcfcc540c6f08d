package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// platformFault returns the fault of a call to the platform; calls are numbered from 1. After the delay the call fails with the
// status, or is executed if the status is 0.
type platformFault func(call int) (status int, delay time.Duration)

// fakePlatform is a fake of the platform's cloud API. It records all calls that are executed.
type fakePlatform struct {
	addr string

	mu            sync.Mutex
	usage         map[uint64]map[string]uint64 // reported requests by window and tenant
	conflicting   int                          // number of reports that differ from an earlier one of the same window
	fencingTokens []uint64                     // in the order of the calls
	fault         platformFault                // nil = none
	calls         int                          // number of calls, including those that failed
}

func newFakePlatform(t *testing.T) *fakePlatform {
	t.Helper()
	p := &fakePlatform{usage: map[uint64]map[string]uint64{}}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.addr = ln.Addr().String()
	server := &http.Server{Handler: p}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return p
}

// ServeHTTP implements http.Handler.
func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	status, delay := p.nextFault()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
		}
	}
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	p.record(r, body)
}

// nextFault counts a call and returns its fault.
func (p *fakePlatform) nextFault() (status int, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.fault == nil {
		return 0, 0
	}
	return p.fault(p.calls)
}

// record records an executed call.
func (p *fakePlatform) record(r *http.Request, body []byte) {
	var report struct {
		Window uint64            `cbor:"window_number"`
		Counts map[string]uint64 `cbor:"counts"`
	}
	token, _ := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fencingTokens = append(p.fencingTokens, token)
	if r.URL.Path == "/usage-reports" && cbor.Unmarshal(body, &report) == nil {
		if before := p.usage[report.Window]; before != nil && fmt.Sprint(before) != fmt.Sprint(report.Counts) {
			p.conflicting++
		}
		p.usage[report.Window] = report.Counts
	}
}

// setFault sets the fault of later calls.
func (p *fakePlatform) setFault(fault platformFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

// callCount returns the number of received calls.
func (p *fakePlatform) callCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// reported returns the sum of a tenant's reported requests.
func (p *fakePlatform) reported(tenant string) (n uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.usage {
		n += w[tenant]
	}
	return n
}

// checkReports checks that no window was reported with different counts, and that no call had a lower fencing token than the
// previous one.
func (p *fakePlatform) checkReports(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conflicting > 0 {
		t.Errorf("%d usage reports differ from an earlier report of the same window", p.conflicting)
	}
	if !slices.IsSorted(p.fencingTokens) {
		t.Errorf("fencing tokens decrease: %v", p.fencingTokens)
	}
}
