package replica

// Pending is for owners: it chooses request ids, and keeps who waits for the answer of each, a channel or a function. The zero
// value is ready. It is not safe for concurrent use.
type Pending[T any] struct {
	lastID  RequestID
	waiters map[RequestID]T
}

// Add keeps a waiter and returns the id of its request.
func (p *Pending[T]) Add(waiter T) RequestID {
	if p.waiters == nil {
		p.waiters = map[RequestID]T{}
	}
	p.lastID++
	p.waiters[p.lastID] = waiter
	return p.lastID
}

// Take removes and returns who waits for the answer to a request; false if nobody does.
func (p *Pending[T]) Take(id RequestID) (waiter T, ok bool) {
	waiter, ok = p.waiters[id]
	delete(p.waiters, id)
	return waiter, ok
}
