package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"notchhinge/internal/lab/standin"
	"notchhinge/internal/trace"
)

// Outcome is what a client got of a try.
type Outcome string

// The outcomes. Canceled: the client gave the try up. Wrong: the answer is none that a box made for this request.
const (
	Served   Outcome = "served"
	Broken   Outcome = "broken"
	Refused  Outcome = "refused"
	Failed   Outcome = "failed"
	Canceled Outcome = "left"
	Wrong    Outcome = "wrong"
	Lost     Outcome = "lost" // the connection ended without an answer
)

// Attempt is a line of the ledger. Times are of the client.
type Attempt struct {
	Call    int // number of its call
	Number  int // 1 for the first try
	CallID  string
	Trace   trace.TraceID // of the client, where it sends one
	Span    trace.SpanID
	Class   string
	Router  int
	Due     time.Time // the call was due; for a retry, when the client chose to make it
	Sent    time.Time // its last byte was written
	First   time.Time // the first event was there
	End     time.Time
	Outcome Outcome
	Status  int
	Tokens  int
	Late    bool // later than the class wants, by the client's own clock from Sent
	Marked  bool
	Unsent  bool // the client gave it up before its last byte was written: no router can have taken it
	Detail  string
}

// Ledger is what became of every call. It is safe for concurrent use.
type Ledger struct {
	mu    sync.Mutex
	tries []Attempt
}

func (l *Ledger) add(t Attempt) {
	l.mu.Lock()
	l.tries = append(l.tries, t)
	l.mu.Unlock()
}

// Attempts returns the lines so far.
func (l *Ledger) Attempts() []Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tries[:len(l.tries):len(l.tries)]
}

// Client asks what a plan holds.
type Client struct {
	Routers []string // addresses
	Host    string   // of the service that is asked for; "" = the router's address
	Retries int      // further tries of a call at the most
	Pause   time.Duration
	Seed    uint64

	once sync.Once
	http *http.Client
}

func (c *Client) client() *http.Client {
	c.once.Do(func() {
		c.http = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 4096, MaxIdleConns: 16384, IdleConnTimeout: 3 * time.Second, DisableCompression: true,
		}}
	})
	return c.http
}

// Close closes idle connections.
func (c *Client) Close() { c.client().CloseIdleConnections() }

// Run asks each call when it is due, from the start on, and returns once all have their end or the context is over.
func (c *Client) Run(ctx context.Context, plan []Request, to *Ledger) {
	var all sync.WaitGroup
	defer all.Wait()
	start := time.Now()
	for i := range plan {
		call := &plan[i]
		due := start.Add(call.Due)
		if wait := time.Until(due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
		}
		all.Add(1)
		go func() {
			defer all.Done()
			c.step(ctx, call, due, to)
		}()
	}
}

// step makes the tries of a call, as the deployment's clients do: a try without a first token is given up after a part
// of the call's deadline, and tried again at once or after a short wait.
func (c *Client) step(ctx context.Context, call *Request, due time.Time, to *Ledger) {
	rnd := rand.New(rand.NewPCG(c.Seed, uint64(call.Number)))
	until := due.Add(call.Class.Deadline)
	patience := time.Duration((0.3 + 0.25*rnd.Float64()) * float64(call.Class.Deadline))
	var own trace.TraceID
	if call.Carries {
		fill(own[:], rnd)
	}
	router, from := call.Router, 0
	var again string
	for number := 1; number <= 1+c.Retries; number++ {
		t := Attempt{
			Call: call.Number, Number: number, CallID: fmt.Sprintf("%016x", rnd.Uint64()), Trace: own, Class: call.Class.Name,
			Router: router, Due: due,
		}
		if call.Carries {
			fill(t.Span[:], rnd)
		}
		if t.Marked = number > 1 && (call.Marks || again == "again"); !t.Marked {
			again = ""
		}
		wait := c.ask(ctx, call, &t, min(patience, time.Until(until)), from, again)
		to.add(t)
		if t.Outcome == Served || t.Outcome == Wrong || ctx.Err() != nil {
			return
		}
		again = "1"
		if t.Outcome == Broken {
			from, again = from+t.Tokens, "again"
		}
		wait = max(wait, time.Duration(rnd.Float64()*float64(c.Pause)))
		if time.Now().Add(wait).After(until) || !pause(ctx, wait) {
			return
		}
		due = time.Now()
		if len(c.Routers) > 1 && rnd.IntN(2) == 0 {
			router = (router + 1) % len(c.Routers) // the front may give it to another
		}
	}
}

// pause waits, and tells whether the context has not ended meanwhile.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func fill(b []byte, rnd *rand.Rand) {
	for i := range b {
		b[i] = byte(rnd.Uint32())
	}
	b[0] |= 1 // never all zero
}

var filler = strings.Repeat("detector run log ", 4096)

// timed is a body that tells when the last of it has been taken to be written.
type timed struct {
	*bytes.Reader
	wrote func()
}

func (t *timed) Read(b []byte) (int, error) {
	n, err := t.Reader.Read(b)
	if t.Len() == 0 {
		t.wrote()
	}
	return n, err
}

// WriteTo keeps the reader's own from being used, which Read would not see.
func (t *timed) WriteTo(w io.Writer) (int64, error) {
	n, err := t.Reader.WriteTo(w)
	t.wrote()
	return n, err
}

// Close implements io.Closer.
func (t *timed) Close() error { return nil }

// request is an attempt as it is sent. wrote is called when the last of it has been taken to be written.
func (c *Client) request(ctx context.Context, call *Request, t *Attempt, patience time.Duration, from int, again string, wrote func()) (*http.Request, error) {
	work, _ := json.Marshal(standin.Work{
		Session: call.Session, Prefix: call.Prefix, Prompt: call.Prompt, Opening: call.Opening, Answer: call.Answer, From: from,
	})
	body := fmt.Appendf(nil, `{"model":"lab","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}],"lab":%s}`,
		call.Answer, filler[:min(call.Prompt*4, 2048)], work)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Routers[t.Router]+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Body = &timed{bytes.NewReader(body), wrote}
	req.GetBody = func() (io.ReadCloser, error) { return &timed{bytes.NewReader(body), wrote}, nil }
	if c.Host != "" {
		req.Host = c.Host
	}
	h := req.Header
	h.Set("Content-Type", "application/json")
	h.Set("X-Call-Id", t.CallID)
	h.Set("X-Call-Class", call.Class.Name)
	h.Set("X-Route-Hash", fmt.Sprintf("%016x", call.Session))
	h.Set("X-Budget", strconv.FormatInt(max(patience.Milliseconds(), 1), 10)+"m")
	h.Set("X-Call-Info", fmt.Sprintf("prefix=%016x,prompt_len=%d,prefix_len=%d,max_out=%d", call.Prefix, call.Prompt, call.Opening, call.Answer))
	if t.Marked {
		h.Set("X-Again", again)
	}
	if t.Trace != (trace.TraceID{}) {
		h.Set("Traceparent", string(trace.Context{Trace: t.Trace, Span: t.Span, Flags: trace.Random}.AppendParent(nil)))
	}
	return req, nil
}

// ask makes one try, and returns how long the router wants the client to stay away.
func (c *Client) ask(ctx context.Context, call *Request, t *Attempt, patience time.Duration, from int, again string) (wait time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sent time.Time
	var stamp sync.Mutex
	wrote := func() {
		stamp.Lock()
		sent = time.Now()
		stamp.Unlock()
	}
	defer func() {
		t.End = time.Now()
		stamp.Lock()
		if t.Sent = sent; sent.IsZero() {
			t.Sent, t.Unsent = t.End, true
		}
		stamp.Unlock()
		c.judge(call, t)
	}()
	req, err := c.request(ctx, call, t, patience, from, again, wrote)
	if err != nil {
		t.Outcome, t.Detail = Failed, err.Error()
		return 0
	}
	giveUp := time.AfterFunc(patience, cancel)
	defer giveUp.Stop()
	resp, err := c.client().Do(req)
	if err != nil {
		t.Outcome, t.Detail = Lost, err.Error()
		if errors.Is(err, context.Canceled) {
			t.Outcome = Canceled
		}
		return 0
	}
	defer resp.Body.Close()
	t.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4096)) // for the connection's next use; the answer is known
		t.Outcome = Failed
		if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
			t.Outcome = Refused
			s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			wait = time.Duration(min(max(s, 0), 10) * float64(time.Second))
		}
		return wait
	}
	c.read(resp.Body, t, giveUp, from, call.Answer)
	if t.Outcome == Broken && ctx.Err() != nil {
		t.Outcome = Canceled
	}
	return 0
}

var done = []byte("data: [DONE]")

// read takes a stream to its end and checks that its tokens are those that were asked for, each once and in order.
func (c *Client) read(body io.Reader, t *Attempt, giveUp *time.Timer, from, answer int) {
	lines := bufio.NewReader(body)
	ended := false
	for {
		line, err := lines.ReadSlice('\n')
		if len(line) > 0 && t.First.IsZero() {
			t.First = time.Now()
			giveUp.Stop()
		}
		switch {
		case bytes.HasPrefix(line, done):
			ended = true
		case bytes.Contains(line, []byte(`"delta"`)):
			if !bytes.Contains(line, []byte(t.CallID)) || ended {
				t.Outcome, t.Detail = Wrong, "an event of another call"
				return
			}
			_, content, _ := bytes.Cut(line, []byte(`"content":"`))
			content, _, _ = bytes.Cut(content, []byte(`"`))
			for word := range bytes.FieldsSeq(content) {
				if string(word) != "w"+strconv.Itoa(from+t.Tokens) {
					t.Outcome, t.Detail = Wrong, fmt.Sprintf("token %d is %q", from+t.Tokens, word)
					return
				}
				t.Tokens++
			}
		}
		if err == nil {
			continue
		}
		t.close(err, ended, from+t.Tokens, answer)
		return
	}
}

// close says how a stream came out whose reader met err, after tokens of so many.
func (t *Attempt) close(err error, ended bool, tokens, answer int) {
	switch {
	case !errors.Is(err, io.EOF) || !ended:
		t.Outcome, t.Detail = Broken, fmt.Sprint(err)
		if errors.Is(err, io.EOF) {
			t.Outcome, t.Detail = Wrong, "a whole answer without its end"
		}
	case tokens != answer:
		t.Outcome, t.Detail = Wrong, fmt.Sprintf("%d tokens of %d", tokens, answer)
	default:
		t.Outcome = Served
	}
}

// judge says whether an answer was late for its class.
func (c *Client) judge(call *Request, t *Attempt) {
	if t.First.IsZero() {
		return
	}
	k := call.Class
	aim := k.Aim + time.Duration(float64(k.AimPerKTokens)*float64(call.Prompt)/1000)
	t.Late = t.First.Sub(t.Sent) > aim || t.End.Sub(t.First) > time.Duration(t.Tokens)*k.TokenAim
}

// Worth is what a ledger's calls were worth in time, as a share of what they all would be.
func Worth(plan []Request, tries []Attempt) float64 {
	got := map[int]bool{}
	for i := range tries {
		if t := &tries[i]; t.Outcome == Served && !t.Late {
			got[t.Call] = true
		}
	}
	var had, all float64
	for i := range plan {
		all += plan[i].Class.Worth
		if got[plan[i].Number] {
			had += plan[i].Class.Worth
		}
	}
	return had / max(all, 1e-9)
}
