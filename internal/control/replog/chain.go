// Package replog owns what the fleet agrees on: entries, one a place, and the State that they add up to. It is pure. Place 0
// holds the founders; every later place is a change of members, a configuration, a holder of the duties, a usage window's
// figures, or nothing at all (which a reader proposes to find out what was chosen).
package replog

import (
	"cmp"
	"errors"
	"slices"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/limits"
)

// EntryKind is what an entry is.
type EntryKind uint8

// The kinds of entries.
const (
	EntryNoop EntryKind = iota
	EntryMembers
	EntryConfig
	EntryLeaseHolder
	EntryUsage
)

// Member holds the state. Its ID is of its name and of its disk, so that a machine with another disk is another member.
type Member struct {
	ID   uint64
	Name string
	Addr string // of its calls
}

// Entry is the value of a place.
type Entry struct {
	Kind         EntryKind
	Nonce        uint64 // so that no two proposals are alike by chance
	Members      []Member
	BaseRevision uint64 // Config: the revision that it builds on
	Config       []byte // Config: as it came
	HolderID     uint64 // Holder
	HolderName   string // Holder
	Window       uint64 // Usage
	Counts       []TenantCount
}

// TenantCount is a tenant's requests in a window.
type TenantCount struct {
	Tenant   string
	Requests uint64
}

// Bounds of what is read.
const (
	mostMembers = 64
	mostName    = 256
	mostCounts  = 4096
	version     = 1 // of an entry, and of a state that the first format holds
	// StateVersion is the newest format of a state that is read here.
	StateVersion = 2
)

// Encode writes an entry.
func (e *Entry) Encode() []byte {
	w := encoding.Writer{}
	w.Byte(version)
	w.Byte(byte(e.Kind))
	w.Fixed64(e.Nonce)
	switch e.Kind {
	case EntryMembers:
		writeMembers(&w, e.Members)
	case EntryConfig:
		w.Uvarint(e.BaseRevision)
		w.Bytes(e.Config)
	case EntryLeaseHolder:
		w.Fixed64(e.HolderID)
		w.String(e.HolderName)
	case EntryUsage:
		w.Uvarint(e.Window)
		writeCounts(&w, e.Counts)
	}
	return w.Buf
}

func writeMembers(w *encoding.Writer, all []Member) {
	w.Uvarint(uint64(len(all)))
	for _, m := range all {
		w.Fixed64(m.ID)
		w.String(m.Name)
		w.String(m.Addr)
	}
}

func readMembers(r *encoding.Reader) (all []Member) {
	for range r.Length(mostMembers, 10) {
		all = append(all, Member{ID: r.Fixed64(), Name: r.String(mostName), Addr: r.String(mostName)})
	}
	return all
}

func writeCounts(w *encoding.Writer, all []TenantCount) {
	w.Uvarint(uint64(len(all)))
	for _, c := range all {
		w.String(c.Tenant)
		w.Uvarint(c.Requests)
	}
}

func readCounts(r *encoding.Reader) (all []TenantCount) {
	for range r.Length(mostCounts, 2) {
		all = append(all, TenantCount{r.String(mostName), r.Uvarint()})
	}
	return all
}

// ErrUnknownVersion is a text of another version of the format, or of a kind that is not known.
var ErrUnknownVersion = errors.New("chain: another version of the format")

// Decode reads an entry.
func Decode(b []byte) (*Entry, error) {
	r := encoding.Reader{Buf: b}
	if v := r.Byte(); v != version && r.Err == nil {
		return nil, ErrUnknownVersion
	}
	e := &Entry{Kind: EntryKind(r.Byte()), Nonce: r.Fixed64()}
	switch e.Kind {
	case EntryNoop:
	case EntryMembers:
		e.Members = readMembers(&r)
	case EntryConfig:
		e.BaseRevision = r.Uvarint()
		e.Config = r.Bytes(fleetconfig.MostBytes)
	case EntryLeaseHolder:
		e.HolderID, e.HolderName = r.Fixed64(), r.String(mostName)
	case EntryUsage:
		e.Window, e.Counts = r.Uvarint(), readCounts(&r)
	default:
		return nil, ErrUnknownVersion
	}
	return e, r.Finish()
}

// AcceptedConfig is a configuration that was taken once.
type AcceptedConfig struct {
	Revision uint64
	Digest   fleetconfig.Digest
}

// CompactedConfig is what is kept of one that was taken longer ago: 16 bytes of its digest, so that two texts of one number are told
// apart by all but one chance in 2^128.
type CompactedConfig struct {
	Revision uint64
	Digest   [16]byte
}

// State is what the entries up to Next add up to. A copy stays as it is, whatever is applied to the other.
type State struct {
	NextIndex        uint64 // the first place that is not in it
	Members          []Member
	Config           []byte // of the newest configuration; nil before the first
	Revision         uint64
	Digest           fleetconfig.Digest
	ConfigIndex      uint64
	History          []AcceptedConfig  // the newest configurations that were taken, oldest first, the current one among them
	CompactedHistory []CompactedConfig // those before them, oldest first
	LeaseHolder      uint64            // 0 = there was none yet
	LeaseHolderName  string
	FencingToken     uint64 // its fence
	UsageWindows     []UsageWindow
	FormerMembers    []string // names that have had a vote and have none any more, the latest last
}

// UsageWindow is a usage window whose figures are agreed.
type UsageWindow struct {
	Number uint64
	Counts []TenantCount
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
	s.NextIndex++
	e, err := Decode(value)
	if err != nil {
		return
	}
	switch e.Kind {
	case EntryMembers:
		if len(e.Members) > 0 {
			s.follow(e.Members)
		}
	case EntryConfig:
		c, digest, err := fleetconfig.Decode(e.Config)
		if err != nil || e.BaseRevision != s.Revision || c.Revision <= s.Revision {
			return
		}
		s.Config, s.Revision, s.Digest, s.ConfigIndex = e.Config, c.Revision, digest, s.NextIndex-1
		s.take(AcceptedConfig{c.Revision, digest})
	case EntryLeaseHolder:
		s.LeaseHolder, s.LeaseHolderName, s.FencingToken = e.HolderID, e.HolderName, s.NextIndex-1
	case EntryUsage:
		if s.AgreedUsage(e.Window) != nil || len(s.UsageWindows) > 0 && e.Window < s.UsageWindows[0].Number {
			return // the first figure stands
		}
		s.UsageWindows = append(slices.Clone(s.UsageWindows), UsageWindow{e.Window, e.Counts})
		slices.SortFunc(s.UsageWindows, func(x, y UsageWindow) int { return cmp.Compare(x.Number, y.Number) })
		s.UsageWindows = s.UsageWindows[max(len(s.UsageWindows)-keptWindows, 0):]
	}
}

// follow has others vote from now on. Who does not any more is kept by name, so that an order to take it out that comes again is
// known for done.
func (s *State) follow(members []Member) {
	named := func(all []Member, name string) bool {
		return slices.ContainsFunc(all, func(m Member) bool { return m.Name == name })
	}
	s.FormerMembers = slices.DeleteFunc(slices.Clone(s.FormerMembers), func(name string) bool { return named(members, name) })
	for _, m := range s.Members {
		if !named(members, m.Name) {
			s.FormerMembers = append(s.FormerMembers, m.Name)
		}
	}
	if s.FormerMembers = s.FormerMembers[max(len(s.FormerMembers)-keptFormer, 0):]; len(s.FormerMembers) == 0 {
		s.FormerMembers = nil
	}
	s.Members = members
}

// take notes a configuration. Of the newest ones half are made brief when there are twice as many as must be kept whole, so
// that the long list is copied once in 64 changes.
func (s *State) take(t AcceptedConfig) {
	s.History = append(slices.Clone(s.History), t)
	if len(s.History) < 2*keptHistory {
		return
	}
	s.CompactedHistory = slices.Clone(s.CompactedHistory[max(len(s.CompactedHistory)+keptHistory-limits.NodeHistory, 0):])
	for _, t := range s.History[:keptHistory] {
		s.CompactedHistory = append(s.CompactedHistory, t.brief())
	}
	s.History = slices.Clone(s.History[keptHistory:])
}

func (t *AcceptedConfig) brief() CompactedConfig {
	return CompactedConfig{t.Revision, [16]byte(t.Digest[:16])}
}

// ConfigStatus is what becomes of an operator's configuration upon a state.
type ConfigStatus uint8

// It may be proposed; it was taken, now or before; another version is current than the one it builds on; its number is not
// above the current one.
const (
	ConfigAcceptable ConfigStatus = iota
	ConfigAlreadyAccepted
	ConfigStaleBase
	ConfigRevisionTooLow
)

// CheckConfig tells the standing of a configuration that builds on a version. Whoever proposes it asks again after each ballot:
// that one was won says nothing, since what was chosen may be another's.
func (s *State) CheckConfig(on, revision uint64, d fleetconfig.Digest) ConfigStatus {
	switch {
	case s.WasAccepted(revision, d):
		return ConfigAlreadyAccepted
	case s.Revision != on:
		return ConfigStaleBase
	case revision <= s.Revision:
		return ConfigRevisionTooLow
	}
	return ConfigAcceptable
}

// AgreedUsage returns a usage window, if its figures are agreed and still kept.
func (s *State) AgreedUsage(number uint64) *UsageWindow {
	for i := range s.UsageWindows {
		if s.UsageWindows[i].Number == number {
			return &s.UsageWindows[i]
		}
	}
	return nil
}

// WasAccepted tells whether a configuration was taken under this revision, as far back as the history goes.
func (s *State) WasAccepted(revision uint64, d fleetconfig.Digest) bool {
	t := AcceptedConfig{revision, d}
	if slices.Contains(s.History, t) {
		return true
	}
	i, ok := slices.BinarySearchFunc(s.CompactedHistory, revision, func(b CompactedConfig, r uint64) int { return cmp.Compare(b.Revision, r) })
	return ok && s.CompactedHistory[i] == t.brief()
}

// OldestRevision is the first revision of the history: whether one below it was ever taken is not known here. 0 = none was taken.
func (s *State) OldestRevision() uint64 {
	switch {
	case len(s.CompactedHistory) > 0:
		return s.CompactedHistory[0].Revision
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
	if len(s.CompactedHistory) > 0 || len(s.History) > keptHistory || len(s.FormerMembers) > 0 {
		return s.encode(StateVersion)
	}
	return s.encode(version)
}

// EncodeAs writes a state for who reads formats up to one. The first format holds the newest 64 of the history alone.
func (s *State) EncodeAs(newest byte) []byte {
	if newest >= StateVersion {
		return s.Encode()
	}
	return s.encode(version)
}

func (s *State) encode(format byte) []byte {
	w := encoding.Writer{}
	w.Byte(format)
	w.Uvarint(s.NextIndex)
	writeMembers(&w, s.Members)
	w.Uvarint(s.Revision)
	w.Uvarint(s.ConfigIndex)
	w.Bytes(s.Digest[:])
	w.Bytes(s.Config)
	all := s.History
	if format == version {
		all = all[max(len(all)-keptHistory, 0):]
	}
	w.Uvarint(uint64(len(all)))
	for _, h := range all {
		w.Uvarint(h.Revision)
		w.Bytes(h.Digest[:])
	}
	w.Fixed64(s.LeaseHolder)
	w.String(s.LeaseHolderName)
	w.Uvarint(s.FencingToken)
	w.Uvarint(uint64(len(s.UsageWindows)))
	for _, x := range s.UsageWindows {
		w.Uvarint(x.Number)
		writeCounts(&w, x.Counts)
	}
	if format == version {
		return w.Buf
	}
	w.Uvarint(uint64(len(s.CompactedHistory)))
	before := uint64(0)
	for _, h := range s.CompactedHistory {
		w.Uvarint(h.Revision - before) // they rise
		before = h.Revision
		w.Buf = append(w.Buf, h.Digest[:]...)
	}
	w.Uvarint(uint64(len(s.FormerMembers)))
	for _, name := range s.FormerMembers {
		w.String(name)
	}
	return w.Buf
}

// DecodeState reads a state of either format.
func DecodeState(b []byte) (*State, error) {
	r := encoding.Reader{Buf: b}
	format := r.Byte()
	if r.Err == nil && format != version && format != StateVersion {
		return nil, ErrUnknownVersion
	}
	s := &State{NextIndex: r.Uvarint()}
	s.Members = readMembers(&r)
	s.Revision, s.ConfigIndex = r.Uvarint(), r.Uvarint()
	copy(s.Digest[:], r.Bytes(len(s.Digest)))
	if s.Config = r.Bytes(fleetconfig.MostBytes); len(s.Config) == 0 {
		s.Config = nil
	}
	for range r.Length(2*keptHistory, 2) {
		h := AcceptedConfig{Revision: r.Uvarint()}
		copy(h.Digest[:], r.Bytes(len(h.Digest)))
		s.History = append(s.History, h)
	}
	s.LeaseHolder, s.LeaseHolderName, s.FencingToken = r.Fixed64(), r.String(mostName), r.Uvarint()
	for range r.Length(keptWindows, 2) {
		s.UsageWindows = append(s.UsageWindows, UsageWindow{Number: r.Uvarint(), Counts: readCounts(&r)})
	}
	if format == version {
		return s, r.Finish()
	}
	before := uint64(0)
	for range r.Length(limits.NodeHistory, 17) {
		h := CompactedConfig{Revision: before + r.Uvarint()}
		for i := range h.Digest {
			h.Digest[i] = r.Byte()
		}
		before = h.Revision
		s.CompactedHistory = append(s.CompactedHistory, h)
	}
	for range r.Length(keptFormer, 1) {
		s.FormerMembers = append(s.FormerMembers, r.String(mostName))
	}
	return s, r.Finish()
}
