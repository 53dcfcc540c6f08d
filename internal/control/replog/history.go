package replog

import (
	"cmp"
	"slices"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/limits"
)

// minHistory is how many configurations keep their whole digest at least: as many as the first format of a state holds.
const minHistory = 64

// AcceptedConfig identifies a configuration that was accepted.
type AcceptedConfig struct {
	Revision uint64
	Digest   fleetconfig.Digest
}

// CompactedConfig identifies one that was accepted longer ago. It has the first 16 bytes of the digest: two configurations
// with one revision are mistaken for each other with a probability of 2^-128.
type CompactedConfig struct {
	Revision uint64
	Digest   [16]byte
}

func (c *AcceptedConfig) compact() CompactedConfig {
	return CompactedConfig{Revision: c.Revision, Digest: [16]byte(c.Digest[:16])}
}

// appendHistory adds a configuration to the history. Once twice minHistory entries are there, the older half is compacted:
// the compacted list is long and is copied only once in minHistory changes.
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

// ConfigStatus is how a state receives a configuration.
type ConfigStatus uint8

// The statuses.
const (
	ConfigAcceptable      ConfigStatus = iota // it may be proposed
	ConfigAlreadyAccepted                     // it is current, or was at some time
	ConfigStaleBase                           // its base revision is not the current one
	ConfigRevisionTooLow                      // its revision is not above the current one
)

// CheckConfig returns the status of a configuration that builds on a base revision. A proposer calls it again after each
// attempt: that a value was chosen does not mean that it was the proposer's own.
func (s *State) CheckConfig(base, revision uint64, d fleetconfig.Digest) ConfigStatus {
	switch {
	case s.WasAccepted(revision, d):
		return ConfigAlreadyAccepted
	case s.Revision != base:
		return ConfigStaleBase
	case revision <= s.Revision:
		return ConfigRevisionTooLow
	}
	return ConfigAcceptable
}

// WasAccepted reports whether a configuration was accepted under a revision, as far back as the history goes
// (OldestRevision).
func (s *State) WasAccepted(revision uint64, d fleetconfig.Digest) bool {
	c := AcceptedConfig{Revision: revision, Digest: d}
	if slices.Contains(s.History, c) {
		return true
	}
	i, ok := slices.BinarySearchFunc(s.CompactedHistory, revision, func(c CompactedConfig, r uint64) int { return cmp.Compare(c.Revision, r) })
	return ok && s.CompactedHistory[i] == c.compact()
}

// OldestRevision returns the first revision of the history, or 0 if no configuration was ever accepted. Whether a lower one
// was accepted is not known.
func (s *State) OldestRevision() uint64 {
	switch {
	case len(s.CompactedHistory) > 0:
		return s.CompactedHistory[0].Revision
	case len(s.History) > 0:
		return s.History[0].Revision
	}
	return 0
}
