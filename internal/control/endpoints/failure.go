package endpoints

import (
	"slices"
	"time"
)

// Suspicion says that the heartbeats of an endpoint have stopped after the one with number CallCount, or, without Suspect, that
// they have not: it refutes suspicions of that and earlier heartbeats.
type Suspicion struct {
	ID        string
	CallCount uint64
	Suspect   bool
}

// MergeSuspicion takes in another process's suspicion or refutation, and returns whether it changes the state of the endpoint.
func (s *Registry) MergeSuspicion(now time.Duration, x Suspicion) bool {
	e := s.byID[x.ID]
	if e == nil || e.State == StateGone || x.CallCount < e.LatestCall {
		return false
	}
	wasSuspect := e.Suspect
	if !x.Suspect && x.CallCount > e.LatestCall { // it implies a heartbeat, and may arrive before it
		s.recordHeartbeat(e, x.CallCount, now)
	}
	e.LatestCall, e.Suspect = x.CallCount, x.Suspect
	return x.Suspect != wasSuspect
}

// Expire drops the records that have been gone for long, and returns their ids, ordered.
func (s *Registry) Expire(now time.Duration) (expired []string) {
	for id, e := range s.byID {
		if e.State == StateGone && now-e.GoneAt > expiry {
			delete(s.byID, id)
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// Detect finds the endpoints whose heartbeats have stopped. It marks and returns new suspects, and returns those that
// have been suspect for so long that they count as failed; both ordered by id. Time is measured up to the latest heartbeat of any
// endpoint, since a process that is cut off receives none and must not suspect all.
func (s *Registry) Detect() (suspects, failed []string) {
	for id, e := range s.byID {
		elapsed := s.lastHeartbeat - e.LastHeartbeat
		switch {
		case e.State == StateGone:
		case elapsed > expiry:
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

// MarkFailed records a failed endpoint as gone, and returns its record if that is new. Unlike one that has deregistered it
// comes back with a later heartbeat.
func (s *Registry) MarkFailed(now time.Duration, id string, wallMS int64) []Record {
	e := s.byID[id]
	if e == nil || e.State == StateGone {
		return nil
	}
	r := e.Record
	r.State, r.CallCount, r.WarmAtMS = StateGone, e.LatestCall, wallMS
	return s.Merge(now, r)
}
