package lease

import "time"

// Holder is the holder's side of the lease. The zero time is before any lease.
type Holder struct {
	Duration time.Duration
	Margin   time.Duration // the holder stops so much before any voter would grant a lease to another
	until    time.Duration
}

// Extend notes that a majority has granted what was requested at a time of the holder's steady clock.
func (h *Holder) Extend(requestedAt time.Duration) {
	h.until = max(h.until, requestedAt+h.Duration-h.Margin)
}

// Remaining returns for how long the holder may still act; zero or less is not at all.
func (h *Holder) Remaining(now time.Duration) time.Duration { return h.until - now }
