// Package paxos decides one value for each place of a chain by ballots among members, without a leader. It owns what an
// acceptor promises and accepts (Vote, which must be on disk before an Answer leaves) and how a proposer's attempt goes
// (Round). It does no I/O, has no clock, and knows nothing of values but their bytes.
//
// A place is voted on only by who knows all places before it. Any number of proposers may try at once; a value that a
// quorum has accepted under one number is chosen for ever, and whoever tries later finds it.
package paxos

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"time"
)

// ProposalNumber orders attempts. The zero Number is below all others. No two attempts ever have the same, or two values could be
// accepted under one: a proposer counts its rounds up, and is another one with each life of its process.
type ProposalNumber struct {
	Term     uint64
	Proposer uint64 // the proposer's, drawn at its start
}

// Compare orders numbers.
func (n ProposalNumber) Compare(o ProposalNumber) int {
	return cmp.Or(cmp.Compare(n.Term, o.Term), cmp.Compare(n.Proposer, o.Proposer))
}

// AcceptorState is what an acceptor must never forget of the one place that is open.
type AcceptorState struct {
	Index    uint64
	Promised ProposalNumber
	Accepted ProposalNumber // zero = nothing
	Value    []byte
}

// RequestKind is what an Ask asks.
type RequestKind uint8

// The kinds: promise to heed no lower number; accept a value; say what is known, without a vote.
const (
	KindPrepare RequestKind = iota + 1
	KindAccept
	KindQuery
)

// Request is what a proposer sends to a member.
type Request struct {
	Kind   RequestKind
	Index  uint64
	Number ProposalNumber
	Value  []byte // with Accept
}

// Verdict is what an Answer says.
type Verdict uint8

// The verdicts: granted; a higher number was promised; the place is decided here, and Value is what was chosen; the member
// does not know the places before it; it has no vote (a Query tells what it knows all the same, and counts for nobody); it
// knows so much (to Query).
const (
	VerdictGranted Verdict = iota + 1
	VerdictRejected
	VerdictAlreadyChosen
	VerdictLagging
	VerdictNotVoter
	VerdictReported
)

// Response is what a member sends back.
type Response struct {
	Verdict   Verdict
	NextIndex uint64         // the first place that is not decided here
	Promised  ProposalNumber // promised, with Refused
	Accepted  ProposalNumber // with Granted to Prepare, and to Query: at place Next
	Value     []byte         // accepted, with Granted to Prepare; or chosen
}

// Acceptor is a member's part. Next and Voter are its owner's to set; Chosen gives the value of a decided place, or
// nothing if that is kept no more.
type Acceptor struct {
	State       AcceptorState
	NextIndex   uint64 // the first place that is not decided here
	IsVoter     bool
	ChosenValue func(place uint64) ([]byte, bool)
}

// Handle answers. With write, Vote has changed and must be on disk before the answer leaves.
func (a *Acceptor) Handle(m Request) (ans Response, write bool) {
	if a.State.Index != a.NextIndex {
		a.State = AcceptorState{Index: a.NextIndex}
	}
	if m.Kind == KindQuery {
		// Not the value: it may be large, and everybody who reads asks.
		ans = Response{Verdict: VerdictReported, NextIndex: a.NextIndex, Accepted: a.State.Accepted}
		if !a.IsVoter {
			ans.Verdict = VerdictNotVoter
		}
		return ans, false
	}
	switch {
	case m.Index < a.NextIndex:
		ans = Response{Verdict: VerdictAlreadyChosen, NextIndex: a.NextIndex}
		if v, ok := a.ChosenValue(m.Index); ok {
			ans.Value = v
		}
		return ans, false
	case m.Index > a.NextIndex:
		return Response{Verdict: VerdictLagging, NextIndex: a.NextIndex}, false
	case !a.IsVoter:
		return Response{Verdict: VerdictNotVoter, NextIndex: a.NextIndex}, false
	case m.Number.Compare(a.State.Promised) < 0:
		return Response{Verdict: VerdictRejected, NextIndex: a.NextIndex, Promised: a.State.Promised}, false
	}
	switch m.Kind {
	case KindPrepare:
		write = m.Number != a.State.Promised
		a.State.Promised = m.Number
		return Response{Verdict: VerdictGranted, NextIndex: a.NextIndex, Accepted: a.State.Accepted, Value: a.State.Value}, write
	case KindAccept:
		write = m.Number != a.State.Accepted || !bytes.Equal(m.Value, a.State.Value)
		a.State.Promised, a.State.Accepted, a.State.Value = m.Number, m.Number, m.Value
		return Response{Verdict: VerdictGranted, NextIndex: a.NextIndex}, write
	}
	return Response{Verdict: VerdictNotVoter, NextIndex: a.NextIndex}, false
}

// Outcome is where a Round stands.
type Outcome uint8

// The outcomes: it goes on; a value is chosen (Round.Value); another's number stands in the way (Round.Higher); the place
// was decided before (Round.Value, if it is still kept) or the chain has come further here than at others; too few will
// ever answer.
const (
	OutcomePending Outcome = iota
	OutcomeChosen
	OutcomePreempted
	OutcomeAlreadyChosen
	OutcomeNoQuorum
	OutcomeInvalidValue // what was accepted before (Round.Value) is not for these members
)

// Proposer is one attempt at a place, under one number.
type Proposer struct {
	Index    uint64
	Number   ProposalNumber
	Voters   []uint64
	Quorum   int    // of them
	OwnValue []byte // proposed if nothing was accepted before
	// IsValidValue says whether a value that was accepted before may be proposed to these members; nil = any.
	IsValidValue func(value []byte) bool

	Value          []byte         // that is proposed or chosen
	AcceptedNumber ProposalNumber // under which Value was accepted before; zero = it is Own
	HigherNumber   ProposalNumber
	NextIndex      uint64 // with Past: the first place not decided at the member that said so
	LaggingVoters  []uint64

	accepting bool
	granted   map[uint64]bool
	failed    map[uint64]bool
}

// Prepare returns what is to be sent to every member first.
func (r *Proposer) Prepare() Request {
	r.granted, r.failed = map[uint64]bool{}, map[uint64]bool{}
	r.Value = r.OwnValue
	return Request{Kind: KindPrepare, Index: r.Index, Number: r.Number}
}

// HandleResponse takes a member's answer to the present phase. With a next Ask, that goes to every member and answers to the one
// before do not count any more.
func (r *Proposer) HandleResponse(from uint64, accepting bool, a Response) (next *Request, out Outcome) {
	if accepting != r.accepting {
		return nil, OutcomePending
	}
	switch a.Verdict {
	case VerdictGranted:
		if r.granted[from] {
			return nil, OutcomePending
		}
		r.granted[from] = true
		if !r.accepting && a.Accepted.Compare(r.AcceptedNumber) > 0 {
			r.AcceptedNumber, r.Value = a.Accepted, a.Value
		}
	case VerdictRejected:
		if a.Promised.Compare(r.HigherNumber) > 0 {
			r.HigherNumber = a.Promised
		}
		return nil, r.fail(from, OutcomePreempted)
	case VerdictAlreadyChosen:
		r.Value, r.NextIndex = a.Value, a.NextIndex
		return nil, OutcomeAlreadyChosen
	case VerdictLagging:
		r.LaggingVoters = append(r.LaggingVoters, from)
		return nil, r.fail(from, OutcomeNoQuorum)
	default:
		return nil, r.fail(from, OutcomeNoQuorum)
	}
	if len(r.granted) < r.Quorum {
		return nil, OutcomePending
	}
	if r.accepting {
		return nil, OutcomeChosen
	}
	if r.IsValidValue != nil && !r.IsValidValue(r.Value) {
		return nil, OutcomeInvalidValue
	}
	r.accepting = true
	clear(r.granted)
	clear(r.failed)
	return &Request{Kind: KindAccept, Index: r.Index, Number: r.Number, Value: r.Value}, OutcomePending
}

// HasGranted tells whether a member has granted the present phase: once a value is chosen, who has accepted it.
func (r *Proposer) HasGranted(id uint64) bool { return r.granted[id] }

// IsAccepting tells the phase, for Take.
func (r *Proposer) IsAccepting() bool { return r.accepting }

// HandleFailure notes that a member will not answer.
func (r *Proposer) HandleFailure(from uint64, accepting bool) Outcome {
	if accepting != r.accepting {
		return OutcomePending
	}
	return r.fail(from, OutcomeNoQuorum)
}

func (r *Proposer) fail(from uint64, why Outcome) Outcome {
	if r.granted[from] {
		return OutcomePending
	}
	r.failed[from] = true
	if len(r.Voters)-len(r.failed) >= r.Quorum {
		return OutcomePending
	}
	if r.HigherNumber != (ProposalNumber{}) {
		return OutcomePreempted
	}
	return why
}

// Clone returns a round that goes its own way from here on, for who walks through every order of things.
func (r *Proposer) Clone() *Proposer {
	n := *r
	n.granted, n.failed = maps.Clone(r.granted), maps.Clone(r.failed)
	return &n
}

// Key names where a round stands: two with one key go on alike.
func (r *Proposer) Key() string {
	return fmt.Sprintf("%d %v %v %q %v %v", r.Index, r.Number, r.accepting, r.Value, r.granted, r.failed)
}

// Backoff is how long a proposer waits that was overtaken, by how many tries it has made; draw draws below a number. The waits
// are short, since most of what is voted on is small, and grow until one large value has had its time
// (internal/lab/contend).
func Backoff(draw func(n int64) int64, try int) time.Duration {
	return time.Duration(draw(int64(10*time.Millisecond) << min(try, 4)))
}

// Majority is the quorum of n members.
func Majority(n int) int { return n/2 + 1 }
