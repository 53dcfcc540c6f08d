package plane

import (
	"time"

	"notchhinge/internal/control/endpoints"
)

// Recovery is the time from the return of power until each part works again. -1 = not within a minute.
type Recovery struct {
	QuorumContact time.Duration // every replica has contact with a quorum
	HalfKnown     time.Duration // half of the engines are known as ready, over all routers
	MostKnown     time.Duration // 95% of the engines are known as ready, over all routers
	AllKnown      time.Duration // all engines are known as ready at all routers
	ConfigAcked   time.Duration // a configuration that was sent when power returned is acknowledged
	HolderActive  time.Duration // a lease holder has called the platform
}

// MeasureRecovery simulates the scenario followed by a power loss of all machines, while engines keep running, and measures
// the recovery.
func (s *Scenario) MeasureRecovery(down time.Duration) Recovery {
	w := newWorld(s, "")
	w.start()
	w.advance(warmUpTime + s.Length)
	w.inject(&Fault{Kind: PowerLoss, For: down})
	platformCalls := func() (n int) {
		for _, a := range w.platform.accepted {
			n += len(a)
		}
		return n + len(w.platform.usage)
	}
	w.advance(w.now + down)
	restoredAt, before := w.now, platformCalls()
	sent := w.submitNext(w.ackedRevision, s.Replicas)
	r := Recovery{-1, -1, -1, -1, -1, -1}
	note := func(at *time.Duration, is bool) {
		if is && *at < 0 {
			*at = w.now - restoredAt
		}
	}
	for w.now-restoredAt < time.Minute && (r.QuorumContact < 0 || r.AllKnown < 0 || r.ConfigAcked < 0 || r.HolderActive < 0) {
		w.advance(w.now + 20*time.Millisecond)
		inContact, known := true, 0
		for _, m := range w.machines {
			if m.isReplica {
				_, ok := m.discovery.Gossip.QuorumContact()
				inContact = inContact && ok
				continue
			}
			for e := range m.discovery.Endpoints.All() {
				if e.State == endpoints.StateReady && !e.Suspect {
					known++
				}
			}
		}
		all := s.Routers * s.Engines
		note(&r.QuorumContact, inContact)
		note(&r.HalfKnown, 2*known >= all)
		note(&r.MostKnown, 100*known >= 95*all)
		note(&r.AllKnown, known >= all)
		note(&r.ConfigAcked, sent != nil && sent.acked)
		note(&r.HolderActive, platformCalls() > before)
	}
	return r
}
