// Package pool decides what several pools of one process owe each other where they share boxes (issuer hosts): a drain
// that one pool's discovery tells, a connection that one pool sees reset, and the pace at which a box that started
// lately is asked. It owns no module, no line and no list; it is told what each pool is told, and answers what others
// must hear. It does no I/O and is given the time. It is not safe for concurrent use.
//
// Two entries are of one box where name and address agree: two teams may well call a box alike, and two boxes may
// follow each other at one address.
package pool

import (
	"time"

	"notchhinge/policy"
)

// ID numbers a pool. No two pools of a process ever have the same, one after the other included.
type ID int

// Box is the identity of a box.
type Box struct{ Name, Dial string }

// Told is what a pool's list says of a box.
type Told struct {
	Replica policy.ReplicaID // the box's number in that pool
	State   policy.State
	BornAt  time.Duration
	// Left: the box is Gone from the pool, which says nothing of the box itself: a selection was changed, or a whole
	// list does not name it any more.
	Left bool
}

// Word is what another pool's module must hear.
type Word struct {
	Pool    ID
	Replica policy.ReplicaID
	State   policy.State // Ready where an end was taken back
}

// Seat is a pool's place at a box.
type Seat struct {
	Pool    ID
	Replica policy.ReplicaID
}

// Boxes is the record of all boxes of all pools. Boxes that only one pool has cost an entry and nothing else.
type Boxes struct {
	all     map[Box]*record
	overlap time.Duration // so long a drain told by one pool stands against another's list that says Ready
}

type record struct {
	seats []seat
	ended policy.State  // Ready, or what a pool was told of the end of the latest process that ended
	endOf time.Duration // when that was born
	endAt time.Duration // when it was told
	endBy ID            // to whom
	cold  allowance
}

type seat struct {
	Seat
	state policy.State // as its own list has it
	seen  policy.State // as its module sees it
	born  time.Duration
}

// NewBoxes returns a record of none. overlap is how long a drain told by one pool stands against another pool's list.
func NewBoxes(overlap time.Duration) *Boxes { return &Boxes{all: map[Box]*record{}, overlap: overlap} }

// Len is how many boxes there are.
func (b *Boxes) Len() int { return len(b.all) }

// Told takes what a pool's list says. It returns the state in which the pool's own module must see the box, and what
// the modules of other pools must hear. Both stop: within the time that the first of them was told.
func (b *Boxes) Told(now time.Duration, from ID, box Box, t Told) (policy.State, []Word) {
	r := b.all[box]
	if r == nil {
		if t.State == policy.Gone {
			return t.State, nil
		}
		r = &record{}
		b.all[box] = r
	}
	at := r.seat(from)
	if t.State == policy.Gone {
		if at < 0 {
			return t.State, nil
		}
		seen := r.seats[at]
		r.seats = append(r.seats[:at:at], r.seats[at+1:]...)
		if len(r.seats) == 0 {
			delete(b.all, box)
			return t.State, nil
		}
		if t.Left {
			return t.State, nil
		}
		return t.State, r.end(now, from, policy.Gone, seen.born)
	}
	if at < 0 {
		at = len(r.seats)
		r.seats = append(r.seats, seat{})
	}
	s := &r.seats[at]
	*s = seat{Seat{from, t.Replica}, t.State, t.State, t.BornAt}
	switch {
	case t.State == policy.Draining:
		return t.State, r.end(now, from, policy.Draining, t.BornAt)
	case r.ended == policy.Ready:
	case t.BornAt > r.endOf: // another process than the one that ended
		r.ended = policy.Ready
	case r.endBy == from: // taken back by whom it came from
		r.ended = policy.Ready
		return policy.Ready, r.tell(from, policy.Ready, r.endOf)
	case now-r.endAt > b.overlap: // its discovery had long enough to learn what the other's knew
		r.ended = policy.Ready
	default:
		s.seen = r.ended
		return r.ended, nil
	}
	return policy.Ready, nil
}

// end notes that the process born at born ends, and tells the pools that still think it ready.
func (r *record) end(now time.Duration, from ID, state policy.State, born time.Duration) []Word {
	known := r.ended != policy.Ready && (r.endOf > born || r.endOf == born && r.ended >= state)
	if !known {
		r.ended, r.endOf, r.endAt, r.endBy = state, born, now, from
	} else if r.endOf == born {
		return nil // all have heard it
	}
	return r.tell(from, state, born)
}

// tell lists the other pools that must hear of an end of the process born at born, or of its being taken back: those
// whose lists have it, or one before it, and think better of it.
func (r *record) tell(from ID, state policy.State, born time.Duration) (words []Word) {
	for i := range r.seats {
		s := &r.seats[i]
		back := state == policy.Ready && s.state == policy.Ready && s.seen != policy.Ready
		if s.Pool != from && s.born <= born && (s.seen < state || back) {
			s.seen = state
			words = append(words, Word{s.Pool, s.Replica, state})
		}
	}
	return words
}

func (r *record) seat(of ID) int {
	for i := range r.seats {
		if r.seats[i].Pool == of {
			return i
		}
	}
	return -1
}

// Leave forgets a pool.
func (b *Boxes) Leave(of ID) {
	for box, r := range b.all {
		if at := r.seat(of); at >= 0 {
			if r.seats = append(r.seats[:at:at], r.seats[at+1:]...); len(r.seats) == 0 {
				delete(b.all, box)
			}
		}
	}
}

// Others appends the other pools that have a box to to.
func (b *Boxes) Others(to []Seat, of ID, box Box) []Seat {
	r := b.all[box]
	if r == nil || len(r.seats) < 2 {
		return to
	}
	for i := range r.seats {
		if r.seats[i].Pool != of {
			to = append(to, r.seats[i].Seat)
		}
	}
	return to
}

// Shared tells whether more pools than one have a box.
func (b *Boxes) Shared(box Box) bool {
	r := b.all[box]
	return r != nil && len(r.seats) > 1
}

// allowance is how much a box that is cold may still be sent, by all pools together.
type allowance struct {
	of    time.Duration // birth of the process it is for
	saved float64
	seen  map[ID]float64 // requests that had come to a pool when it was last reckoned
}

// Traffic is what a pool has seen.
type Traffic struct {
	Pool    ID
	Arrived float64 // requests so far
	Usual   float64 // boxes that share them
	Share   float64 // of its usual traffic that the box may have now, from 0 to 1
}

// MaySend takes a request out of the allowance of a cold box that several pools share, and tells whether it may be sent.
// Each pool's module keeps to a box's share of that pool's traffic; the allowance grows by the sum of these, and one
// request at the most is saved up for all pools together, as it is for one. traffic is of every pool that has the box.
func (b *Boxes) MaySend(box Box, born time.Duration, traffic []Traffic) bool {
	r := b.all[box]
	if r == nil || len(r.seats) < 2 {
		return true
	}
	c := &r.cold
	if c.seen == nil || c.of != born {
		*c = allowance{of: born, seen: map[ID]float64{}}
		for _, t := range traffic {
			c.seen[t.Pool] = t.Arrived
		}
	}
	for _, t := range traffic {
		if before, ok := c.seen[t.Pool]; ok {
			c.saved += min(max(t.Share, 0), 1) * max(t.Arrived-before, 0) / max(t.Usual, 1)
		}
		c.seen[t.Pool] = t.Arrived
	}
	c.saved = min(c.saved, 1)
	if c.saved < 1 {
		return false
	}
	c.saved--
	return true
}

// Warmth is the share of its usual traffic that a box may have so long after its start: from from on it grows evenly
// until it is whole after warmUp. It is the module's rule.
func Warmth(age, warmUp time.Duration, from float64) float64 {
	if warmUp <= 0 || age >= warmUp {
		return 1
	}
	return from + (1-from)*max(float64(age)/float64(warmUp), 0)
}
