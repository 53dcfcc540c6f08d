package check

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
	"time"
)

// life plays a life: two requests and one that is answered plainly.
func (r *router) life(first, second string) {
	r.second = second
	r.ask(r.call(), first)
	r.run()
	r.between()
	if len(r.asked) < 2 && !r.dead {
		c := r.callers[0]
		if c.closed || c.err != nil {
			c = r.call()
		}
		r.plain = r.fine
		r.ask(c, second)
		r.run()
	}
	for _, f := range r.resting {
		f()
	}
	r.resting, r.plain = nil, true
	if !r.dead {
		r.ask(r.call(), routeNonIdempotent)
		r.run()
	}
	for _, c := range r.callers {
		c.stop()
	}
	for _, q := range r.asked {
		r.judge(q)
	}
	r.count()
}

// count looks for a window with more repeats than there may be.
func (r *router) count() {
	const window = 10 * time.Second
	var repeats []time.Duration
	for _, q := range r.asked {
		first := true
		for _, a := range q.arrivals {
			if !first && !a.lost {
				repeats = append(repeats, a.at)
			}
			first = first && a.lost
		}
	}
	for _, end := range repeats {
		n := 0
		for _, at := range repeats {
			if at > end-window && at <= end {
				n++
			}
		}
		if n > r.repeats {
			r.fault("%d repeats of %d allowed in a window", n, r.repeats)
		}
	}
}

// judge says what is wrong with what a client was sent.
func (r *router) judge(q *asked) {
	for _, o := range append(slices.Clone(r.asked), &asked{id: "r9999"}) {
		if o != q && bytes.Contains(q.got, []byte(o.id)) {
			r.fault("%s was sent what belongs to %s: %q", q.id, o.id, q.got)
		}
	}
	if len(q.got) == 0 {
		if !q.gone && !q.ended && !r.dead {
			r.fault("%s was never answered", q.id)
		}
		return
	}
	br := bufio.NewReader(bytes.NewReader(q.got))
	resp, err := http.ReadResponse(br, nil) //nolint:bodyclose // read from memory
	if err != nil {
		if !q.gone && !r.dead {
			r.fault("%s was sent what is no answer: %q", q.id, q.got)
		}
		return
	}
	body, err := io.ReadAll(resp.Body)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if br.Buffered() > 0 {
		r.fault("%s was sent more than an answer: %q", q.id, q.got)
	}
	if err != nil || !framed {
		if framed && !q.gone && !q.ended && !r.dead {
			r.fault("the answer to %s ends early on a connection that goes on", q.id)
		}
		return
	}
	ran := slices.ContainsFunc(q.arrivals, func(a *arrival) bool { return !a.refused })
	switch resp.StatusCode {
	case http.StatusOK:
		if !slices.Contains(q.answers, resp.Header.Get("X-Response-Seal")+" "+string(body)) {
			r.fault("%s was sent a success that no engine gave it: %q", q.id, q.got)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if ran {
			r.fault("%s was told %d and may have run", q.id, resp.StatusCode)
		}
	}
}
