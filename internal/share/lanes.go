package share

// Lanes is a queue in which each holder has a lane of its own, and turns go to lanes in proportion to their weights:
// what one holder has queued does not stand before another's first entry. Within a lane the order is kept. It is start-time
// fair queueing: each entry has a tag, the least tag is next, and a lane that was empty starts at the tag served last, so
// that it can neither save up turns nor has to make up for any.
type Lanes[T any] struct {
	lanes  map[int]*lane[T]
	served float64 // tag of the entry that was taken last
	n      int
}

type lane[T any] struct {
	entries []T
	weight  float64
	tag     float64 // of its first entry
	kept    bool    // has a weight, and stays while it is empty
}

// NewLanes returns an empty queue.
func NewLanes[T any]() *Lanes[T] { return &Lanes[T]{lanes: map[int]*lane[T]{}} }

// Weigh sets a holder's weight against the others'. Without one, or with one that is not above 0, it is 1.
func (l *Lanes[T]) Weigh(id int, weight float64) {
	if !(weight > 0) {
		weight = 1
	}
	q := l.lane(id)
	q.weight, q.kept = weight, true
}

// End forgets a holder. What it has queued, or queues still, has its turns; its lane goes when it is empty.
func (l *Lanes[T]) End(id int) {
	if q := l.lanes[id]; q != nil {
		q.kept = false
		l.forget(id, q)
	}
}

func (l *Lanes[T]) forget(id int, q *lane[T]) {
	if !q.kept && len(q.entries) == 0 {
		delete(l.lanes, id)
	}
}

func (l *Lanes[T]) lane(id int) *lane[T] {
	q := l.lanes[id]
	if q == nil {
		q = &lane[T]{weight: 1}
		l.lanes[id] = q
	}
	return q
}

// Push queues an entry.
func (l *Lanes[T]) Push(id int, x T) {
	q := l.lane(id)
	if len(q.entries) == 0 {
		q.tag = max(q.tag, l.served)
	}
	q.entries = append(q.entries, x)
	l.n++
}

// Len is how many entries there are.
func (l *Lanes[T]) Len() int { return l.n }

// Pop takes the next entry out.
func (l *Lanes[T]) Pop() (x T, ok bool) {
	var next *lane[T]
	best := 0
	for id, q := range l.lanes { // few, and the order of a map must not show
		if len(q.entries) > 0 && (next == nil || q.tag < next.tag || q.tag == next.tag && id < best) {
			next, best = q, id
		}
	}
	if next == nil {
		return x, false
	}
	l.served = next.tag
	var none T
	x, next.entries[0] = next.entries[0], none
	if next.entries = next.entries[1:]; len(next.entries) == 0 {
		next.entries = nil
	}
	next.tag += 1 / next.weight
	l.n--
	l.forget(best, next)
	return x, true
}

// PopIf takes the first entry that pick picks out, wherever it stands, and returns it.
func (l *Lanes[T]) PopIf(pick func(T) bool) (x T, ok bool) {
	for id, q := range l.lanes {
		for i, e := range q.entries {
			if pick(e) {
				q.entries = append(q.entries[:i:i], q.entries[i+1:]...)
				l.n--
				l.forget(id, q)
				return e, true
			}
		}
	}
	return x, false
}
