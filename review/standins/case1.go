package main

import (
	"fmt"
	"sync"
	"time"
)

// Case 1: a stream is moved to a service that was listed without a route before. Engines lose answers of requests that they ran.
//
// Both services are listed from the first configuration on, and their engines have registered. Configuration 3 moves the route of
// the drafts from the first service to the second; a second stream stays where it was, for comparison. Then half of the engines of
// both services lose every twentieth answer: the engine has run the request, and its connection is reset.
func playTwice(f *fleet, trouble bool) (bool, error) {
	const (
		oldService, newService = "huvo11a", "wuno96b"
		movedPath, stayPath    = "/lohu930/", "/pufi791/"
		lostOneIn              = 20
		perRoute               = 320
		workers                = 12
	)
	var all runs
	losing := func(e *engine, r *engineRequest) {
		r.ran()
		if trouble && e.served.Load()%lostOneIn == 0 {
			time.Sleep(20 * time.Millisecond) // the run: its first token was made
			f.rec.linef("engine %s loses the answer to request %s", e.id, r.id)
			r.reset()
			return
		}
		r.stream(3, 15*time.Millisecond)
	}
	sound := func(_ *engine, r *engineRequest) {
		r.ran()
		r.stream(3, 15*time.Millisecond)
	}
	if err := f.start(); err != nil {
		return false, err
	}
	for i := range 4 {
		behave := sound
		if i < 2 {
			behave = losing
		}
		for k, name := range []string{oldService, newService} {
			if _, err := startEngine(f, &all, fmt.Sprintf("i-%d%d", k+1, i+1), name, zones[i%zoneCount], behave); err != nil {
				return false, err
			}
		}
	}
	services := []any{service(oldService), service(newService)}
	stay := route("r-stay", stayPath, "streaming", 12000, 800, 2, oldService)
	if err := f.mustReplace(0, 1, []any{route("r-moved", movedPath, "streaming", 12000, 800, 2, oldService), stay}, services); err != nil {
		return false, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // calm for contact_ms
	if err := f.mustReplace(1, 3, []any{route("r-moved", movedPath, "streaming", 12000, 800, 2, newService), stay}, services); err != nil {
		return false, err
	}
	time.Sleep(configApply + 2*time.Second)

	var tries []*try
	for i := range 2 * perRoute {
		path := movedPath
		if i%2 == 1 {
			path = stayPath
		}
		tries = append(tries, &try{id: newID(), path: fmt.Sprintf("%sd%d", path, i), deadline: 12 * time.Second, maxSilence: 3200 * time.Millisecond})
	}
	next := make(chan int)
	var group sync.WaitGroup
	for range workers {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := range next {
				tries[i].do(f.rec, f.edges[i/2%len(f.edges)])
			}
		}()
	}
	for i := range tries {
		next <- i
		time.Sleep(10 * time.Millisecond)
	}
	close(next)
	group.Wait()
	time.Sleep(time.Second)

	broken := 0
	for k, path := range []string{movedPath, stayPath} {
		served, twice, other := 0, 0, 0
		for i, t := range tries {
			if i%2 != k {
				continue
			}
			ran := all.of(t.id)
			if t.status == 200 && t.complete {
				served++
			} else {
				other++
			}
			if len(ran) > 1 {
				twice++
				f.rec.sayf("request %s (streaming, %s) ran %d times: %v; the client got %s", t.id, t.path, len(ran), ran, t.outcome())
			}
		}
		f.rec.sayf("route %s: %d requests, %d served whole, %d not, %d ran more than once", path, perRoute, served, other, twice)
		broken += twice
	}
	if err := playLaterRoute(f, []any{route("r-moved", movedPath, "streaming", 12000, 800, 2, newService), stay}, services, newService); err != nil {
		return false, err
	}
	return broken > 0, nil
}

// playLaterRoute adds one more route to a service, with another aim than the routes before. Its outcome is recorded and not judged.
func playLaterRoute(f *fleet, routes, services []any, target string) error {
	const laterPath, requests = "/tace552/", 30
	if err := f.mustReplace(3, 5, append(routes, route("r-later", laterPath, "streaming", 12000, 2000, 2, target)), services); err != nil {
		return err
	}
	time.Sleep(configApply + 2*time.Second)
	ends := map[int]int{}
	for i := range requests {
		t := &try{id: newID(), path: fmt.Sprintf("%sd%d", laterPath, i), deadline: 12 * time.Second, maxSilence: 8 * time.Second}
		t.do(f.rec, f.edges[i%len(f.edges)])
		ends[t.status]++
	}
	f.rec.sayf("not judged: %d requests on a further route to %s, by status: %v", requests, target, ends)
	f.logLines("cannot be changed or removed", 2)
	return nil
}
