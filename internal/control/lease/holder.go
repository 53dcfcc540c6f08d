package lease

import "time"

// Holder is the holder's side of the lease. Times are on the holder's steady clock.
type Holder struct {
	Duration time.Duration
	Margin   time.Duration // how long before the end of the lease the holder stops
	until    time.Duration
}

// Extend records that a majority granted the lease that was requested at requestedAt.
func (h *Holder) Extend(requestedAt time.Duration) {
	h.until = max(h.until, requestedAt+h.Duration-h.Margin)
}

// Remaining returns how long the holder may still act. It may not act if the result is zero or negative.
func (h *Holder) Remaining(now time.Duration) time.Duration { return h.until - now }
