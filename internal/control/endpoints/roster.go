// Package endpoints owns which engines there are, as mergeable state: whatever the order in which reports and news come, and
// however often, all who have heard the same hold the same. It is pure; times are of the holder's steady clock. A record
// is what an engine says of itself, ordered by its call_count; signs of life stand apart and are not compared in digests,
// since they change all the time. An engine that has signed off stays off: every start has an id of its own.
package endpoints

import (
	"cmp"
	"slices"
	"time"

	"notchhinge/internal/control/encoding"
)

// State is what an engine says of itself.
type State uint8

// The states.
const (
	StateReady State = iota
	StateDraining
	StateGone
)

// Record is an engine's own word.
type Record struct {
	ID        string
	Service   string
	Addr      string
	Zone      string
	Revision  string
	Slots     uint64
	State     State
	CallCount uint64 // its call_count when it first said this
	WarmAtMS  int64  // when it is no longer slow, ms of true time; 0 = it never was. Of one that is gone: since when
}

// Bounds of what is read.
const (
	mostText   = 256
	tombstone  = 1 << 60 // Calls of one that has signed off; news needs a few bits more of a word
	mostSlots  = 1 << 20
	forgetGone = 60 * time.Second // far past any late beat
	staleGone  = forgetGone / 2   // one that has been gone for so long is not taken in any more, or it would go round for ever
	// MaxEndpoints engines; beyond that new ones are not taken.
	MaxEndpoints = 20_000
)

// same tells whether two records say the same but for when it was said.
func (r *Record) same(o *Record) bool {
	x, y := *r, *o
	x.CallCount, y.CallCount, x.WarmAtMS, y.WarmAtMS = 0, 0, 0, 0
	return x == y
}

// Encode writes a record.
func (r *Record) Encode() []byte {
	w := encoding.Writer{}
	w.String(r.ID)
	w.String(r.Service)
	w.String(r.Addr)
	w.String(r.Zone)
	w.String(r.Revision)
	w.Uvarint(r.Slots)
	w.Byte(byte(r.State))
	w.Uvarint(r.CallCount)
	w.Uvarint(uint64(max(r.WarmAtMS, 0)))
	return w.Buf
}

// Decode reads a record.
func Decode(b []byte) (Record, error) {
	x := encoding.Reader{Buf: b}
	r := Record{
		ID: x.String(mostText), Service: x.String(mostText), Addr: x.String(mostText), Zone: x.String(mostText),
		Revision: x.String(mostText), Slots: min(x.Uvarint(), mostSlots), State: State(x.Byte()), CallCount: x.Uvarint(),
		WarmAtMS: int64(x.Uvarint() &^ (1 << 63)),
	}
	if (r.State > StateGone || r.CallCount > tombstone) && x.Err == nil {
		return r, encoding.ErrTooLong
	}
	return r, x.Finish()
}

// Endpoint is a record and when its engine was last heard.
type Endpoint struct {
	Record
	LastHeartbeat time.Duration // steady, of the newest call
	LatestCall    uint64        // call_count of the newest call
	GoneAt        time.Duration
	Suspect       bool // its calls have stopped
}

// Registry is all engines that are known. It is not safe for concurrent use.
type Registry struct {
	byID    map[string]*Endpoint
	byAddr  map[string]string // the newest engine at an address that is not gone
	silence time.Duration     // without a call after which an engine is held for crashed
	newest  time.Duration     // when anything was last heard
}

// New returns an empty roster; silence is how long an engine may say nothing.
func New(silence time.Duration) *Registry {
	return &Registry{byID: map[string]*Endpoint{}, byAddr: map[string]string{}, silence: silence}
}

// Heartbeat takes a call of an engine in; wall is the time of day in ms. With changed, what others know of it is not what they ought to, and the record
// returned is news; fresh says that it is a sign of life that was not known.
func (s *Registry) Heartbeat(now time.Duration, r Record, wall int64) (news []Record, fresh bool) {
	e := s.byID[r.ID]
	switch {
	case r.CallCount >= tombstone:
		return nil, false // no engine calls so often
	case e == nil:
		before := s.byID[s.byAddr[r.Addr]]
		news = s.Merge(now, r)
		// A new engine at the address of another: that one has ended. A call of the one before that comes late must not
		// be taken for this; it has called more often than one that has just started.
		if before != nil && before.ID != r.ID && before.State != StateGone &&
			(r.CallCount < before.LatestCall || now-before.LastHeartbeat > s.silence/2) {
			news = append(news, s.Deregister(now, before.ID, wall)...)
			s.byAddr[r.Addr] = r.ID
		}
		return news, true
	case e.CallCount == tombstone || r.CallCount <= e.LatestCall && !(r.State > e.State && r.CallCount >= e.CallCount):
		return nil, false // late
	}
	s.heard(now, e, r.CallCount, 0)
	if r.same(&e.Record) {
		return nil, true
	}
	return s.Merge(now, r), true
}

// Deregister takes an engine's last call in; wall is the time of day in ms. Of one that was never known it is kept as well: a
// late beat may follow.
func (s *Registry) Deregister(now time.Duration, id string, wall int64) (news []Record) {
	r := Record{ID: id}
	if e := s.byID[id]; e != nil {
		if e.CallCount == tombstone {
			return nil
		}
		r = e.Record
	}
	r.State, r.CallCount, r.WarmAtMS = StateGone, tombstone, wall
	return s.Merge(now, r)
}

// IsStale tells whether a record is of one that has been gone for so long that nobody needs to hear of it any more.
func (r *Record) IsStale(wall int64) bool {
	return r.State == StateGone && wall-r.WarmAtMS > staleGone.Milliseconds()
}

// Merge takes a record in, from wherever it comes, and returns it if it has changed anything. That an engine has followed
// another at its address is told by a call alone (Beat): of two records nobody can say which is older.
func (s *Registry) Merge(now time.Duration, r Record) (news []Record) {
	e := s.byID[r.ID]
	switch {
	case e == nil:
		if len(s.byID) >= MaxEndpoints {
			return nil
		}
		e = &Endpoint{Record: r, LastHeartbeat: now, LatestCall: r.CallCount}
		s.byID[r.ID] = e
		s.newest = max(s.newest, now)
	case !newer(&r, &e.Record):
		return nil
	default:
		if r.State == StateGone && s.byAddr[e.Addr] == r.ID { // who signs it off may not know its address
			delete(s.byAddr, e.Addr)
		}
		e.Record = r
		if r.CallCount != tombstone && r.CallCount > e.LatestCall {
			s.heard(now, e, r.CallCount, 0)
		}
	}
	news = append(news, r)
	if r.State == StateGone {
		e.GoneAt = now
		if s.byAddr[r.Addr] == r.ID {
			delete(s.byAddr, r.Addr)
		}
		return news
	}
	s.byAddr[r.Addr] = r.ID
	return news
}

// newer orders records of one engine: by when it said so, and of two words of one call the later state.
func newer(r, than *Record) bool {
	if c := cmp.Or(cmp.Compare(r.CallCount, than.CallCount), cmp.Compare(r.State, than.State), cmp.Compare(r.Service, than.Service),
		cmp.Compare(r.Addr, than.Addr), cmp.Compare(r.Zone, than.Zone), cmp.Compare(r.Revision, than.Revision),
		cmp.Compare(r.Slots, than.Slots), cmp.Compare(r.WarmAtMS, than.WarmAtMS)); c != 0 {
		return c > 0
	}
	return false
}

// MergeSuspicion takes others' word in that an engine's calls have stopped after its call number calls, or go on. It tells whether
// that changes anything.
func (s *Registry) MergeSuspicion(now time.Duration, id string, calls uint64, silent bool) bool {
	e := s.byID[id]
	if e == nil || e.State == StateGone || calls < e.LatestCall {
		return false
	}
	was := e.Suspect
	if !silent && calls > e.LatestCall { // word that it goes on is a sign of life, and may come before that itself
		s.heard(now, e, calls, 0)
	}
	e.LatestCall, e.Suspect = calls, silent
	return silent != was
}

// MergeHeartbeat takes a sign of life in: an engine's call number calls was heard age ago. It tells whether that is new.
func (s *Registry) MergeHeartbeat(now time.Duration, id string, calls uint64, age time.Duration) bool {
	e := s.byID[id]
	if e == nil || e.State == StateGone || calls < e.LatestCall {
		return false
	}
	if calls == e.LatestCall { // others' word of this call may have come before it
		e.LastHeartbeat = max(e.LastHeartbeat, now-age)
		return false
	}
	s.heard(now, e, calls, age)
	return true
}

func (s *Registry) heard(now time.Duration, e *Endpoint, calls uint64, age time.Duration) {
	e.LatestCall = max(e.LatestCall, calls)
	e.LastHeartbeat = max(e.LastHeartbeat, now-age)
	s.newest = max(s.newest, e.LastHeartbeat)
	e.Suspect = false
}

// Sweep forgets what is long over and, with judge, finds engines whose calls have stopped: silent lists those of which this
// is new, lost those that have been silent for so long that they count as gone. Silence is measured against the last that
// was heard of any engine: one who is cut off hears nothing, and must not take that for the end of all.
func (s *Registry) Sweep(now time.Duration, judge bool) (silent, lost, forgotten []string) {
	for id, e := range s.byID {
		switch {
		case e.State == StateGone:
			if now-e.GoneAt > forgetGone {
				delete(s.byID, id)
				forgotten = append(forgotten, id)
			}
		case !judge:
		case s.newest-e.LastHeartbeat > forgetGone:
			lost = append(lost, id)
		case !e.Suspect && s.newest-e.LastHeartbeat > s.silence:
			e.Suspect = true
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	slices.Sort(lost)
	slices.Sort(forgotten)
	return silent, lost, forgotten
}

// MarkFailed holds an engine for gone that has been silent for long. Unlike one that has signed off it may come back, with a
// later call.
func (s *Registry) MarkFailed(now time.Duration, id string, wall int64) (news []Record) {
	e := s.byID[id]
	if e == nil || e.State == StateGone {
		return nil
	}
	r := e.Record
	r.State, r.CallCount, r.WarmAtMS = StateGone, e.LatestCall, wall
	return s.Merge(now, r)
}

// Live lists the engines of a service that are not over, ordered by id.
func (s *Registry) Live(service string) (all []*Endpoint) {
	for _, e := range s.byID {
		if e.Service == service && e.State != StateGone && !e.Suspect {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(x, y *Endpoint) int { return cmp.Compare(x.ID, y.ID) })
	return all
}

// Find returns an engine.
func (s *Registry) Find(id string) *Endpoint { return s.byID[id] }

// All calls f with every engine, those included that are over.
func (s *Registry) All(f func(*Endpoint)) {
	for _, e := range s.byID {
		f(e)
	}
}

// HeartbeatTimeout is how long an engine may say nothing.
func (s *Registry) HeartbeatTimeout() time.Duration { return s.silence }

// Len tells how many engines are known.
func (s *Registry) Len() int { return len(s.byID) }
