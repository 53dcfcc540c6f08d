package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that an engine has begun to run.
type run struct {
	id string
	at time.Time
}

// behavior is how an engine answers a request. The zero value is a short answer at once.
type behavior struct {
	work       time.Duration // before the answer begins
	events     int           // of a stream; 0 = a plain answer
	gap        time.Duration // between two events
	body       int           // bytes of a plain answer
	readsAfter time.Duration // works for this long between the head of a request and its body
}

// engine is a stand-in for an engine: HTTP/1.1, one request at a time on a connection.
type engine struct {
	rec    *record
	id     string
	ln     net.Listener
	behave func(r *http.Request) behavior
	mu     sync.Mutex
	reg    *registration
	runs   []run
	brief  bool // short lines in the record, where there are thousands
}

func startEngine(rec *record, id, ip string, behave func(r *http.Request) behavior) (*engine, error) {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	e := &engine{rec: rec, id: id, ln: ln, behave: behave}
	go e.accept()
	return e, nil
}

func (e *engine) addr() string { return e.ln.Addr().String() }

func (e *engine) accept() {
	for {
		c, err := e.ln.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *engine) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		began := time.Now()
		if wait := e.behave(req).readsAfter; wait > 0 {
			e.rec.logf("engine %s: begins to work on %s", e.id, req.Header.Get("X-Request-Id"))
			time.Sleep(wait)
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			e.rec.logf("engine %s: %s cut by the caller, %.3f s after its head: %v", e.id, req.Header.Get("X-Request-Id"), time.Since(began).Seconds(), err)
			return
		}
		if !e.answer(c, req, string(body)) {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (e *engine) answer(c net.Conn, req *http.Request, body string) bool {
	id := req.Header.Get("X-Request-Id")
	ms, _ := strconv.ParseFloat(req.Header.Get("X-Deadline-Remaining-Ms"), 64)
	began := time.Now()
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	b := e.behave(req)
	e.mu.Lock()
	e.runs = append(e.runs, run{id, began})
	e.mu.Unlock()
	if e.brief {
		e.rec.logf("%s runs %s", e.id, id)
	} else {
		e.rec.logf("engine %s: runs %s of %s with %d bytes, %.0f ms are left", e.id, id, req.Header.Get("X-Tenant"), len(body), ms)
	}
	end := began.Add(time.Duration(ms * float64(time.Millisecond)))
	time.Sleep(b.work)
	seal := "3e1b." + id
	head := fmt.Sprintf("X-Request-Id: %s\r\nX-Response-Seal: %s\r\nKeep-Alive: timeout=10\r\n", id, seal)
	if b.events == 0 {
		return e.plain(c, head, id, b)
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head)
	for i := 1; i <= b.events; i++ {
		if time.Now().After(end) { // an engine stops work at the deadline that it is handed
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", i, id, i, b.events)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			e.rec.logf("engine %s: %s cut by the caller after %d events", e.id, id, i-1)
			return false
		}
		time.Sleep(b.gap)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// plain sends a plain answer.
func (e *engine) plain(c net.Conn, head, id string, b behavior) bool {
	body := plainBody(id, b.body)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return err == nil
}

// plainBody is the body of an answer: the id, repeated up to a length.
func plainBody(id string, length int) string {
	length = max(length, len(id)+1)
	return strings.Repeat(id+" ", length/(len(id)+1)+1)[:length]
}
