package route

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// share is a compiled Share.
type share struct {
	pool   int
	weight float64
	hash   uint64 // of its key
}

// split compiles a service's shares.
func split(at int, s Service, pool func(string) (int, bool)) (shares []share, faults []TableError) {
	fault := func(format string, args ...any) {
		faults = append(faults, TableError{at, -1, "split", fmt.Sprintf(format, args...)})
	}
	sum := 0.0
	seen := map[string]bool{}
	for _, p := range s.Pools {
		n, ok := pool(p.Pool)
		switch {
		case !ok:
			fault("there is no pool %q", p.Pool)
		case seen[p.Pool]:
			fault("pool %q is named twice", p.Pool)
		case !(p.Weight >= 0) || math.IsInf(p.Weight, 0):
			fault("pool %q: a weight of 0 or more is wanted", p.Pool)
		}
		seen[p.Pool] = true
		key := p.HashKey
		if key == "" {
			key = p.Pool
		}
		if p.Weight > 0 {
			sum += p.Weight
			shares = append(shares, share{n, p.Weight, hash(key)})
		}
	}
	if sum == 0 && len(faults) == 0 {
		fault("one pool at least must have a weight above 0")
	}
	return shares, faults
}

// IsSplit tells whether there is more than one pool that Pool may return.
func (t *Target) IsSplit() bool { return len(t.shares) > 1 }

// Pools returns the numbers of all pools that Pool may return.
func (t *Target) Pools() (all []int) {
	for _, s := range t.shares {
		all = append(all, s.pool)
	}
	return all
}

// PoolFor returns the number of the pool for a conversation: over conversations in proportion to the weights, and always
// the same for one. When weights change, conversations move only from pools whose part shrinks to pools whose part
// grows, and no more of them than must (weighted rendezvous hashing).
func (t *Target) PoolFor(conversation uint64) int {
	if len(t.shares) == 1 {
		return t.shares[0].pool
	}
	best, lowest := -1, math.Inf(1)
	for i := range t.shares {
		s := &t.shares[i]
		if score := -math.Log(draw(conversation, s.hash)) / s.weight; score < lowest {
			best, lowest = s.pool, score
		}
	}
	return best
}

// HashConversation is a number for what has no session, such as a single call by its id.
func HashConversation(id string) uint64 { return hash(id) }

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// draw is a number from 0 to 1, both excluded, for a conversation at a pool: the same at all routers.
func draw(conversation, pool uint64) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], conversation)
	binary.LittleEndian.PutUint64(b[8:], pool)
	return (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
}
