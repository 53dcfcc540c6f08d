package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// fakePlatform takes duties, and notes every call.
type fakePlatform struct {
	addr          string
	mu            sync.Mutex
	usage         map[uint64]map[string]uint64
	conflicting   int // reports of a window that differ from the one before
	fencingTokens []uint64
	fault         func(call int) (status int, wait time.Duration) // by the number of the call; nil = it is well
	calls         int
}

func newFakePlatform(t *testing.T) *fakePlatform {
	p := &fakePlatform{usage: map[uint64]map[string]uint64{}}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.addr = ln.Addr().String()
	web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		var x struct {
			Window uint64            `cbor:"window_number"`
			Counts map[string]uint64 `cbor:"counts"`
		}
		fence, _ := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
		p.mu.Lock()
		p.calls++
		status, wait := 0, time.Duration(0)
		if p.fault != nil {
			status, wait = p.fault(p.calls)
		}
		p.mu.Unlock()
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
		p.mu.Lock()
		defer p.mu.Unlock()
		p.fencingTokens = append(p.fencingTokens, fence)
		if r.URL.Path == "/usage-reports" && cbor.Unmarshal(b, &x) == nil {
			if before := p.usage[x.Window]; before != nil && fmt.Sprint(before) != fmt.Sprint(x.Counts) {
				p.conflicting++
			}
			p.usage[x.Window] = x.Counts
		}
	})}
	go web.Serve(ln)
	t.Cleanup(func() { web.Close() })
	return p
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
