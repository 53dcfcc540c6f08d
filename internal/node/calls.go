package node

import (
	"notchhinge/internal/control/account"
	"notchhinge/internal/control/ballot"
	"notchhinge/internal/control/chain"
	"notchhinge/internal/control/declared"
	"notchhinge/internal/control/form"
)

// The kinds of calls between processes.
const (
	callAsk      uint8 = iota + 1 // a ballot's: ballot.Ask, answered by ballot.Answer
	callLearn                     // a place and the value that was chosen for it
	callState                     // the whole state, where it is further than a place
	callIdentity                  // who a keeper is and how far it has come
	callFetch                     // the newest configuration, where it is newer than a place
	_                             // was the operator's, passed on
	_                             // likewise
	callReport                    // a router's counts and loads: duty.Report, answered by duty.Word
	callBook                      // what a keeper has heard of these, from a window up to another
	callJoin                      // a keeper wants to be a member: identity
	callRenew                     // the holder asks for more time: its fence and its member
	_                             // was the operator's, passed on
	_                             // likewise
	callChosen                    // what a member has accepted for a place, under a number, was chosen
)

// causeOf is what a call is for.
func causeOf(kind uint8) account.Cause {
	switch kind {
	case callAsk, callLearn, callChosen:
		return account.Ballots
	case callFetch:
		return account.Configs
	case callReport, callBook:
		return account.Reports
	case callRenew:
		return account.Leases
	}
	return account.States
}

func encodeAsk(a *ballot.Ask) []byte {
	w := form.Writer{}
	w.Byte(byte(a.Kind))
	w.Uint(a.Place)
	w.Uint(a.Number.Round)
	w.Word(a.Number.Node)
	w.Bytes(a.Value)
	return w.B
}

func decodeAsk(b []byte) (a ballot.Ask, err error) {
	r := form.Reader{B: b}
	a = ballot.Ask{Kind: ballot.Kind(r.Byte()), Place: r.Uint(), Number: ballot.Number{Round: r.Uint(), Node: r.Word()}}
	a.Value = optional(r.Bytes(mostValue))
	return a, r.End()
}

const mostValue = declared.MostBytes + 4096

// optional is nil for nothing.
func optional(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	return b
}

func encodeAnswer(a *ballot.Answer) []byte {
	w := form.Writer{}
	w.Byte(byte(a.Verdict))
	w.Uint(a.Next)
	for _, n := range []ballot.Number{a.Number, a.Accepted} {
		w.Uint(n.Round)
		w.Word(n.Node)
	}
	w.Bytes(a.Value)
	return w.B
}

func decodeAnswer(b []byte) (a ballot.Answer, err error) {
	r := form.Reader{B: b}
	a = ballot.Answer{Verdict: ballot.Verdict(r.Byte()), Next: r.Uint()}
	a.Number = ballot.Number{Round: r.Uint(), Node: r.Word()}
	a.Accepted = ballot.Number{Round: r.Uint(), Node: r.Word()}
	a.Value = optional(r.Bytes(mostValue))
	return a, r.End()
}

func encodeChosen(place uint64, n ballot.Number) []byte {
	w := form.Writer{}
	w.Uint(place)
	w.Uint(n.Round)
	w.Word(n.Node)
	return w.B
}

func decodeChosen(b []byte) (place uint64, n ballot.Number, err error) {
	r := form.Reader{B: b}
	place, n = r.Uint(), ballot.Number{Round: r.Uint(), Node: r.Word()}
	return place, n, r.End()
}

func encodePlace(place uint64, value []byte) []byte {
	w := form.Writer{}
	w.Uint(place)
	w.Bytes(value)
	return w.B
}

func decodePlace(b []byte) (place uint64, value []byte, err error) {
	r := form.Reader{B: b}
	place, value = r.Uint(), r.Bytes(mostValue)
	return place, value, r.End()
}

// identity is who a keeper is.
type identity struct {
	chain.Member
	next    uint64
	founder bool
}

func (i *identity) encode() []byte {
	w := form.Writer{}
	w.Word(i.ID)
	w.String(i.Name)
	w.String(i.Addr)
	w.Uint(i.next)
	if w.Byte(0); i.founder {
		w.B[len(w.B)-1] = 1
	}
	return w.B
}

func decodeIdentity(b []byte) (i identity, err error) {
	r := form.Reader{B: b}
	i = identity{Member: chain.Member{ID: r.Word(), Name: r.String(256), Addr: r.String(256)}, next: r.Uint(), founder: r.Byte() == 1}
	return i, r.End()
}
