package paxos

import (
	"fmt"
	"maps"
	"slices"
)

// Outcome is the outcome of a proposal.
type Outcome uint8

// The outcomes. All but OutcomePending are final.
const (
	OutcomePending       Outcome = iota
	OutcomeChosen                // Proposer.Value is chosen under Proposer.Number
	OutcomePreempted             // no quorum is possible, because of a higher number: Proposer.HigherNumber
	OutcomeAlreadyChosen         // a voter has learned the index: Proposer.Value, nil if compacted, and Proposer.NextIndex
	OutcomeNoQuorum              // no quorum is possible, for any other reason
	OutcomeInvalidValue          // IsValidValue has rejected a previously accepted value, Proposer.Value
)

// Proposer runs one proposal: one index, one proposal number. After Prepare, the caller reports each response and each
// missing response, until the outcome is final.
type Proposer struct {
	Index    uint64
	Number   ProposalNumber
	Voters   []uint64
	Quorum   int    // number of Voters whose grant is required
	OwnValue []byte // proposed if no voter reports an accepted value
	// IsValidValue reports whether a value may be proposed to these voters; nil = any value may.
	IsValidValue func(value []byte) bool

	// Results.

	Value          []byte         // the proposed or chosen value
	AcceptedNumber ProposalNumber // number under which Value was previously accepted; zero = Value is OwnValue
	HigherNumber   ProposalNumber // highest promised number in a rejection
	NextIndex      uint64         // with OutcomeAlreadyChosen: first index that the responding voter has not learned
	LaggingVoters  []uint64       // voters that lack entries before Index

	accepting bool // in phase 2
	granted   map[uint64]bool
	failed    map[uint64]bool // rejected, lagging, not a voter, or no response
}

// Prepare starts phase 1. It returns the request to send to every voter.
func (p *Proposer) Prepare() Request {
	p.granted, p.failed = map[uint64]bool{}, map[uint64]bool{}
	p.Value = p.OwnValue
	return Request{Kind: KindPrepare, Index: p.Index, Number: p.Number}
}

// Phase returns the kind of request of the current phase: KindPrepare or KindAccept.
func (p *Proposer) Phase() RequestKind {
	if p.accepting {
		return KindAccept
	}
	return KindPrepare
}

// HandleResponse processes a voter's response to the request of a phase. Responses to an earlier phase are ignored. If
// next is not nil, phase 2 has started and next must be sent to every voter.
func (p *Proposer) HandleResponse(from uint64, phase RequestKind, resp Response) (next *Request, out Outcome) {
	if phase != p.Phase() {
		return nil, OutcomePending
	}
	switch resp.Verdict {
	case VerdictGranted:
		if p.granted[from] {
			return nil, OutcomePending
		}
		p.granted[from] = true
		if !p.accepting && resp.Accepted.Compare(p.AcceptedNumber) > 0 {
			p.AcceptedNumber, p.Value = resp.Accepted, resp.Value
		}
		return p.advance()
	case VerdictRejected:
		if resp.Promised.Compare(p.HigherNumber) > 0 {
			p.HigherNumber = resp.Promised
		}
		return nil, p.fail(from, OutcomePreempted)
	case VerdictAlreadyChosen:
		p.Value, p.NextIndex = resp.Value, resp.NextIndex
		return nil, OutcomeAlreadyChosen
	case VerdictLagging:
		p.LaggingVoters = append(p.LaggingVoters, from)
	}
	return nil, p.fail(from, OutcomeNoQuorum)
}

// HandleFailure records that a voter has not responded to the request of a phase.
func (p *Proposer) HandleFailure(from uint64, phase RequestKind) Outcome {
	if phase != p.Phase() {
		return OutcomePending
	}
	return p.fail(from, OutcomeNoQuorum)
}

// advance ends the phase once a quorum has granted it. Phase 2 proposes the value with the highest accepted number
// among the responses, or else OwnValue.
func (p *Proposer) advance() (next *Request, out Outcome) {
	switch {
	case len(p.granted) < p.Quorum:
		return nil, OutcomePending
	case p.accepting:
		return nil, OutcomeChosen
	case p.IsValidValue != nil && !p.IsValidValue(p.Value):
		return nil, OutcomeInvalidValue
	}
	p.accepting = true
	clear(p.granted)
	clear(p.failed)
	return &Request{Kind: KindAccept, Index: p.Index, Number: p.Number, Value: p.Value}, OutcomePending
}

// fail records that a voter does not grant the phase. Once no quorum is possible, it returns OutcomePreempted if any
// voter has rejected, and final otherwise.
func (p *Proposer) fail(from uint64, final Outcome) Outcome {
	if p.granted[from] {
		return OutcomePending
	}
	p.failed[from] = true
	if len(p.Voters)-len(p.failed) >= p.Quorum {
		return OutcomePending
	}
	if p.HigherNumber != (ProposalNumber{}) {
		return OutcomePreempted
	}
	return final
}

// HasGranted reports whether a voter has granted the current phase. With OutcomeChosen, it reports whether the voter is
// known to have accepted the chosen value.
func (p *Proposer) HasGranted(voter uint64) bool { return p.granted[voter] }

// Clone returns a copy that shares no mutable state with p. Model checkers take one per branch.
func (p *Proposer) Clone() *Proposer {
	c := *p
	c.granted, c.failed, c.LaggingVoters = maps.Clone(p.granted), maps.Clone(p.failed), slices.Clone(p.LaggingVoters)
	return &c
}

// Key returns a string that identifies the state of a proposal. Proposals with equal keys behave alike from here on, so
// model checkers use it to prune.
func (p *Proposer) Key() string {
	return fmt.Sprintf("%d %v %v %q %v %v", p.Index, p.Number, p.accepting, p.Value, p.granted, p.failed)
}
