package endpoints

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

// MaxEndpoints is the maximum number of endpoints in a registry. Further endpoints are rejected.
const MaxEndpoints = 20_000

// Endpoint is a record with the local state on the endpoint's heartbeats.
type Endpoint struct {
	Record
	LastHeartbeat   time.Duration // when the latest known heartbeat was sent
	LatestCallCount uint64        // CallCount of that heartbeat
	GoneAt          time.Duration // when this process learned that it is gone
	Suspect         bool          // its heartbeats have stopped; it gets no traffic
}

// Registry holds all known endpoints. It is not safe for concurrent use.
type Registry struct {
	byID             map[string]*Endpoint
	byAddr           map[string]string // by address: id of the latest endpoint that is not gone
	heartbeatTimeout time.Duration
	lastHeartbeat    time.Duration // of any endpoint
}

// New returns an empty registry. An endpoint without a heartbeat for heartbeatTimeout becomes suspect.
func New(heartbeatTimeout time.Duration) *Registry {
	return &Registry{byID: map[string]*Endpoint{}, byAddr: map[string]string{}, heartbeatTimeout: heartbeatTimeout}
}

// Find returns the endpoint with an id; nil if it is unknown.
func (s *Registry) Find(id string) *Endpoint { return s.byID[id] }

// Live returns the endpoints of a service that are neither gone nor suspect, ordered by id.
func (s *Registry) Live(service string) []*Endpoint {
	var live []*Endpoint
	for _, e := range s.byID {
		if e.Service == service && e.State != StateGone && !e.Suspect {
			live = append(live, e)
		}
	}
	slices.SortFunc(live, func(x, y *Endpoint) int { return cmp.Compare(x.ID, y.ID) })
	return live
}

// All iterates over all endpoints, including gone ones, in no particular order.
func (s *Registry) All() iter.Seq[*Endpoint] { return maps.Values(s.byID) }

// Len returns the number of endpoints, including gone ones.
func (s *Registry) Len() int { return len(s.byID) }

// HeartbeatTimeout returns the time without a heartbeat after which an endpoint becomes suspect.
func (s *Registry) HeartbeatTimeout() time.Duration { return s.heartbeatTimeout }

// Heartbeat handles a heartbeat received from the endpoint itself. It returns the changed records, which must be sent to the other
// processes, and reports whether the heartbeat is newer than the latest known one.
func (s *Registry) Heartbeat(now time.Duration, r Record, wallMS int64) (changed []Record, isNew bool) {
	if r.CallCount >= replacedCallCount {
		return nil, false // not a valid heartbeat number
	}
	e := s.byID[r.ID]
	if e == nil {
		return s.recordFirstHeartbeat(now, r, wallMS), true
	}
	if e.isOutdated(&r) {
		return nil, false
	}
	s.recordHeartbeat(e, r.CallCount, now)
	if r.hasSameContent(&e.Record) {
		return nil, true
	}
	return s.Merge(now, r), true
}

// isOutdated reports whether a heartbeat is not newer than the known state, or follows the deregistration or replacement of the endpoint.
func (e *Endpoint) isOutdated(r *Record) bool {
	if e.CallCount >= replacedCallCount {
		return true
	}
	advancesState := r.State > e.State && r.CallCount >= e.CallCount
	return r.CallCount <= e.LatestCallCount && !advancesState
}

// recordFirstHeartbeat handles the first known heartbeat of an endpoint. If another endpoint is registered at its address, one of the
// two has ended: the registered one, if it has sent more heartbeats than the new one or has been silent; else this is a late heartbeat of
// an earlier endpoint.
func (s *Registry) recordFirstHeartbeat(now time.Duration, r Record, wallMS int64) []Record {
	previous := s.byID[s.byAddr[r.Addr]]
	changed := s.Merge(now, r)
	if previous == nil || previous.ID == r.ID || previous.State == StateGone {
		return changed
	}
	if r.CallCount < previous.LatestCallCount || now-previous.LastHeartbeat > s.heartbeatTimeout/2 {
		changed = append(changed, s.end(now, previous.ID, replacedCallCount, wallMS)...)
		s.byAddr[r.Addr] = r.ID
	}
	return changed
}

// Deregister records that an endpoint has ended, and returns the new record; none if it was deregistered already. An unknown endpoint is
// recorded, too, because a late heartbeat may follow.
func (s *Registry) Deregister(now time.Duration, id string, wallMS int64) []Record {
	return s.end(now, id, deregisteredCallCount, wallMS)
}

// end records that an endpoint has ended, with a CallCount above that of any heartbeat. It returns the new record; none if a record with
// this or a higher CallCount is known.
func (s *Registry) end(now time.Duration, id string, callCount uint64, wallMS int64) []Record {
	r := Record{ID: id}
	if e := s.byID[id]; e != nil {
		if e.CallCount >= callCount {
			return nil
		}
		r = e.Record
	}
	r.State, r.CallCount, r.WarmAtMS = StateGone, callCount, wallMS
	return s.Merge(now, r)
}

// Merge merges a record, and returns it if it changes the registry. Unlike [Registry.Heartbeat], it does not end another endpoint at the
// record's address, because the order of two endpoints' records is unknown.
func (s *Registry) Merge(now time.Duration, r Record) []Record {
	e := s.byID[r.ID]
	switch {
	case e == nil:
		if len(s.byID) >= MaxEndpoints {
			return nil
		}
		e = &Endpoint{Record: r, LastHeartbeat: now, LatestCallCount: r.CallCount}
		s.byID[r.ID] = e
		s.lastHeartbeat = max(s.lastHeartbeat, now)
	case !r.supersedes(&e.Record):
		return nil
	default:
		s.replaceRecord(now, e, r)
	}
	if r.State == StateGone {
		e.GoneAt = now
		s.releaseAddr(&r)
	} else {
		s.byAddr[r.Addr] = r.ID
	}
	return []Record{r}
}

// Restore merges a record that this process stored before its restart, and returns it if it changes the registry. The record of an
// endpoint that is gone keeps its age.
func (s *Registry) Restore(now time.Duration, r Record, wallMS int64) []Record {
	changed := s.Merge(now, r)
	if len(changed) > 0 && r.State == StateGone {
		age := time.Duration(max(wallMS-r.WarmAtMS, 0)) * time.Millisecond
		s.byID[r.ID].GoneAt = now - age
	}
	return changed
}

// replaceRecord replaces an endpoint's record by a newer one.
func (s *Registry) replaceRecord(now time.Duration, e *Endpoint, r Record) {
	if r.State == StateGone {
		s.releaseAddr(&e.Record) // the new record has no address if its author did not know the endpoint
	}
	e.Record = r
	if r.CallCount < replacedCallCount && r.CallCount > e.LatestCallCount {
		s.recordHeartbeat(e, r.CallCount, now)
	}
}

func (s *Registry) releaseAddr(r *Record) {
	if s.byAddr[r.Addr] == r.ID {
		delete(s.byAddr, r.Addr)
	}
}

// MergeHeartbeat merges another process's report of a heartbeat that was sent age ago, and reports whether it is new.
func (s *Registry) MergeHeartbeat(now time.Duration, id string, callCount uint64, age time.Duration) bool {
	e := s.byID[id]
	if e == nil || e.State == StateGone || callCount < e.LatestCallCount {
		return false
	}
	if callCount == e.LatestCallCount { // known from a record, which does not contain the heartbeat's send time
		e.LastHeartbeat = max(e.LastHeartbeat, now-age)
		return false
	}
	s.recordHeartbeat(e, callCount, now-age)
	return true
}

func (s *Registry) recordHeartbeat(e *Endpoint, callCount uint64, sentAt time.Duration) {
	e.LatestCallCount = max(e.LatestCallCount, callCount)
	e.LastHeartbeat = max(e.LastHeartbeat, sentAt)
	s.lastHeartbeat = max(s.lastHeartbeat, e.LastHeartbeat)
	e.Suspect = false
}
