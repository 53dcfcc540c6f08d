package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one try of a client.
type call struct {
	id, host, path, body, key string
	deadline                  time.Duration // that the client will wait
	silence                   time.Duration // after which the client of a stream gives up; 0 = never
	prefix                    string
}

// answer is what a client has seen of a try.
type answer struct {
	sentAt, headAt, endAt time.Time
	status                int
	header                http.Header
	body                  string
	complete              bool  // the whole answer has come
	err                   error // why it has not
	gaveUp                bool  // the client left, for silence or at its deadline
}

// clientConn is a client's connection to a router.
type clientConn struct {
	net.Conn
	br *bufio.Reader
}

func dialRouter(addr string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{c, bufio.NewReader(c)}, nil
}

// do sends a request and reads its answer. The caller closes the connection unless the answer allows it to stay open.
func (c *clientConn) do(q *call) (a answer) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Remaining-Ms: %d\r\n", q.path, q.host, q.id, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "X-Credential: %s\r\n", q.key)
	}
	if q.prefix != "" {
		fmt.Fprintf(&b, "X-Prompt-Prefix: %s\r\n", q.prefix)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
	a.sentAt = time.Now()
	end := a.sentAt.Add(q.deadline)
	c.SetDeadline(end)
	defer func() {
		a.endAt = time.Now()
		var netErr net.Error
		a.gaveUp = a.err != nil && errors.As(a.err, &netErr) && netErr.Timeout()
	}()
	if _, a.err = c.Write(b.Bytes()); a.err != nil {
		return a
	}
	listen := func() {
		until := end
		if q.silence > 0 && time.Now().Add(q.silence).Before(end) {
			until = time.Now().Add(q.silence)
		}
		c.SetReadDeadline(until)
	}
	listen()
	resp, err := http.ReadResponse(c.br, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err = err
		return a
	}
	a.headAt, a.status, a.header = time.Now(), resp.StatusCode, resp.Header
	var body strings.Builder
	buf := make([]byte, 32<<10)
	for {
		listen()
		n, err := resp.Body.Read(buf)
		body.Write(buf[:n])
		if err != nil {
			a.body = body.String()
			if err == io.EOF {
				a.complete = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
			} else {
				a.err = err
			}
			return a
		}
	}
}
