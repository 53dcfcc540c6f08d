package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"notchhinge/internal/lab/model"
	"notchhinge/internal/trace"
)

// Work describes the work of a lab request, in the field "lab" of its body. A real engine would derive it from the prompt.
type Work struct {
	Session      uint64 `json:"session,string"`
	Prefix       uint64 `json:"prefix,string"`
	Prompt       int    `json:"prompt"`
	PrefixTokens int    `json:"opening"` // of the shared prompt prefix
	Answer       int    `json:"answer"`
	From         int    `json:"from"` // first token to generate, to resume a broken stream
}

// Fault is a fault that is injected into an engine until it is cleared.
type Fault string

// The faults of an engine.
const (
	NoFault     Fault = ""
	StallFirst  Fault = "stall-first"  // accepts requests and never starts their responses
	StallStream Fault = "stall-stream" // stalls streams after a few events
	Reset       Fault = "reset"        // resets connections after the request or in mid-stream
	Refuse      Fault = "refuse"       // answers 503 with X-Rejected
	ServerError Fault = "error"        // answers 500
	SlowConnect Fault = "slow-connect" // delays the first request of each connection
	Pause       Fault = "pause"        // stops the simulated engine's clock
)

// Span is an engine's span of a request, in the trace context of the request.
type Span struct {
	Trace  trace.TraceID
	Parent trace.SpanID
	CallID string
	Host   string
	Start  time.Time
	End    time.Time
}

// Engine is a fake inference engine: a simulated engine of internal/lab/model behind HTTP.
type Engine struct {
	Name            string
	Params          model.Params
	OnSpan          func(Span) // called with each finished span; may be nil
	Discovery       *Discovery
	SecondDiscovery *Discovery                                  // a second discovery service that lists the engine; may be nil
	OnRequest       func(engine, host, id string, at time.Time) // called with each request's Host and X-Call-Id; may be nil

	mu          sync.Mutex
	addr        string
	simulated   *model.Engine
	started     time.Time // zero of the simulated engine's clock
	pausedAt    time.Time
	pausedTotal time.Duration // duration of all finished pauses
	fault       Fault
	faultShare  float64 // share of the requests that the fault affects; 0 = all
	faultRand   *rand.Rand
	outputs     map[uint64]chan model.Output // by request
	lastID      uint64
	wake        chan struct{}
	srv         *http.Server
	stop        context.CancelFunc
	stopped     chan struct{}
	ctx         context.Context // done when the engine is killed
	running     bool
	newConns    sync.Map // remote addresses of connections without a request so far
}

// Start starts the engine at a loopback address. A cold engine has yet to warm up; any other is warm.
func (e *Engine) Start(addr string, cold bool) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addr = ln.Addr().String()
	e.started, e.pausedTotal, e.fault, e.pausedAt = time.Now(), 0, NoFault, time.Time{}
	startTime := -e.Params.WarmUp
	var bornMS int64
	if cold {
		startTime, bornMS = 0, e.started.UnixMilli()
	}
	e.simulated = model.New(e.Params, startTime)
	if e.faultRand == nil {
		e.faultRand = rand.New(rand.NewPCG(uint64(len(e.Name)), 11))
	}
	e.outputs, e.wake, e.stopped = map[uint64]chan model.Output{}, make(chan struct{}, 1), make(chan struct{})
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.running = true
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serve)
	mux.HandleFunc("GET /health/live", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, e.stats()) })
	e.srv = &http.Server{Handler: mux, ConnState: func(c net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			e.newConns.Store(c.RemoteAddr().String(), true)
		case http.StateClosed, http.StateHijacked:
			e.newConns.Delete(c.RemoteAddr().String())
		}
	}}
	go e.srv.Serve(ln)
	go e.run(e.ctx, e.simulated, e.stopped)
	e.announce(Entry{Host: e.Name, Dial: e.addr, Site: "room", Class: "gpu", Health: "Ready", Share: 1, BornMS: bornMS})
	return nil
}

// announce sends an entry to the discovery services.
func (e *Engine) announce(entry Entry) {
	for _, d := range []*Discovery{e.Discovery, e.SecondDiscovery} {
		if d != nil {
			d.Set(entry)
		}
	}
}

// Addr returns the address at which the engine listens, or last listened.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// Drain marks the engine as terminating in discovery. It continues to serve requests.
func (e *Engine) Drain() { e.setHealth("Terminating") }

// Deregister marks the engine as gone in discovery.
func (e *Engine) Deregister() { e.setHealth("Gone") }

func (e *Engine) setHealth(health string) {
	e.mu.Lock()
	entry := Entry{Host: e.Name, Dial: e.addr, Site: "room", Class: "gpu", Health: health, Share: 1}
	e.mu.Unlock()
	e.announce(entry)
}

// Kill stops the engine at once. Its connections are closed and new ones are refused.
func (e *Engine) Kill() {
	e.mu.Lock()
	if !e.running {
		e.mu.Unlock()
		return
	}
	e.running = false
	srv, stop, stopped := e.srv, e.stop, e.stopped
	e.mu.Unlock()
	stop()
	srv.Close()
	<-stopped
}

// Rename sets the host name that the engine uses from its next start.
func (e *Engine) Rename(name string) {
	e.mu.Lock()
	e.Name = name
	e.mu.Unlock()
}

// SetFault injects a fault, or clears it with NoFault. The fault affects the given share of requests; 0 means all.
func (e *Engine) SetFault(f Fault, share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faultShare = share
	if e.fault == Pause && f != Pause {
		e.pausedTotal += time.Since(e.pausedAt)
	}
	if f == Pause && e.fault != Pause {
		e.pausedAt = time.Now()
	}
	e.fault = f
	e.notify()
}

// now returns the time of the simulated engine's clock. The caller holds mu.
func (e *Engine) now() time.Duration {
	if e.fault == Pause {
		return e.pausedAt.Sub(e.started) - e.pausedTotal
	}
	return time.Since(e.started) - e.pausedTotal
}

// notify wakes the goroutine that runs the simulated engine.
func (e *Engine) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run advances the simulated engine and delivers its output. One goroutine runs it from each start until the engine is killed.
func (e *Engine) run(ctx context.Context, simulated *model.Engine, stopped chan<- struct{}) {
	defer close(stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var out []model.Output
	for {
		e.mu.Lock()
		out = simulated.Advance(e.now(), out[:0])
		for _, o := range out {
			if c := e.outputs[o.ID]; c != nil {
				c <- o // the buffer holds every event of a response
			}
		}
		wait := time.Hour
		if at, ok := simulated.Next(); ok && e.fault != Pause {
			wait = at - e.now()
		}
		e.mu.Unlock()
		timer.Reset(max(wait, 0))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.wake:
		}
	}
}

// stats returns the load report that the router polls.
func (e *Engine) stats() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	running, waiting, unreadTokens := e.simulated.Load()
	return fmt.Sprintf("x1=%.3f,concurrent=%d", float64(unreadTokens)/1000, running+waiting)
}

// drawFault returns the fault that affects the next request, NoFault if none.
func (e *Engine) drawFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault == NoFault || e.faultShare > 0 && e.faultRand.Float64() >= e.faultShare {
		return NoFault
	}
	return e.fault
}

const maxBodyBytes = 1 << 20

// serve handles a completion request.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	id := r.Header.Get("X-Call-Id")
	if id == "" {
		http.Error(w, "no id", http.StatusNotFound)
		return
	}
	var body struct {
		Lab Work `json:"lab"`
	}
	text, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil || json.Unmarshal(text, &body) != nil {
		http.Error(w, "no request of the lab", http.StatusBadRequest)
		return
	}
	if e.OnRequest != nil {
		e.mu.Lock()
		name := e.Name
		e.mu.Unlock()
		e.OnRequest(name, r.Host, id, began)
	}
	if c, ok := trace.ParseParent(r.Header.Get("Traceparent")); ok && e.OnSpan != nil {
		e.mu.Lock()
		name := e.Name
		e.mu.Unlock()
		defer func() {
			e.OnSpan(Span{Trace: c.Trace, Parent: c.Span, CallID: id, Host: name, Start: began, End: time.Now()})
		}()
	}
	fault := e.drawFault()
	if e.injectFault(w, r, fault) {
		return
	}
	e.stream(w, r, id, body.Lab, fault)
}

// injectFault applies a fault to a request before its stream and reports whether the request is finished.
func (e *Engine) injectFault(w http.ResponseWriter, r *http.Request, fault Fault) bool {
	_, newConn := e.newConns.LoadAndDelete(r.RemoteAddr)
	switch fault {
	case Refuse:
		w.Header().Set("X-Rejected", "1")
		http.Error(w, "turned away", http.StatusServiceUnavailable)
		return true
	case ServerError:
		http.Error(w, "broken", http.StatusInternalServerError)
		return true
	case Reset:
		if e.coin() {
			reset(w)
			return true
		}
	case StallFirst:
		select {
		case <-r.Context().Done():
		case <-e.ctx.Done():
		}
		return true
	case SlowConnect:
		if newConn {
			select {
			case <-time.After(300 * time.Millisecond):
			case <-r.Context().Done():
				return true
			}
		}
	}
	return false
}

// coin draws true with probability 1/2.
func (e *Engine) coin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faultRand.IntN(2) == 0
}

// reset closes a connection with a TCP reset, as when the process is killed.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// interrupt resets the connection of a stream, or stalls the stream until the client or the engine closes it.
func (e *Engine) interrupt(w http.ResponseWriter, r *http.Request, fault Fault) {
	if fault == Reset {
		reset(w)
		return
	}
	select {
	case <-r.Context().Done():
	case <-e.ctx.Done():
	}
}

// stream runs the request on the simulated engine and writes the events of the response. Each token contains its number, so
// that a client detects missing, repeated and unexpected tokens.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string, work Work, fault Fault) {
	answer := max(work.Answer-work.From, 1)
	out := make(chan model.Output, answer+1)
	e.mu.Lock()
	e.lastID++
	number := e.lastID
	ok := e.simulated.Arrive(e.now(), model.Request{
		ID: number, Session: work.Session, Prefix: work.Prefix, Prompt: work.Prompt + work.From,
		PrefixTokens: work.PrefixTokens, Answer: answer,
	})
	if ok {
		e.outputs[number] = out
		e.notify()
	}
	e.mu.Unlock()
	if !ok {
		w.Header().Set("X-Rejected", "1")
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		delete(e.outputs, number)
		e.simulated.Cancel(number)
		e.mu.Unlock()
	}()
	flush := http.NewResponseController(w).Flush
	var event []byte
	for events := 0; ; events++ {
		var o model.Output
		select {
		case o = <-out:
		case <-r.Context().Done():
			return
		case <-e.ctx.Done():
			panic(http.ErrAbortHandler)
		}
		if events == 2 && (fault == StallStream || fault == Reset) {
			e.interrupt(w, r, fault)
			return
		}
		if events == 0 {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		event = appendEvent(event[:0], id, work.From+o.First, o.Count, o.Done)
		if o.Done {
			event = fmt.Appendf(event, `data: {"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,`+
				`"prompt_tokens_details":{"cached_tokens":%d}}}`+"\n\ndata: [DONE]\n\n", work.Prompt, answer, o.CachedTokens)
		}
		if _, err := w.Write(event); err != nil {
			return
		}
		if o.Done {
			return
		}
		if flush() != nil {
			return
		}
	}
}

// appendEvent appends an SSE event with count tokens, numbered from first.
func appendEvent(b []byte, id string, first, count int, done bool) []byte {
	b = append(b, `data: {"id":"`...)
	b = append(b, id...)
	b = append(b, `","choices":[{"index":0,"delta":{"content":"`...)
	for n := range count {
		b = append(b, 'w')
		b = strconv.AppendInt(b, int64(first+n), 10)
		b = append(b, ' ')
	}
	b = append(b, `"},"finish_reason":`...)
	if done {
		b = append(b, `"stop"`...)
	} else {
		b = append(b, "null"...)
	}
	return append(b, "}]}\n\n"...)
}
