package replica

// Pending is a table of requests without an answer, for the owner of a replica. It assigns request IDs and keeps a
// waiter for each answer, such as a channel or a callback. The zero value is ready to use. It is not safe for
// concurrent use.
type Pending[T any] struct {
	lastID  RequestID
	waiters map[RequestID]T
}

// Add stores a waiter and returns its new request ID.
func (p *Pending[T]) Add(waiter T) RequestID {
	if p.waiters == nil {
		p.waiters = map[RequestID]T{}
	}
	p.lastID++
	p.waiters[p.lastID] = waiter
	return p.lastID
}

// Take removes and returns the waiter of a request; false if there is none.
func (p *Pending[T]) Take(id RequestID) (waiter T, ok bool) {
	waiter, ok = p.waiters[id]
	delete(p.waiters, id)
	return waiter, ok
}
