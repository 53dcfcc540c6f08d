// Package deadline keeps all that is due at some time in one sorted structure.
package deadline

import (
	"time"

	"github.com/tidwall/btree"
)

// Key names an entry of a Queue. The zero Key names none.
type Key struct {
	at  time.Duration
	seq uint64
}

type entry[V any] struct {
	Key
	value V
}

// Queue holds values by the time at which they are due; those of one time leave in the order they came.
type Queue[V any] struct {
	tree *btree.BTreeG[entry[V]]
	seq  uint64
}

// New returns an empty queue. It is not safe for concurrent use.
func New[V any]() *Queue[V] {
	less := func(x, y entry[V]) bool { return x.at < y.at || x.at == y.at && x.seq < y.seq }
	return &Queue[V]{tree: btree.NewBTreeGOptions(less, btree.Options{NoLocks: true})}
}

// Add puts a value in and returns the key that removes it.
func (q *Queue[V]) Add(at time.Duration, value V) Key {
	q.seq++
	k := Key{at, q.seq}
	q.tree.Set(entry[V]{k, value})
	return k
}

// Remove takes an entry out, if it is still there.
func (q *Queue[V]) Remove(k Key) { q.tree.Delete(entry[V]{Key: k}) }

// Due takes out and returns the first value that is due by now.
func (q *Queue[V]) Due(now time.Duration) (value V, ok bool) {
	first, ok := q.tree.Min()
	if !ok || first.at > now {
		return value, false
	}
	q.tree.Delete(first)
	return first.value, true
}

// Next tells when the first entry is due.
func (q *Queue[V]) Next() (at time.Duration, ok bool) {
	first, ok := q.tree.Min()
	return first.at, ok
}

// Len tells how many entries there are.
func (q *Queue[V]) Len() int { return q.tree.Len() }
