package replog

import (
	"cmp"
	"slices"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/limits"
)

// State is the result of applying all entries below NextIndex. A copy by assignment is a snapshot, because Apply replaces
// slices and never modifies their elements.
type State struct {
	NextIndex        uint64   // index of the first entry that is not applied
	Members          []Member // the voters
	Config           []byte   // current configuration, as the operator sent it; nil if there is none yet
	Revision         uint64   // of Config
	Digest           fleetconfig.Digest
	ConfigIndex      uint64            // index of the entry that set Config
	History          []AcceptedConfig  // most recent configurations, oldest first; the last one is current
	CompactedHistory []CompactedConfig // configurations before History, oldest first
	LeaseHolder      uint64            // Member.ID; 0 if the lease was never granted
	LeaseHolderName  string
	FencingToken     uint64        // index of the entry that granted the lease
	UsageWindows     []UsageWindow // most recent windows, sorted by number
	FormerMembers    []string      // names of members that are no longer voters, latest removal last
	VoteLosses       []VoteLoss    // within the last limits.RemovalRetryEntries entries, latest last; a listed member may be a voter again
}

// VoteLoss records that a member stopped being a voter: an operator removed it, or another member replaced it.
type VoteLoss struct {
	Name  string
	Index uint64 // index of the MembersChange entry
}

// UsageWindow is a usage window whose counts were recorded by an entry.
type UsageWindow struct {
	Number uint64
	Counts []TenantCount
}

// isLarge reports whether the window has more tenants than earlier releases accept.
func (w UsageWindow) isLarge() bool { return len(w.Counts) > maxCounts }

// encodedCountsBytes returns the encoded size of counts, without their length prefix.
func encodedCountsBytes(counts []TenantCount) (bytes int) {
	for i := range counts {
		c := &counts[i]
		bytes += encoding.UvarintBytes(uint64(len(c.Tenant))) + len(c.Tenant) + encoding.UvarintBytes(c.Requests)
	}
	return bytes
}

const (
	maxFormerMembers = 64
	maxVoteLosses    = 64
	maxUsageWindows  = 24 // a new lease holder reports the windows that the previous one could not
)

// Apply applies the entry at NextIndex. An entry that cannot be decoded, or whose condition fails, changes only NextIndex.
//
// Replicas at different versions must derive the same state. Only the proposer therefore validates the content of a
// configuration: if Apply did, versions with different rules would diverge.
func (s *State) Apply(value []byte) {
	index := s.NextIndex
	s.NextIndex++
	if e, err := Decode(value); err == nil {
		e.Payload.apply(s, index)
	}
}

func (Noop) apply(*State, uint64) {}

func (p MembersChange) apply(s *State, index uint64) {
	if len(p.Members) == 0 {
		return
	}
	s.recordVoteLosses(p.Members, index)
	s.setMembers(p.Members)
}

func (p ConfigChange) apply(s *State, index uint64) {
	c, digest, err := fleetconfig.DecodeWithDigest(p.Config)
	if err != nil || p.BaseRevision != s.Revision || c.Revision <= s.Revision {
		return
	}
	s.Config, s.Revision, s.Digest, s.ConfigIndex = p.Config, c.Revision, digest, index
	s.appendHistory(AcceptedConfig{Revision: c.Revision, Digest: digest})
}

func (p LeaseGrant) apply(s *State, index uint64) {
	s.LeaseHolder, s.LeaseHolderName, s.FencingToken = p.HolderID, p.HolderName, index
}

// apply ignores a window that is already recorded, or older than all kept windows: it may have been recorded and dropped.
func (p UsageReport) apply(s *State, _ uint64) {
	if s.AgreedUsage(p.Window) != nil || s.IsUsageTooOld(p.Window) {
		return
	}
	windows := append(slices.Clone(s.UsageWindows), UsageWindow{Number: p.Window, Counts: p.Counts})
	slices.SortFunc(windows, func(x, y UsageWindow) int { return cmp.Compare(x.Number, y.Number) })
	s.UsageWindows = limitWindowBytes(newest(windows, maxUsageWindows))
}

// limitWindowBytes drops the oldest windows while the counts exceed limits.UsageBytes, so that a state fits into one message.
// It always keeps the newest window, and stops once no remaining window is large, because earlier releases keep those windows.
func limitWindowBytes(windows []UsageWindow) []UsageWindow {
	bytes := 0
	for i := range windows {
		bytes += encodedCountsBytes(windows[i].Counts)
	}
	for len(windows) > 1 && bytes > limits.UsageBytes && slices.ContainsFunc(windows, UsageWindow.isLarge) {
		bytes -= encodedCountsBytes(windows[0].Counts)
		windows = windows[1:]
	}
	return windows
}

// setMembers replaces the voters and records the names of the removed ones, so that a repeated request to remove a member is
// recognised as already done.
func (s *State) setMembers(members []Member) {
	hasName := func(members []Member, name string) bool {
		return slices.ContainsFunc(members, func(m Member) bool { return m.Name == name })
	}
	former := slices.DeleteFunc(slices.Clone(s.FormerMembers), func(name string) bool { return hasName(members, name) })
	for _, m := range s.Members {
		if !hasName(members, m.Name) {
			former = append(former, m.Name)
		}
	}
	if former = newest(former, maxFormerMembers); len(former) == 0 {
		former = nil
	}
	s.FormerMembers, s.Members = former, members
}

// recordVoteLosses records the voters that are not among members, and drops losses for which removals are no longer retried.
func (s *State) recordVoteLosses(members []Member, index uint64) {
	losses := slices.DeleteFunc(slices.Clone(s.VoteLosses), func(l VoteLoss) bool { return l.isExpired(index) })
	for _, old := range s.Members {
		if !slices.ContainsFunc(members, func(m Member) bool { return m.ID == old.ID }) {
			losses = append(losses, VoteLoss{Name: old.Name, Index: index})
		}
	}
	if s.VoteLosses = newest(losses, maxVoteLosses); len(s.VoteLosses) == 0 {
		s.VoteLosses = nil
	}
}

func (l VoteLoss) isExpired(index uint64) bool { return index-l.Index > limits.RemovalRetryEntries }

// HasLostVote reports whether the member with the given name stopped being a voter within the last limits.RemovalRetryEntries
// entries. It may be a voter again, because a running replica replaces a failed voter.
func (s *State) HasLostVote(name string) bool {
	return slices.ContainsFunc(s.VoteLosses, func(l VoteLoss) bool { return l.Name == name && !l.isExpired(s.NextIndex) })
}

// Member returns the voter with the given ID, or nil.
func (s *State) Member(id uint64) *Member {
	for i := range s.Members {
		if s.Members[i].ID == id {
			return &s.Members[i]
		}
	}
	return nil
}

// AgreedUsage returns the usage window with the given number, or nil if it was not recorded or is no longer kept.
func (s *State) AgreedUsage(number uint64) *UsageWindow {
	for i := range s.UsageWindows {
		if s.UsageWindows[i].Number == number {
			return &s.UsageWindows[i]
		}
	}
	return nil
}

// IsUsageTooOld reports whether a usage window is older than all kept windows, so that its counts can no longer be recorded.
func (s *State) IsUsageTooOld(number uint64) bool {
	return len(s.UsageWindows) > 0 && number < s.UsageWindows[0].Number
}

// newest returns the last n elements of list, or all of them if there are fewer.
func newest[T any](list []T, n int) []T { return list[max(len(list)-n, 0):] }
