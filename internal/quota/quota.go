package quota

import "fmt"

// Claim bounds the units that one holder may reserve of a Quota.
type Claim struct {
	Guarantee int64 // units that no other holder can take
	Max       int64 // upper bound; 0 = the total
}

// Quota is a number of equal units that several holders reserve. Each holder has its guarantee to itself. Units beyond all
// guarantees are shared, and are reserved first come, first served. With a single holder whose guarantee is the total, a Quota is
// a plain counter.
type Quota struct {
	total     int64
	committed int64 // sum over the holders of the larger of what is reserved and what is guaranteed
	reserved  int64
	holders   map[int]*holder
}

// holder is the claim of one holder and what it has reserved.
type holder struct {
	Claim
	reserved int64
	ended    bool // has no claim; removed once nothing is reserved
}

// committed returns the units that are unavailable to other holders.
func (h *holder) committed() int64 { return max(h.reserved, h.Guarantee) }

// New returns a quota of total units without claims.
func New(total int64) *Quota { return &Quota{total: total, holders: map[int]*holder{}} }

// Check returns an error if the claims are invalid, or if their guarantees exceed the total.
func Check(total int64, claims []Claim) error {
	var sum int64
	for _, c := range claims {
		switch {
		case c.Guarantee < 0 || c.Max < 0:
			return fmt.Errorf("guarantee %d and max %d must not be negative", c.Guarantee, c.Max)
		case c.Max > 0 && c.Max < c.Guarantee:
			return fmt.Errorf("guarantee %d is above max %d", c.Guarantee, c.Max)
		}
		sum += c.Guarantee
	}
	if sum > total {
		return fmt.Errorf("guarantees add up to %d, more than the total of %d", sum, total)
	}
	return nil
}

// SetClaim sets the claim of a holder. Its reserved units stay reserved; if they exceed the new claim, it gets no further ones until
// it has released enough.
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

// EndClaim removes a holder's claim. Its reserved units stay reserved until they are released.
func (q *Quota) EndClaim(id int) {
	h := q.holders[id]
	if h == nil {
		return
	}
	q.SetClaim(id, Claim{})
	h.ended = true
	q.removeIfUnused(id, h)
}

// Take reserves n units for a holder and reports whether that succeeded. A holder without a claim takes shared units.
func (q *Quota) Take(id int, n int64) bool {
	h := q.holders[id]
	if h == nil {
		h = &holder{ended: true}
		q.holders[id] = h
	}
	after := h.reserved + n
	committed := q.committed - h.committed() + max(after, h.Guarantee)
	// Within its guarantee a holder does not add to the committed units. After a change of claims more units may be committed than
	// exist; then only the units that are still free limit it.
	fits := committed <= q.total || after <= h.Guarantee
	if n < 0 || !fits || q.reserved+n > q.total || h.Max > 0 && after > h.Max {
		q.removeIfUnused(id, h)
		return false
	}
	h.reserved, q.reserved, q.committed = after, q.reserved+n, committed
	return true
}

// Release returns n units of a holder; units beyond those that it has reserved are ignored.
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

// Resize changes the total. Reserved units stay reserved, even if they exceed it.
func (q *Quota) Resize(total int64) { q.total = total }

// Total returns the number of units, free or reserved.
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

// Claim returns a holder's claim, or the zero Claim if it has none.
func (q *Quota) Claim(id int) Claim {
	if h := q.holders[id]; h != nil {
		return h.Claim
	}
	return Claim{}
}

// IsOverGuarantee reports whether a holder has reserved more than its guarantee. The excess consists of shared units, which may be
// reclaimed.
func (q *Quota) IsOverGuarantee(id int) bool {
	h := q.holders[id]
	return h != nil && h.reserved > h.Guarantee
}
