package replog

import (
	"cmp"
	"slices"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/limits"
)

// State is the sum of all entries below NextIndex. A copy by assignment is a snapshot: Apply replaces slices and does not
// write into them.
type State struct {
	NextIndex        uint64   // index of the first entry that is not in it
	Members          []Member // the voters
	Config           []byte   // current configuration, as the operator sent it; nil before the first
	Revision         uint64   // of Config
	Digest           fleetconfig.Digest
	ConfigIndex      uint64            // index that accepted Config
	History          []AcceptedConfig  // newest configurations, oldest first; the last one is the current one
	CompactedHistory []CompactedConfig // those before them, oldest first
	LeaseHolder      uint64            // Member.ID; 0 = the lease was never granted
	LeaseHolderName  string
	FencingToken     uint64        // index of the grant
	UsageWindows     []UsageWindow // newest ones, by number
	FormerMembers    []string      // names that once had a vote and have none now, latest removal last
	VoteLosses       []VoteLoss    // of the last limits.RemovalRetryEntries entries, latest last; who lost a vote may have one again
}

// VoteLoss is the loss of a member's vote, by an operator's call or to a member that replaced it.
type VoteLoss struct {
	Name  string
	Index uint64 // of the entry
}

// UsageWindow is a usage window whose counts are agreed.
type UsageWindow struct {
	Number uint64
	Counts []TenantCount
}

// isLarge reports whether the window has more tenants than earlier releases take.
func (x UsageWindow) isLarge() bool { return len(x.Counts) > maxCounts }

// countBytes is what counts take in an encoded entry or state.
func countBytes(counts []TenantCount) (bytes int) {
	for i := range counts {
		c := &counts[i]
		bytes += encoding.UvarintBytes(uint64(len(c.Tenant))) + len(c.Tenant) + encoding.UvarintBytes(c.Requests)
	}
	return bytes
}

const (
	maxFormerMembers = 64 // as many as an entry can name members
	maxVoteLosses    = 64
	maxUsageWindows  = 24 // a new lease holder reports again those that the previous one could not
)

// Apply adds the entry at NextIndex. An entry that cannot be decoded, or whose condition fails, changes nothing but
// NextIndex.
//
// Every replica must come to the same state, those of an earlier version included. Whether a configuration makes sense is
// therefore checked by its proposer alone: were it checked here, a stricter version would diverge from a more lenient one.
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

// apply ignores a window that is agreed or older than all that are kept: it may have been agreed and dropped.
func (p UsageReport) apply(s *State, _ uint64) {
	if s.AgreedUsage(p.Window) != nil || s.IsUsageTooOld(p.Window) {
		return
	}
	windows := append(slices.Clone(s.UsageWindows), UsageWindow{Number: p.Window, Counts: p.Counts})
	slices.SortFunc(windows, func(x, y UsageWindow) int { return cmp.Compare(x.Number, y.Number) })
	s.UsageWindows = boundWindows(newest(windows, maxUsageWindows))
}

// boundWindows drops the oldest windows while the counts take more than limits.UsageBytes, so that a state can be sent as one
// message. It leaves the newest one, and windows among which none is large, which earlier releases keep as well.
func boundWindows(windows []UsageWindow) []UsageWindow {
	bytes := 0
	for i := range windows {
		bytes += countBytes(windows[i].Counts)
	}
	for len(windows) > 1 && bytes > limits.UsageBytes && slices.ContainsFunc(windows, UsageWindow.isLarge) {
		bytes -= countBytes(windows[0].Counts)
		windows = windows[1:]
	}
	return windows
}

// setMembers replaces the voters and keeps the names of those that lose their vote, so that a repeated request to remove one
// is recognised as done.
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

// recordVoteLosses notes who loses its vote, and forgets losses that no call is retried for any more.
func (s *State) recordVoteLosses(members []Member, index uint64) {
	losses := slices.DeleteFunc(slices.Clone(s.VoteLosses), func(l VoteLoss) bool { return l.isForgotten(index) })
	for _, old := range s.Members {
		if !slices.ContainsFunc(members, func(m Member) bool { return m.ID == old.ID }) {
			losses = append(losses, VoteLoss{Name: old.Name, Index: index})
		}
	}
	if s.VoteLosses = newest(losses, maxVoteLosses); len(s.VoteLosses) == 0 {
		s.VoteLosses = nil
	}
}

func (l VoteLoss) isForgotten(index uint64) bool { return index-l.Index > limits.RemovalRetryEntries }

// HasLostVote reports whether a member of a name lost its vote within the last limits.RemovalRetryEntries entries. It may have one
// again: a replica that runs takes the place of one that has failed.
func (s *State) HasLostVote(name string) bool {
	return slices.ContainsFunc(s.VoteLosses, func(l VoteLoss) bool { return l.Name == name && !l.isForgotten(s.NextIndex) })
}

// Member returns the voter with an id, or nil.
func (s *State) Member(id uint64) *Member {
	for i := range s.Members {
		if s.Members[i].ID == id {
			return &s.Members[i]
		}
	}
	return nil
}

// AgreedUsage returns a usage window whose counts are agreed and still kept, or nil.
func (s *State) AgreedUsage(number uint64) *UsageWindow {
	for i := range s.UsageWindows {
		if s.UsageWindows[i].Number == number {
			return &s.UsageWindows[i]
		}
	}
	return nil
}

// IsUsageTooOld reports whether a usage window is older than all that are kept, so that its counts cannot be agreed any more.
func (s *State) IsUsageTooOld(number uint64) bool {
	return len(s.UsageWindows) > 0 && number < s.UsageWindows[0].Number
}

// newest returns the last n elements of a list, or all if there are fewer.
func newest[T any](list []T, n int) []T { return list[max(len(list)-n, 0):] }
