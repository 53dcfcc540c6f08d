package paxos

import (
	"fmt"
	"maps"
	"slices"
)

// Outcome is the state of a proposal at its proposer.
type Outcome uint8

// The outcomes. All but OutcomePending are final.
const (
	OutcomePending       Outcome = iota
	OutcomeChosen                // Proposer.Value is chosen
	OutcomePreempted             // a quorum is out of reach because of a higher number: Proposer.HigherNumber
	OutcomeAlreadyChosen         // a voter has learned the index before: Proposer.Value, nil where it is compacted, and Proposer.NextIndex
	OutcomeNoQuorum              // too few voters can still grant
	OutcomeInvalidValue          // a value that was accepted before, Proposer.Value, may not be proposed to these voters
)

// Proposer runs one proposal: one index, one proposal number. After Prepare, each response and each failure to respond is
// handed to it, until the outcome is final.
type Proposer struct {
	Index    uint64
	Number   ProposalNumber
	Voters   []uint64
	Quorum   int    // of Voters
	OwnValue []byte // proposed where no voter reports an accepted value
	// IsValidValue reports whether a value that was accepted before may be proposed to these voters; nil = any may.
	IsValidValue func(value []byte) bool

	// Results.

	Value          []byte         // proposed, or chosen
	AcceptedNumber ProposalNumber // under which a voter had accepted Value before; zero = Value is OwnValue
	HigherNumber   ProposalNumber // highest promised number of a rejection
	NextIndex      uint64         // with OutcomeAlreadyChosen: first index that the responding voter has not learned
	LaggingVoters  []uint64       // voters that lack entries before Index

	accepting bool // phase 2
	granted   map[uint64]bool
	failed    map[uint64]bool // rejected, lagging, without a vote, or without a response
}

// Prepare begins phase 1. It returns the request that is to be sent to every voter.
func (p *Proposer) Prepare() Request {
	p.granted, p.failed = map[uint64]bool{}, map[uint64]bool{}
	p.Value = p.OwnValue
	return Request{Kind: KindPrepare, Index: p.Index, Number: p.Number}
}

// Phase returns the kind of request that is out: KindPrepare or KindAccept.
func (p *Proposer) Phase() RequestKind {
	if p.accepting {
		return KindAccept
	}
	return KindPrepare
}

// HandleResponse takes the response of a voter to the request of a phase. A response to the phase before does not count.
// Where next is not nil, phase 2 begins: next is to be sent to every voter.
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

// HandleFailure notes that a voter will not respond to the request of a phase.
func (p *Proposer) HandleFailure(from uint64, phase RequestKind) Outcome {
	if phase != p.Phase() {
		return OutcomePending
	}
	return p.fail(from, OutcomeNoQuorum)
}

// advance ends the phase once a quorum has granted it. Phase 2 proposes the value with the highest accepted number among the
// quorum's responses, or else OwnValue.
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

// fail counts a voter out of the phase. It returns final, or OutcomePreempted after any rejection, once no quorum is left.
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

// HasGranted reports whether a voter has granted the request of the present phase: with OutcomeChosen, whether it is known
// to have accepted the chosen value.
func (p *Proposer) HasGranted(voter uint64) bool { return p.granted[voter] }

// Clone returns a copy that shares no state with p. A model checker takes one per branch.
func (p *Proposer) Clone() *Proposer {
	c := *p
	c.granted, c.failed, c.LaggingVoters = maps.Clone(p.granted), maps.Clone(p.failed), slices.Clone(p.LaggingVoters)
	return &c
}

// Key identifies the state of a proposal: two with equal keys behave alike from here on. A model checker prunes by it.
func (p *Proposer) Key() string {
	return fmt.Sprintf("%d %v %v %q %v %v", p.Index, p.Number, p.accepting, p.Value, p.granted, p.failed)
}
