// Package share divides what a process has only so much of between its pools: descriptors, bytes of bodies, places for
// open requests, and turns of the one loop. It owns the arithmetic and its promises, and does no I/O; the stocks
// themselves are their users'. Nothing here is safe for concurrent use.
package share

import "fmt"

// Claim is what one holder may have of a stock.
type Claim struct {
	Guarantee int64 // so much nobody else can use up
	Most      int64 // and no more than this; 0 = as much as there is
}

// Stock is a number of equal things that several holders use. Each holder has its guarantee for itself; what is beyond
// all guarantees is common, and whoever comes first has it. So a holder at its limit keeps none from another's
// guarantee, and with a single holder that is guaranteed all there is, a Stock is a plain counter.
type Stock struct {
	total   int64
	spoken  int64 // sum over holders of the larger of what is held and what is guaranteed
	held    int64
	holders map[int]*holder
}

type holder struct {
	Claim
	held int64
	gone bool
}

// New returns a stock that nobody has a claim to.
func New(total int64) *Stock { return &Stock{total: total, holders: map[int]*holder{}} }

// Check says whether claims can be kept all at once.
func Check(total int64, claims []Claim) error {
	var sum int64
	for _, c := range claims {
		switch {
		case c.Guarantee < 0 || c.Most < 0:
			return fmt.Errorf("a guarantee of %d and a most of %d: 0 or more are wanted", c.Guarantee, c.Most)
		case c.Most > 0 && c.Most < c.Guarantee:
			return fmt.Errorf("a guarantee of %d is above the most, %d", c.Guarantee, c.Most)
		}
		sum += c.Guarantee
	}
	if sum > total {
		return fmt.Errorf("guarantees add up to %d; there are %d", sum, total)
	}
	return nil
}

func (h *holder) spoken() int64 { return max(h.held, h.Guarantee) }

// Set gives a holder its claim, or another one than it had. What it holds stays; where that is more than it may now
// have it gets no more until it has given enough back.
func (s *Stock) Set(id int, c Claim) {
	h := s.holders[id]
	if h == nil {
		h = &holder{}
		s.holders[id] = h
	}
	s.spoken -= h.spoken()
	h.Claim, h.gone = c, false
	s.spoken += h.spoken()
}

// End takes a holder's claim away. What it holds is its until it is given back.
func (s *Stock) End(id int) {
	h := s.holders[id]
	if h == nil {
		return
	}
	s.Set(id, Claim{})
	if h.gone = true; h.held == 0 {
		delete(s.holders, id)
	}
}

// Take has a holder take n, if it may. A holder without a claim has a part in what is common.
func (s *Stock) Take(id int, n int64) bool {
	h := s.holders[id]
	if h == nil {
		h = &holder{gone: true}
		s.holders[id] = h
	}
	after := h.held + n
	spoken := s.spoken - h.spoken() + max(after, h.Guarantee)
	// Within its guarantee a holder adds nothing to what is spoken for. After claims were changed more may be spoken
	// for than there is; then only what is really there counts for it.
	fits := spoken <= s.total || after <= h.Guarantee
	if n < 0 || !fits || s.held+n > s.total || h.Most > 0 && after > h.Most {
		if h.gone && h.held == 0 {
			delete(s.holders, id)
		}
		return false
	}
	h.held, s.held, s.spoken = after, s.held+n, spoken
	return true
}

// Give has a holder give n back; more than it holds is not taken.
func (s *Stock) Give(id int, n int64) {
	h := s.holders[id]
	if h == nil {
		return
	}
	n = min(n, h.held)
	s.spoken -= h.spoken()
	h.held -= n
	s.held -= n
	s.spoken += h.spoken()
	if h.gone && h.held == 0 {
		delete(s.holders, id)
	}
}

// Resize changes how much there is.
func (s *Stock) Resize(total int64) { s.total = total }

// Total is how much there is.
func (s *Stock) Total() int64 { return s.total }

// Used is what all holders have.
func (s *Stock) Used() int64 { return s.held }

// Held is what a holder has.
func (s *Stock) Held(id int) int64 {
	if h := s.holders[id]; h != nil {
		return h.held
	}
	return 0
}

// Claim is what a holder may have.
func (s *Stock) Claim(id int) Claim {
	if h := s.holders[id]; h != nil {
		return h.Claim
	}
	return Claim{}
}

// Over tells whether a holder has more than its guarantee: what it has beyond is common, and may be asked back.
func (s *Stock) Over(id int) bool {
	h := s.holders[id]
	return h != nil && h.held > h.Guarantee
}
