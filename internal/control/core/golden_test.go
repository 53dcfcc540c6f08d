package core

import (
	"errors"
	"testing"
	"time"

	"notchhinge/internal/control/ballot"
	"notchhinge/internal/control/chain"
	"notchhinge/internal/testutil/golden"
)

// TestGoldenCalls: what replicas ask each other, and the answers, have the bytes that they had.
func TestGoldenCalls(t *testing.T) {
	number, lower := ballot.Number{Round: 300, Node: 0x0102030405060708}, ballot.Number{Round: 7, Node: 2}
	value := []byte("a value")
	for name, a := range map[string]ballot.Ask{
		"prepare": {Kind: ballot.Prepare, Place: 1000, Number: number},
		"accept":  {Kind: ballot.Accept, Place: 1000, Number: number, Value: value},
		"query":   {Kind: ballot.Query, Place: 1000},
	} {
		golden.RoundTrip(t, "request-"+name+".hex", a, func(a ballot.Ask) []byte { return encodeAsk(&a) }, decodeAsk)
	}
	for name, a := range map[string]ballot.Answer{
		"granted":       {Verdict: ballot.Granted, Next: 1000},
		"granted-value": {Verdict: ballot.Granted, Next: 1000, Accepted: lower, Value: value},
		"rejected":      {Verdict: ballot.Refused, Next: 1000, Number: number},
		"decided":       {Verdict: ballot.Decided, Next: 1001, Value: value},
		"behind":        {Verdict: ballot.Behind, Next: 2},
		"no-vote":       {Verdict: ballot.NoVote, Next: 1000},
		"known":         {Verdict: ballot.Known, Next: 1000, Accepted: lower},
	} {
		golden.RoundTrip(t, "answer-"+name+".hex", a, func(a ballot.Answer) []byte { return encodeAnswer(&a) }, decodeAnswer)
	}
	for name, i := range map[string]identity{
		"founder": {Member: chain.Member{ID: 0x0102030405060708, Name: "k-1", Addr: "10.0.0.1:7000"}, next: 1000, founder: true},
		"other":   {Member: chain.Member{ID: 2, Name: "k-2", Addr: "10.0.0.2:7000"}},
	} {
		golden.RoundTrip(t, "identity-"+name+".hex", i, func(i identity) []byte { return i.encode() }, decodeIdentity)
	}

	type chosen struct {
		place  uint64
		number ballot.Number
	}
	golden.RoundTrip(t, "chosen.hex", chosen{1000, number}, func(c chosen) []byte { return encodeChosen(c.place, c.number) },
		func(b []byte) (c chosen, err error) { c.place, c.number, err = decodeChosen(b); return c, err })

	type entry struct {
		place uint64
		value []byte
	}
	for name, e := range map[string]entry{"entry": {1000, value}, "entry-notice": {1001, []byte{}}, "state-request": {1000, []byte{chain.Version}}} {
		golden.RoundTrip(t, name+".hex", e, func(e entry) []byte { return EncodePlace(e.place, e.value) },
			func(b []byte) (e entry, err error) { e.place, e.value, err = DecodePlace(b); return e, err })
	}
}

// TestGoldenNumbersOfCalls: the numbers under which calls are known, and their one-byte answers.
func TestGoldenNumbersOfCalls(t *testing.T) {
	golden.Equal(t, "numbers", []uint8{1, 2, 3, 4, 10, 16, 14, 1},
		[]uint8{CallAsk, CallLearn, CallState, CallIdentity, CallJoin, CallHears, CallChosen, joinFull})
}

// TestGoldenReplies: a replica that is called with the bytes of a golden file replies with those of another.
func TestGoldenReplies(t *testing.T) {
	n := keeper(true)
	n.state.Former = []string{"k-0"} // which the second format alone holds
	reply := func(name string, c Called) {
		t.Helper()
		said, _ := replies(n, time.Second, c, true)
		if len(said) != 1 || said[0].(Reply).Err != nil {
			t.Fatalf("%s: %+v", name, said)
		}
		golden.Check(t, name+".hex", said[0].(Reply).Body)
	}
	n.Reduce(time.Second, Tick{})
	reply("reply-identity", Called{Kind: CallIdentity})
	reply("reply-state-format-2", Called{Kind: CallState, Body: EncodePlace(0, []byte{chain.Version})})
	reply("reply-state-format-1", Called{Kind: CallState, Body: EncodePlace(0, nil)})
	reply("reply-state-none", Called{Kind: CallState, Body: golden.Read(t, "state-request.hex")})
	reply("reply-prepare", Called{Kind: CallAsk, Body: encodeAsk(&ballot.Ask{Kind: ballot.Prepare, Place: 1, Number: ballot.Number{Round: 3, Node: 5}})})
	reply("reply-chosen", Called{Kind: CallChosen, Body: golden.Read(t, "chosen.hex")})

	for name, err := range map[string]error{"reply-reachable": nil, "reply-unreachable": errors.New("no answer")} {
		n := keeper(true)
		var asked []Call
		for _, f := range n.Reduce(time.Second, Called{Kind: CallHears, Body: []byte("10.0.0.2:7000"), Of: name}) {
			if f, ok := f.(Call); ok && f.Kind == CallIdentity && f.To.String() == "10.0.0.2:7000" {
				asked = append(asked, f)
			}
		}
		if len(asked) != 1 || len(asked[0].Body) > 0 {
			t.Fatalf("%s: calls %+v", name, asked)
		}
		for _, f := range n.Reduce(time.Second, Returned{ID: asked[0].ID, Body: golden.Read(t, "identity-other.hex"), Err: err}) {
			if f, ok := f.(Reply); ok && f.Of == name {
				golden.Check(t, name+".hex", f.Body)
				name = ""
			}
		}
		if name != "" {
			t.Errorf("%s: no reply", name)
		}
	}
}
