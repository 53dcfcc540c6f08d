package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// slowReader checks that a router that has got SIGTERM breaks off no request at which an engine is at work. Bodies have 400,000 bytes, and
// the engines read a body 2 s after they have begun to work on its request. The disruption is a SIGTERM to the router (roll_term). The rule
// speaks only of the time around planned work, so that nothing is judged without it.
func slowReader(rec *record, binary, dir string, trouble bool) ([]string, error) {
	const (
		host, key = "ficu95.example", "i9n73hh2b9wu3fexd9dn"
		requests  = 30
		engines   = 7
		work      = 2 * time.Second // between the head of a request and its body
	)
	f, err := newFleet(rec, binary, dir, 3, 77)
	if err != nil {
		return nil, err
	}
	defer f.stopAll()
	if err := f.startAll(); err != nil {
		return nil, err
	}
	for i := range engines {
		e, err := startEngine(rec, fmt.Sprintf("i-%08x", 0x7f3a0000+i), fmt.Sprintf("127.77.%d.%d", i%3+1, 100+i), func(*http.Request) behavior {
			return behavior{readsAfter: work, body: 100}
		})
		if err != nil {
			return nil, err
		}
		e.reg = f.register(e.id, "huvo11a", e.addr(), zones[i%3], 13)
	}
	config := configuration(7, []string{"huvo11a"}, key, route("r-cda9rgy", host, "/lohu930/", "non_idempotent", "huvo11a", 12000, 4000, 2))
	if err := f.replaceConfig(0, config, 20*time.Second); err != nil {
		return nil, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second) // longer than contact_ms: all machines are in touch
	m := f.routers()[0]
	if trouble {
		f.signal(m, syscall.SIGTERM)
	}
	time.Sleep(200 * time.Millisecond)
	answers := make([]answer, requests)
	var wg sync.WaitGroup
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := dialRouter(f.front(m))
			if err != nil {
				answers[i] = answer{err: err}
				return
			}
			defer c.Close()
			q := call{
				id: fmt.Sprintf("%016x", uint64(0x9c41d07b00000000)+uint64(i)), host: host, path: fmt.Sprintf("/lohu930/%x", i), key: key,
				body: strings.Repeat("a long prompt ", 30000)[:400000], deadline: 12 * time.Second,
			}
			rec.logf("client: sends %s with %d bytes to %s", q.id, len(q.body), m.name)
			a := c.do(&q)
			answers[i] = a
			rec.logf("client: %s ends after %.3f s: status %d, complete %v, %q %v", q.id, a.endAt.Sub(a.sentAt).Seconds(), a.status, a.complete, strings.TrimSpace(a.body[:min(len(a.body), 50)]), errText(a.err))
		}()
	}
	wg.Wait()
	time.Sleep(2500 * time.Millisecond) // the engines notice
	lost := 0
	counts := map[string]int{}
	for i := range answers {
		a := &answers[i]
		counts[fmt.Sprint(a.status)]++
		if !a.complete || a.status == 500 || a.status == 502 || a.status == 504 {
			lost++
		}
	}
	rec.logf("answers: %v; %d broken off", counts, lost)
	if trouble && lost > 0 {
		return []string{fmt.Sprintf("%d of %d requests were broken off within 3 s after the SIGTERM of their router, their engines at work; the answers: %v", lost, requests, counts)}, nil
	}
	return nil, nil
}
