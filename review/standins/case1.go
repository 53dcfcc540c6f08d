package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Case 1: streams run twice at a service that had no route for a while.
//
// Three services are listed throughout. Configuration 3 moves the only route of the first service to the second one; the edge
// machines are stopped and started in turn; configuration 5 moves the route back, and adds a first route to the third service, which
// had none so far. A stream of the second service stays where it is, for comparison. Then half of the engines of each service lose
// every twentieth answer: the engine has run the request, and its connection is reset.
func playTwice(f *fleet, trouble bool) (bool, error) {
	const (
		left, stayed, listed = "huvo11a", "wuno96b", "kilo77c" // services
		lostOneIn            = 20
		perRoute             = 240
		workers              = 12
	)
	paths := []string{"/lohu930/", "/pufi791/", "/tace552/"} // of the route that is moved and moved back, that stays, that is added
	var all runs
	sound := func(_ *engine, r *engineRequest) {
		r.ran()
		r.stream(3, 15*time.Millisecond)
	}
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
	if err := f.start(); err != nil {
		return false, err
	}
	for k, name := range []string{left, stayed, listed} {
		for i := range 4 {
			behave := sound
			if i < 2 {
				behave = losing
			}
			if _, err := startEngine(f, &all, fmt.Sprintf("i-%d%d", k+1, i+1), name, zones[i%zoneCount], behave); err != nil {
				return false, err
			}
		}
	}
	services := []any{service(left), service(stayed), service(listed)}
	stream := func(name, path string, aimMS int, target string) any {
		return route(name, path, "streaming", 12000, aimMS, 2, target)
	}
	stay := stream("r-stay", paths[1], 800, stayed)
	if err := f.mustReplace(0, 1, []any{stream("r-moved", paths[0], 800, left), stay}, services); err != nil {
		return false, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	if err := f.mustReplace(1, 3, []any{stream("r-moved", paths[0], 800, stayed), stay}, services); err != nil {
		return false, err
	}
	time.Sleep(configApply)
	for _, m := range f.edges {
		if err := f.restart(m); err != nil {
			return false, err
		}
		if err := f.waitReady(20 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second) // calm for contact_ms
	routes := []any{stream("r-moved", paths[0], 800, left), stay, stream("r-added", paths[2], 800, listed)}
	if err := f.mustReplace(3, 5, routes, services); err != nil {
		return false, err
	}
	time.Sleep(configApply + 2*time.Second)

	var tries []*try
	for i := range len(paths) * perRoute {
		path := fmt.Sprintf("%sd%d", paths[i%len(paths)], i)
		tries = append(tries, &try{id: newID(), path: path, deadline: 12 * time.Second, maxSilence: 3200 * time.Millisecond})
	}
	next := make(chan int)
	var group sync.WaitGroup
	for range workers {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := range next {
				tries[i].do(f.rec, f.edges[i/len(paths)%len(f.edges)])
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
	for _, path := range paths {
		served, twice := 0, 0
		for _, t := range tries {
			if !strings.HasPrefix(t.path, path) {
				continue
			}
			if t.status == 200 && t.complete {
				served++
			}
			if ran := all.of(t.id); len(ran) > 1 {
				twice++
				f.rec.sayf("TWICE: stream %s (%s) ran %d times: %v; the client got %s", t.id, t.path, len(ran), ran, t.outcome())
			}
		}
		f.rec.sayf("route %s: %d requests, %d served whole, %d ran more than once", path, perRoute, served, twice)
		broken += twice
	}
	if err := playLaterRoute(f, routes, services, stream("r-later", "/pule252/", 2000, listed)); err != nil {
		return false, err
	}
	return broken > 0, nil
}

// playLaterRoute adds one more route, with another aim than the routes before. Its outcome is recorded and not judged.
func playLaterRoute(f *fleet, routes, services []any, later any) error {
	const requests = 30
	if err := f.mustReplace(5, 7, append(slices.Clone(routes), later), services); err != nil {
		return err
	}
	time.Sleep(configApply + 2*time.Second)
	ends := map[int]int{}
	for i := range requests {
		t := &try{id: newID(), path: fmt.Sprintf("/pule252/d%d", i), deadline: 12 * time.Second, maxSilence: 8 * time.Second}
		t.do(f.rec, f.edges[i%len(f.edges)])
		ends[t.status]++
	}
	f.rec.sayf("not judged: %d requests on the further route, by status: %v", requests, ends)
	f.logLines("cannot be changed or removed", 2)
	return nil
}
