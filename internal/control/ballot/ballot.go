// Package ballot decides one value for each place of a chain by ballots among members, without a leader. It owns what an
// acceptor promises and accepts (Vote, which must be on disk before an Answer leaves) and how a proposer's attempt goes
// (Round). It does no I/O, has no clock, and knows nothing of values but their bytes.
//
// A place is voted on only by who knows all places before it. Any number of proposers may try at once; a value that a
// quorum has accepted under one number is chosen for ever, and whoever tries later finds it.
package ballot

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"time"
)

// Number orders attempts. The zero Number is below all others. No two attempts ever have the same, or two values could be
// accepted under one: a proposer counts its rounds up, and is another one with each life of its process.
type Number struct {
	Round uint64
	Node  uint64 // the proposer's, drawn at its start
}

// Compare orders numbers.
func (n Number) Compare(o Number) int {
	return cmp.Or(cmp.Compare(n.Round, o.Round), cmp.Compare(n.Node, o.Node))
}

// Vote is what an acceptor must never forget of the one place that is open.
type Vote struct {
	Place    uint64
	Promised Number
	Accepted Number // zero = nothing
	Value    []byte
}

// Kind is what an Ask asks.
type Kind uint8

// The kinds: promise to heed no lower number; accept a value; say what is known, without a vote.
const (
	Prepare Kind = iota + 1
	Accept
	Query
)

// Ask is what a proposer sends to a member.
type Ask struct {
	Kind   Kind
	Place  uint64
	Number Number
	Value  []byte // with Accept
}

// Verdict is what an Answer says.
type Verdict uint8

// The verdicts: granted; a higher number was promised; the place is decided here, and Value is what was chosen; the member
// does not know the places before it; it has no vote (a Query tells what it knows all the same, and counts for nobody); it
// knows so much (to Query).
const (
	Granted Verdict = iota + 1
	Refused
	Decided
	Behind
	NoVote
	Known
)

// Answer is what a member sends back.
type Answer struct {
	Verdict  Verdict
	Next     uint64 // the first place that is not decided here
	Number   Number // promised, with Refused
	Accepted Number // with Granted to Prepare, and to Query: at place Next
	Value    []byte // accepted, with Granted to Prepare; or chosen
}

// Acceptor is a member's part. Next and Voter are its owner's to set; Chosen gives the value of a decided place, or
// nothing if that is kept no more.
type Acceptor struct {
	Vote   Vote
	Next   uint64 // the first place that is not decided here
	Voter  bool
	Chosen func(place uint64) ([]byte, bool)
}

// Handle answers. With write, Vote has changed and must be on disk before the answer leaves.
func (a *Acceptor) Handle(m Ask) (ans Answer, write bool) {
	if a.Vote.Place != a.Next {
		a.Vote = Vote{Place: a.Next}
	}
	if m.Kind == Query {
		// Not the value: it may be large, and everybody who reads asks.
		ans = Answer{Verdict: Known, Next: a.Next, Accepted: a.Vote.Accepted}
		if !a.Voter {
			ans.Verdict = NoVote
		}
		return ans, false
	}
	switch {
	case m.Place < a.Next:
		ans = Answer{Verdict: Decided, Next: a.Next}
		if v, ok := a.Chosen(m.Place); ok {
			ans.Value = v
		}
		return ans, false
	case m.Place > a.Next:
		return Answer{Verdict: Behind, Next: a.Next}, false
	case !a.Voter:
		return Answer{Verdict: NoVote, Next: a.Next}, false
	case m.Number.Compare(a.Vote.Promised) < 0:
		return Answer{Verdict: Refused, Next: a.Next, Number: a.Vote.Promised}, false
	}
	switch m.Kind {
	case Prepare:
		write = m.Number != a.Vote.Promised
		a.Vote.Promised = m.Number
		return Answer{Verdict: Granted, Next: a.Next, Accepted: a.Vote.Accepted, Value: a.Vote.Value}, write
	case Accept:
		write = m.Number != a.Vote.Accepted || !bytes.Equal(m.Value, a.Vote.Value)
		a.Vote.Promised, a.Vote.Accepted, a.Vote.Value = m.Number, m.Number, m.Value
		return Answer{Verdict: Granted, Next: a.Next}, write
	}
	return Answer{Verdict: NoVote, Next: a.Next}, false
}

// Outcome is where a Round stands.
type Outcome uint8

// The outcomes: it goes on; a value is chosen (Round.Value); another's number stands in the way (Round.Higher); the place
// was decided before (Round.Value, if it is still kept) or the chain has come further here than at others; too few will
// ever answer.
const (
	Pending Outcome = iota
	Chosen
	Overtaken
	Past
	Lost
	Unfit // what was accepted before (Round.Value) is not for these members
)

// Round is one attempt at a place, under one number.
type Round struct {
	Place   uint64
	Number  Number
	Members []uint64
	Need    int    // of them
	Own     []byte // proposed if nothing was accepted before
	// Fits says whether a value that was accepted before may be proposed to these members; nil = any.
	Fits func(value []byte) bool

	Value    []byte // that is proposed or chosen
	Accepted Number // under which Value was accepted before; zero = it is Own
	Higher   Number
	Next     uint64 // with Past: the first place not decided at the member that said so
	BehindAt []uint64

	accepting bool
	granted   map[uint64]bool
	failed    map[uint64]bool
}

// Begin returns what is to be sent to every member first.
func (r *Round) Begin() Ask {
	r.granted, r.failed = map[uint64]bool{}, map[uint64]bool{}
	r.Value = r.Own
	return Ask{Kind: Prepare, Place: r.Place, Number: r.Number}
}

// Take takes a member's answer to the present phase. With a next Ask, that goes to every member and answers to the one
// before do not count any more.
func (r *Round) Take(from uint64, accepting bool, a Answer) (next *Ask, out Outcome) {
	if accepting != r.accepting {
		return nil, Pending
	}
	switch a.Verdict {
	case Granted:
		if r.granted[from] {
			return nil, Pending
		}
		r.granted[from] = true
		if !r.accepting && a.Accepted.Compare(r.Accepted) > 0 {
			r.Accepted, r.Value = a.Accepted, a.Value
		}
	case Refused:
		if a.Number.Compare(r.Higher) > 0 {
			r.Higher = a.Number
		}
		return nil, r.fail(from, Overtaken)
	case Decided:
		r.Value, r.Next = a.Value, a.Next
		return nil, Past
	case Behind:
		r.BehindAt = append(r.BehindAt, from)
		return nil, r.fail(from, Lost)
	default:
		return nil, r.fail(from, Lost)
	}
	if len(r.granted) < r.Need {
		return nil, Pending
	}
	if r.accepting {
		return nil, Chosen
	}
	if r.Fits != nil && !r.Fits(r.Value) {
		return nil, Unfit
	}
	r.accepting = true
	clear(r.granted)
	clear(r.failed)
	return &Ask{Kind: Accept, Place: r.Place, Number: r.Number, Value: r.Value}, Pending
}

// Granted tells whether a member has granted the present phase: once a value is chosen, who has accepted it.
func (r *Round) Granted(id uint64) bool { return r.granted[id] }

// Accepting tells the phase, for Take.
func (r *Round) Accepting() bool { return r.accepting }

// Fail notes that a member will not answer.
func (r *Round) Fail(from uint64, accepting bool) Outcome {
	if accepting != r.accepting {
		return Pending
	}
	return r.fail(from, Lost)
}

func (r *Round) fail(from uint64, why Outcome) Outcome {
	if r.granted[from] {
		return Pending
	}
	r.failed[from] = true
	if len(r.Members)-len(r.failed) >= r.Need {
		return Pending
	}
	if r.Higher != (Number{}) {
		return Overtaken
	}
	return why
}

// Clone returns a round that goes its own way from here on, for who walks through every order of things.
func (r *Round) Clone() *Round {
	n := *r
	n.granted, n.failed = maps.Clone(r.granted), maps.Clone(r.failed)
	return &n
}

// Key names where a round stands: two with one key go on alike.
func (r *Round) Key() string {
	return fmt.Sprintf("%d %v %v %q %v %v", r.Place, r.Number, r.accepting, r.Value, r.granted, r.failed)
}

// Wait is how long a proposer waits that was overtaken, by how many tries it has made; draw draws below a number. The waits
// are short, since most of what is voted on is small, and grow until one large value has had its time
// (internal/lab/contend).
func Wait(draw func(n int64) int64, try int) time.Duration {
	return time.Duration(draw(int64(10*time.Millisecond) << min(try, 4)))
}

// Majority is the quorum of n members.
func Majority(n int) int { return n/2 + 1 }
