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
	Ready State = iota
	Draining
	Gone
)

// Record is an engine's own word.
type Record struct {
	ID       string
	Service  string
	Addr     string
	Zone     string
	Revision string
	Slots    uint64
	State    State
	Calls    uint64 // its call_count when it first said this
	WarmAt   int64  // when it is no longer slow, ms of true time; 0 = it never was. Of one that is gone: since when
}

// Bounds of what is read.
const (
	mostText   = 256
	tombstone  = 1 << 60 // Calls of one that has signed off; news needs a few bits more of a word
	mostSlots  = 1 << 20
	forgetGone = 60 * time.Second // far past any late beat
	staleGone  = forgetGone / 2   // one that has been gone for so long is not taken in any more, or it would go round for ever
	// Most engines; beyond that new ones are not taken.
	Most = 20_000
)

// same tells whether two records say the same but for when it was said.
func (r *Record) same(o *Record) bool {
	x, y := *r, *o
	x.Calls, y.Calls, x.WarmAt, y.WarmAt = 0, 0, 0, 0
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
	w.Uvarint(r.Calls)
	w.Uvarint(uint64(max(r.WarmAt, 0)))
	return w.Buf
}

// Decode reads a record.
func Decode(b []byte) (Record, error) {
	x := encoding.Reader{Buf: b}
	r := Record{
		ID: x.String(mostText), Service: x.String(mostText), Addr: x.String(mostText), Zone: x.String(mostText),
		Revision: x.String(mostText), Slots: min(x.Uvarint(), mostSlots), State: State(x.Byte()), Calls: x.Uvarint(),
		WarmAt: int64(x.Uvarint() &^ (1 << 63)),
	}
	if (r.State > Gone || r.Calls > tombstone) && x.Err == nil {
		return r, encoding.ErrTooLong
	}
	return r, x.Finish()
}

// Engine is a record and when its engine was last heard.
type Engine struct {
	Record
	Heard  time.Duration // steady, of the newest call
	Newest uint64        // call_count of the newest call
	GoneAt time.Duration
	Silent bool // its calls have stopped
}

// Roster is all engines that are known. It is not safe for concurrent use.
type Roster struct {
	byID    map[string]*Engine
	byAddr  map[string]string // the newest engine at an address that is not gone
	silence time.Duration     // without a call after which an engine is held for crashed
	newest  time.Duration     // when anything was last heard
}

// New returns an empty roster; silence is how long an engine may say nothing.
func New(silence time.Duration) *Roster {
	return &Roster{byID: map[string]*Engine{}, byAddr: map[string]string{}, silence: silence}
}

// Beat takes a call of an engine in; wall is the time of day in ms. With changed, what others know of it is not what they ought to, and the record
// returned is news; fresh says that it is a sign of life that was not known.
func (s *Roster) Beat(now time.Duration, r Record, wall int64) (news []Record, fresh bool) {
	e := s.byID[r.ID]
	switch {
	case r.Calls >= tombstone:
		return nil, false // no engine calls so often
	case e == nil:
		before := s.byID[s.byAddr[r.Addr]]
		news = s.Merge(now, r)
		// A new engine at the address of another: that one has ended. A call of the one before that comes late must not
		// be taken for this; it has called more often than one that has just started.
		if before != nil && before.ID != r.ID && before.State != Gone &&
			(r.Calls < before.Newest || now-before.Heard > s.silence/2) {
			news = append(news, s.SignOff(now, before.ID, wall)...)
			s.byAddr[r.Addr] = r.ID
		}
		return news, true
	case e.Calls == tombstone || r.Calls <= e.Newest && !(r.State > e.State && r.Calls >= e.Calls):
		return nil, false // late
	}
	s.heard(now, e, r.Calls, 0)
	if r.same(&e.Record) {
		return nil, true
	}
	return s.Merge(now, r), true
}

// SignOff takes an engine's last call in; wall is the time of day in ms. Of one that was never known it is kept as well: a
// late beat may follow.
func (s *Roster) SignOff(now time.Duration, id string, wall int64) (news []Record) {
	r := Record{ID: id}
	if e := s.byID[id]; e != nil {
		if e.Calls == tombstone {
			return nil
		}
		r = e.Record
	}
	r.State, r.Calls, r.WarmAt = Gone, tombstone, wall
	return s.Merge(now, r)
}

// Stale tells whether a record is of one that has been gone for so long that nobody needs to hear of it any more.
func (r *Record) Stale(wall int64) bool {
	return r.State == Gone && wall-r.WarmAt > staleGone.Milliseconds()
}

// Merge takes a record in, from wherever it comes, and returns it if it has changed anything. That an engine has followed
// another at its address is told by a call alone (Beat): of two records nobody can say which is older.
func (s *Roster) Merge(now time.Duration, r Record) (news []Record) {
	e := s.byID[r.ID]
	switch {
	case e == nil:
		if len(s.byID) >= Most {
			return nil
		}
		e = &Engine{Record: r, Heard: now, Newest: r.Calls}
		s.byID[r.ID] = e
		s.newest = max(s.newest, now)
	case !newer(&r, &e.Record):
		return nil
	default:
		if r.State == Gone && s.byAddr[e.Addr] == r.ID { // who signs it off may not know its address
			delete(s.byAddr, e.Addr)
		}
		e.Record = r
		if r.Calls != tombstone && r.Calls > e.Newest {
			s.heard(now, e, r.Calls, 0)
		}
	}
	news = append(news, r)
	if r.State == Gone {
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
	if c := cmp.Or(cmp.Compare(r.Calls, than.Calls), cmp.Compare(r.State, than.State), cmp.Compare(r.Service, than.Service),
		cmp.Compare(r.Addr, than.Addr), cmp.Compare(r.Zone, than.Zone), cmp.Compare(r.Revision, than.Revision),
		cmp.Compare(r.Slots, than.Slots), cmp.Compare(r.WarmAt, than.WarmAt)); c != 0 {
		return c > 0
	}
	return false
}

// Hush takes others' word in that an engine's calls have stopped after its call number calls, or go on. It tells whether
// that changes anything.
func (s *Roster) Hush(now time.Duration, id string, calls uint64, silent bool) bool {
	e := s.byID[id]
	if e == nil || e.State == Gone || calls < e.Newest {
		return false
	}
	was := e.Silent
	if !silent && calls > e.Newest { // word that it goes on is a sign of life, and may come before that itself
		s.heard(now, e, calls, 0)
	}
	e.Newest, e.Silent = calls, silent
	return silent != was
}

// Alive takes a sign of life in: an engine's call number calls was heard age ago. It tells whether that is new.
func (s *Roster) Alive(now time.Duration, id string, calls uint64, age time.Duration) bool {
	e := s.byID[id]
	if e == nil || e.State == Gone || calls < e.Newest {
		return false
	}
	if calls == e.Newest { // others' word of this call may have come before it
		e.Heard = max(e.Heard, now-age)
		return false
	}
	s.heard(now, e, calls, age)
	return true
}

func (s *Roster) heard(now time.Duration, e *Engine, calls uint64, age time.Duration) {
	e.Newest = max(e.Newest, calls)
	e.Heard = max(e.Heard, now-age)
	s.newest = max(s.newest, e.Heard)
	e.Silent = false
}

// Sweep forgets what is long over and, with judge, finds engines whose calls have stopped: silent lists those of which this
// is new, lost those that have been silent for so long that they count as gone. Silence is measured against the last that
// was heard of any engine: one who is cut off hears nothing, and must not take that for the end of all.
func (s *Roster) Sweep(now time.Duration, judge bool) (silent, lost, forgotten []string) {
	for id, e := range s.byID {
		switch {
		case e.State == Gone:
			if now-e.GoneAt > forgetGone {
				delete(s.byID, id)
				forgotten = append(forgotten, id)
			}
		case !judge:
		case s.newest-e.Heard > forgetGone:
			lost = append(lost, id)
		case !e.Silent && s.newest-e.Heard > s.silence:
			e.Silent = true
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	slices.Sort(lost)
	slices.Sort(forgotten)
	return silent, lost, forgotten
}

// Lose holds an engine for gone that has been silent for long. Unlike one that has signed off it may come back, with a
// later call.
func (s *Roster) Lose(now time.Duration, id string, wall int64) (news []Record) {
	e := s.byID[id]
	if e == nil || e.State == Gone {
		return nil
	}
	r := e.Record
	r.State, r.Calls, r.WarmAt = Gone, e.Newest, wall
	return s.Merge(now, r)
}

// Engines lists the engines of a service that are not over, ordered by id.
func (s *Roster) Engines(service string) (all []*Engine) {
	for _, e := range s.byID {
		if e.Service == service && e.State != Gone && !e.Silent {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(x, y *Engine) int { return cmp.Compare(x.ID, y.ID) })
	return all
}

// Find returns an engine.
func (s *Roster) Find(id string) *Engine { return s.byID[id] }

// All calls f with every engine, those included that are over.
func (s *Roster) All(f func(*Engine)) {
	for _, e := range s.byID {
		f(e)
	}
}

// Silence is how long an engine may say nothing.
func (s *Roster) Silence() time.Duration { return s.silence }

// Len tells how many engines are known.
func (s *Roster) Len() int { return len(s.byID) }
