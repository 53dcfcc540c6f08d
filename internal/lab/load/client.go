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

// Outcome is the result of an attempt as seen by the client.
type Outcome string

// The outcomes of an attempt.
const (
	Served   Outcome = "served"  // a complete and correct response
	Broken   Outcome = "broken"  // the stream failed before its end
	Refused  Outcome = "refused" // status 429 or 503
	Failed   Outcome = "failed"  // another status than 200
	Canceled Outcome = "left"    // canceled by the client
	Wrong    Outcome = "wrong"   // the response belongs to another request, or its tokens are incorrect
	Lost     Outcome = "lost"    // the connection failed before a response
)

// Attempt is the record of one attempt. All times are the client's.
type Attempt struct {
	Request int           // number of the request
	Number  int           // 1 for the first attempt
	CallID  string        // the attempt's X-Call-Id
	Trace   trace.TraceID // of the client; zero if it sends no trace context
	Span    trace.SpanID
	Class   string
	Router  int       // index in Client.Routers
	Due     time.Time // planned start of the attempt; of a retry, the end of its delay
	Sent    time.Time // when the last byte of the request was written
	First   time.Time // when the first line of the response body arrived
	End     time.Time
	Outcome Outcome
	Status  int
	Tokens  int
	Late    bool // missed a latency target of the class, measured from Sent
	Marked  bool
	Unsent  bool // ended before its last byte was written, so that no router can have accepted it
	Detail  string
}

// Ledger records the attempts of a run. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	attempts []Attempt
}

func (l *Ledger) add(a Attempt) {
	l.mu.Lock()
	l.attempts = append(l.attempts, a)
	l.mu.Unlock()
}

// Attempts returns the attempts recorded so far.
func (l *Ledger) Attempts() []Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts[:len(l.attempts):len(l.attempts)]
}

// Client sends the requests of a plan to the routers.
type Client struct {
	Routers       []string // addresses
	Host          string   // Host header, which selects the service; "" = the router's address
	Retries       int      // maximum number of retries of a request
	MaxRetryDelay time.Duration
	Seed          uint64

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

// Close closes the client's idle connections.
func (c *Client) Close() { c.client().CloseIdleConnections() }

// Run sends each request when it is due, however many are in flight, and records the attempts in ledger. It returns when all
// requests are finished or the context is done.
func (c *Client) Run(ctx context.Context, plan []Request, ledger *Ledger) {
	var requests sync.WaitGroup
	defer requests.Wait()
	start := time.Now()
	for i := range plan {
		request := &plan[i]
		due := start.Add(request.Due)
		if wait := time.Until(due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
		}
		requests.Add(1)
		go func() {
			defer requests.Done()
			c.send(ctx, request, due, ledger)
		}()
	}
}

// send sends a request with retries, as the deployment's clients do. An attempt without a first token is canceled after a
// part of the request's deadline and retried at once or after a short delay.
func (c *Client) send(ctx context.Context, request *Request, due time.Time, ledger *Ledger) {
	rnd := rand.New(rand.NewPCG(c.Seed, uint64(request.Number)))
	deadline := due.Add(request.Class.Deadline)
	firstTokenTimeout := time.Duration((0.3 + 0.25*rnd.Float64()) * float64(request.Class.Deadline))
	var traceID trace.TraceID
	if request.SendsTrace {
		fillRandom(traceID[:], rnd)
	}
	router, firstToken := request.Router, 0
	var retryMark string
	for number := 1; number <= 1+c.Retries; number++ {
		a := Attempt{
			Request: request.Number, Number: number, CallID: fmt.Sprintf("%016x", rnd.Uint64()), Trace: traceID, Class: request.Class.Name,
			Router: router, Due: due,
		}
		if request.SendsTrace {
			fillRandom(a.Span[:], rnd)
		}
		if a.Marked = number > 1 && (request.MarksRetries || retryMark == "again"); !a.Marked {
			retryMark = ""
		}
		wait := c.attempt(ctx, request, &a, min(firstTokenTimeout, time.Until(deadline)), firstToken, retryMark)
		ledger.add(a)
		if a.Outcome == Served || a.Outcome == Wrong || ctx.Err() != nil {
			return
		}
		retryMark = "1"
		if a.Outcome == Broken {
			firstToken, retryMark = firstToken+a.Tokens, "again"
		}
		wait = max(wait, time.Duration(rnd.Float64()*float64(c.MaxRetryDelay)))
		if time.Now().Add(wait).After(deadline) || !sleep(ctx, wait) {
			return
		}
		due = time.Now()
		if len(c.Routers) > 1 && rnd.IntN(2) == 0 {
			router = (router + 1) % len(c.Routers) // the load balancer may pick another router
		}
	}
}

// sleep waits for d and reports whether the context is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// fillRandom fills b with random bytes, not all of them zero.
func fillRandom(b []byte, rnd *rand.Rand) {
	for i := range b {
		b[i] = byte(rnd.Uint32())
	}
	b[0] |= 1
}

var promptText = strings.Repeat("detector run log ", 4096)

// notifyingBody is a request body that calls onSent when the transport has read its last byte.
type notifyingBody struct {
	*bytes.Reader
	onSent func()
}

func (r *notifyingBody) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if r.Len() == 0 {
		r.onSent()
	}
	return n, err
}

// WriteTo overrides the method of bytes.Reader, which would bypass Read and its notification.
func (r *notifyingBody) WriteTo(w io.Writer) (int64, error) {
	n, err := r.Reader.WriteTo(w)
	r.onSent()
	return n, err
}

// Close implements io.Closer.
func (r *notifyingBody) Close() error { return nil }

// newHTTPRequest builds the HTTP request of an attempt. The transport calls onSent when it has read the last byte of the body.
func (c *Client) newHTTPRequest(ctx context.Context, request *Request, a *Attempt, timeout time.Duration, firstToken int, retryMark string, onSent func()) (*http.Request, error) {
	work, _ := json.Marshal(standin.Work{
		Session: request.Session, Prefix: request.Prefix, Prompt: request.Prompt, PrefixTokens: request.PrefixTokens, Answer: request.Answer, From: firstToken,
	})
	body := fmt.Appendf(nil, `{"model":"lab","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}],"lab":%s}`,
		request.Answer, promptText[:min(request.Prompt*4, 2048)], work)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Routers[a.Router]+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Body = &notifyingBody{bytes.NewReader(body), onSent}
	req.GetBody = func() (io.ReadCloser, error) { return &notifyingBody{bytes.NewReader(body), onSent}, nil }
	if c.Host != "" {
		req.Host = c.Host
	}
	h := req.Header
	h.Set("Content-Type", "application/json")
	h.Set("X-Call-Id", a.CallID)
	h.Set("X-Call-Class", request.Class.Name)
	h.Set("X-Route-Hash", fmt.Sprintf("%016x", request.Session))
	h.Set("X-Budget", strconv.FormatInt(max(timeout.Milliseconds(), 1), 10)+"m")
	h.Set("X-Call-Info", fmt.Sprintf("prefix=%016x,prompt_len=%d,prefix_len=%d,max_out=%d", request.Prefix, request.Prompt, request.PrefixTokens, request.Answer))
	if a.Marked {
		h.Set("X-Again", retryMark)
	}
	if a.Trace != (trace.TraceID{}) {
		h.Set("Traceparent", string(trace.Context{Trace: a.Trace, Span: a.Span, Flags: trace.Random}.AppendParent(nil)))
	}
	return req, nil
}

// attempt makes one attempt, completes its record, and returns the delay requested by Retry-After.
func (c *Client) attempt(ctx context.Context, request *Request, a *Attempt, timeout time.Duration, firstToken int, retryMark string) (wait time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sent time.Time
	var sentMu sync.Mutex
	onSent := func() {
		sentMu.Lock()
		sent = time.Now()
		sentMu.Unlock()
	}
	defer func() {
		a.End = time.Now()
		sentMu.Lock()
		if a.Sent = sent; sent.IsZero() {
			a.Sent, a.Unsent = a.End, true
		}
		sentMu.Unlock()
		c.checkLatency(request, a)
	}()
	req, err := c.newHTTPRequest(ctx, request, a, timeout, firstToken, retryMark, onSent)
	if err != nil {
		a.Outcome, a.Detail = Failed, err.Error()
		return 0
	}
	timer := time.AfterFunc(timeout, cancel)
	defer timer.Stop()
	resp, err := c.client().Do(req)
	if err != nil {
		a.Outcome, a.Detail = Lost, err.Error()
		if errors.Is(err, context.Canceled) {
			a.Outcome = Canceled
		}
		return 0
	}
	defer resp.Body.Close()
	a.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4096)) // so that the connection is reused
		a.Outcome = Failed
		if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
			a.Outcome = Refused
			s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			wait = time.Duration(min(max(s, 0), 10) * float64(time.Second))
		}
		return wait
	}
	c.readStream(resp.Body, a, timer, firstToken, request.Answer)
	if a.Outcome == Broken && ctx.Err() != nil {
		a.Outcome = Canceled
	}
	return 0
}

var doneEvent = []byte("data: [DONE]")

// readStream reads a stream to its end and checks that it has each requested token once and in order. It stops timer at the
// first line.
func (c *Client) readStream(body io.Reader, a *Attempt, timer *time.Timer, firstToken, answer int) {
	lines := bufio.NewReader(body)
	ended := false
	for {
		line, err := lines.ReadSlice('\n')
		if len(line) > 0 && a.First.IsZero() {
			a.First = time.Now()
			timer.Stop()
		}
		switch {
		case bytes.HasPrefix(line, doneEvent):
			ended = true
		case bytes.Contains(line, []byte(`"delta"`)):
			if !bytes.Contains(line, []byte(a.CallID)) || ended {
				a.Outcome, a.Detail = Wrong, "event of another request or after the end"
				return
			}
			_, content, _ := bytes.Cut(line, []byte(`"content":"`))
			content, _, _ = bytes.Cut(content, []byte(`"`))
			for word := range bytes.FieldsSeq(content) {
				if string(word) != "w"+strconv.Itoa(firstToken+a.Tokens) {
					a.Outcome, a.Detail = Wrong, fmt.Sprintf("token %d is %q", firstToken+a.Tokens, word)
					return
				}
				a.Tokens++
			}
		}
		if err == nil {
			continue
		}
		a.finish(err, ended, firstToken+a.Tokens, answer)
		return
	}
}

// finish sets the outcome of a stream that ended with err after the given number of tokens.
func (a *Attempt) finish(err error, ended bool, tokens, answer int) {
	switch {
	case !errors.Is(err, io.EOF) || !ended:
		a.Outcome, a.Detail = Broken, fmt.Sprint(err)
		if errors.Is(err, io.EOF) {
			a.Outcome, a.Detail = Wrong, "stream ended without [DONE]"
		}
	case tokens != answer:
		a.Outcome, a.Detail = Wrong, fmt.Sprintf("%d tokens, want %d", tokens, answer)
	default:
		a.Outcome = Served
	}
}

// checkLatency sets Late if the response missed a latency target of its class.
func (c *Client) checkLatency(request *Request, a *Attempt) {
	if a.First.IsZero() {
		return
	}
	class := request.Class
	target := class.FirstTokenTarget + time.Duration(float64(class.FirstTokenTargetPer1K)*float64(request.Prompt)/1000)
	a.Late = a.First.Sub(a.Sent) > target || a.End.Sub(a.First) > time.Duration(a.Tokens)*class.TokenTarget
}

// ValueShare returns the value of the requests that were served in time as a share of the value of all requests of the plan.
func ValueShare(plan []Request, attempts []Attempt) float64 {
	inTime := map[int]bool{}
	for i := range attempts {
		if a := &attempts[i]; a.Outcome == Served && !a.Late {
			inTime[a.Request] = true
		}
	}
	var achieved, total float64
	for i := range plan {
		total += plan[i].Class.Value
		if inTime[plan[i].Number] {
			achieved += plan[i].Class.Value
		}
	}
	return achieved / max(total, 1e-9)
}
