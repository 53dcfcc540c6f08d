package quota

// FairQueue is a queue with a flow for each holder, which take turns in proportion to their weights: what one holder has queued
// does not delay another's first entry. Within a flow the order is kept. It is start-time fair queueing (Goyal, Vin and Cheng,
// 1996): each entry has a start tag, the lowest tag is served next, and a flow that was empty starts at the tag served last, so
// that it neither saves up turns nor has to make up for any.
type FairQueue[T any] struct {
	flows       map[int]*flow[T]
	virtualTime float64 // start tag of the entry that was served last
	length      int
}

type flow[T any] struct {
	entries   []T
	weight    float64
	startTag  float64 // of its first entry
	permanent bool    // its weight was set: it stays while it is empty
}

// NewFairQueue returns an empty queue.
func NewFairQueue[T any]() *FairQueue[T] { return &FairQueue[T]{flows: map[int]*flow[T]{}} }

// SetWeight sets a holder's weight against the others'. Without one, or with one that is not above 0, it is 1.
func (q *FairQueue[T]) SetWeight(id int, weight float64) {
	if !(weight > 0) {
		weight = 1
	}
	f := q.flow(id)
	f.weight, f.permanent = weight, true
}

// EndFlow forgets a holder's weight. What it has queued, or still queues, is served; its flow is removed when it is empty.
func (q *FairQueue[T]) EndFlow(id int) {
	if f := q.flows[id]; f != nil {
		f.permanent = false
		q.removeIfIdle(id, f)
	}
}

func (q *FairQueue[T]) removeIfIdle(id int, f *flow[T]) {
	if !f.permanent && len(f.entries) == 0 {
		delete(q.flows, id)
	}
}

func (q *FairQueue[T]) flow(id int) *flow[T] {
	f := q.flows[id]
	if f == nil {
		f = &flow[T]{weight: 1}
		q.flows[id] = f
	}
	return f
}

// Push queues an entry of a holder.
func (q *FairQueue[T]) Push(id int, entry T) {
	f := q.flow(id)
	if len(f.entries) == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	f.entries = append(f.entries, entry)
	q.length++
}

// Len returns the number of entries.
func (q *FairQueue[T]) Len() int { return q.length }

// Pop removes and returns the next entry; ok is false if the queue is empty.
func (q *FairQueue[T]) Pop() (entry T, ok bool) {
	id, next := q.nextFlow()
	if next == nil {
		return entry, false
	}
	q.virtualTime = next.startTag
	var zero T
	entry, next.entries[0] = next.entries[0], zero
	next.entries = next.entries[1:]
	if len(next.entries) == 0 {
		next.entries = nil
	}
	next.startTag += 1 / next.weight
	q.length--
	q.removeIfIdle(id, next)
	return entry, true
}

// nextFlow returns the flow with the lowest start tag; among equal ones that of the lowest id, whatever the map's order.
func (q *FairQueue[T]) nextFlow() (id int, next *flow[T]) {
	for i, f := range q.flows {
		if len(f.entries) == 0 {
			continue
		}
		if next == nil || f.startTag < next.startTag || f.startTag == next.startTag && i < id {
			id, next = i, f
		}
	}
	return id, next
}

// PopIf removes and returns the first entry that matches, wherever it stands in its flow.
func (q *FairQueue[T]) PopIf(matches func(T) bool) (entry T, ok bool) {
	for id, f := range q.flows {
		for i, e := range f.entries {
			if matches(e) {
				f.entries = append(f.entries[:i:i], f.entries[i+1:]...)
				q.length--
				q.removeIfIdle(id, f)
				return e, true
			}
		}
	}
	return entry, false
}
