package check

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/replica"
)

// firstRevision is encoded in as many bytes as all revisions after it.
const firstRevision = 70_000

// encodedConfig returns a configuration of a revision.
func (w *catchUpSim) encodedConfig(revision uint64) []byte {
	c := map[string]any{"revision": revision, "services": []fleetconfig.Service{{Name: "s"}}, "later": w.padding}
	routes := make([]fleetconfig.Route, w.routes)
	for i := range routes {
		routes[i] = fleetconfig.Route{
			Name: fmt.Sprintf("route-%05d", i), Hostname: "a.example", PathPrefix: fmt.Sprintf("/p%05d/", i), Type: fleetconfig.RouteStreaming,
			TimeoutMS: 12000, TargetService: "s", MaxAttempts: 2,
		}
	}
	c["routes"] = routes
	b, err := cbor.Marshal(c)
	if err != nil {
		w.violate("%v", err)
	}
	return b
}

// startChange has the operator make changes, one after another, until goalRevision is reached. It tries one member after
// another until one confirms the change.
func (w *catchUpSim) startChange() {
	if w.ackedRevision >= w.goalRevision {
		w.after(w.changeInterval, w.startChange)
		return
	}
	revision, base, began := max(w.ackedRevision+1, firstRevision), w.ackedRevision, w.now
	config := w.encodedConfig(revision)
	isOver := false
	var send func(at int)
	send = func(at int) {
		m := w.replicas[at%w.members]
		isAnswered := false
		next := func(d time.Duration) {
			if !isAnswered && !isOver {
				isAnswered = true
				w.after(d, func() { send(at + 1) })
			}
		}
		if !m.isUp {
			next(5 * time.Millisecond)
			return
		}
		w.after(time.Second, func() { next(0) })
		m.enqueue(replica.ReplaceConfig{BaseRevision: base, Config: config, Deadline: w.now + 900*time.Millisecond, Request: m.answers.Add(func(r api.Result) {
			switch {
			case isOver:
			case r.Status == 200:
				isOver, w.ackedRevision, w.lastMember = true, revision, at
				w.slowestChange = max(w.slowestChange, w.now-began)
				w.after(max(began+w.changeInterval-w.now, time.Millisecond), w.startChange)
			case r.Status == 503:
				next(20 * time.Millisecond)
			default:
				w.violate("change to %d from %d is answered %d: %s", revision, base, r.Status, r.Message)
			}
		})})
	}
	if w.rotatesMembers {
		w.lastMember++
	}
	send(w.lastMember)
}

// makeChanges waits until n more changes are made; 0 = changes go on without end, and nothing is waited for.
func (w *catchUpSim) makeChanges(n uint64) {
	if w.goalRevision = max(w.ackedRevision, firstRevision-1) + n; n == 0 {
		w.goalRevision = 1 << 30
		return
	}
	timeout := time.Duration(n) * time.Second
	if _, ok := w.runUntil(timeout, func() bool { return w.ackedRevision >= w.goalRevision }); !ok {
		w.violate("%d changes are not made in %v: revision %d is acknowledged", n, timeout, w.ackedRevision)
	}
}

// readConfig has the operator read the configuration at a member, again until it is answered; then done is called.
func (w *catchUpSim) readConfig(m *simReplica, done func()) {
	minRevision, incarnation := w.ackedRevision, m.incarnation
	m.enqueue(replica.ReadConfig{Deadline: w.now + 900*time.Millisecond, Request: m.answers.Add(func(r api.Result) {
		switch {
		case r.Status == 200 && r.Revision < minRevision:
			w.violate("member %d reads revision %d, and %d was acknowledged before", m.position, r.Revision, minRevision)
		case r.Status == 200:
			done()
		case m.incarnation == incarnation:
			w.after(50*time.Millisecond, func() { w.readConfig(m, done) })
		}
	})})
}
