package replica

// Pending is a table of requests for the owner of a replica: it assigns request ids and keeps a waiter for the answer to each, a
// channel or a callback. The zero value is ready to use. It is not safe for concurrent use.
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

// Take removes and returns the waiter of a request; false if there is none.
func (p *Pending[T]) Take(id RequestID) (waiter T, ok bool) {
	waiter, ok = p.waiters[id]
	delete(p.waiters, id)
	return waiter, ok
}
