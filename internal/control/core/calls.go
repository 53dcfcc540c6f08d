package core

import (
	"time"

	"notchhinge/internal/control/ballot"
	"notchhinge/internal/control/chain"
	"notchhinge/internal/control/declared"
	"notchhinge/internal/control/form"
	"notchhinge/internal/limits"
)

// The kinds of calls between processes that concern the state. Other numbers are other owners'.
const (
	CallAsk      uint8 = 1  // a ballot's: ballot.Ask, answered by ballot.Answer
	CallLearn    uint8 = 2  // a place and the value that was chosen for it, or only word that there is more
	CallState    uint8 = 3  // the whole state, where it is further than a place, in the newest format that the caller says it reads
	CallIdentity uint8 = 4  // who a keeper is and how far it has come
	CallJoin     uint8 = 10 // a keeper wants to be a member: identity; answered by nothing, or by joinFull
	CallHears    uint8 = 16 // whether a keeper at an address answers there: 1, or 0
	CallChosen   uint8 = 14 // what a member has accepted for a place, under a number, was chosen
)

// Patience is how long who calls waits for an answer. Who answers need not take a call that has waited for longer.
func Patience(kind uint8) time.Duration {
	switch kind {
	case CallState, CallHears:
		return 2 * limits.NodeAsk
	case CallJoin:
		return settleWithin
	}
	return limits.NodeAsk
}

// joinFull answers who wants to be a member while there are as many as are wanted and none of them is silent.
const joinFull = 1

// mostValue bounds the value of a place.
const mostValue = declared.MostBytes + 4096

// optional is nil for nothing.
func optional(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	return b
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

// EncodePlace writes a place of the chain and a value that goes with it.
func EncodePlace(place uint64, value []byte) []byte {
	w := form.Writer{}
	w.Uint(place)
	w.Bytes(value)
	return w.B
}

// DecodePlace reads what EncodePlace has written.
func DecodePlace(b []byte) (place uint64, value []byte, err error) {
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
