package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// heldPastTimeout checks that requests get a final answer within half a second after their route's timeout_ms. The disruption is the
// crash of one engine of seven (how dark), while it streams answers.
func heldPastTimeout(rec *record, binary, dir string, trouble bool) ([]string, error) {
	const (
		host, key           = "ficu95.example", "i9n73hh2b9wu3fexd9dn"
		timeoutMS, aimMS    = 3000, 2000
		engines, slots      = 7, 13
		streams, eventCount = 110, 14
		gap                 = 100 * time.Millisecond
	)
	f, err := newFleet(rec, binary, dir, 3, 71)
	if err != nil {
		return nil, err
	}
	defer f.stopAll()
	if err := f.startAll(); err != nil {
		return nil, err
	}
	var all []*engine
	for i := range engines {
		e, err := startEngine(rec, fmt.Sprintf("i-%08x", 0x7f3a0000+i), fmt.Sprintf("127.71.%d.%d", i%3+1, 100+i), func(*http.Request) behavior {
			return behavior{work: 100 * time.Millisecond, events: eventCount, gap: gap}
		})
		if err != nil {
			return nil, err
		}
		e.reg = f.register(e.id, "huvo11a", e.addr(), zones[i%3], slots)
		all = append(all, e)
	}
	config := configuration(7, []string{"huvo11a"}, key, route("r-cda9rgy", host, "/lohu930/", "streaming", "huvo11a", timeoutMS, aimMS, 2))
	if err := f.replaceConfig(0, config, 20*time.Second); err != nil {
		return nil, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second) // longer than contact_ms: all machines are in touch
	answers := make([]answer, streams)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m := f.routers()[i%3]
			c, err := dialRouter(f.front(m))
			if err != nil {
				answers[i] = answer{err: err}
				return
			}
			defer c.Close()
			q := call{
				id: fmt.Sprintf("%016x", uint64(0x9c41d07b00000000)+uint64(i)), host: host, path: fmt.Sprintf("/lohu930/%x", i), key: key, body: "a prompt",
				prefix: fmt.Sprint(i), deadline: 12 * time.Second, silence: 8 * time.Second, // four times the aim
			}
			rec.logf("client: sends %s to %s", q.id, m.name)
			a := c.do(&q)
			answers[i] = a
			rec.logf("client: %s ends after %.3f s: status %d, complete %v, gave up %v, %v", q.id, a.endAt.Sub(a.sentAt).Seconds(), a.status, a.complete, a.gaveUp, errText(a.err))
		}()
	}
	time.Sleep(700 * time.Millisecond) // all streams have begun
	if trouble {
		rec.logf("engine %s: crashes, dark", all[0].id)
		all[0].crash()
		// It comes back as a new engine. Its old connections say nothing: nothing is sent on them that it could reset.
		time.AfterFunc(4400*time.Millisecond, func() {
			e, err := startEngine(rec, "i-7f3a00ff", "127.71.1.100", all[0].behave)
			if err != nil {
				rec.logf("engine i-7f3a00ff: %v", err)
				return
			}
			rec.logf("engine %s: starts on the machine of %s", e.id, all[0].id)
			e.reg = f.register(e.id, "huvo11a", e.addr(), zones[0], slots)
		})
	}
	wg.Wait()
	longer, unanswered := 0, 0
	for i := range answers {
		held := answers[i].endAt.Sub(answers[i].sentAt)
		if held > timeoutMS*time.Millisecond {
			longer++
		}
		if held > (timeoutMS+500)*time.Millisecond {
			unanswered++
		}
	}
	rec.logf("%d of %d requests lasted longer than %d ms; %d had no final answer half a second later", longer, streams, timeoutMS, unanswered)
	if unanswered >= 8 && 4*unanswered > longer {
		return []string{fmt.Sprintf("%d of %d requests that lasted longer than their route's timeout_ms of %d had no final answer 0.5 s after it", unanswered, longer, timeoutMS)}, nil
	}
	return nil, nil
}
