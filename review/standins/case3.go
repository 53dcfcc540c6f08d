package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Case 3: a request is sent to an engine that is past its drain, because its service was taken out of the configuration.
//
// Two old services have two engines each, with 13 slots and a queue of 26. Streams fill the slots, and more wait in the queues.
// Configuration 3 moves the routes to a new service. It no longer lists the first old service, and still lists the second one, for
// comparison. A second later all old engines say draining; they serve on for drain_timeout_ms and a little longer, turn away what still
// waits in their queue (503, X-Not-Executed), and end. With the disruption, the first engine of each old service is five times as slow,
// so that requests still wait in its queue when it ends.
func playDrain(f *fleet, trouble bool) (bool, error) {
	const (
		dropped, listed, newService = "huvo11a", "wuno96b", "kilo77c"
		droppedPath, listedPath     = "/lohu930/", "/pufi791/"
		drainTimeout                = 3 * time.Second
		firstEnd                    = drainTimeout + 500*time.Millisecond // of the first engine, from its acknowledgement
		secondEnd                   = drainTimeout + 1200*time.Millisecond
		slowness                    = 5 // of the first engine
		perRoute                    = 48
	)
	type arrival struct {
		engine, id string
		at         time.Time
	}
	var all runs
	var mu sync.Mutex
	var arrivals []arrival
	var isSlow atomic.Bool
	behave := func(e *engine, r *engineRequest) {
		mu.Lock()
		arrivals = append(arrivals, arrival{e.id, r.id, time.Now()})
		mu.Unlock()
		if !e.takeSlot() {
			f.rec.linef("engine %s turns request %s away, not run", e.id, r.id)
			r.answer("503 Service Unavailable", "X-Not-Executed: 1\r\n", nil)
			return
		}
		defer e.freeSlot()
		r.ran()
		pause, events := 100*time.Millisecond, 15
		if strings.HasSuffix(r.URL.Path, "warm") {
			pause, events = 5*time.Millisecond, 2
		}
		if isSlow.Load() && (e.id == "i-11" || e.id == "i-21") {
			pause *= slowness
		}
		r.stream(events, pause)
	}
	if err := f.start(); err != nil {
		return false, err
	}
	var old []*engine
	for k, name := range []string{dropped, listed, newService} {
		for i := range 2 {
			e, err := startEngine(f, &all, fmt.Sprintf("i-%d%d", k+1, i+1), name, zones[i], behave)
			if err != nil {
				return false, err
			}
			if name != newService {
				old = append(old, e)
			}
		}
	}
	routes := func(first, second string) []any {
		return []any{
			route("r-first", droppedPath, "streaming", 12000, 2000, 2, first), route("r-second", listedPath, "streaming", 12000, 2000, 2, second),
		}
	}
	if err := f.mustReplace(0, 1, routes(dropped, listed), []any{service(dropped), service(listed), service(newService)}); err != nil {
		return false, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	send := func(path string, m *machine) *try {
		t := &try{id: newID(), path: path, deadline: 12 * time.Second, maxSilence: 8 * time.Second}
		t.do(f.rec, m)
		return t
	}
	// Calm for contact_ms, with light traffic.
	for i := range 250 {
		go send([]string{droppedPath, listedPath}[i%2]+"warm", f.edges[i/2%len(f.edges)])
		time.Sleep(25 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	isSlow.Store(trouble)
	ends := map[string]*try{}
	var group sync.WaitGroup
	for i := range 2 * perRoute {
		group.Add(1)
		go func() {
			defer group.Done()
			t := send(fmt.Sprintf("%sd%d", []string{droppedPath, listedPath}[i%2], i), f.edges[i/2%len(f.edges)])
			mu.Lock()
			ends[t.id] = t
			mu.Unlock()
		}()
	}
	time.Sleep(200 * time.Millisecond)
	if err := f.mustReplace(1, 3, routes(newService, newService), []any{service(listed), service(newService)}); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	acks := map[string]time.Time{}
	for i, e := range old {
		at, by := e.drain()
		acks[e.id] = at
		f.rec.sayf("%s acknowledges that %s (%s) is draining", by, e.id, e.service)
		group.Add(1)
		time.AfterFunc([]time.Duration{firstEnd, secondEnd}[i%2], func() {
			defer group.Done()
			e.end()
		})
	}
	group.Wait()

	mu.Lock()
	defer mu.Unlock()
	slices.SortFunc(arrivals, func(x, y arrival) int { return x.at.Compare(y.at) })
	late := map[string]int{}
	for _, a := range arrivals {
		ack, isOld := acks[a.engine]
		if !isOld || a.at.Sub(ack) <= drainTimeout {
			continue
		}
		late[a.engine]++
		f.rec.sayf("DRAIN: request %s reaches %s %v after the acknowledgement that it drains; the client gets %s",
			a.id, a.engine, a.at.Sub(ack).Round(time.Millisecond), ends[a.id].outcome())
	}
	byEnd := map[string]map[string]int{droppedPath: {}, listedPath: {}}
	for _, t := range ends {
		path := droppedPath
		if strings.HasPrefix(t.path, listedPath) {
			path = listedPath
		}
		byEnd[path][fmt.Sprintf("%d, whole %v", t.status, t.complete)]++
	}
	f.rec.sayf("requests of the service that is listed no more: %v; at its engines after their drain: %d", byEnd[droppedPath], late["i-11"]+late["i-12"])
	f.rec.sayf("requests of the service that is still listed: %v; at its engines after their drain: %d", byEnd[listedPath], late["i-21"]+late["i-22"])
	return len(late) > 0, nil
}
