package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// revived checks that no request reaches an engine later than drain_timeout_ms after its sign-off was acknowledged. The disruptions are
// that all processes are killed right after the acknowledgement, and that a beat of the engine comes seconds late.
func revived(rec *record, binary, dir string, trouble bool) ([]string, error) {
	const (
		host, key = "ficu95.example", "i9n73hh2b9wu3fexd9dn"
		drain     = 3 * time.Second
		contact   = 8 * time.Second // twice contact_ms, as after a closing fault
		late      = 9200 * time.Millisecond
	)
	f, err := newFleet(rec, binary, dir, 3, 78)
	if err != nil {
		return nil, err
	}
	defer f.stopAll()
	if err := f.startAll(); err != nil {
		return nil, err
	}
	var all []*engine
	for i := range 4 {
		e, err := startEngine(rec, fmt.Sprintf("i-%08x", 0x7f3a0000+i), fmt.Sprintf("127.78.%d.%d", i%3+1, 100+i), func(*http.Request) behavior {
			return behavior{work: 20 * time.Millisecond, events: 5, gap: 20 * time.Millisecond}
		})
		if err != nil {
			return nil, err
		}
		e.reg = f.register(e.id, "huvo11a", e.addr(), zones[i%3], 13)
		all = append(all, e)
	}
	config := configuration(7, []string{"huvo11a"}, key, route("r-cda9rgy", host, "/lohu930/", "streaming", "huvo11a", 12000, 800, 2))
	if err := f.replaceConfig(0, config, 20*time.Second); err != nil {
		return nil, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second) // longer than contact_ms: all machines are in touch
	leaving := all[0]
	leaving.reg.end()
	time.Sleep(100 * time.Millisecond)
	if trouble {
		go leaving.reg.lateBeat(late)
		time.Sleep(50 * time.Millisecond)
	}
	ackedAt, ok := leaving.reg.deregister() // it never says draining, and serves on (NEWS-18.md)
	if !ok {
		return nil, fmt.Errorf("the sign-off was not acknowledged")
	}
	started := time.Time{}
	if trouble {
		time.Sleep(100 * time.Millisecond)
		for _, m := range f.machines {
			f.signal(m, syscall.SIGKILL)
		}
		time.Sleep(800 * time.Millisecond)
		for _, m := range f.machines {
			<-m.ended
			if err := f.start(m, false); err != nil {
				return nil, err
			}
		}
		started = time.Now()
		if err := f.waitReady(20 * time.Second); err != nil {
			return nil, err
		}
	}
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var wg sync.WaitGroup
	for i := 0; time.Since(ackedAt) < 15*time.Second; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m := f.routers()[i%3]
			q := call{
				id: fmt.Sprintf("%016x", rand.Uint64()), host: host, path: fmt.Sprintf("/lohu930/%x", i), key: key, prefix: fmt.Sprint(i),
				deadline: 12 * time.Second, silence: 3200 * time.Millisecond,
			}
			mu.Lock()
			sentAt[q.id] = time.Now()
			mu.Unlock()
			c, err := dialRouter(f.front(m))
			if err != nil {
				rec.logf("client: %s to %s: %v", q.id, m.name, err)
				return
			}
			a := c.do(&q)
			c.Close()
			rec.logf("client: %s through %s: %d, complete %v %v", q.id, m.name, a.status, a.complete, errText(a.err))
		}()
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	past := 0
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	for _, r := range leaving.runs {
		if r.at.After(ackedAt.Add(drain)) && sentAt[r.id].After(started.Add(contact+100*time.Millisecond)) {
			past++
			rec.logf("%s reaches %s %.3f s after the acknowledgement, sent %.3f s after the last start of a process", r.id, leaving.id, r.at.Sub(ackedAt).Seconds(), sentAt[r.id].Sub(started).Seconds())
		}
	}
	if past > 0 {
		return []string{fmt.Sprintf("%d requests, sent on by machines in touch, reached an engine later than drain_timeout_ms after its sign-off was acknowledged", past)}, nil
	}
	return nil, nil
}
