package replica

import (
	"time"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/limits"
)

// The kinds of calls between processes that concern the state. Other numbers are other owners'.
const (
	CallPaxos     uint8 = 1  // a ballot's: ballot.Ask, answered by ballot.Answer
	CallLearn     uint8 = 2  // a place and the value that was chosen for it, or only word that there is more
	CallSnapshot  uint8 = 3  // the whole state, where it is further than a place, in the newest format that the caller says it reads
	CallIdentity  uint8 = 4  // who a keeper is and how far it has come
	CallJoin      uint8 = 10 // a keeper wants to be a member: identity; answered by nothing, or by joinFull
	CallReachable uint8 = 16 // whether a keeper at an address answers there: 1, or 0
	CallCommit    uint8 = 14 // what a member has accepted for a place, under a number, was chosen
)

// CallTimeout is how long who calls waits for an answer. Who answers need not take a call that has waited for longer.
func CallTimeout(kind uint8) time.Duration {
	switch kind {
	case CallSnapshot, CallReachable:
		return 2 * limits.ReplicaCallTimeout
	case CallJoin:
		return settleWithin
	}
	return limits.ReplicaCallTimeout
}

// joinFull answers who wants to be a member while there are as many as are wanted and none of them is silent.
const joinFull = 1

// mostValue bounds the value of a place.
const mostValue = fleetconfig.MaxBytes + 4096

// optional is nil for nothing.
func optional(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	return b
}

func encodeAsk(a *paxos.Request) []byte {
	w := encoding.Writer{}
	w.Byte(byte(a.Kind))
	w.Uvarint(a.Index)
	w.Uvarint(a.Number.Term)
	w.Fixed64(a.Number.Proposer)
	w.Bytes(a.Value)
	return w.Buf
}

func decodeAsk(b []byte) (a paxos.Request, err error) {
	r := encoding.Reader{Buf: b}
	a = paxos.Request{Kind: paxos.RequestKind(r.Byte()), Index: r.Uvarint(), Number: paxos.ProposalNumber{Term: r.Uvarint(), Proposer: r.Fixed64()}}
	a.Value = optional(r.Bytes(mostValue))
	return a, r.Finish()
}

func encodeAnswer(a *paxos.Response) []byte {
	w := encoding.Writer{}
	w.Byte(byte(a.Verdict))
	w.Uvarint(a.NextIndex)
	for _, n := range []paxos.ProposalNumber{a.Promised, a.Accepted} {
		w.Uvarint(n.Term)
		w.Fixed64(n.Proposer)
	}
	w.Bytes(a.Value)
	return w.Buf
}

func decodeAnswer(b []byte) (a paxos.Response, err error) {
	r := encoding.Reader{Buf: b}
	a = paxos.Response{Verdict: paxos.Verdict(r.Byte()), NextIndex: r.Uvarint()}
	a.Promised = paxos.ProposalNumber{Term: r.Uvarint(), Proposer: r.Fixed64()}
	a.Accepted = paxos.ProposalNumber{Term: r.Uvarint(), Proposer: r.Fixed64()}
	a.Value = optional(r.Bytes(mostValue))
	return a, r.Finish()
}

func encodeChosen(place uint64, n paxos.ProposalNumber) []byte {
	w := encoding.Writer{}
	w.Uvarint(place)
	w.Uvarint(n.Term)
	w.Fixed64(n.Proposer)
	return w.Buf
}

func decodeChosen(b []byte) (place uint64, n paxos.ProposalNumber, err error) {
	r := encoding.Reader{Buf: b}
	place, n = r.Uvarint(), paxos.ProposalNumber{Term: r.Uvarint(), Proposer: r.Fixed64()}
	return place, n, r.Finish()
}

// EncodeIndexed writes a place of the chain and a value that goes with it.
func EncodeIndexed(place uint64, value []byte) []byte {
	w := encoding.Writer{}
	w.Uvarint(place)
	w.Bytes(value)
	return w.Buf
}

// DecodeIndexed reads what EncodePlace has written.
func DecodeIndexed(b []byte) (place uint64, value []byte, err error) {
	r := encoding.Reader{Buf: b}
	place, value = r.Uvarint(), r.Bytes(mostValue)
	return place, value, r.Finish()
}

// identity is who a keeper is.
type identity struct {
	replog.Member
	next    uint64
	founder bool
}

func (i *identity) encode() []byte {
	w := encoding.Writer{}
	w.Fixed64(i.ID)
	w.String(i.Name)
	w.String(i.Addr)
	w.Uvarint(i.next)
	if w.Byte(0); i.founder {
		w.Buf[len(w.Buf)-1] = 1
	}
	return w.Buf
}

func decodeIdentity(b []byte) (i identity, err error) {
	r := encoding.Reader{Buf: b}
	i = identity{Member: replog.Member{ID: r.Fixed64(), Name: r.String(256), Addr: r.String(256)}, next: r.Uvarint(), founder: r.Byte() == 1}
	return i, r.Finish()
}
