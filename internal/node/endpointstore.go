package node

import (
	"context"
	"slices"
	"sync"

	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/storage"
	"notchhinge/internal/limits"
)

// endpointStore writes the records of draining and deregistered endpoints to the disk of the replica. Requests that arrive during a
// write are written together by the next one.
type endpointStore struct {
	write func(storage.EndpointChanges) error
	done  func(discovery.RecordsStored) // called for each storage request

	wake chan struct{} // signals run that the queue is not empty

	mu     sync.Mutex
	queued storage.EndpointChanges
	ids    []gossip.StorageID // of the requests in queued
}

func newEndpointStore(write func(storage.EndpointChanges) error, done func(discovery.RecordsStored)) *endpointStore {
	return &endpointStore{write: write, done: done, wake: make(chan struct{}, 1)}
}

// store queues a storage request. It does not block.
func (s *endpointStore) store(e discovery.StoreRecords) {
	s.mu.Lock()
	isFull := len(s.ids) >= limits.EndpointStoreQueue
	if !isFull {
		s.queued.Put, s.ids = append(s.queued.Put, e.Records...), append(s.ids, e.ID)
		s.queued.Delete = slices.DeleteFunc(s.queued.Delete, func(id string) bool { // the batch puts before it deletes
			return slices.ContainsFunc(e.Records, func(r endpoints.Record) bool { return r.ID == id })
		})
	}
	s.mu.Unlock()
	if isFull {
		s.done(discovery.RecordsStored{ID: e.ID})
		return
	}
	s.signal()
}

// forget queues the removal of records. It does not block.
func (s *endpointStore) forget(e discovery.ForgetRecords) {
	s.mu.Lock()
	s.queued.Delete = append(s.queued.Delete, e.EndpointIDs...)
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
		changes, ids := s.queued, s.ids
		s.queued, s.ids = storage.EndpointChanges{}, nil
		s.mu.Unlock()
		isStored := s.write(changes) == nil
		for _, id := range ids {
			s.done(discovery.RecordsStored{ID: id, Stored: isStored})
		}
	}
}
