package paxos

import "cmp"

// ProposalNumber orders proposals. The zero ProposalNumber is below all others.
//
// No two proposals may have the same number: two values could then be accepted under it. A proposer counts its terms up and
// draws a new proposer id with each start of its process.
type ProposalNumber struct {
	Term     uint64
	Proposer uint64 // random id of the proposer's incarnation; it breaks ties between equal terms
}

// Compare returns -1, 0 or 1 as n is below, equal to or above o.
func (n ProposalNumber) Compare(o ProposalNumber) int {
	return cmp.Or(cmp.Compare(n.Term, o.Term), cmp.Compare(n.Proposer, o.Proposer))
}

// Majority returns the quorum of n voters: any two quorums share a voter.
func Majority(n int) int { return n/2 + 1 }
