package share

import (
	"time"

	"notchhinge/internal/limits"
)

// Part is what one router may have of the extra of a budget that all routers share, by the words of the one who counts their
// lives: whoever holds the duties. It is safe by time alone. A word holds for Hold from when it was asked for; a router that hears
// none goes back to First. A life uses no word before it has been counted for so long that every other word in force counts
// it too, and half a window, so that at most two lives of each router have used their parts within one. Who counts
// says nothing until all that it cannot have heard of has left the window, and counts who was heard within a window and
// Hold. All times are one process's steady clock.
type Part struct {
	Whole  float64 // of all routers
	First  float64 // of one that knows no better
	Window time.Duration
	Hold   time.Duration // at most half a window
	told   bool          // there has been a word
	since  time.Duration // the first one came
	asked  time.Duration // for the word in force
	lives  int
}

// Told takes in a word to a question of a time: so many lives of routers; 0 = who was asked cannot say.
func (p *Part) Told(asked, now time.Duration, lives int) {
	if lives < 1 || p.told && asked < p.asked {
		return
	}
	if !p.told || asked > p.asked+p.Hold {
		p.told, p.since = true, now // in between it may have been forgotten
	}
	p.asked, p.lives = asked, lives
}

// At tells the part at a time.
func (p *Part) At(now time.Duration) float64 {
	if !p.told || now >= p.asked+p.Hold || now < p.since+p.Window/2 {
		return p.First
	}
	return max(p.Whole/limits.RetryShares(p.lives), p.First)
}

// Counts tells for how long a life counts after it was last heard of, and how long who begins to count says nothing.
func Counts(window, hold time.Duration) time.Duration { return window + hold }
