package paxos

import "cmp"

// ProposalNumber orders proposals. The zero ProposalNumber is below all others.
//
// Proposal numbers must be unique: otherwise two values could be accepted under the same number. A proposer increments
// its term for each proposal and draws a new proposer id when its process starts.
type ProposalNumber struct {
	Term     uint64
	Proposer uint64 // random id of the proposer's incarnation; breaks ties between equal terms
}

// Compare returns -1, 0 or 1 if n is below, equal to or above o.
func (n ProposalNumber) Compare(o ProposalNumber) int {
	return cmp.Or(cmp.Compare(n.Term, o.Term), cmp.Compare(n.Proposer, o.Proposer))
}

// Majority returns the quorum size for n voters. Any two quorums share a voter.
func Majority(n int) int { return n/2 + 1 }
