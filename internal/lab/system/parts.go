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

// engine is a stand-in: it serves a few requests at once, keeps the beginnings of prompts, and reports to any process.
type engine struct {
	id, addr, zone string
	web            *http.Server
	slots          chan struct{}
	stopBeat       context.CancelFunc

	mu      sync.Mutex
	ran     map[string]int
	kept    map[string]bool
	calls   int
	state   string
	drained time.Time // when nothing new may come any more
	past    int
	speed   time.Duration // of a first token, with the prompt's beginning kept
}

const (
	engineSlots = 8
	tokens      = 6
)

// addEngine starts an engine, which reports from then on.
func (s *system) addEngine(ctx context.Context, i int) error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := &engine{
		id: fmt.Sprintf("engine-%d", i+1), addr: ln.Addr().String(), zone: string(rune('a' + i%3)), slots: make(chan struct{}, engineSlots),
		ran: map[string]int{}, kept: map[string]bool{}, state: "ready", speed: 40 * time.Millisecond,
	}
	e.web = &http.Server{Handler: e}
	go e.web.Serve(ln)
	s.engines = append(s.engines, e)
	beating, stop := context.WithCancel(ctx)
	e.stopBeat = stop
	go func() {
		for beating.Err() == nil {
			e.beat(s)
			pause(beating, beat)
		}
	}()
	return nil
}

// beat reports to any process of the fleet, and tells whether it was acknowledged.
func (e *engine) beat(s *system) bool {
	e.mu.Lock()
	e.calls++
	v := map[string]any{
		"target_service": "lab", "address": e.addr, "zone": e.zone, "revision": "v1", "capacity_slots": engineSlots,
		"status": e.state, "warmup_remaining_ms": 0, "call_count": e.calls,
	}
	e.mu.Unlock()
	m := s.machines[rand.IntN(len(s.machines))]
	code, _, err := CallControlPlane("POST", "http://"+m.control+"/Instances.Heartbeat/"+e.id, nil, v)
	return err == nil && code == 200
}

// leave drains the engine: it says so until that is acknowledged, serves what it has, and ends.
func (e *engine) leave(ctx context.Context, s *system) {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	for !e.beat(s) && ctx.Err() == nil {
		pause(ctx, 50*time.Millisecond)
	}
	e.mu.Lock()
	e.drained = time.Now().Add(drain)
	e.mu.Unlock()
	pause(ctx, drain+timeout)
	e.stopBeat()
	// An engine whose message is lost is found missing by its heartbeats.
	_, _, _ = CallControlPlane("POST", "http://"+s.machines[0].control+"/Instances.Deregister/"+e.id, nil, map[string]any{})
}

// crash ends the engine without a word.
func (e *engine) crash() {
	e.stopBeat()
	e.web.Close()
}

// ServeHTTP runs a request that names this engine.
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
		e.past++
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
	id, prompt := r.Header.Get("X-Request-Id"), r.Header.Get("X-Prompt-Prefix")
	e.mu.Lock()
	e.ran[id]++
	first := e.speed
	if prompt != "" && !e.kept[prompt] {
		first += 120 * time.Millisecond // the prompt's beginning is read
		e.kept[prompt] = true
	}
	e.mu.Unlock()
	time.Sleep(first)
	w.Header().Set("X-Response-Seal", "seal-"+id)
	if !strings.HasPrefix(r.URL.Path, "/chat/") {
		fmt.Fprintf(w, "answer of %s", e.id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range tokens {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, e.id)
		w.(http.Flusher).Flush()
		time.Sleep(25 * time.Millisecond)
	}
}

// platform is a stand-in that takes duties.
type platform struct {
	addr    string
	web     *http.Server
	mu      sync.Mutex
	windows map[uint64]string
	changed int
}

func newPlatform() (*platform, error) {
	p := &platform{windows: map[uint64]string{}}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.addr = ln.Addr().String()
	p.web = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
		var v struct {
			Window uint64            `cbor:"window_number"`
			Counts map[string]uint64 `cbor:"counts"`
		}
		if err != nil || r.URL.Path != "/usage-reports" || cbor.Unmarshal(b, &v) != nil {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		now := fmt.Sprint(v.Counts)
		if before, known := p.windows[v.Window]; known && before != now {
			p.changed++
		}
		p.windows[v.Window] = now
	})}
	go p.web.Serve(ln)
	return p, nil
}

func (p *platform) close() { p.web.Close() }

func (p *platform) counts() (windows, changed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.windows), p.changed
}

// clients ask until the context is over, and wait for their last answers.
func (s *system) clients(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(s.Seed, 1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 3 * time.Second}}
	var wait sync.WaitGroup
	defer wait.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		kind := []string{"chat", "chat", "read", "write"}[rnd.IntN(4)]
		prompt, pick := fmt.Sprint(rnd.IntN(40)), rnd.Uint64()
		wait.Go(func() { s.ask(client, kind, fmt.Sprintf("%s-%06d", kind, n), prompt, pick) })
		pause(ctx, time.Duration(rnd.ExpFloat64()/s.Rate*float64(time.Second)))
	}
}

// ask makes a request, and one more where the first was told to come again.
func (s *system) ask(client *http.Client, kind, id, prompt string, pick uint64) {
	count := func(f func(*Report)) {
		s.mu.Lock()
		defer s.mu.Unlock()
		f(&s.now)
		f(&s.report)
	}
	count(func(r *Report) { r.Asked++ })
	began := time.Now()
	for try := range 3 {
		s.mu.Lock()
		ups := s.ups
		s.mu.Unlock()
		if len(ups) == 0 {
			break
		}
		m := ups[(pick+uint64(try))%uint64(len(ups))]
		before := time.Since(began)
		status, retry, first, err := s.send(client, m, kind, id, prompt, timeout-time.Since(began))
		switch {
		case err == nil && status == http.StatusOK:
			count(func(r *Report) {
				if before+first > aim { // what went before counts
					r.Late++
				} else {
					r.Served++
				}
			})
			s.mu.Lock()
			s.latency = append(s.latency, time.Since(began))
			s.mu.Unlock()
			return
		case err == nil && status == http.StatusServiceUnavailable && try < 2 && time.Since(began)+retry < timeout:
			time.Sleep(retry) // it has not run and never will
			continue
		case err == nil && status == http.StatusServiceUnavailable:
			count(func(r *Report) { r.Refused++ })
			return
		case err != nil && kind == "read" && time.Since(began) < timeout/2:
			continue // it may run twice
		}
		break
	}
	count(func(r *Report) { r.Failed++ })
}

// send makes one request and reads its answer to the end.
func (s *system) send(client *http.Client, m *machine, kind, id, prompt string, left time.Duration) (status int, retry, first time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+m.front+"/"+kind+"/1", strings.NewReader(`{"prompt": "of the lab"}`))
	if err != nil {
		return 0, 0, 0, err
	}
	req.Host = host
	req.GetBody = nil // nothing is sent again behind the client's back
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Credential", key)
	req.Header.Set("X-Prompt-Prefix", prompt)
	req.Header.Set("X-Deadline-Remaining-Ms", fmt.Sprint(left.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, 0, err
	}
	defer resp.Body.Close()
	br := bufio.NewReader(resp.Body)
	if _, err := br.Peek(1); err != nil && err != io.EOF {
		return 0, 0, 0, err
	}
	first = time.Since(began)
	if _, err := io.Copy(io.Discard, br); err != nil {
		return 0, 0, 0, err
	}
	if resp.StatusCode == http.StatusOK && resp.Header.Get("X-Response-Seal") != "seal-"+id {
		return 0, 0, 0, fmt.Errorf("the answer is another's")
	}
	var seconds float64
	_, _ = fmt.Sscan(resp.Header.Get("Retry-After"), &seconds) // without it: no time is named
	return resp.StatusCode, time.Duration(seconds * float64(time.Second)), first, nil
}
