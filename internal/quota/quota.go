package quota

import "fmt"

// Claim is what one holder may reserve of a Quota.
type Claim struct {
	Guarantee int64 // nobody else can use up this much
	Max       int64 // upper bound; 0 = as much as there is
}

// Quota is a number of equal units that several holders reserve. Each holder has its guarantee for itself; what is beyond all
// guarantees is common, and goes to whoever comes first. So a holder at its limit takes nothing from another's guarantee, and
// with a single holder that is guaranteed everything a Quota is a plain counter.
type Quota struct {
	total     int64
	committed int64 // sum over the holders of the larger of what is reserved and what is guaranteed
	reserved  int64
	holders   map[int]*holder
}

type holder struct {
	Claim
	reserved int64
	ended    bool // without a claim: it is forgotten once nothing is reserved
}

func (h *holder) committed() int64 { return max(h.reserved, h.Guarantee) }

// New returns a quota of total units that nobody has a claim to.
func New(total int64) *Quota { return &Quota{total: total, holders: map[int]*holder{}} }

// Check reports whether all claims can be kept at once.
func Check(total int64, claims []Claim) error {
	var sum int64
	for _, c := range claims {
		switch {
		case c.Guarantee < 0 || c.Max < 0:
			return fmt.Errorf("guarantee %d, max %d: negative", c.Guarantee, c.Max)
		case c.Max > 0 && c.Max < c.Guarantee:
			return fmt.Errorf("guarantee %d is above max %d", c.Guarantee, c.Max)
		}
		sum += c.Guarantee
	}
	if sum > total {
		return fmt.Errorf("guarantees add up to %d of %d", sum, total)
	}
	return nil
}

// SetClaim gives a holder a claim, or another one than it had. What it has reserved stays; where that is more than the claim now
// allows it gets nothing until it has released enough.
func (q *Quota) SetClaim(id int, c Claim) {
	h := q.holders[id]
	if h == nil {
		h = &holder{}
		q.holders[id] = h
	}
	q.committed -= h.committed()
	h.Claim, h.ended = c, false
	q.committed += h.committed()
}

// EndClaim takes a holder's claim away. What it has reserved stays reserved until it is released.
func (q *Quota) EndClaim(id int) {
	h := q.holders[id]
	if h == nil {
		return
	}
	q.SetClaim(id, Claim{})
	h.ended = true
	q.removeIfUnused(id, h)
}

// Take reserves n units for a holder and reports whether it may have them. A holder without a claim takes from what is common.
func (q *Quota) Take(id int, n int64) bool {
	h := q.holders[id]
	if h == nil {
		h = &holder{ended: true}
		q.holders[id] = h
	}
	after := h.reserved + n
	committed := q.committed - h.committed() + max(after, h.Guarantee)
	// Within its guarantee a holder adds nothing to what is committed. After claims were changed more may be committed than there
	// is; then only what is really left counts for it.
	fits := committed <= q.total || after <= h.Guarantee
	if n < 0 || !fits || q.reserved+n > q.total || h.Max > 0 && after > h.Max {
		q.removeIfUnused(id, h)
		return false
	}
	h.reserved, q.reserved, q.committed = after, q.reserved+n, committed
	return true
}

// Release gives n units of a holder back; more than it has reserved is ignored.
func (q *Quota) Release(id int, n int64) {
	h := q.holders[id]
	if h == nil {
		return
	}
	n = min(n, h.reserved)
	q.committed -= h.committed()
	h.reserved -= n
	q.reserved -= n
	q.committed += h.committed()
	q.removeIfUnused(id, h)
}

func (q *Quota) removeIfUnused(id int, h *holder) {
	if h.ended && h.reserved == 0 {
		delete(q.holders, id)
	}
}

// Resize changes the total.
func (q *Quota) Resize(total int64) { q.total = total }

// Total returns the number of units.
func (q *Quota) Total() int64 { return q.total }

// Used returns the units that all holders have reserved.
func (q *Quota) Used() int64 { return q.reserved }

// Reserved returns the units that a holder has reserved.
func (q *Quota) Reserved(id int) int64 {
	if h := q.holders[id]; h != nil {
		return h.reserved
	}
	return 0
}

// Claim returns a holder's claim; the zero Claim if it has none.
func (q *Quota) Claim(id int) Claim {
	if h := q.holders[id]; h != nil {
		return h.Claim
	}
	return Claim{}
}

// IsOverGuarantee reports whether a holder has reserved more than its guarantee. What is beyond it is common, and may be
// reclaimed.
func (q *Quota) IsOverGuarantee(id int) bool {
	h := q.holders[id]
	return h != nil && h.reserved > h.Guarantee
}
