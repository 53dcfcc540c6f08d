package check

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
	"time"
)

// play runs two requests, and a third one with a normal response, and checks all responses.
func (r *routerWalk) play(firstKind, secondKind string) {
	r.secondKind = secondKind
	r.sendRequest(r.connect(), firstKind)
	r.runAttempts()
	r.idleConnEvents()
	if len(r.requests) < 2 && !r.hasCrashed {
		c := r.clients[0]
		if c.isClosed || c.err != nil {
			c = r.connect()
		}
		r.respondsNormally = r.cutsEveryByte
		r.sendRequest(c, secondKind)
		r.runAttempts()
	}
	for _, f := range r.whenIdle {
		f()
	}
	r.whenIdle, r.respondsNormally = nil, true
	if !r.hasCrashed {
		r.sendRequest(r.connect(), routeNonIdempotent)
		r.runAttempts()
	}
	for _, c := range r.clients {
		c.stop()
	}
	for _, q := range r.requests {
		r.checkResponse(q)
	}
	r.checkRetryBudget()
}

// checkRetryBudget checks that no window has more retries than the budget allows.
func (r *routerWalk) checkRetryBudget() {
	const window = 10 * time.Second
	var retries []time.Duration
	for _, q := range r.requests {
		first := true
		for _, d := range q.deliveries {
			if !first && !d.isLost {
				retries = append(retries, d.at)
			}
			first = first && d.isLost
		}
	}
	for _, end := range retries {
		n := 0
		for _, at := range retries {
			if at > end-window && at <= end {
				n++
			}
		}
		if n > r.maxRetries {
			r.violate("%d retries where the budget allows %d in a window", n, r.maxRetries)
		}
	}
}

// checkResponse checks what a client has received for a request.
func (r *routerWalk) checkResponse(q *clientRequest) {
	for _, o := range append(slices.Clone(r.requests), &clientRequest{id: "r9999"}) {
		if o != q && bytes.Contains(q.received, []byte(o.id)) {
			r.violate("%s received data addressed to %s: %q", q.id, o.id, q.received)
		}
	}
	if len(q.received) == 0 {
		if !q.clientLeft && !q.isConnClosed && !r.hasCrashed {
			r.violate("%s got no response", q.id)
		}
		return
	}
	br := bufio.NewReader(bytes.NewReader(q.received))
	resp, err := http.ReadResponse(br, nil) //nolint:bodyclose // read from memory
	if err != nil {
		if !q.clientLeft && !r.hasCrashed {
			r.violate("%s received an invalid response: %q", q.id, q.received)
		}
		return
	}
	body, err := io.ReadAll(resp.Body)
	isFramed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if br.Buffered() > 0 {
		r.violate("%s received bytes after the response: %q", q.id, q.received)
	}
	if err != nil || !isFramed {
		if isFramed && !q.clientLeft && !q.isConnClosed && !r.hasCrashed {
			r.violate("the response to %s is truncated on a connection that stays open", q.id)
		}
		return
	}
	mayHaveRun := slices.ContainsFunc(q.deliveries, func(d *delivery) bool { return !d.isNotExecuted })
	switch resp.StatusCode {
	case http.StatusOK:
		if !slices.Contains(q.responses, resp.Header.Get("X-Response-Seal")+" "+string(body)) {
			r.violate("%s received a success that no engine sent: %q", q.id, q.received)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if mayHaveRun {
			r.violate("%s was rejected with %d and may have run", q.id, resp.StatusCode)
		}
	}
}
