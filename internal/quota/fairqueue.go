package quota

// FairQueue is a queue with one flow for each holder. The flows take turns in proportion to their weights, so that a long flow does
// not delay the first entry of another one. Entries of a flow keep their order. The algorithm is start-time fair queueing (Goyal,
// Vin and Cheng, 1996): each entry has a start tag, the entry with the lowest tag is served next, and a flow that was empty
// continues at the tag that was served last, so that it neither gains nor loses turns while it is empty.
type FairQueue[T any] struct {
	flows       map[int]*flow[T]
	virtualTime float64 // start tag of the entry that was served last
	length      int
}

// flow is the queue of one holder.
type flow[T any] struct {
	entries   []T
	weight    float64
	startTag  float64 // start tag of the first entry
	permanent bool    // the weight was set; the flow is kept while it is empty
}

// NewFairQueue returns an empty queue.
func NewFairQueue[T any]() *FairQueue[T] { return &FairQueue[T]{flows: map[int]*flow[T]{}} }

// SetWeight sets the weight of a holder. The default is 1, which also replaces a weight of 0 or less.
func (q *FairQueue[T]) SetWeight(id int, weight float64) {
	if !(weight > 0) {
		weight = 1
	}
	f := q.flow(id)
	f.weight, f.permanent = weight, true
}

// EndFlow resets a holder's weight once its flow is empty, and removes the flow. Entries that are queued now or later are served.
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

// Push appends an entry to the flow of a holder.
func (q *FairQueue[T]) Push(id int, entry T) {
	f := q.flow(id)
	if len(f.entries) == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	f.entries = append(f.entries, entry)
	q.length++
}

// Len returns the number of entries in all flows.
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

// nextFlow returns the nonempty flow with the lowest start tag, and among equal tags the one with the lowest ID.
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

// PopIf removes and returns an entry that matches, at any position: the first one of its flow. ok is false if none matches.
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
