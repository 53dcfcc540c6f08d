package retrybudget

import "time"

// slotCount is how many slots of time a Budget remembers. A window has half as many.
const slotCount = 64

// Budget is one router's part of the retry budget. In every window it allows Ratio retries for each request that arrived here,
// and Allowance retries beyond that. Time is divided into slots, and a slot counts for as long as any of it is in the window. It
// is not safe for concurrent use.
type Budget struct {
	Ratio     float64       // retries for each request that arrived here: half of the ratio that holds for all routers
	Allowance float64       // this router's share of what is allowed beyond the ratio
	Window    time.Duration // sliding
	slots     [slotCount]slot
}

// slot counts what happened in one slot of time.
type slot struct {
	number            int64
	requests, retries float64
}

// slotAt returns the slot of a time, emptied if it was of an earlier one.
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

// TryTake takes one retry out of the budget and reports whether there was one.
func (b *Budget) TryTake(now time.Duration) bool {
	current := b.slotAt(now)
	var requests, retries float64
	for i := range b.slots {
		// Retries count for a slot longer than the window, requests only while they are in it for certain.
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
