package node

import (
	"context"
	"slices"
	"sync"

	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/storage"
	"notchhinge/internal/limits"
)

// endpointStore writes the records of draining and deregistered endpoints to the disk of the replica. Requests that arrive during a
// write are written together by the next one.
type endpointStore struct {
	write func(storage.EndpointChanges) error
	done  func(discovery.RecordsStored) // called for each storage request

	wake chan struct{} // signals run that the queue is not empty

	mu       sync.Mutex
	requests []discovery.StoreRecords
	obsolete []string // ids of endpoints whose records are to be removed
}

func newEndpointStore(write func(storage.EndpointChanges) error, done func(discovery.RecordsStored)) *endpointStore {
	return &endpointStore{write: write, done: done, wake: make(chan struct{}, 1)}
}

// store queues a storage request. It does not block.
func (s *endpointStore) store(e discovery.StoreRecords) {
	s.mu.Lock()
	isFull := len(s.requests) >= limits.EndpointStoreQueue
	if !isFull {
		s.requests = append(s.requests, e)
		s.obsolete = slices.DeleteFunc(s.obsolete, func(id string) bool { // a batch puts before it deletes
			return slices.ContainsFunc(e.Records, func(r endpoints.Record) bool { return r.ID == id })
		})
	}
	s.mu.Unlock()
	if isFull {
		s.done(discovery.RecordsStored{Request: e})
		return
	}
	s.signal()
}

// forget queues the removal of records. It does not block.
func (s *endpointStore) forget(e discovery.ForgetRecords) {
	s.mu.Lock()
	s.obsolete = append(s.obsolete, e.EndpointIDs...)
	s.mu.Unlock()
	s.signal()
}

func (s *endpointStore) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes the queued requests until ctx is done.
func (s *endpointStore) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		s.mu.Lock()
		requests, changes := s.requests, storage.EndpointChanges{Delete: s.obsolete}
		s.requests, s.obsolete = nil, nil
		s.mu.Unlock()
		for _, request := range requests {
			changes.Put = append(changes.Put, request.Records...)
		}
		isStored := s.write(changes) == nil
		for _, request := range requests {
			s.done(discovery.RecordsStored{Request: request, Stored: isStored})
		}
	}
}
