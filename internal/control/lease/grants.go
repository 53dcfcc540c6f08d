package lease

import "time"

// Grants is a voter's side of the lease. Times are on the voter's steady clock.
type Grants struct {
	Duration  time.Duration
	StartedAt time.Duration // no lease is granted before StartedAt+Duration, unless NeverGranted is set
	// NeverGranted means that this voter cannot have granted a lease before its start.
	NeverGranted bool

	holder    uint64
	grantedAt time.Duration
	granted   bool
}

// Blocks reports whether a lease of a holder other than the candidate may still be valid.
func (g *Grants) Blocks(now time.Duration, candidate uint64) bool {
	if !g.granted {
		return !g.NeverGranted && now < g.StartedAt+g.Duration
	}
	return candidate != g.holder && now < g.grantedAt+g.Duration
}

// Grant starts or extends the lease of holder and reports whether it did. It rejects the request if the lease of another holder may
// still be valid. Two processes may both consider themselves the holder while one has not learned of a new election, but only one of
// them can have leases from a majority.
func (g *Grants) Grant(now time.Duration, holder uint64) bool {
	if g.Blocks(now, holder) {
		return false
	}
	g.holder, g.grantedAt, g.granted = holder, now, true
	return true
}

// Idle returns the time since the last grant, or since the start if there was none.
func (g *Grants) Idle(now time.Duration) time.Duration {
	if !g.granted {
		return now - g.StartedAt
	}
	return now - g.grantedAt
}
