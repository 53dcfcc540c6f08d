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
}

// NewLanes returns an empty queue.
func NewLanes[T any]() *Lanes[T] { return &Lanes[T]{lanes: map[int]*lane[T]{}} }

// Weigh sets a holder's weight against the others'. Without one, or with one that is not above 0, it is 1.
func (l *Lanes[T]) Weigh(id int, weight float64) {
	if !(weight > 0) {
		weight = 1
	}
	l.lane(id).weight = weight
}

// End forgets a holder's weight once nothing of its is queued.
func (l *Lanes[T]) End(id int) {
	if q := l.lanes[id]; q != nil && len(q.entries) == 0 {
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
	return l.first(next), true
}

func (l *Lanes[T]) first(q *lane[T]) T {
	var none T
	x := q.entries[0]
	q.entries[0] = none
	if q.entries = q.entries[1:]; len(q.entries) == 0 {
		q.entries = nil
	}
	q.tag += 1 / q.weight
	l.n--
	return x
}

// PopIf takes the first entry that pick picks out, wherever it stands, and returns it.
func (l *Lanes[T]) PopIf(pick func(T) bool) (x T, ok bool) {
	for _, q := range l.lanes {
		for i, e := range q.entries {
			if pick(e) {
				q.entries = append(q.entries[:i:i], q.entries[i+1:]...)
				l.n--
				return e, true
			}
		}
	}
	return x, false
}
