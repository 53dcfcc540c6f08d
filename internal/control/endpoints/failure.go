package endpoints

import (
	"slices"
	"time"
)

// Suspicion is a suspicion of an endpoint, or the refutation of one. With Suspect, the endpoint has sent no heartbeat after number
// CallCount. Without it, suspicions with this or a lower CallCount are refuted.
type Suspicion struct {
	ID        string
	CallCount uint64
	Suspect   bool
}

// MergeSuspicion merges a suspicion or refutation of another process, and reports whether it changes the state of the endpoint.
func (s *Registry) MergeSuspicion(now time.Duration, suspicion Suspicion) bool {
	e := s.byID[suspicion.ID]
	if e == nil || e.State == StateGone || suspicion.CallCount < e.LatestCallCount {
		return false
	}
	wasSuspect := e.Suspect
	if !suspicion.Suspect && suspicion.CallCount > e.LatestCallCount { // a refutation implies a heartbeat, which may arrive later
		s.recordHeartbeat(e, suspicion.CallCount, now)
	}
	e.LatestCallCount, e.Suspect = suspicion.CallCount, suspicion.Suspect
	return suspicion.Suspect != wasSuspect
}

// Expire drops the records that have been gone for longer than expiryTimeout, and returns their ids in order.
func (s *Registry) Expire(now time.Duration) (expired []string) {
	for id, e := range s.byID {
		if e.State == StateGone && now-e.GoneAt > expiryTimeout {
			delete(s.byID, id)
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// Detect finds the endpoints whose heartbeats have stopped. It marks and returns new suspects. It also returns the endpoints that count
// as failed, because their last heartbeat is older than expiryTimeout. Both lists are ordered by id. The age of a heartbeat is relative
// to the latest heartbeat of any endpoint: an isolated process receives no heartbeats and must not suspect all endpoints.
func (s *Registry) Detect() (suspects, failed []string) {
	for id, e := range s.byID {
		elapsed := s.lastHeartbeat - e.LastHeartbeat
		switch {
		case e.State == StateGone:
		case elapsed > expiryTimeout:
			failed = append(failed, id)
		case !e.Suspect && elapsed > s.heartbeatTimeout:
			e.Suspect = true
			suspects = append(suspects, id)
		}
	}
	slices.Sort(suspects)
	slices.Sort(failed)
	return suspects, failed
}

// MarkFailed records a failed endpoint as gone, and returns the new record; none if it was gone already. Unlike a deregistered endpoint,
// a failed one is live again after a later heartbeat.
func (s *Registry) MarkFailed(now time.Duration, id string, wallMS int64) []Record {
	e := s.byID[id]
	if e == nil || e.State == StateGone {
		return nil
	}
	r := e.Record
	r.State, r.CallCount, r.WarmAtMS = StateGone, e.LatestCallCount, wallMS
	return s.Merge(now, r)
}
