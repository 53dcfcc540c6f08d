package paxos

import "time"

const (
	backoffBase         = 10 * time.Millisecond
	maxBackoffDoublings = 4 // at most so many doublings: 160 ms
)

// Backoff returns how long a preempted proposer waits before its next proposal: uniformly random below 10 ms, a bound that
// doubles with each attempt (0 = the first) up to 160 ms. draw returns a random number in [0, n).
//
// The first waits are short since most values are small; the last bound leaves time for one large value to be accepted
// (measured in internal/lab/contend).
func Backoff(draw func(n int64) int64, attempt int) time.Duration {
	return time.Duration(draw(int64(backoffBase) << min(attempt, maxBackoffDoublings)))
}
