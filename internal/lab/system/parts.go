package system

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// engine is a fake engine. It has a few slots for concurrent requests, caches prompt prefixes and sends heartbeats to random
// processes of the fleet.
type engine struct {
	id, addr, zone string
	server         *http.Server
	slots          chan struct{}
	stopHeartbeats context.CancelFunc

	mu              sync.Mutex
	executions      map[string]int // by request ID
	cachedPrefixes  map[string]bool
	heartbeats      int
	status          string
	drained         time.Time     // no request may arrive after this time; zero before the drain
	afterDrain      int           // requests that arrived after drained
	firstTokenDelay time.Duration // with a cached prompt prefix
}

const (
	engineSlots  = 8
	streamTokens = 6
)

// addEngine starts an engine and its heartbeats.
func (s *system) addEngine(ctx context.Context, i int) error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := &engine{
		id: fmt.Sprintf("engine-%d", i+1), addr: ln.Addr().String(), zone: string(rune('a' + i%3)), slots: make(chan struct{}, engineSlots),
		executions: map[string]int{}, cachedPrefixes: map[string]bool{}, status: "ready", firstTokenDelay: 40 * time.Millisecond,
	}
	e.server = &http.Server{Handler: e}
	go e.server.Serve(ln)
	s.engines = append(s.engines, e)
	heartbeats, stop := context.WithCancel(ctx)
	e.stopHeartbeats = stop
	go func() {
		for heartbeats.Err() == nil {
			e.sendHeartbeat(s)
			sleep(heartbeats, heartbeatInterval)
		}
	}()
	return nil
}

// sendHeartbeat sends a heartbeat to a random process of the fleet and reports whether it was acknowledged.
func (e *engine) sendHeartbeat(s *system) bool {
	e.mu.Lock()
	e.heartbeats++
	heartbeat := map[string]any{
		"target_service": "lab", "address": e.addr, "zone": e.zone, "revision": "v1", "capacity_slots": engineSlots,
		"status": e.status, "warmup_remaining_ms": 0, "call_count": e.heartbeats,
	}
	e.mu.Unlock()
	m := s.machines[rand.IntN(len(s.machines))]
	code, _, err := CallControlPlane("POST", "http://"+m.control+"/Instances.Heartbeat/"+e.id, nil, heartbeat)
	return err == nil && code == 200
}

// shutDown shuts the engine down gracefully: it reports that it is draining until that is acknowledged, serves requests for
// the drain time, and deregisters.
func (e *engine) shutDown(ctx context.Context, s *system) {
	e.mu.Lock()
	e.status = "draining"
	e.mu.Unlock()
	for !e.sendHeartbeat(s) && ctx.Err() == nil {
		sleep(ctx, 50*time.Millisecond)
	}
	e.mu.Lock()
	e.drained = time.Now().Add(drainTimeout)
	e.mu.Unlock()
	sleep(ctx, drainTimeout+requestTimeout)
	e.stopHeartbeats()
	// If this message is lost, the fleet detects the missing heartbeats.
	_, _, _ = CallControlPlane("POST", "http://"+s.machines[0].control+"/Instances.Deregister/"+e.id, nil, map[string]any{})
}

// crash stops the engine without deregistering it.
func (e *engine) crash() {
	e.stopHeartbeats()
	e.server.Close()
}

// ServeHTTP executes a request that is addressed to this engine.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Keep-Alive", "timeout=10")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if r.Header.Get("X-Expect-Instance") != e.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	if !e.drained.IsZero() && time.Now().After(e.drained) {
		e.afterDrain++
	}
	e.mu.Unlock()
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id, prefix := r.Header.Get("X-Request-Id"), r.Header.Get("X-Prompt-Prefix")
	e.mu.Lock()
	e.executions[id]++
	delay := e.firstTokenDelay
	if prefix != "" && !e.cachedPrefixes[prefix] {
		delay += 120 * time.Millisecond // prefill of the prefix
		e.cachedPrefixes[prefix] = true
	}
	e.mu.Unlock()
	time.Sleep(delay)
	w.Header().Set("X-Response-Seal", "seal-"+id)
	if !strings.HasPrefix(r.URL.Path, "/chat/") {
		fmt.Fprintf(w, "answer of %s", e.id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range streamTokens {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, e.id)
		w.(http.Flusher).Flush()
		time.Sleep(25 * time.Millisecond)
	}
}

// platform is a fake of the platform's API. It receives usage reports.
type platform struct {
	addr      string
	server    *http.Server
	mu        sync.Mutex
	windows   map[uint64]string // formatted counts by window
	conflicts int               // reports that contradict an earlier report of the same window
}

func newPlatform() (*platform, error) {
	p := &platform{windows: map[uint64]string{}}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.addr = ln.Addr().String()
	p.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
		var report struct {
			Window uint64            `cbor:"window_number"`
			Counts map[string]uint64 `cbor:"counts"`
		}
		if err != nil || r.URL.Path != "/usage-reports" || cbor.Unmarshal(b, &report) != nil {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		counts := fmt.Sprint(report.Counts)
		if previous, known := p.windows[report.Window]; known && previous != counts {
			p.conflicts++
		}
		p.windows[report.Window] = counts
	})}
	go p.server.Serve(ln)
	return p, nil
}

func (p *platform) close() { p.server.Close() }

// totals returns the number of reported windows and of conflicting reports.
func (p *platform) totals() (windows, conflicts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.windows), p.conflicts
}

// generateLoad sends requests until the context is done and waits for the requests in flight.
func (s *system) generateLoad(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 3 * time.Second}}
	var requests sync.WaitGroup
	defer requests.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		kind := []string{"chat", "chat", "read", "write"}[rnd.IntN(4)]
		prefix, pick := fmt.Sprint(rnd.IntN(40)), rnd.Uint64()
		requests.Go(func() { s.request(client, kind, fmt.Sprintf("%s-%06d", kind, n), prefix, pick) })
		sleep(ctx, time.Duration(rnd.ExpFloat64()/s.Rate*float64(time.Second)))
	}
}

// request makes a request in up to three attempts. It retries refused requests after their Retry-After and failed reads at once.
func (s *system) request(client *http.Client, kind, id, prefix string, pick uint64) {
	count := func(add func(*Report)) {
		s.mu.Lock()
		defer s.mu.Unlock()
		add(&s.currentSecond)
		add(&s.report)
	}
	count(func(r *Report) { r.Asked++ })
	started := time.Now()
	for attempt := range 3 {
		s.mu.Lock()
		routers := s.readyRouters
		s.mu.Unlock()
		if len(routers) == 0 {
			break
		}
		m := routers[(pick+uint64(attempt))%uint64(len(routers))]
		earlier := time.Since(started) // time spent on earlier attempts
		status, retryAfter, first, err := s.attempt(client, m, kind, id, prefix, requestTimeout-time.Since(started))
		switch {
		case err == nil && status == http.StatusOK:
			count(func(r *Report) {
				if earlier+first > targetLatency {
					r.Late++
				} else {
					r.Served++
				}
			})
			s.mu.Lock()
			s.latency = append(s.latency, time.Since(started))
			s.mu.Unlock()
			return
		case err == nil && status == http.StatusServiceUnavailable && attempt < 2 && time.Since(started)+retryAfter < requestTimeout:
			time.Sleep(retryAfter) // a refused request was not executed
			continue
		case err == nil && status == http.StatusServiceUnavailable:
			count(func(r *Report) { r.Refused++ })
			return
		case err != nil && kind == "read" && time.Since(started) < requestTimeout/2:
			continue // a read is idempotent
		}
		break
	}
	count(func(r *Report) { r.Failed++ })
}

// attempt sends a request once and reads the response to its end. first is the time to the first byte of the body.
func (s *system) attempt(client *http.Client, m *machine, kind, id, prefix string, timeout time.Duration) (status int, retryAfter, first time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	started := time.Now()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+m.frontend+"/"+kind+"/1", strings.NewReader(`{"prompt": "of the lab"}`))
	if err != nil {
		return 0, 0, 0, err
	}
	req.Host = hostname
	req.GetBody = nil // disables retries by the transport
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Credential", apiKey)
	req.Header.Set("X-Prompt-Prefix", prefix)
	req.Header.Set("X-Deadline-Remaining-Ms", fmt.Sprint(timeout.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, 0, err
	}
	defer resp.Body.Close()
	body := bufio.NewReader(resp.Body)
	if _, err := body.Peek(1); err != nil && err != io.EOF {
		return 0, 0, 0, err
	}
	first = time.Since(started)
	if _, err := io.Copy(io.Discard, body); err != nil {
		return 0, 0, 0, err
	}
	if resp.StatusCode == http.StatusOK && resp.Header.Get("X-Response-Seal") != "seal-"+id {
		return 0, 0, 0, fmt.Errorf("response belongs to another request")
	}
	var seconds float64
	_, _ = fmt.Sscan(resp.Header.Get("Retry-After"), &seconds) // stays 0 without the header
	return resp.StatusCode, time.Duration(seconds * float64(time.Second)), first, nil
}
