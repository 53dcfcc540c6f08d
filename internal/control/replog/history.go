package replog

import (
	"cmp"
	"slices"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/limits"
)

// minHistory is the minimum number of configurations that keep their whole digest. It is the limit of the first state format.
const minHistory = 64

// AcceptedConfig identifies an accepted configuration.
type AcceptedConfig struct {
	Revision uint64
	Digest   fleetconfig.Digest
}

// CompactedConfig identifies an older accepted configuration by the first 16 bytes of its digest. Two different configurations
// with the same revision collide with a probability of 2^-128.
type CompactedConfig struct {
	Revision uint64
	Digest   [16]byte
}

func (c *AcceptedConfig) compact() CompactedConfig {
	return CompactedConfig{Revision: c.Revision, Digest: [16]byte(c.Digest[:16])}
}

// appendHistory adds a configuration to the history. Once the history has 2*minHistory entries, the older half is compacted.
// The long compacted list is thus copied only once in minHistory changes.
func (s *State) appendHistory(c AcceptedConfig) {
	s.History = append(slices.Clone(s.History), c)
	if len(s.History) < 2*minHistory {
		return
	}
	s.CompactedHistory = slices.Clone(newest(s.CompactedHistory, limits.ConfigHistoryEntries-minHistory))
	for _, c := range s.History[:minHistory] {
		s.CompactedHistory = append(s.CompactedHistory, c.compact())
	}
	s.History = slices.Clone(s.History[minHistory:])
}

// ConfigStatus is the result of State.CheckConfig.
type ConfigStatus uint8

// Values of ConfigStatus.
const (
	ConfigAcceptable      ConfigStatus = iota // the change may be proposed
	ConfigAlreadyAccepted                     // exactly this change was accepted, on the same base
	ConfigStaleBase                           // the base revision is not the current revision, and the change was never accepted
	ConfigRevisionTooLow                      // the revision is not higher than the current one
	ConfigForgotten                           // the change is older than the history, and may have been accepted
)

// CheckConfig returns the status of a change: a configuration with the given revision and digest, made from the base revision. A
// proposer calls it again after each attempt, because the chosen value may be another proposer's.
func (s *State) CheckConfig(base, revision uint64, d fleetconfig.Digest) ConfigStatus {
	switch {
	case s.WasAccepted(base, revision, d):
		return ConfigAlreadyAccepted
	case base < revision && s.isForgotten(revision):
		return ConfigForgotten
	case s.Revision != base:
		return ConfigStaleBase
	case revision <= s.Revision:
		return ConfigRevisionTooLow
	}
	return ConfigAcceptable
}

// WasAccepted reports whether the history contains the configuration with the given revision and digest, accepted on the base
// revision. The base follows from the history, because a change is accepted only on the revision before it. If the revision before
// the oldest one may have been dropped, every lower base counts as that one, so that a retry is never rejected.
func (s *State) WasAccepted(base, revision uint64, d fleetconfig.Digest) bool {
	position := s.historyPosition(revision, d)
	switch {
	case position < 0 || base >= revision:
		return false
	case position > 0:
		return s.historyRevision(position-1) == base
	}
	return base == 0 || s.mayHaveDroppedHistory()
}

// historyPosition returns the position of a configuration in the history, counted from the oldest one, or -1.
func (s *State) historyPosition(revision uint64, d fleetconfig.Digest) int {
	c := AcceptedConfig{Revision: revision, Digest: d}
	if i := slices.Index(s.History, c); i >= 0 {
		return len(s.CompactedHistory) + i
	}
	i, ok := slices.BinarySearchFunc(s.CompactedHistory, revision, func(c CompactedConfig, r uint64) int { return cmp.Compare(c.Revision, r) })
	if ok && s.CompactedHistory[i] == c.compact() {
		return i
	}
	return -1
}

// historyRevision returns the revision at a position of the history.
func (s *State) historyRevision(position int) uint64 {
	if position < len(s.CompactedHistory) {
		return s.CompactedHistory[position].Revision
	}
	return s.History[position-len(s.CompactedHistory)].Revision
}

// mayHaveDroppedHistory reports whether the history may not reach back to the first configuration. The first state format keeps
// minHistory configurations, and a state does not record whether it was once in that format.
func (s *State) mayHaveDroppedHistory() bool {
	return len(s.History)+len(s.CompactedHistory) >= minHistory
}

// isForgotten reports whether a revision is older than the history, so that it may have been accepted.
func (s *State) isForgotten(revision uint64) bool {
	return s.mayHaveDroppedHistory() && revision < s.OldestRevision()
}

// OldestRevision returns the lowest revision in the history, or 0 if no configuration was ever accepted.
func (s *State) OldestRevision() uint64 {
	if len(s.History)+len(s.CompactedHistory) == 0 {
		return 0
	}
	return s.historyRevision(0)
}
