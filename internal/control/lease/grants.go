package lease

import "time"

// Grants is a voter's side of the lease. Times are those of the voter's steady clock.
type Grants struct {
	Duration  time.Duration
	StartedAt time.Duration // until StartedAt+Duration nothing is granted, unless NeverGranted
	// NeverGranted says that this voter cannot have granted a lease before its start.
	NeverGranted bool

	holder    uint64
	grantedAt time.Duration
	granted   bool
}

// Blocks reports whether a lease that was granted to another may still run.
func (g *Grants) Blocks(now time.Duration, candidate uint64) bool {
	if !g.granted {
		return !g.NeverGranted && now < g.StartedAt+g.Duration
	}
	return candidate != g.holder && now < g.grantedAt+g.Duration
}

// Grant starts or extends the lease of a holder, unless another's may still run, and reports whether it did. Two processes that
// both believe to be the holder, because one has not learned yet that another was agreed, cannot both get a majority of grants.
func (g *Grants) Grant(now time.Duration, holder uint64) bool {
	if g.Blocks(now, holder) {
		return false
	}
	g.holder, g.grantedAt, g.granted = holder, now, true
	return true
}

// Idle returns for how long no holder has been granted a lease here, counted from the start if none ever was.
func (g *Grants) Idle(now time.Duration) time.Duration {
	if !g.granted {
		return now - g.StartedAt
	}
	return now - g.grantedAt
}
