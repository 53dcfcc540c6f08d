package retrybudget

import (
	"time"

	"notchhinge/internal/limits"
)

// Share is one router's share of the retries that all routers may send beyond the ratio. The replica that holds the singleton lease
// counts the incarnations of routers and reports their number to each router that requests it.
//
// These rules keep the sum of the shares within the total:
//   - A report is valid for Validity from the time of the request for it. A router without a valid report falls back to Initial.
//   - An incarnation uses reports only after it has received valid ones for half a window, so that every other report in use counts
//     it, too. At most two incarnations of a router therefore use their shares within one window.
//   - A replica that starts to count reports nothing for CountingPeriod, until the retries of incarnations unknown to it have left
//     the window. It counts every incarnation that it heard from within CountingPeriod.
type Share struct {
	Total    float64       // retries of all routers together within a window
	Initial  float64       // share of a router without a valid report
	Window   time.Duration // window of the budget
	Validity time.Duration // validity period of a report; at most half a window

	hasReport    bool
	firstReport  time.Duration // arrival of the first report since the last gap in validity
	askedAt      time.Duration // time of the request for the current report
	incarnations int           // incarnations of routers, by the current report
}

// Update applies a report of the number of incarnations of routers that was requested at askedAt. It ignores 0, by which a replica
// reports that it does not know the number, and a report that was requested before the current one.
func (s *Share) Update(askedAt, now time.Duration, incarnations int) {
	if incarnations < 1 || s.hasReport && askedAt < s.askedAt {
		return
	}
	if !s.hasReport || askedAt > s.askedAt+s.Validity {
		s.hasReport, s.firstReport = true, now // after a gap, the replicas may no longer count this incarnation
	}
	s.askedAt, s.incarnations = askedAt, incarnations
}

// Allowance returns the number of retries that this router may send within a window, as of now.
func (s *Share) Allowance(now time.Duration) float64 {
	if !s.hasReport || now >= s.askedAt+s.Validity || now < s.firstReport+s.Window/2 {
		return s.Initial
	}
	return max(s.Total/limits.RetryShares(s.incarnations), s.Initial)
}

// CountingPeriod returns how long a replica counts an incarnation after its last request, and how long a replica that starts to
// count reports nothing.
func CountingPeriod(window, validity time.Duration) time.Duration { return window + validity }
