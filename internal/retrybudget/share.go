package retrybudget

import (
	"time"

	"notchhinge/internal/limits"
)

// Share is one router's share of the retries that all routers may have beyond the ratio. The replica that holds the singleton
// lease counts the incarnations of routers and reports the number to each router that asks.
//
// The shares are safe by time alone:
//   - A report is valid for Validity from when it was asked for. A router without a valid report falls back to Initial.
//   - An incarnation uses a report only after it has been counted for Validity and half a window, so that every other report in
//     force counts it, too. So at most two incarnations of a router use their shares within one window.
//   - A replica that begins to count reports nothing for CountingPeriod, until all that it cannot have heard of has left the
//     window, and counts every incarnation heard of within CountingPeriod.
type Share struct {
	Total    float64       // retries of all routers together in a window
	Initial  float64       // share of a router without a valid report
	Window   time.Duration // of the budget
	Validity time.Duration // of a report; at most half a window

	hasReport    bool
	firstReport  time.Duration // when the first of the reports that followed one another without a gap came
	askedAt      time.Duration // when the report in force was asked for
	incarnations int           // of routers, by that report
}

// Update takes in a report: the number of incarnations of routers, in answer to a question that was asked at askedAt. A number of
// 0 means that the replica cannot say, and is ignored, as is an answer to an earlier question than the one in force.
func (s *Share) Update(askedAt, now time.Duration, incarnations int) {
	if incarnations < 1 || s.hasReport && askedAt < s.askedAt {
		return
	}
	if !s.hasReport || askedAt > s.askedAt+s.Validity {
		s.hasReport, s.firstReport = true, now // this incarnation may have been forgotten in between
	}
	s.askedAt, s.incarnations = askedAt, incarnations
}

// Allowance returns the share at a time.
func (s *Share) Allowance(now time.Duration) float64 {
	if !s.hasReport || now >= s.askedAt+s.Validity || now < s.firstReport+s.Window/2 {
		return s.Initial
	}
	return max(s.Total/limits.RetryShares(s.incarnations), s.Initial)
}

// CountingPeriod returns how long an incarnation counts after it was last heard of, and for how long a replica that begins to
// count reports nothing.
func CountingPeriod(window, validity time.Duration) time.Duration { return window + validity }
