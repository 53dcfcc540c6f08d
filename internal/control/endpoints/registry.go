package endpoints

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

// MaxEndpoints is the number of endpoints that a registry holds; further ones are rejected.
const MaxEndpoints = 20_000

// Endpoint is a record with what the local process knows of the endpoint's heartbeats.
type Endpoint struct {
	Record
	LastHeartbeat time.Duration // when the latest heartbeat was sent
	LatestCall    uint64        // its number
	GoneAt        time.Duration // when the record became StateGone here
	Suspect       bool          // its heartbeats have stopped
}

// Registry holds all known endpoints. It is not safe for concurrent use.
type Registry struct {
	byID             map[string]*Endpoint
	byAddr           map[string]string // id of the latest endpoint at an address that is not gone
	heartbeatTimeout time.Duration
	lastHeartbeat    time.Duration // of any endpoint
}

// New returns an empty registry. An endpoint without a heartbeat for heartbeatTimeout becomes suspect.
func New(heartbeatTimeout time.Duration) *Registry {
	return &Registry{byID: map[string]*Endpoint{}, byAddr: map[string]string{}, heartbeatTimeout: heartbeatTimeout}
}

// Find returns an endpoint; nil if it is unknown.
func (s *Registry) Find(id string) *Endpoint { return s.byID[id] }

// Live lists the endpoints of a service that are neither gone nor suspect, ordered by id.
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

// All iterates over all endpoints, those included that are gone, in no order.
func (s *Registry) All() iter.Seq[*Endpoint] { return maps.Values(s.byID) }

// Len returns the number of known endpoints, those included that are gone.
func (s *Registry) Len() int { return len(s.byID) }

// HeartbeatTimeout is the time without a heartbeat after which an endpoint becomes suspect.
func (s *Registry) HeartbeatTimeout() time.Duration { return s.heartbeatTimeout }

// Heartbeat takes in a heartbeat that came from the endpoint itself. It returns the records that it changes, of which other
// processes must learn, and whether it is newer than the latest known one.
func (s *Registry) Heartbeat(now time.Duration, r Record, wallMS int64) (changed []Record, isNew bool) {
	if r.CallCount >= deregistered {
		return nil, false // no endpoint sends so many
	}
	e := s.byID[r.ID]
	if e == nil {
		return s.firstHeartbeat(now, r, wallMS), true
	}
	if e.isLate(&r) {
		return nil, false
	}
	s.recordHeartbeat(e, r.CallCount, now)
	if r.saysTheSame(&e.Record) {
		return nil, true
	}
	return s.Merge(now, r), true
}

// isLate reports whether a heartbeat is older than what is known, or comes after the endpoint has deregistered.
func (e *Endpoint) isLate(r *Record) bool {
	if e.CallCount == deregistered {
		return true
	}
	hasLaterState := r.State > e.State && r.CallCount >= e.CallCount
	return r.CallCount <= e.LatestCall && !hasLaterState
}

// firstHeartbeat takes in the first heartbeat of an endpoint. Another endpoint at its address has ended, unless this heartbeat is a
// late one of an endpoint that had the address before: that one has sent more heartbeats than one that has just started.
func (s *Registry) firstHeartbeat(now time.Duration, r Record, wallMS int64) []Record {
	before := s.byID[s.byAddr[r.Addr]]
	changed := s.Merge(now, r)
	if before == nil || before.ID == r.ID || before.State == StateGone {
		return changed
	}
	if r.CallCount < before.LatestCall || now-before.LastHeartbeat > s.heartbeatTimeout/2 {
		changed = append(changed, s.Deregister(now, before.ID, wallMS)...)
		s.byAddr[r.Addr] = r.ID
	}
	return changed
}

// Deregister records that an endpoint has ended, and returns its record if that is new. An unknown endpoint is recorded as well: a
// late heartbeat of it may follow.
func (s *Registry) Deregister(now time.Duration, id string, wallMS int64) []Record {
	r := Record{ID: id}
	if e := s.byID[id]; e != nil {
		if e.CallCount == deregistered {
			return nil
		}
		r = e.Record
	}
	r.State, r.CallCount, r.WarmAtMS = StateGone, deregistered, wallMS
	return s.Merge(now, r)
}

// Merge takes in a record from wherever it comes, and returns it if it changes the registry. It does not end another endpoint at
// the record's address, as [Registry.Heartbeat] does: the order of two endpoints' records is unknown.
func (s *Registry) Merge(now time.Duration, r Record) []Record {
	e := s.byID[r.ID]
	switch {
	case e == nil:
		if len(s.byID) >= MaxEndpoints {
			return nil
		}
		e = &Endpoint{Record: r, LastHeartbeat: now, LatestCall: r.CallCount}
		s.byID[r.ID] = e
		s.lastHeartbeat = max(s.lastHeartbeat, now)
	case !r.supersedes(&e.Record):
		return nil
	default:
		s.replace(now, e, r)
	}
	if r.State == StateGone {
		e.GoneAt = now
		s.freeAddr(&r)
	} else {
		s.byAddr[r.Addr] = r.ID
	}
	return []Record{r}
}

// replace puts a newer record in the place of an endpoint's.
func (s *Registry) replace(now time.Duration, e *Endpoint, r Record) {
	if r.State == StateGone {
		s.freeAddr(&e.Record) // the new record lacks the address if the process that wrote it did not know the endpoint
	}
	e.Record = r
	if r.CallCount != deregistered && r.CallCount > e.LatestCall {
		s.recordHeartbeat(e, r.CallCount, now)
	}
}

func (s *Registry) freeAddr(r *Record) {
	if s.byAddr[r.Addr] == r.ID {
		delete(s.byAddr, r.Addr)
	}
}

// MergeHeartbeat takes in another process's report of a heartbeat that was sent age ago, and returns whether it is new.
func (s *Registry) MergeHeartbeat(now time.Duration, id string, callCount uint64, age time.Duration) bool {
	e := s.byID[id]
	if e == nil || e.State == StateGone || callCount < e.LatestCall {
		return false
	}
	if callCount == e.LatestCall { // known by its record, which does not say when it was sent
		e.LastHeartbeat = max(e.LastHeartbeat, now-age)
		return false
	}
	s.recordHeartbeat(e, callCount, now-age)
	return true
}

func (s *Registry) recordHeartbeat(e *Endpoint, callCount uint64, sentAt time.Duration) {
	e.LatestCall = max(e.LatestCall, callCount)
	e.LastHeartbeat = max(e.LastHeartbeat, sentAt)
	s.lastHeartbeat = max(s.lastHeartbeat, e.LastHeartbeat)
	e.Suspect = false
}
