package retrybudget

import "time"

// slotCount is the number of time slots that a Budget holds. A window spans half of them.
const slotCount = 64

// Budget is one router's part of the retry budget. In every sliding window it allows Ratio retries for each request that arrived at
// this router, and Allowance further ones. Requests and retries are counted in time slots. It is not safe for concurrent use.
type Budget struct {
	Ratio     float64       // retries for each request that arrived here: half of the fleet's ratio
	Allowance float64       // this router's share of the retries allowed beyond the ratio
	Window    time.Duration // length of the sliding window
	slots     [slotCount]slot
}

// slot counts the requests and retries of one time slot.
type slot struct {
	number            int64
	requests, retries float64
}

// slotAt returns the slot of a time, and clears it if its counts are of an earlier time.
func (b *Budget) slotAt(now time.Duration) *slot {
	number := int64(now) / (int64(b.Window) / (slotCount / 2))
	s := &b.slots[number%slotCount]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

// CountRequest counts a request that arrived.
func (b *Budget) CountRequest(now time.Duration) { b.slotAt(now).requests++ }

// TryTake takes one retry out of the budget and reports whether one was available.
func (b *Budget) TryTake(now time.Duration) bool {
	current := b.slotAt(now)
	var requests, retries float64
	for i := range b.slots {
		// To err on the safe side, retries count until their slot has left the window, but requests only while their whole slot is
		// in it.
		age := current.number - b.slots[i].number
		if age < 0 || age > slotCount/2 {
			continue
		}
		retries += b.slots[i].retries
		if age < slotCount/2 {
			requests += b.slots[i].requests
		}
	}
	if retries+1 > b.Ratio*requests+b.Allowance {
		return false
	}
	current.retries++
	return true
}
