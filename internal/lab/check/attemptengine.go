package check

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"notchhinge/internal/dispatch"
)

// visit is a connection to an engine.
type visit struct {
	net.Conn
	r      *router
	host   string
	out    []byte // what waits to be read
	rest   []byte // of an answer that has begun
	owed   []byte // it comes where the next answer is due
	err    error  // what a read ends with
	asks   *asked
	here   *arrival
	again  bool   // the request has been at an engine before
	mute   bool   // it says nothing more
	dirty  string // why it must not be used again
	after  string // dirty, once the rest has come
	forgot bool
	closed bool
}

var errReset = &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}

func (r *router) dial(_ context.Context, _, addr string) (net.Conn, error) {
	v := &visit{r: r, host: addr}
	r.engines = append(r.engines, v)
	return v, nil
}

func (*visit) SetReadDeadline(time.Time) error  { return nil }
func (*visit) SetWriteDeadline(time.Time) error { return nil }
func (*visit) SetDeadline(time.Time) error      { return nil }
func (v *visit) Close() error                   { v.closed = true; return nil }

// IsIdle implements upstream.IdleChecker.
func (v *visit) IsIdle() bool { return v.r.unseen || len(v.out) == 0 && v.err == nil }

// Write is a request on its way.
func (v *visit) Write(b []byte) (int, error) {
	r := v.r
	if v.closed || r.dead {
		return 0, net.ErrClosed
	}
	_, id, _ := bytes.Cut(b, []byte("X-Request-Id: "))
	id, _, _ = bytes.Cut(id, []byte("\r\n"))
	i := slices.IndexFunc(r.asked, func(q *asked) bool { return q.id == string(id) })
	if i < 0 {
		r.fault("%q is sent, which nobody asked", b)
		return len(b), nil
	}
	q := r.asked[i]
	if v.dirty != "" {
		r.fault("%s is sent on a line that is not clean (%s)", q.id, v.dirty)
	}
	v.asks, v.again, v.dirty = q, len(q.arrivals) > 0, "its answer has not come whole"
	arrives := func() {
		if q.once && slices.ContainsFunc(q.arrivals, func(a *arrival) bool { return !a.refused }) {
			r.fault("%s may not be repeated, and is sent again", q.id)
		}
		v.here = &arrival{lost: v.forgot, at: r.now}
		q.arrivals = append(q.arrivals, v.here)
	}
	if v.forgot {
		arrives()
		v.err = errReset
		r.tell("%s goes to %s on a forgotten line", q.id, v.host)
		return len(b), nil
	}
	how := 0
	if !r.plain && !v.again {
		how = r.pick(5)
	}
	part := []int{len(b), 0, 40, len(b) - 3, len(b) - 3}[how]
	r.tell("%s goes to %s: %s", q.id, v.host, []string{
		"whole", "reset before it", "reset within its head", "answered before its end and reset", "turned away before its end and reset",
	}[how])
	if how == 0 {
		arrives()
		return len(b), nil
	}
	v.err = errReset
	if how > 1 {
		arrives()
	}
	if how == 3 {
		v.out = v.answer(q, "")
	}
	if how == 4 {
		v.out = v.turns(q, "503 Service Unavailable", true)
	}
	return part, &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
}

// Read gives what has come, or has the walk pick what comes next.
func (v *visit) Read(p []byte) (int, error) {
	for {
		switch {
		case v.closed, v.r.dead:
			return 0, net.ErrClosed
		case len(v.out) > 0:
			n := copy(p, v.out)
			v.out = v.out[n:]
			return n, nil
		case v.err != nil:
			return 0, v.err
		}
		v.moment()
	}
}

// answer is a whole answer to a request; head are headers beside the usual.
func (v *visit) answer(q *asked, head string) []byte {
	n := len(q.answers)
	seal := fmt.Sprintf("seal-%s-%d", q.id, n)
	body := fmt.Sprintf("id: 0\ndata: %s %d\n\nid: 1\ndata: end of %s\n\n", q.id, n, q.id)
	q.answers = append(q.answers, seal+" "+body)
	start := "HTTP/1.1 200 OK\r\nX-Response-Seal: " + seal + "\r\nX-Request-Id: " + q.id + "\r\nKeep-Alive: timeout=10\r\n" + head
	if strings.Contains(q.path, routeStreaming) {
		at := strings.Index(body, "\n\n") + 2
		return fmt.Appendf(nil, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", start, at, body[:at], len(body)-at, body[at:])
	}
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", start, len(body), body)
}

// turns is an answer of another status.
func (v *visit) turns(q *asked, status string, notRun bool) []byte {
	head := ""
	if notRun {
		head = "X-Not-Executed: 1\r\n"
	}
	if v.here != nil && (notRun || strings.HasPrefix(status, "421")) {
		v.here.refused = true
	}
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nKeep-Alive: timeout=10\r\n%sContent-Length: 6\r\n\r\n%s.", status, q.id, head, q.id)
}

// comes has an answer come whole, behind what is owed of an earlier one.
func (v *visit) comes(b []byte) {
	v.dirty = ""
	if len(v.owed) > 0 {
		v.dirty = "it stutters"
	}
	v.out, v.owed = slices.Concat(v.owed, b), nil
}

// option is something that may come next.
type option struct {
	name string
	do   func()
}

// moment picks what comes next on a connection that the router waits at.
func (v *visit) moment() {
	q, r := v.asks, v.r
	if r.plain {
		v.comes(v.answer(q, ""))
		return
	}
	var all []option
	may := func(name string, do func()) { all = append(all, option{name, do}) }
	ends := func(err error) { v.err, v.dirty = err, "it has ended" }
	switch {
	case v.mute:
	case v.rest != nil:
		may("the rest", func() { v.out, v.rest, v.dirty = v.rest, nil, v.after })
		may("a reset", func() { ends(errReset) })
		may("its end", func() { ends(io.EOF) })
	case v.again && r.short:
		v.few(may, ends)
	default:
		v.few(may, ends)
		v.many(may, ends)
	}
	if r.outside > 0 {
		v.others(may)
	}
	// Silence lasts until the deadline, or a client that has its answer's beginning has had enough.
	may("the deadline", func() {
		r.now += 6 * time.Second
		r.post(dispatch.Tick{})
		if !v.closed {
			q.from.leave()
		}
		if !v.closed {
			r.fault("a leg of %s goes on for nobody", q.id)
			v.closed = true
		}
	})
	o := all[r.pick(len(all))]
	r.tell("%s at %s: %s", q.id, v.host, o.name)
	o.do()
}

// few are what comes mostly.
func (v *visit) few(may func(string, func()), ends func(error)) {
	q := v.asks
	may("an answer", func() { v.comes(v.answer(q, "")) })
	may("503, not executed", func() { v.comes(v.turns(q, "503 Service Unavailable", true)) })
	may("421", func() { v.comes(v.turns(q, "421 Misdirected Request", false)) })
	may("500", func() { v.comes(v.turns(q, "500 Internal Server Error", false)) })
	may("a reset", func() { ends(errReset) })
}

// many are what may come beside these.
func (v *visit) many(may func(string, func()), ends func(error)) {
	q, r := v.asks, v.r
	begins := func(name string, upTo func(b []byte) int) {
		may(name, func() {
			b := v.answer(q, "")
			at := upTo(b)
			v.comes(b[:at])
			v.rest, v.after, v.dirty = b[at:], v.dirty, "its answer has not come whole"
		})
	}
	begins("an answer's first byte", func([]byte) int { return 1 })
	begins("half a head", func([]byte) int { return 50 })
	begins("a head", func(b []byte) int { return bytes.Index(b, []byte("\r\n\r\n")) + 4 })
	begins("an answer but for its last bytes", func(b []byte) int { return len(b) - 3 })
	begins("an answer's first event", func(b []byte) int { return bytes.Index(b, []byte("\n\n")) + 2 })
	may("an answer, Connection: close", func() {
		v.comes(v.answer(q, "Connection: close\r\n"))
		ends(io.EOF)
	})
	may("an answer without a length", func() {
		b := v.answer(q, "")
		at := bytes.Index(b, []byte("Content-Length"))
		if at < 0 {
			at = bytes.Index(b, []byte("Transfer-Encoding"))
		}
		v.comes(append(b[:at:at], "X-No: length\r\n\r\nid: 0\ndata: x\n\n"...))
		q.answers = q.answers[:len(q.answers)-1] // it was not whole
		ends(io.EOF)
	})
	surplus := func() []byte {
		b := v.answer(q, "")
		q.answers = q.answers[:len(q.answers)-1] // the same once more
		return b
	}
	may("an answer and a second", func() {
		more := surplus()
		v.comes(append(v.answer(q, ""), more...))
		v.dirty = "it stutters"
	})
	may("an answer and half a second", func() {
		more := surplus()
		v.comes(append(v.answer(q, ""), more[:50]...))
		v.dirty = "it stutters"
	})
	may("an answer, and a second as the line rests", func() {
		more := surplus()
		v.comes(v.answer(q, ""))
		v.rests(more)
	})
	may("an answer, and a second where the next is due", func() {
		more := surplus()
		v.comes(v.answer(q, ""))
		v.owed = more
	})
	may("an answer, and some of a second where the next is due", func() {
		more := surplus()
		v.comes(v.answer(q, ""))
		head := bytes.Index(more, []byte("\r\n\r\n")) + 4
		if r.fine {
			v.owed = more[:r.pick(len(more)-1)+1]
			return
		}
		v.owed = more[:[]int{9, 17, 19, 40, head - 4, head, head + 5, len(more) - 3}[r.pick(8)]]
	})
	may("an answer to another and this", func() {
		v.comes(append(v.answer(&asked{id: "r9999", path: q.path}, ""), v.answer(q, "")...))
		v.dirty = "it stutters"
	})
	may("an answer to another", func() {
		v.comes(v.answer(&asked{id: "r9999", path: q.path}, ""))
		v.dirty, v.mute = "it stutters", true
	})
	may("an answer to nobody", func() {
		v.comes(bytes.Replace(v.answer(q, ""), []byte("X-Request-Id"), []byte("X-Else"), 1))
		q.answers, v.dirty = q.answers[:len(q.answers)-1], "it stutters"
	})
	may("103 and an answer", func() { v.comes(append([]byte("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"), v.answer(q, "")...)) })
	may("nonsense", func() { v.comes([]byte("\x00\xff nonsense\r\n\r\n")); v.dirty = "it stutters" })
	for _, status := range []string{"429 Too Many Requests", "408 Request Timeout"} {
		may(status+", not executed", func() { v.comes(v.turns(q, status, true)) })
	}
	for _, status := range []string{
		"503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout", "504 Gateway Timeout", "404 Not Found",
	} {
		may(status, func() { v.comes(v.turns(q, status, false)) })
	}
	may("400, not executed", func() { v.comes(v.turns(q, "400 Bad Request", true)) })
	may("half of 503, not executed", func() { v.comes([]byte("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n")); ends(errReset) })
	may("its end", func() { ends(io.EOF) })
}

// rests has bytes come that nobody asked for, once the answer has been read: a look at the line shows them.
func (v *visit) rests(more []byte) {
	r := v.r
	r.resting = append(r.resting, func() { v.out, v.dirty = append(v.out, more...), "bytes wait that nobody asked for" })
}

// others are events from outside, each at most once and two in a life.
func (v *visit) others(may func(string, func())) {
	q, r := v.asks, v.r
	once := func(name string, do func()) {
		may(name, func() { r.outside--; do() })
	}
	if q.from.err == nil {
		once("its client goes", func() { q.from.leave() })
	}
	if !r.drains {
		once("a drain", func() { r.drains = true; r.front.Drain() })
	}
	if len(r.asked) < 2 {
		once("another client's request", func() {
			r.plain = r.fine
			r.ask(r.call(), r.second)
			r.run()
			r.plain = false
		})
	}
	once("the router's end", func() { r.dead = true })
}

// between picks what becomes of lines at rest.
func (r *router) between() {
	for _, f := range r.resting {
		f()
	}
	r.resting = nil
	var rest []*visit
	for _, v := range r.engines {
		if !v.closed {
			rest = append(rest, v)
		}
	}
	if len(rest) == 0 || r.dead {
		return
	}
	switch r.pick(4) {
	case 1:
		r.tell("lines are closed")
		for _, v := range rest {
			v.err, v.dirty = io.EOF, "it has ended"
		}
	case 2:
		r.tell("lines are forgotten")
		for _, v := range rest {
			v.forgot = true
		}
	case 3:
		r.tell("lines rest for long")
		r.now += 20 * time.Second
		r.post(dispatch.Tick{})
		for _, v := range rest {
			if v.dirty = "it has rested for too long"; !v.closed {
				r.fault("a line to %s rests on", v.host)
			}
		}
	}
}
