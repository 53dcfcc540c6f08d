package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// What clients send.
const (
	hostName   = "ficu95.example"
	tenantName = "kaje80"
	tenantKey  = "i9n73hh2b9wu3fexd9dn"
	secondKey  = "n2ctnfzs989anu6wsjnb"
)

var requestCount atomic.Int64

// newID returns an id for one try.
func newID() string {
	return fmt.Sprintf("%08x%08x", requestCount.Add(1), time.Now().UnixNano()&0xffffffff)
}

// try is one try of a client, on a new connection.
type try struct {
	id, path   string
	key        string        // "" = the tenant's key
	deadline   time.Duration // that the client waits, as it says in X-Deadline-Remaining-Ms
	maxSilence time.Duration // after which the client gives up a stream; 0 = none
	sentAt     time.Time
	status     int // 0 = no answer
	body       []byte
	complete   bool
	endedAt    time.Time // when the answer or the connection ended, or the client left
	left       bool      // the client has left
	err        error
}

// outcome describes the end of a try.
func (t *try) outcome() string {
	after := t.endedAt.Sub(t.sentAt).Round(time.Millisecond)
	switch {
	case t.left && t.status == 0:
		return fmt.Sprintf("no answer; the client leaves after %v", after)
	case t.left:
		return fmt.Sprintf("%d begun, no end; the client leaves after %v", t.status, after)
	case t.status == 0:
		return fmt.Sprintf("connection ends without an answer after %v: %v", after, t.err)
	case !t.complete:
		return fmt.Sprintf("%d, cut off after %v: %v", t.status, after, t.err)
	}
	text := strings.TrimSpace(string(t.body))
	return fmt.Sprintf("%d, whole (%d bytes, %.40q) after %v", t.status, len(t.body), text, after)
}

// do sends the request to a router and reads the answer.
func (t *try) do(rec *record, m *machine) {
	t.sentAt = time.Now()
	defer func() {
		if t.endedAt.IsZero() {
			t.endedAt = time.Now()
		}
		rec.linef("client: request %s gets %s", t.id, t.outcome())
	}()
	c, err := net.DialTimeout("tcp4", m.frontend, time.Second)
	if err != nil {
		t.err = err
		return
	}
	defer c.Close()
	body := `{"q":1}`
	key := t.key
	if key == "" {
		key = tenantKey
	}
	rec.linef("client: request %s for %s to %s, waits %v", t.id, t.path, m.name, t.deadline)
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Remaining-Ms: %d\r\nX-Credential: %s\r\nContent-Length: %d\r\n\r\n%s",
		t.path, hostName, t.id, t.deadline.Milliseconds(), key, len(body), body)
	end := t.sentAt.Add(t.deadline)
	t.limit(c, end)
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.fail(err)
		return
	}
	t.status = resp.StatusCode
	buf := make([]byte, 64<<10)
	for {
		t.limit(c, end)
		n, err := resp.Body.Read(buf)
		t.body = append(t.body, buf[:n]...)
		if err == io.EOF {
			t.complete = true
			return
		}
		if err != nil {
			t.fail(err)
			return
		}
	}
}

// limit sets how long the client waits for the next bytes.
func (t *try) limit(c net.Conn, end time.Time) {
	if t.maxSilence > 0 && time.Now().Add(t.maxSilence).Before(end) {
		end = time.Now().Add(t.maxSilence)
	}
	c.SetReadDeadline(end)
}

// fail records why no further bytes came.
func (t *try) fail(err error) {
	t.endedAt, t.err = time.Now(), err
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.left = true
	}
}
