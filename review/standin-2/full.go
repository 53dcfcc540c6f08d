package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// servesNobody checks that no more than 60% of the requests owed are refused or fail. In a first part all clients send two requests at once
// on a connection of their own (RFC 9112, section 9.3.2). The disruption is that a share of them leaves in the middle of the first answer,
// within half the aim (give_up); these requests are not owed. In a second part, after a pause, clients send one request on each connection.
func servesNobody(rec *record, binary, dir string, trouble bool) ([]string, error) {
	const (
		host, key        = "ficu95.example", "i9n73hh2b9wu3fexd9dn"
		perSecond        = 120 // connections, then requests
		firstPart, pause = 44 * time.Second, 10 * time.Second
		secondPart       = 36 * time.Second
		leavingShare     = 0.8
		halfAim          = 400 * time.Millisecond
	)
	f, err := newFleet(rec, binary, dir, 2, 76)
	if err != nil {
		return nil, err
	}
	defer f.stopAll()
	if err := f.startAll(); err != nil {
		return nil, err
	}
	for i := range 9 {
		e, err := startEngine(rec, fmt.Sprintf("i%d", i), fmt.Sprintf("127.76.%d.%d", i%3+1, 100+i), func(*http.Request) behavior {
			return behavior{work: 20 * time.Millisecond, events: 20, gap: 30 * time.Millisecond}
		})
		if err != nil {
			return nil, err
		}
		e.brief = true
		e.reg = f.register(e.id, "huvo11a", e.addr(), zones[i%3], 60)
	}
	config := configuration(7, []string{"huvo11a"}, key, route("r-cda9rgy", host, "/lohu930/", "streaming", "huvo11a", 12000, 800, 2))
	if err := f.replaceConfig(0, config, 20*time.Second); err != nil {
		return nil, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second) // longer than contact_ms: all machines are in touch
	rec.logf("below: \"two aN\" are the requests aN-1 and aN-2, sent at once on one connection to router 0 or 1; whether the client left early; the statuses; an error")
	rec.logf("below: \"one bN-T\" is try T of request bN of the second part; the router; the status; whether the answer was complete; an error")
	var wg sync.WaitGroup
	var owed, served, left atomic.Int64
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	for i := range int(firstPart.Seconds()) * perSecond {
		<-tick.C
		leaves := trouble && rand.Float64() < leavingShare
		wg.Add(1)
		go func() {
			defer wg.Done()
			m := f.routers()[i%2]
			ids := []string{fmt.Sprintf("a%x-1", i), fmt.Sprintf("a%x-2", i)}
			statuses, err := sendTwo(f.front(m), host, key, ids, leaves, halfAim)
			rec.logf("two a%x to %d: left %v, %v %v", i, i%2, leaves, statuses, errText(err))
			if leaves {
				left.Add(1)
				return
			}
			owed.Add(2)
			for _, status := range statuses {
				if status == http.StatusOK {
					served.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	rec.logf("first part: %d clients left early; %d requests owed, %d served", left.Load(), owed.Load(), served.Load())
	time.Sleep(pause) // nobody sends anything
	for _, m := range f.routers() {
		status := 0
		if resp, err := controlClient.Get("http://" + f.ready(m) + "/readiness"); err == nil {
			resp.Body.Close()
			status = resp.StatusCode
		}
		rec.logf("platform: readiness of %s: %d", m.name, status)
	}
	var servedAfter atomic.Int64
	total := int(secondPart.Seconds()) * perSecond
	for i := range total {
		<-tick.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			if sendOne(f, i, host, key) {
				servedAfter.Add(1)
			}
		}()
	}
	wg.Wait()
	rec.logf("second part: %d requests owed, %d served", total, servedAfter.Load())
	all := owed.Load() + int64(total)
	refused := all - served.Load() - servedAfter.Load()
	rec.logf("%d of %d requests owed were refused or failed", refused, all)
	if 10*refused > 6*all {
		return []string{fmt.Sprintf("%d of %d requests owed were refused or failed; from 10 s after the last client had left, %d of %d were served", refused, all, servedAfter.Load(), total)}, nil
	}
	return nil, nil
}

// sendOne is a request of the second part. A client tries again at the other router, on a new connection. It reports whether the request
// was served.
func sendOne(f *fleet, i int, host, key string) bool {
	for n := range 2 {
		m := f.routers()[(i+n)%2]
		q := call{
			id: fmt.Sprintf("b%x-%d", i, n+1), host: host, path: "/lohu930/1", key: key, deadline: 12 * time.Second, silence: 3200 * time.Millisecond,
		}
		var a answer
		c, err := dialRouter(f.front(m))
		if err == nil {
			a = c.do(&q)
			c.Close()
			err = a.err
		}
		f.rec.logf("one %s to %d: %d %v %v", q.id, (i+n)%2, a.status, a.complete, errText(err))
		if a.status == http.StatusOK && a.complete {
			return true
		}
	}
	return false
}

// sendTwo sends two requests at once on a new connection and returns the statuses of the answers. A client that leaves closes the
// connection after the first event of the first answer, within the given time.
func sendTwo(addr, host, key string, ids []string, leaves bool, within time.Duration) (statuses []int, err error) {
	c, err := dialRouter(addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	text := ""
	for _, id := range ids {
		text += fmt.Sprintf("POST /lohu930/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Credential: %s\r\nX-Deadline-Remaining-Ms: 12000\r\nContent-Length: 0\r\n\r\n", id, host, id, key)
	}
	start := time.Now()
	c.SetDeadline(start.Add(12 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		return nil, err
	}
	br := bufio.NewReader(c)
	for range ids {
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodPost})
		if err != nil {
			return statuses, err
		}
		statuses = append(statuses, resp.StatusCode)
		if leaves {
			time.Sleep(time.Duration(rand.Int64N(int64(max(within-time.Since(start), 1)))))
			return statuses, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return statuses, err
		}
		if resp.Close {
			break
		}
	}
	return statuses, nil
}
