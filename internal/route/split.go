package route

import (
	"cmp"
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// WeightedPool is a pool of a service and its weight.
type WeightedPool struct {
	Pool   string
	Weight float64 // relative to the other pools of the service; 0 = no sessions
	// HashKey identifies the pool in the choice of a session's pool; "" = Pool. A renamed pool that keeps its HashKey keeps
	// its sessions.
	HashKey string
}

// weightedPool is a compiled WeightedPool; its weight is above 0.
type weightedPool struct {
	number  int
	weight  float64
	keyHash uint64
}

// Split divides sessions among pools by weight.
type Split struct {
	pools []weightedPool
}

// NewSplit returns the split of a list of pools. The number of a pool is the index of its first entry in the list. If the list
// names a pool several times, the pool's weight is the sum. Entries whose weight is not above 0 are ignored.
func NewSplit(list []WeightedPool) Split {
	var pools []weightedPool
	for i, p := range list {
		if p.Weight > 0 {
			pools = append(pools, p.compile(i))
		}
	}
	scaleWeights(pools)
	indexByKey := map[uint64]int{}
	var merged []weightedPool
	for _, p := range pools {
		index, isKnown := indexByKey[p.keyHash]
		if isKnown {
			merged[index].weight += p.weight
			continue
		}
		indexByKey[p.keyHash] = len(merged)
		merged = append(merged, p)
	}
	return Split{merged}
}

// compile returns the pool with a number.
func (p *WeightedPool) compile(number int) weightedPool {
	return weightedPool{number: number, weight: p.Weight, keyHash: xxhash.Sum64String(cmp.Or(p.HashKey, p.Pool))}
}

// scaleWeights divides the weights by the highest one. The scores of PoolFor would overflow with very small weights, and sums of
// very large weights would too.
func scaleWeights(pools []weightedPool) {
	highest := 0.0
	for _, p := range pools {
		highest = max(highest, p.weight)
	}
	for i := range pools {
		pools[i].weight /= highest
	}
}

// Target is the destination of a request: a service, and the route that matched.
type Target struct {
	Service    string
	RouteIndex int // index in the list passed to New; -1 = the service was addressed by name
	Split
}

// compileSplit compiles the pools of the service at index.
func compileSplit(index int, s Service, poolNumber func(string) (int, bool)) (pools []weightedPool, errs []TableError) {
	addError := func(format string, args ...any) {
		errs = append(errs, serviceError(index, "split", format, args...))
	}
	total := 0.0
	seen := map[string]bool{}
	for _, p := range s.Pools {
		number, exists := poolNumber(p.Pool)
		switch {
		case !exists:
			addError("there is no pool %q", p.Pool)
		case seen[p.Pool]:
			addError("pool %q is named twice", p.Pool)
		case !(p.Weight >= 0) || math.IsInf(p.Weight, 0): // NaN is not >= 0
			addError("pool %q: the weight must be finite and 0 or more", p.Pool)
		}
		seen[p.Pool] = true
		if p.Weight > 0 {
			total += p.Weight
			pools = append(pools, p.compile(number))
		}
	}
	scaleWeights(pools)
	if total == 0 && len(errs) == 0 {
		addError("at least one pool must have a weight above 0")
	}
	return pools, errs
}

// IsSplit reports whether PoolFor can return more than one pool.
func (s *Split) IsSplit() bool { return len(s.pools) > 1 }

// Pools returns the numbers of all pools that PoolFor can return.
func (s *Split) Pools() (numbers []int) {
	for _, p := range s.pools {
		numbers = append(numbers, p.number)
	}
	return numbers
}

// PoolFor returns the number of the pool for a session, by weighted rendezvous hashing. All requests of a session have the same
// pool, and the sessions are distributed in proportion to the weights. When weights change, the fewest possible sessions move,
// and only from pools whose share shrinks to pools whose share grows. The result is -1 if there is no pool.
func (s *Split) PoolFor(sessionHash uint64) int {
	if len(s.pools) == 1 {
		return s.pools[0].number
	}
	best, lowestScore := -1, math.Inf(1)
	for i := range s.pools {
		p := &s.pools[i]
		if score := -math.Log(uniform(sessionHash, p.keyHash)) / p.weight; score < lowestScore {
			best, lowestScore = p.number, score
		}
	}
	return best
}

// HashConversation returns the hash that replaces the session hash of a request without a session, from the request's id.
func HashConversation(id string) uint64 { return xxhash.Sum64String(id) }

// uniform returns a pseudorandom number between 0 and 1, exclusive, for a session and a pool. It is the same on all routers.
func uniform(sessionHash, poolKey uint64) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], sessionHash)
	binary.LittleEndian.PutUint64(b[8:], poolKey)
	return (float64(xxhash.Sum64(b[:])>>11) + 0.5) / (1 << 53)
}
