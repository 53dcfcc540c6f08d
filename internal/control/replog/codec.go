package replog

import (
	"errors"
	"slices"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/limits"
)

// Errors returned for entries and states.
var (
	// ErrUnknownVersion is returned for an entry or a state in an unknown format, and for an entry of an unknown kind.
	ErrUnknownVersion = errors.New("replog: unknown format version")
	// ErrEntryTooLarge is returned for a usage report whose encoded counts exceed limits.UsageBytes.
	ErrEntryTooLarge = errors.New("replog: entry is too large")
)

// Format versions.
const (
	entryVersion       = 1
	firstStateVersion  = 1
	secondStateVersion = 2 // adds the compacted history and the former members
	// StateVersion is the newest state format that DecodeState reads. It adds large usage windows and vote losses.
	StateVersion = 3
)

// Limits of decoded values.
const (
	maxMembers     = 64
	maxNameBytes   = 256 // of a member or tenant name, or an address
	maxCounts      = 4096
	maxLargeCounts = 1 << 16 // of a large usage window
)

// Minimum encoded sizes of list elements, in bytes. The decoder rejects a list length that exceeds the rest of the input
// before it allocates memory.
const (
	minMemberBytes    = 10
	minCountBytes     = 2
	minHistoryBytes   = 2
	minWindowBytes    = 2
	minCompactedBytes = 17
	minNameBytes      = 1
	minVoteLossBytes  = 2
)

// entryKind is the encoded kind of a Payload.
type entryKind uint8

const (
	kindNoop entryKind = iota
	kindMembers
	kindConfig
	kindLease
	kindUsage
	kindLargeUsage // for more tenants than kindUsage allows; earlier releases ignore it like a Noop
)

func (Noop) kind() entryKind          { return kindNoop }
func (MembersChange) kind() entryKind { return kindMembers }
func (ConfigChange) kind() entryKind  { return kindConfig }
func (LeaseGrant) kind() entryKind    { return kindLease }

func (p UsageReport) kind() entryKind {
	if len(p.Counts) > maxCounts {
		return kindLargeUsage
	}
	return kindUsage
}

// Check returns an error if replicas would ignore an encoded entry. The caller must not propose such an entry: it would be chosen
// without effect, and the caller would propose it again.
func Check(encoded []byte) error {
	e, err := Decode(encoded)
	if err != nil {
		return err
	}
	if p, ok := e.Payload.(UsageReport); ok && encodedCountsBytes(p.Counts) > limits.UsageBytes {
		return ErrEntryTooLarge
	}
	return nil
}

// Encode returns the encoded entry that is proposed, sent and stored. It does not enforce the limits of Decode; Check does.
func (e Entry) Encode() []byte {
	w := encoding.Writer{}
	w.Byte(entryVersion)
	w.Byte(byte(e.Payload.kind()))
	w.Fixed64(e.Nonce)
	switch p := e.Payload.(type) {
	case MembersChange:
		writeMembers(&w, p.Members)
	case ConfigChange:
		w.Uvarint(p.BaseRevision)
		w.Bytes(p.Config)
	case LeaseGrant:
		w.Fixed64(p.HolderID)
		w.String(p.HolderName)
	case UsageReport:
		w.Uvarint(p.Window)
		writeCounts(&w, p.Counts)
	}
	return w.Buf
}

// Decode decodes an entry, which keeps references to b. The error is ErrUnknownVersion or one of package encoding.
func Decode(b []byte) (Entry, error) {
	r := encoding.Reader{Buf: b}
	if v := r.Byte(); v != entryVersion && r.Err == nil {
		return Entry{}, ErrUnknownVersion
	}
	kind := entryKind(r.Byte())
	e := Entry{Nonce: r.Fixed64()}
	switch kind {
	case kindNoop:
		e.Payload = Noop{}
	case kindMembers:
		e.Payload = MembersChange{Members: readMembers(&r)}
	case kindConfig:
		e.Payload = ConfigChange{BaseRevision: r.Uvarint(), Config: r.Bytes(fleetconfig.MaxBytes)}
	case kindLease:
		e.Payload = LeaseGrant{HolderID: r.Fixed64(), HolderName: r.String(maxNameBytes)}
	case kindUsage:
		e.Payload = UsageReport{Window: r.Uvarint(), Counts: readCounts(&r, maxCounts)}
	case kindLargeUsage:
		e.Payload = UsageReport{Window: r.Uvarint(), Counts: readCounts(&r, maxLargeCounts)}
	default:
		return Entry{}, ErrUnknownVersion
	}
	if err := r.Finish(); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// Encode returns the state in the oldest format that can represent all of it. An earlier release that does not support the
// format rejects the state with ErrUnknownVersion.
func (s *State) Encode() []byte { return s.encode(s.version()) }

// version returns the oldest format that can represent the whole state.
func (s *State) version() byte {
	switch {
	case slices.ContainsFunc(s.UsageWindows, UsageWindow.isLarge), len(s.VoteLosses) > 0:
		return StateVersion
	case len(s.CompactedHistory) > 0 || len(s.History) > minHistory || len(s.FormerMembers) > 0:
		return secondStateVersion
	}
	return firstStateVersion
}

// EncodeAs returns the state in a format no newer than maxVersion, which must be at least 1. Format 1 omits former members and all
// but the newest 64 configurations of the history. Formats 1 and 2 omit vote losses and large usage windows; the releases that
// write these formats ignore entries with large windows.
func (s *State) EncodeAs(maxVersion byte) []byte { return s.encode(min(s.version(), maxVersion)) }

func (s *State) encode(version byte) []byte {
	w := encoding.Writer{}
	w.Byte(version)
	w.Uvarint(s.NextIndex)
	writeMembers(&w, s.Members)
	w.Uvarint(s.Revision)
	w.Uvarint(s.ConfigIndex)
	w.Bytes(s.Digest[:])
	w.Bytes(s.Config)
	history := s.History
	if version == firstStateVersion {
		history = newest(history, minHistory)
	}
	writeHistory(&w, history)
	w.Fixed64(s.LeaseHolder)
	w.String(s.LeaseHolderName)
	w.Uvarint(s.FencingToken)
	windows := s.UsageWindows
	if version < StateVersion {
		windows = slices.DeleteFunc(slices.Clone(windows), UsageWindow.isLarge)
	}
	w.Uvarint(uint64(len(windows)))
	for _, x := range windows {
		w.Uvarint(x.Number)
		writeCounts(&w, x.Counts)
	}
	if version == firstStateVersion {
		return w.Buf
	}
	writeCompacted(&w, s.CompactedHistory)
	w.Uvarint(uint64(len(s.FormerMembers)))
	for _, name := range s.FormerMembers {
		w.String(name)
	}
	if version == secondStateVersion {
		return w.Buf
	}
	w.Uvarint(uint64(len(s.VoteLosses)))
	for _, l := range s.VoteLosses {
		w.String(l.Name)
		w.Uvarint(l.Index)
	}
	return w.Buf
}

// DecodeState decodes a state in any known format. The state keeps references to b. The error is ErrUnknownVersion or one of
// package encoding.
func DecodeState(b []byte) (*State, error) {
	r := encoding.Reader{Buf: b}
	version := r.Byte()
	if r.Err == nil && (version < firstStateVersion || version > StateVersion) {
		return nil, ErrUnknownVersion
	}
	maxWindowCounts := maxCounts
	if version >= StateVersion {
		maxWindowCounts = maxLargeCounts
	}
	s := &State{NextIndex: r.Uvarint()}
	s.Members = readMembers(&r)
	s.Revision, s.ConfigIndex = r.Uvarint(), r.Uvarint()
	copy(s.Digest[:], r.Bytes(len(s.Digest)))
	if s.Config = r.Bytes(fleetconfig.MaxBytes); len(s.Config) == 0 {
		s.Config = nil
	}
	s.History = readHistory(&r)
	s.LeaseHolder, s.LeaseHolderName, s.FencingToken = r.Fixed64(), r.String(maxNameBytes), r.Uvarint()
	for range r.Length(maxUsageWindows, minWindowBytes) {
		s.UsageWindows = append(s.UsageWindows, UsageWindow{Number: r.Uvarint(), Counts: readCounts(&r, maxWindowCounts)})
	}
	if version == firstStateVersion {
		return s, r.Finish()
	}
	s.CompactedHistory = readCompacted(&r)
	for range r.Length(maxFormerMembers, minNameBytes) {
		s.FormerMembers = append(s.FormerMembers, r.String(maxNameBytes))
	}
	if version == secondStateVersion {
		return s, r.Finish()
	}
	for range r.Length(maxVoteLosses, minVoteLossBytes) {
		s.VoteLosses = append(s.VoteLosses, VoteLoss{Name: r.String(maxNameBytes), Index: r.Uvarint()})
	}
	return s, r.Finish()
}

func writeMembers(w *encoding.Writer, members []Member) {
	w.Uvarint(uint64(len(members)))
	for _, m := range members {
		w.Fixed64(m.ID)
		w.String(m.Name)
		w.String(m.Addr)
	}
}

func readMembers(r *encoding.Reader) (members []Member) {
	for range r.Length(maxMembers, minMemberBytes) {
		members = append(members, Member{ID: r.Fixed64(), Name: r.String(maxNameBytes), Addr: r.String(maxNameBytes)})
	}
	return members
}

func writeCounts(w *encoding.Writer, counts []TenantCount) {
	w.Uvarint(uint64(len(counts)))
	for _, c := range counts {
		w.String(c.Tenant)
		w.Uvarint(c.Requests)
	}
}

func readCounts(r *encoding.Reader, maxItems int) (counts []TenantCount) {
	for range r.Length(maxItems, minCountBytes) {
		counts = append(counts, TenantCount{Tenant: r.String(maxNameBytes), Requests: r.Uvarint()})
	}
	return counts
}

func writeHistory(w *encoding.Writer, history []AcceptedConfig) {
	w.Uvarint(uint64(len(history)))
	for _, c := range history {
		w.Uvarint(c.Revision)
		w.Bytes(c.Digest[:])
	}
}

func readHistory(r *encoding.Reader) (history []AcceptedConfig) {
	for range r.Length(2*minHistory, minHistoryBytes) {
		c := AcceptedConfig{Revision: r.Uvarint()}
		copy(c.Digest[:], r.Bytes(len(c.Digest)))
		history = append(history, c)
	}
	return history
}

// writeCompacted writes each revision as the difference from the previous one. Revisions are in ascending order.
func writeCompacted(w *encoding.Writer, history []CompactedConfig) {
	w.Uvarint(uint64(len(history)))
	previous := uint64(0)
	for _, c := range history {
		w.Uvarint(c.Revision - previous)
		previous = c.Revision
		w.Buf = append(w.Buf, c.Digest[:]...)
	}
}

func readCompacted(r *encoding.Reader) (history []CompactedConfig) {
	previous := uint64(0)
	for range r.Length(limits.ConfigHistoryEntries, minCompactedBytes) {
		c := CompactedConfig{Revision: previous + r.Uvarint()}
		for i := range c.Digest {
			c.Digest[i] = r.Byte()
		}
		previous = c.Revision
		history = append(history, c)
	}
	return history
}
