package share

import "time"

// Repeats is one router's part of a budget for sending requests again that all routers share. In every window it allows a
// share of the requests that came here, and its part of what is allowed beyond that: the parts of all routers add up to no
// more than the whole, whoever is cut off, and nobody has to ask. Time is cut into slots, and a slot counts for as long as
// any of it is in the window.
type Repeats struct {
	Ratio  float64       // of the requests here: half of the whole's, since traffic may fall while a window slides past it
	Extra  float64       // this router's part
	Window time.Duration // it slides
	slots  [repeatSlots]repeatSlot
}

const repeatSlots = 64

type repeatSlot struct {
	number        int64
	seen, repeats float64
}

func (r *Repeats) slot(now time.Duration) *repeatSlot {
	n := int64(now) / (int64(r.Window) / (repeatSlots / 2))
	s := &r.slots[n%repeatSlots]
	if s.number != n {
		*s = repeatSlot{number: n}
	}
	return s
}

// Saw counts a request.
func (r *Repeats) Saw(now time.Duration) { r.slot(now).seen++ }

// Take takes leave to send one again, if there is any.
func (r *Repeats) Take(now time.Duration) bool {
	s := r.slot(now)
	var seen, repeats float64
	for i := range r.slots {
		// Repeats count for a slot longer than the window, requests for as long as they are surely in it.
		switch age := s.number - r.slots[i].number; {
		case age < 0 || age > repeatSlots/2:
		case age == repeatSlots/2:
			repeats += r.slots[i].repeats
		default:
			repeats += r.slots[i].repeats
			seen += r.slots[i].seen
		}
	}
	if repeats+1 > r.Ratio*seen+r.Extra {
		return false
	}
	s.repeats++
	return true
}
