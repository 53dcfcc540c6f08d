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
	ConfigAcceptable      ConfigStatus = iota // the configuration may be proposed
	ConfigAlreadyAccepted                     // the configuration is or was the current one
	ConfigStaleBase                           // the base revision is not the current revision
	ConfigRevisionTooLow                      // the revision is not higher than the current one
)

// CheckConfig returns the status of a configuration that was made from the base revision. A proposer calls it again after each
// attempt, because the chosen value may be another proposer's.
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

// WasAccepted reports whether the history contains a configuration with the given revision and digest. It starts at
// OldestRevision.
func (s *State) WasAccepted(revision uint64, d fleetconfig.Digest) bool {
	c := AcceptedConfig{Revision: revision, Digest: d}
	if slices.Contains(s.History, c) {
		return true
	}
	i, ok := slices.BinarySearchFunc(s.CompactedHistory, revision, func(c CompactedConfig, r uint64) int { return cmp.Compare(c.Revision, r) })
	return ok && s.CompactedHistory[i] == c.compact()
}

// OldestRevision returns the lowest revision in the history, or 0 if no configuration was ever accepted. The state does not
// record whether a lower revision was accepted.
func (s *State) OldestRevision() uint64 {
	switch {
	case len(s.CompactedHistory) > 0:
		return s.CompactedHistory[0].Revision
	case len(s.History) > 0:
		return s.History[0].Revision
	}
	return 0
}
