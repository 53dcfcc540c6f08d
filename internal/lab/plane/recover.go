package plane

import (
	"time"

	"notchhinge/internal/control/endpoints"
)

// Recovery is how long after all machines have their power again each part is back. What was not back within a minute is
// minus one.
type Recovery struct {
	QuorumContact time.Duration // every keeper is in touch with a majority
	HalfKnown     time.Duration // half of the engines are known as ready, at a mean router
	MostKnown     time.Duration // 95% of them
	AllKnown      time.Duration // all, at all routers
	ConfigAcked   time.Duration // a configuration is acknowledged that was sent as power came back
	HolderActive  time.Duration // the platform has heard of a holder
}

// MeasureRecovery plays a quiet day on which all machines lose their power at one moment, for so long, with the engines at work
// throughout, and tells how long it takes until all is as before.
func (d *Scenario) MeasureRecovery(down time.Duration) Recovery {
	w := newWorld(d, "")
	w.begin()
	w.run(lead + d.Length)
	w.strike(&Fault{Kind: Dark, For: down})
	acts := func() (n int) {
		for _, a := range w.platform.accepted {
			n += len(a)
		}
		return n + len(w.platform.usage)
	}
	w.run(w.now + down)
	back, before := w.now, acts()
	sent := w.change(w.newest, d.Replicas)
	r := Recovery{-1, -1, -1, -1, -1, -1}
	note := func(at *time.Duration, is bool) {
		if is && *at < 0 {
			*at = w.now - back
		}
	}
	for w.now-back < time.Minute && (r.QuorumContact < 0 || r.AllKnown < 0 || r.ConfigAcked < 0 || r.HolderActive < 0) {
		w.run(w.now + 20*time.Millisecond)
		touch, known := true, 0
		for _, m := range w.machines {
			if m.keeper {
				_, ok := m.news.Gossip.QuorumContact()
				touch = touch && ok
				continue
			}
			for e := range m.news.Endpoints.All() {
				if e.State == endpoints.StateReady && !e.Suspect {
					known++
				}
			}
		}
		all := d.Routers * d.Engines
		note(&r.QuorumContact, touch)
		note(&r.HalfKnown, 2*known >= all)
		note(&r.MostKnown, 100*known >= 95*all)
		note(&r.AllKnown, known >= all)
		note(&r.ConfigAcked, sent != nil && sent.acked)
		note(&r.HolderActive, acts() > before)
	}
	return r
}
