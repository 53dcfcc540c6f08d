package reconcile

import (
	"math"
	"time"

	"notchhinge/internal/config/operatorconfig"
	"notchhinge/internal/limits"
	"notchhinge/internal/quota"
)

// minTurnWeight keeps a pool without a guarantee from being starved of event loop time.
const minTurnWeight = 0.01

// guaranteedShares returns each pool's guaranteed share of the process's limits, from 0 to 1: the share that the file sets, and for
// each other pool an equal part of half of the remainder. The other half is shared by all pools.
func guaranteedShares(pools []operatorconfig.Pool) []float64 {
	shares := make([]float64, len(pools))
	remaining, unset := 1.0, 0
	for i, p := range pools {
		if p.Limits != nil && p.Limits.Guarantee != nil {
			shares[i] = *p.Limits.Guarantee
			remaining -= shares[i]
		} else {
			unset++
		}
	}
	for i, p := range pools {
		if p.Limits == nil || p.Limits.Guarantee == nil {
			shares[i] = max(remaining, 0) / 2 / float64(unset)
		}
	}
	return shares
}

// setQuotas sets the pool's quotas of the process's limits. s may be nil.
func (pool *Pool) setQuotas(l *limits.Limits, s *operatorconfig.PoolLimits, guarantee float64) {
	if s == nil {
		s = &operatorconfig.PoolLimits{}
	}
	pool.MaxAttempts, pool.TurnWeight = s.MaxAttempts, max(guarantee, minTurnWeight)
	pool.RetryAfter = l.OverloadRetryAfter
	setIfGiven(&pool.RetryAfter, (*time.Duration)(s.RetryAfter))
	maxShare := 1.0
	setIfGiven(&maxShare, s.MaxShare)

	// claim returns the pool's quota of a total. bound is the absolute maximum that the file sets; 0 = none.
	claim := func(total, bound int64) quota.Claim {
		c := quota.Claim{Guarantee: int64(guarantee * float64(total)), Max: max(int64(math.Ceil(maxShare*float64(total))), 1)}
		if bound > 0 {
			c.Max = min(c.Max, bound)
		}
		c.Guarantee = min(c.Guarantee, c.Max)
		return c
	}
	pool.RequestQuota = claim(int64(l.ConcurrentRequests), int64(s.MaxRequests))
	pool.UpstreamConnQuota = claim(int64(l.UpstreamConns), int64(s.MaxUpstreamConns))
	pool.BodyQuota = claim(l.TotalBodyBytes, int64(s.MaxBodyMB)<<20)
	pool.ClientConnQuota = claim(int64(l.ClientConns), 0)
}
