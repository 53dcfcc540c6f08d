package paxos

import "time"

const (
	backoffBase         = 10 * time.Millisecond
	maxBackoffDoublings = 4 // limits the bound to 160 ms
)

// Backoff returns the delay of a preempted proposer before its next proposal. It is uniformly random below a bound of
// 10 ms that doubles with each attempt (0 = the first) up to 160 ms. draw returns a random number in [0, n).
//
// The first delays are short because most values are small. The last bound leaves time for one large value to be
// accepted.
func Backoff(draw func(n int64) int64, attempt int) time.Duration {
	return time.Duration(draw(int64(backoffBase) << min(attempt, maxBackoffDoublings)))
}
