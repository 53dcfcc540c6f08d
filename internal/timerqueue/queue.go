// Package timerqueue provides a queue of values ordered by due time. A reducer keeps all of its timers in one queue, and its event
// loop sets a single system timer for the first of them. Times are readings of the caller's monotonic clock.
package timerqueue

import (
	"time"

	"github.com/tidwall/btree"
)

// Key identifies an entry of a Queue. The zero Key never identifies an entry.
type Key struct {
	at  time.Duration
	seq uint64
}

type entry[V any] struct {
	Key
	value V
}

// Queue holds values ordered by due time. Values with the same due time keep the order in which they were added. It is not safe
// for concurrent use.
type Queue[V any] struct {
	tree    *btree.BTreeG[entry[V]]
	lastSeq uint64
}

// New returns an empty queue.
func New[V any]() *Queue[V] {
	less := func(x, y entry[V]) bool { return x.at < y.at || x.at == y.at && x.seq < y.seq }
	return &Queue[V]{tree: btree.NewBTreeGOptions(less, btree.Options{NoLocks: true})}
}

// Add inserts a value that is due at the given time, and returns the key with which Remove deletes it.
func (q *Queue[V]) Add(at time.Duration, value V) Key {
	q.lastSeq++
	key := Key{at, q.lastSeq}
	q.tree.Set(entry[V]{key, value})
	return key
}

// Remove deletes an entry, if it is still in the queue.
func (q *Queue[V]) Remove(key Key) { q.tree.Delete(entry[V]{Key: key}) }

// PopDue removes and returns the first value that is due at or before now; ok is false if there is none.
func (q *Queue[V]) PopDue(now time.Duration) (value V, ok bool) {
	first, ok := q.tree.Min()
	if !ok || first.at > now {
		return value, false
	}
	q.tree.Delete(first)
	return first.value, true
}

// NextDue returns the time at which the first entry is due; ok is false if the queue is empty.
func (q *Queue[V]) NextDue() (at time.Duration, ok bool) {
	first, ok := q.tree.Min()
	return first.at, ok
}

// Len returns the number of entries.
func (q *Queue[V]) Len() int { return q.tree.Len() }
