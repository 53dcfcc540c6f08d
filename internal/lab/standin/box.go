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

// Work is what a lab request says of itself, in its body's field "lab". A real engine would find it by reading.
type Work struct {
	Session uint64 `json:"session,string"`
	Prefix  uint64 `json:"prefix,string"`
	Prompt  int    `json:"prompt"`
	Opening int    `json:"opening"` // tokens of the shared beginning
	Answer  int    `json:"answer"`
	From    int    `json:"from"` // first token that is wanted: the rest of a stream that broke
}

// Fault is something that goes wrong with a box, until it is cleared.
type Fault string

// The faults.
const (
	NoFault     Fault = ""
	StallFirst  Fault = "stall-first"  // takes requests and never begins their answers
	StallStream Fault = "stall-stream" // streams freeze after a few events
	Reset       Fault = "reset"        // connections are reset after the request, or in mid-stream
	Refuse      Fault = "refuse"       // turns requests away
	ServerError Fault = "error"        // answers 500
	SlowConnect Fault = "slow-connect" // a new connection's first request waits
	Pause       Fault = "pause"        // the whole engine stands still
)

// Span is a box's own span of a request, in the trace that came with it.
type Span struct {
	Trace  trace.TraceID
	Parent trace.SpanID
	CallID string
	Host   string
	Start  time.Time
	End    time.Time
}

// Engine is an engine behind sockets.
type Engine struct {
	Name      string
	Params    model.Params
	OnSpan    func(Span) // gets the box's own spans; may be nil
	Discovery *Discovery
	Also      *Discovery                               // lists it, too; may be nil
	OnRequest func(box, host, id string, at time.Time) // hears of each request, its Host and its id; may be nil

	mu      sync.Mutex
	addr    string
	engine  *model.Engine
	began   time.Time // the engine's clock starts here
	paused  time.Time
	still   time.Duration // the time that it stood still
	fault   Fault
	share   float64 // of requests that the fault strikes; 0 = all
	strikes *rand.Rand
	calls   map[uint64]chan model.Output
	next    uint64
	wake    chan struct{}
	srv     *http.Server
	stop    context.CancelFunc
	ended   chan struct{}
	life    context.Context
	alive   bool
	fresh   sync.Map // connections that have served nothing yet
}

// Start begins a box at a loopback address; one that is cold has just been started, another is long warm.
func (b *Engine) Start(addr string, cold bool) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addr = ln.Addr().String()
	b.began, b.still, b.fault, b.paused = time.Now(), 0, NoFault, time.Time{}
	born := -b.Params.WarmUp
	var bornMS int64
	if cold {
		born, bornMS = 0, b.began.UnixMilli()
	}
	b.engine = model.New(b.Params, born)
	if b.strikes == nil {
		b.strikes = rand.New(rand.NewPCG(uint64(len(b.Name)), 11))
	}
	b.calls, b.wake, b.ended = map[uint64]chan model.Output{}, make(chan struct{}, 1), make(chan struct{})
	b.life, b.stop = context.WithCancel(context.Background())
	b.alive = true
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", b.serve)
	mux.HandleFunc("GET /health/live", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, b.report()) })
	b.srv = &http.Server{Handler: mux, ConnState: func(c net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			b.fresh.Store(c.RemoteAddr().String(), true)
		case http.StateClosed, http.StateHijacked:
			b.fresh.Delete(c.RemoteAddr().String())
		}
	}}
	go b.srv.Serve(ln)
	go b.run(b.life, b.engine, b.ended)
	b.set(Entry{Host: b.Name, Dial: b.addr, Site: "room", Class: "gpu", Health: "Ready", Share: 1, BornMS: bornMS})
	return nil
}

func (b *Engine) set(e Entry) {
	for _, d := range []*Discovery{b.Discovery, b.Also} {
		if d != nil {
			d.Set(e)
		}
	}
}

// Addr is where it listens, or listened.
func (b *Engine) Addr() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addr
}

// Drain has discovery tell that the box is terminating. It goes on with what it has.
func (b *Engine) Drain() { b.tell("Terminating") }

// Gone has discovery tell that the box is no more.
func (b *Engine) Gone() { b.tell("Gone") }

func (b *Engine) tell(health string) {
	b.mu.Lock()
	e := Entry{Host: b.Name, Dial: b.addr, Site: "room", Class: "gpu", Health: health, Share: 1}
	b.mu.Unlock()
	b.set(e)
}

// Die ends the process at once: its connections are closed and new ones refused.
func (b *Engine) Die() {
	b.mu.Lock()
	if !b.alive {
		b.mu.Unlock()
		return
	}
	b.alive = false
	srv, stop, ended := b.srv, b.stop, b.ended
	b.mu.Unlock()
	stop()
	srv.Close()
	<-ended
}

// Rename gives the box's next life another host's name.
func (b *Engine) Rename(name string) {
	b.mu.Lock()
	b.Name = name
	b.mu.Unlock()
}

// SetFault puts a fault on, or takes it off. It strikes a share of requests; 0 = all.
func (b *Engine) SetFault(f Fault, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
	if b.fault == Pause && f != Pause {
		b.still += time.Since(b.paused)
	}
	if f == Pause && b.fault != Pause {
		b.paused = time.Now()
	}
	b.fault = f
	b.nudge()
}

// now is the engine's time; the lock is held.
func (b *Engine) now() time.Duration {
	if b.fault == Pause {
		return b.paused.Sub(b.began) - b.still
	}
	return time.Since(b.began) - b.still
}

func (b *Engine) nudge() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run turns the engine: one goroutine a life.
func (b *Engine) run(ctx context.Context, e *model.Engine, ended chan<- struct{}) {
	defer close(ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var out []model.Output
	for {
		b.mu.Lock()
		out = e.Advance(b.now(), out[:0])
		for _, o := range out {
			if c := b.calls[o.ID]; c != nil {
				c <- o // there is room for every event of an answer
			}
		}
		wait := time.Hour
		if at, ok := e.Next(); ok && b.fault != Pause {
			wait = at - b.now()
		}
		b.mu.Unlock()
		timer.Reset(max(wait, 0))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-b.wake:
		}
	}
}

func (b *Engine) report() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	run, wait, unread := b.engine.Load()
	return fmt.Sprintf("x1=%.3f,concurrent=%d", float64(unread)/1000, run+wait)
}

// strike tells whether the present fault strikes a request, and which.
func (b *Engine) strike() Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fault == NoFault || b.share > 0 && b.strikes.Float64() >= b.share {
		return NoFault
	}
	return b.fault
}

const maxBody = 1 << 20

func (b *Engine) serve(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	id := r.Header.Get("X-Call-Id")
	if id == "" {
		http.Error(w, "no id", http.StatusNotFound)
		return
	}
	var body struct {
		Lab Work `json:"lab"`
	}
	text, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil || json.Unmarshal(text, &body) != nil {
		http.Error(w, "no request of the lab", http.StatusBadRequest)
		return
	}
	if b.OnRequest != nil {
		b.mu.Lock()
		name := b.Name
		b.mu.Unlock()
		b.OnRequest(name, r.Host, id, began)
	}
	if c, ok := trace.ParseParent(r.Header.Get("Traceparent")); ok && b.OnSpan != nil {
		b.mu.Lock()
		name := b.Name
		b.mu.Unlock()
		defer func() {
			b.OnSpan(Span{Trace: c.Trace, Parent: c.Span, CallID: id, Host: name, Start: began, End: time.Now()})
		}()
	}
	f := b.strike()
	if b.struck(w, r, f) {
		return
	}
	b.stream(w, r, id, body.Lab, f)
}

// struck has a fault befall a request before its stream, and tells whether that was its end.
func (b *Engine) struck(w http.ResponseWriter, r *http.Request, f Fault) bool {
	_, fresh := b.fresh.LoadAndDelete(r.RemoteAddr)
	switch f {
	case Refuse:
		w.Header().Set("X-Rejected", "1")
		http.Error(w, "turned away", http.StatusServiceUnavailable)
		return true
	case ServerError:
		http.Error(w, "broken", http.StatusInternalServerError)
		return true
	case Reset:
		if b.coin() {
			reset(w)
			return true
		}
	case StallFirst:
		select {
		case <-r.Context().Done():
		case <-b.life.Done():
		}
		return true
	case SlowConnect:
		if fresh {
			select {
			case <-time.After(300 * time.Millisecond):
			case <-r.Context().Done():
				return true
			}
		}
	}
	return false
}

func (b *Engine) coin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.strikes.IntN(2) == 0
}

// reset ends a connection as a process that dies does.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// cutShort ends a stream by a reset, or leaves it without another event until somebody else ends it.
func (b *Engine) cutShort(w http.ResponseWriter, r *http.Request, f Fault) {
	if f == Reset {
		reset(w)
		return
	}
	select {
	case <-r.Context().Done():
	case <-b.life.Done():
	}
}

// stream has the engine make the answer, and writes its events. Every token says its number, so that a reader can tell
// whether one was lost, doubled or invented.
func (b *Engine) stream(w http.ResponseWriter, r *http.Request, id string, work Work, f Fault) {
	answer := max(work.Answer-work.From, 1)
	out := make(chan model.Output, answer+1)
	b.mu.Lock()
	b.next++
	number := b.next
	ok := b.engine.Arrive(b.now(), model.Request{
		ID: number, Session: work.Session, Prefix: work.Prefix, Prompt: work.Prompt + work.From,
		PrefixTokens: work.Opening, Answer: answer,
	})
	if ok {
		b.calls[number] = out
		b.nudge()
	}
	b.mu.Unlock()
	if !ok {
		w.Header().Set("X-Rejected", "1")
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
	defer func() {
		b.mu.Lock()
		delete(b.calls, number)
		b.engine.Cancel(number)
		b.mu.Unlock()
	}()
	flush := http.NewResponseController(w).Flush
	var event []byte
	for events := 0; ; events++ {
		var o model.Output
		select {
		case o = <-out:
		case <-r.Context().Done():
			return
		case <-b.life.Done():
			panic(http.ErrAbortHandler)
		}
		if events == 2 && (f == StallStream || f == Reset) {
			b.cutShort(w, r, f)
			return
		}
		if events == 0 {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		event = appendEvent(event[:0], id, work.From+o.First, o.Count, o.Done)
		if o.Done {
			event = fmt.Appendf(event, `data: {"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,`+
				`"prompt_tokens_details":{"cached_tokens":%d}}}`+"\n\ndata: [DONE]\n\n", work.Prompt, answer, o.Kept)
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
