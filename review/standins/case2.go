package main

import (
	"fmt"
	"strings"
	"time"
)

// Case 2: a configuration is acknowledged and never in force.
//
// Configuration 1 splits a route between two services. Configuration 3 moves the second service's part back to the first one, adds a
// route and takes a key away; it is acknowledged. With the disruption, the split names the first service twice (90 and 10); without,
// once (100). Requests are sent later than config_apply_ms after the acknowledgement. Then configuration 5 sets the split right, and
// configuration 7 adds two routes, one of them with a prefix that has letters beyond ASCII; without the disruption, it has none.
// At the end the edge machines are stopped and started in turn.
func playNeverInForce(f *fleet, trouble bool) (bool, error) {
	const (
		mainService, canary            = "huvo11a", "wuno96b"
		draftPath, addedPath, laterWay = "/lohu930/", "/pufi791/", "/tace552/"
		perEdge                        = 10
	)
	oddPrefix := "/ledger/"
	splitBack := []any{split(mainService, 100)}
	if trouble {
		splitBack = []any{split(mainService, 90), split(mainService, 10)}
		oddPrefix = "/提示/"
	}
	var all runs
	answer := func(_ *engine, r *engineRequest) {
		r.ran()
		r.success([]byte("answer to " + r.id))
	}
	if err := f.start(); err != nil {
		return false, err
	}
	for i := range 3 {
		for k, name := range []string{mainService, canary} {
			if _, err := startEngine(f, &all, fmt.Sprintf("i-%d%d", k+1, i+1), name, zones[i], answer); err != nil {
				return false, err
			}
		}
	}
	services := []any{service(mainService), service(canary)}
	draft := func(target any) any { return route("r-draft", draftPath, "idempotent", 2500, 1000, 2, target) }
	added := route("r-added", addedPath, "idempotent", 2500, 1000, 2, mainService)
	if err := f.mustReplace(0, 1, []any{draft([]any{split(mainService, 90), split(canary, 10)})}, services, tenantKey, secondKey); err != nil {
		return false, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // calm for contact_ms

	if err := f.mustReplace(1, 3, []any{draft(splitBack), added}, services); err != nil {
		return false, err
	}
	time.Sleep(max(configApply, revoke) + time.Second)
	broken := 0
	for i := range perEdge * len(f.edges) {
		m := f.edges[i%len(f.edges)]
		onAdded := f.get(m, addedPath, tenantKey)
		if onAdded.status == 404 {
			broken++
			f.rec.sayf("CONFIG: %s answers 404 on the route that configuration 3 added (request %s)", m.name, onAdded.id)
		}
		onDraft := f.get(m, draftPath, tenantKey)
		if ran := strings.Join(all.of(onDraft.id), ", "); strings.HasPrefix(ran, "i-2") {
			broken++
			f.rec.sayf("CONFIG: %s has request %s run by the service that configuration 3 took the route from (%s)", m.name, onDraft.id, ran)
		}
		withKey := f.get(m, draftPath, secondKey)
		if ran := all.of(withKey.id); len(ran) > 0 {
			broken++
			f.rec.sayf("CONFIG: %s has request %s run with the key that configuration 3 took away (%v)", m.name, withKey.id, ran)
		}
	}
	f.readiness()

	if err := f.mustReplace(3, 5, []any{draft(mainService), added}, services); err != nil {
		return false, err
	}
	time.Sleep(configApply + 2*time.Second)
	f.readiness()
	if err := f.mustReplace(5, 7, []any{
		draft(mainService), added, route("r-odd", oddPrefix, "idempotent", 2500, 1000, 2, mainService),
		route("r-later", laterWay, "idempotent", 2500, 1000, 2, mainService),
	}, services); err != nil {
		return false, err
	}
	time.Sleep(configApply + 2*time.Second)
	for i := range perEdge * len(f.edges) {
		m := f.edges[i%len(f.edges)]
		if t := f.get(m, laterWay, tenantKey); t.status == 404 {
			broken++
			f.rec.sayf("CONFIG: %s answers 404 on the plain route that configuration 7 added (request %s)", m.name, t.id)
		}
	}
	f.readiness()

	// Not judged: what a planned stop and start of the edge machines does now.
	for _, m := range f.edges {
		if err := f.restart(m); err != nil {
			return false, err
		}
	}
	time.Sleep(12 * time.Second)
	f.readiness()
	served, refused := 0, 0
	for i := range perEdge * len(f.edges) {
		if t := f.get(f.edges[i%len(f.edges)], draftPath, tenantKey); t.status == 200 {
			served++
		} else {
			refused++
		}
	}
	f.rec.sayf("after each edge machine was stopped and started: %d of %d requests on the first route are served", served, served+refused)
	f.logLines("configuration not applied", 2)
	return broken > 0, nil
}

func split(name string, weight int) any {
	return map[string]any{"target_service": name, "weight": weight}
}

// get sends one request to a machine and returns how it ended.
func (f *fleet) get(m *machine, prefix, key string) *try {
	t := &try{id: newID(), path: prefix + "2f", key: key, deadline: 2500 * time.Millisecond}
	t.do(f.rec, m)
	return t
}

// readiness records what the edge machines answer to the platform's question.
func (f *fleet) readiness() {
	for _, m := range f.edges {
		ready, text := m.isReady()
		f.rec.sayf("%s: ready %v, %q", m.name, ready, text)
	}
}
