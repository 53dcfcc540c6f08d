// Package chain owns what the fleet agrees on: entries, one a place, and the State that they add up to. It is pure. Place 0
// holds the founders; every later place is a change of members, a configuration, a holder of the duties, a usage window's
// figures, or nothing at all (which a reader proposes to find out what was chosen).
package chain

import (
	"cmp"
	"errors"
	"slices"

	"notchhinge/internal/control/declared"
	"notchhinge/internal/control/form"
	"notchhinge/internal/limits"
)

// Kind is what an entry is.
type Kind uint8

// The kinds of entries.
const (
	Nothing Kind = iota
	Members
	Config
	Holder
	Usage
)

// Member holds the state. Its ID is of its name and of its disk, so that a machine with another disk is another member.
type Member struct {
	ID   uint64
	Name string
	Addr string // of its calls
}

// Entry is the value of a place.
type Entry struct {
	Kind    Kind
	Nonce   uint64 // so that no two proposals are alike by chance
	Members []Member
	On      uint64 // Config: the revision that it builds on
	Text    []byte // Config: as it came
	Node    uint64 // Holder
	Name    string // Holder
	Window  uint64 // Usage
	Counts  []Count
}

// Count is a tenant's requests in a window.
type Count struct {
	Tenant string
	N      uint64
}

// Bounds of what is read.
const (
	mostMembers = 64
	mostName    = 256
	mostCounts  = 4096
	version     = 1 // of an entry, and of a state that the first format holds
	// Version is the newest format of a state that is read here.
	Version = 2
)

// Encode writes an entry.
func (e *Entry) Encode() []byte {
	w := form.Writer{}
	w.Byte(version)
	w.Byte(byte(e.Kind))
	w.Word(e.Nonce)
	switch e.Kind {
	case Members:
		writeMembers(&w, e.Members)
	case Config:
		w.Uint(e.On)
		w.Bytes(e.Text)
	case Holder:
		w.Word(e.Node)
		w.String(e.Name)
	case Usage:
		w.Uint(e.Window)
		writeCounts(&w, e.Counts)
	}
	return w.B
}

func writeMembers(w *form.Writer, all []Member) {
	w.Uint(uint64(len(all)))
	for _, m := range all {
		w.Word(m.ID)
		w.String(m.Name)
		w.String(m.Addr)
	}
}

func readMembers(r *form.Reader) (all []Member) {
	for range r.Count(mostMembers, 10) {
		all = append(all, Member{ID: r.Word(), Name: r.String(mostName), Addr: r.String(mostName)})
	}
	return all
}

func writeCounts(w *form.Writer, all []Count) {
	w.Uint(uint64(len(all)))
	for _, c := range all {
		w.String(c.Tenant)
		w.Uint(c.N)
	}
}

func readCounts(r *form.Reader) (all []Count) {
	for range r.Count(mostCounts, 2) {
		all = append(all, Count{r.String(mostName), r.Uint()})
	}
	return all
}

// ErrVersion is a text of another version of the format, or of a kind that is not known.
var ErrVersion = errors.New("chain: another version of the format")

// Decode reads an entry.
func Decode(b []byte) (*Entry, error) {
	r := form.Reader{B: b}
	if v := r.Byte(); v != version && r.Err == nil {
		return nil, ErrVersion
	}
	e := &Entry{Kind: Kind(r.Byte()), Nonce: r.Word()}
	switch e.Kind {
	case Nothing:
	case Members:
		e.Members = readMembers(&r)
	case Config:
		e.On = r.Uint()
		e.Text = r.Bytes(declared.MostBytes)
	case Holder:
		e.Node, e.Name = r.Word(), r.String(mostName)
	case Usage:
		e.Window, e.Counts = r.Uint(), readCounts(&r)
	default:
		return nil, ErrVersion
	}
	return e, r.End()
}

// Taken is a configuration that was taken once.
type Taken struct {
	Revision uint64
	Digest   declared.Digest
}

// Brief is what is kept of one that was taken longer ago: 16 bytes of its digest, so that two texts of one number are told
// apart by all but one chance in 2^128.
type Brief struct {
	Revision uint64
	Digest   [16]byte
}

// State is what the entries up to Next add up to. A copy stays as it is, whatever is applied to the other.
type State struct {
	Next        uint64 // the first place that is not in it
	Members     []Member
	Text        []byte // of the newest configuration; nil before the first
	Revision    uint64
	Digest      declared.Digest
	ConfigPlace uint64
	History     []Taken // the newest configurations that were taken, oldest first, the current one among them
	Earlier     []Brief // those before them, oldest first
	Holder      uint64  // 0 = there was none yet
	HolderName  string
	HolderPlace uint64 // its fence
	Windows     []Window
	Former      []string // names that have had a vote and have none any more, the latest last
}

// Window is a usage window whose figures are agreed.
type Window struct {
	Number uint64
	Counts []Count
}

const (
	keptHistory = 64 // configurations with their whole digests, at the least: as many as the first format holds
	keptFormer  = 64 // names of former members, as many as an entry can name members
	keptWindows = 24 // agreed usage windows, so that a holder sends again what an earlier one could not
)

// Apply adds the entry of place Next. An entry that cannot be read, or that does not fit, changes nothing: every member
// reads it alike, those of an earlier program too. So what a configuration says is judged by who proposes it alone: judged
// here, a stricter program would come to another state than a more lenient one.
func (s *State) Apply(value []byte) {
	s.Next++
	e, err := Decode(value)
	if err != nil {
		return
	}
	switch e.Kind {
	case Members:
		if len(e.Members) > 0 {
			s.follow(e.Members)
		}
	case Config:
		c, digest, err := declared.Decode(e.Text)
		if err != nil || e.On != s.Revision || c.Revision <= s.Revision {
			return
		}
		s.Text, s.Revision, s.Digest, s.ConfigPlace = e.Text, c.Revision, digest, s.Next-1
		s.take(Taken{c.Revision, digest})
	case Holder:
		s.Holder, s.HolderName, s.HolderPlace = e.Node, e.Name, s.Next-1
	case Usage:
		if s.Agreed(e.Window) != nil || len(s.Windows) > 0 && e.Window < s.Windows[0].Number {
			return // the first figure stands
		}
		s.Windows = append(slices.Clone(s.Windows), Window{e.Window, e.Counts})
		slices.SortFunc(s.Windows, func(x, y Window) int { return cmp.Compare(x.Number, y.Number) })
		s.Windows = s.Windows[max(len(s.Windows)-keptWindows, 0):]
	}
}

// follow has others vote from now on. Who does not any more is kept by name, so that an order to take it out that comes again is
// known for done.
func (s *State) follow(members []Member) {
	named := func(all []Member, name string) bool {
		return slices.ContainsFunc(all, func(m Member) bool { return m.Name == name })
	}
	s.Former = slices.DeleteFunc(slices.Clone(s.Former), func(name string) bool { return named(members, name) })
	for _, m := range s.Members {
		if !named(members, m.Name) {
			s.Former = append(s.Former, m.Name)
		}
	}
	if s.Former = s.Former[max(len(s.Former)-keptFormer, 0):]; len(s.Former) == 0 {
		s.Former = nil
	}
	s.Members = members
}

// take notes a configuration. Of the newest ones half are made brief when there are twice as many as must be kept whole, so
// that the long list is copied once in 64 changes.
func (s *State) take(t Taken) {
	s.History = append(slices.Clone(s.History), t)
	if len(s.History) < 2*keptHistory {
		return
	}
	s.Earlier = slices.Clone(s.Earlier[max(len(s.Earlier)+keptHistory-limits.NodeHistory, 0):])
	for _, t := range s.History[:keptHistory] {
		s.Earlier = append(s.Earlier, t.brief())
	}
	s.History = slices.Clone(s.History[keptHistory:])
}

func (t *Taken) brief() Brief { return Brief{t.Revision, [16]byte(t.Digest[:16])} }

// Standing is what becomes of an operator's configuration upon a state.
type Standing uint8

// It may be proposed; it was taken, now or before; another version is current than the one it builds on; its number is not
// above the current one.
const (
	Open Standing = iota
	Was
	Late
	Low
)

// Stands tells the standing of a configuration that builds on a version. Whoever proposes it asks again after each ballot:
// that one was won says nothing, since what was chosen may be another's.
func (s *State) Stands(on, revision uint64, d declared.Digest) Standing {
	switch {
	case s.Was(revision, d):
		return Was
	case s.Revision != on:
		return Late
	case revision <= s.Revision:
		return Low
	}
	return Open
}

// Agreed returns a usage window, if its figures are agreed and still kept.
func (s *State) Agreed(number uint64) *Window {
	for i := range s.Windows {
		if s.Windows[i].Number == number {
			return &s.Windows[i]
		}
	}
	return nil
}

// Was tells whether a configuration was taken under this revision, as far back as the history goes.
func (s *State) Was(revision uint64, d declared.Digest) bool {
	t := Taken{revision, d}
	if slices.Contains(s.History, t) {
		return true
	}
	i, ok := slices.BinarySearchFunc(s.Earlier, revision, func(b Brief, r uint64) int { return cmp.Compare(b.Revision, r) })
	return ok && s.Earlier[i] == t.brief()
}

// Oldest is the first revision of the history: whether one below it was ever taken is not known here. 0 = none was taken.
func (s *State) Oldest() uint64 {
	switch {
	case len(s.Earlier) > 0:
		return s.Earlier[0].Revision
	case len(s.History) > 0:
		return s.History[0].Revision
	}
	return 0
}

// Member finds a member.
func (s *State) Member(id uint64) *Member {
	for i := range s.Members {
		if s.Members[i].ID == id {
			return &s.Members[i]
		}
	}
	return nil
}

// Encode writes a state: in the first format for as long as that holds all of it, so that an earlier program reads it; the
// second one that refuses with ErrVersion, as a whole.
func (s *State) Encode() []byte {
	if len(s.Earlier) > 0 || len(s.History) > keptHistory || len(s.Former) > 0 {
		return s.encode(Version)
	}
	return s.encode(version)
}

// EncodeAs writes a state for who reads formats up to one. The first format holds the newest 64 of the history alone.
func (s *State) EncodeAs(newest byte) []byte {
	if newest >= Version {
		return s.Encode()
	}
	return s.encode(version)
}

func (s *State) encode(format byte) []byte {
	w := form.Writer{}
	w.Byte(format)
	w.Uint(s.Next)
	writeMembers(&w, s.Members)
	w.Uint(s.Revision)
	w.Uint(s.ConfigPlace)
	w.Bytes(s.Digest[:])
	w.Bytes(s.Text)
	all := s.History
	if format == version {
		all = all[max(len(all)-keptHistory, 0):]
	}
	w.Uint(uint64(len(all)))
	for _, h := range all {
		w.Uint(h.Revision)
		w.Bytes(h.Digest[:])
	}
	w.Word(s.Holder)
	w.String(s.HolderName)
	w.Uint(s.HolderPlace)
	w.Uint(uint64(len(s.Windows)))
	for _, x := range s.Windows {
		w.Uint(x.Number)
		writeCounts(&w, x.Counts)
	}
	if format == version {
		return w.B
	}
	w.Uint(uint64(len(s.Earlier)))
	before := uint64(0)
	for _, h := range s.Earlier {
		w.Uint(h.Revision - before) // they rise
		before = h.Revision
		w.B = append(w.B, h.Digest[:]...)
	}
	w.Uint(uint64(len(s.Former)))
	for _, name := range s.Former {
		w.String(name)
	}
	return w.B
}

// DecodeState reads a state of either format.
func DecodeState(b []byte) (*State, error) {
	r := form.Reader{B: b}
	format := r.Byte()
	if r.Err == nil && format != version && format != Version {
		return nil, ErrVersion
	}
	s := &State{Next: r.Uint()}
	s.Members = readMembers(&r)
	s.Revision, s.ConfigPlace = r.Uint(), r.Uint()
	copy(s.Digest[:], r.Bytes(len(s.Digest)))
	if s.Text = r.Bytes(declared.MostBytes); len(s.Text) == 0 {
		s.Text = nil
	}
	for range r.Count(2*keptHistory, 2) {
		h := Taken{Revision: r.Uint()}
		copy(h.Digest[:], r.Bytes(len(h.Digest)))
		s.History = append(s.History, h)
	}
	s.Holder, s.HolderName, s.HolderPlace = r.Word(), r.String(mostName), r.Uint()
	for range r.Count(keptWindows, 2) {
		s.Windows = append(s.Windows, Window{Number: r.Uint(), Counts: readCounts(&r)})
	}
	if format == version {
		return s, r.End()
	}
	before := uint64(0)
	for range r.Count(limits.NodeHistory, 17) {
		h := Brief{Revision: before + r.Uint()}
		for i := range h.Digest {
			h.Digest[i] = r.Byte()
		}
		before = h.Revision
		s.Earlier = append(s.Earlier, h)
	}
	for range r.Count(keptFormer, 1) {
		s.Former = append(s.Former, r.String(mostName))
	}
	return s, r.End()
}
