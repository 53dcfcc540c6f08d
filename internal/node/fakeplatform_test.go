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

// platformFault says what becomes of the platform's call of that number, from 1: a status instead of the answer (0 = the call
// is carried out), after a wait.
type platformFault func(call int) (status int, wait time.Duration)

// fakePlatform is the platform's cloud API. It accepts all calls but those that its fault meets, and records them.
type fakePlatform struct {
	addr string

	mu            sync.Mutex
	usage         map[uint64]map[string]uint64 // requests by window and tenant
	conflicting   int                          // reports of a window that differ from the one before
	fencingTokens []uint64                     // in the order of the calls
	fault         platformFault                // nil = none
	calls         int                          // with those that a fault met
}

func newFakePlatform(t *testing.T) *fakePlatform {
	t.Helper()
	p := &fakePlatform{usage: map[uint64]map[string]uint64{}}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.addr = ln.Addr().String()
	web := &http.Server{Handler: p}
	go web.Serve(ln)
	t.Cleanup(func() { web.Close() })
	return p
}

// ServeHTTP takes a call.
func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	status, wait := p.nextFault()
	if wait > 0 {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
		}
	}
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	p.record(r, body)
}

// nextFault counts a call and says which fault it meets.
func (p *fakePlatform) nextFault() (status int, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.fault == nil {
		return 0, 0
	}
	return p.fault(p.calls)
}

// record records a call that is carried out.
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

// setFault has later calls meet a fault.
func (p *fakePlatform) setFault(fault platformFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

// callCount is how many calls have come.
func (p *fakePlatform) callCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// reported sums what was reported of a tenant.
func (p *fakePlatform) reported(tenant string) (n uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.usage {
		n += w[tenant]
	}
	return n
}

// checkReports checks that no window was reported with two figures, and that no call had a lower fencing token than the one
// before it.
func (p *fakePlatform) checkReports(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conflicting > 0 {
		t.Errorf("%d windows were reported with two figures", p.conflicting)
	}
	if !slices.IsSorted(p.fencingTokens) {
		t.Errorf("fencing tokens %v", p.fencingTokens)
	}
}
