package replica

import (
	"errors"
	"testing"
	"time"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/testutil/golden"
)

// TestGoldenCalls: the encodings of calls between replicas and their answers do not change.
func TestGoldenCalls(t *testing.T) {
	number, lower := paxos.ProposalNumber{Term: 300, Proposer: 0x0102030405060708}, paxos.ProposalNumber{Term: 7, Proposer: 2}
	value := []byte("a value")
	for name, req := range map[string]paxos.Request{
		"prepare": {Kind: paxos.KindPrepare, Index: 1000, Number: number},
		"accept":  {Kind: paxos.KindAccept, Index: 1000, Number: number, Value: value},
		"query":   {Kind: paxos.KindQuery, Index: 1000},
	} {
		golden.RoundTrip(t, "request-"+name+".hex", req, func(req paxos.Request) []byte { return encodePaxosRequest(&req) }, decodePaxosRequest)
	}
	for name, resp := range map[string]paxos.Response{
		"granted":        {Verdict: paxos.VerdictGranted, NextIndex: 1000},
		"granted-value":  {Verdict: paxos.VerdictGranted, NextIndex: 1000, Accepted: lower, Value: value},
		"rejected":       {Verdict: paxos.VerdictRejected, NextIndex: 1000, Promised: number},
		"already-chosen": {Verdict: paxos.VerdictAlreadyChosen, NextIndex: 1001, Value: value},
		"lagging":        {Verdict: paxos.VerdictLagging, NextIndex: 2},
		"not-voter":      {Verdict: paxos.VerdictNotVoter, NextIndex: 1000},
		"reported":       {Verdict: paxos.VerdictReported, NextIndex: 1000, Accepted: lower},
	} {
		encode := func(resp paxos.Response) []byte { return encodePaxosResponse(&resp) }
		golden.RoundTrip(t, "response-"+name+".hex", resp, encode, decodePaxosResponse)
	}
	for name, i := range map[string]identity{
		"founder": {Member: replog.Member{ID: 0x0102030405060708, Name: "k-1", Addr: "10.0.0.1:7000"}, nextIndex: 1000, isFounder: true},
		"other":   {Member: replog.Member{ID: 2, Name: "k-2", Addr: "10.0.0.2:7000"}},
	} {
		golden.RoundTrip(t, "identity-"+name+".hex", i, identity.encode, decodeIdentity)
	}

	type commit struct {
		index  uint64
		number paxos.ProposalNumber
	}
	golden.RoundTrip(t, "commit.hex", commit{1000, number}, func(c commit) []byte { return encodeCommit(c.index, c.number) },
		func(b []byte) (c commit, err error) { c.index, c.number, err = decodeCommit(b); return c, err })

	type entry struct {
		index uint64
		value []byte
	}
	for name, e := range map[string]entry{
		"learn": {1000, value}, "learn-notice": {1001, []byte{}},
		"snapshot-request":          {1000, []byte{replog.StateVersion}},
		"snapshot-request-format-2": {1000, []byte{2}}, // as sent by an earlier release
	} {
		golden.RoundTrip(t, name+".hex", e, func(e entry) []byte { return EncodeIndexed(e.index, e.value) },
			func(b []byte) (e entry, err error) { e.index, e.value, err = DecodeIndexed(b); return e, err })
	}
}

// TestGoldenCallKinds: the numbers of the call kinds and the one-byte answer to rpc.KindJoin do not change.
func TestGoldenCallKinds(t *testing.T) {
	golden.Equal(t, "numbers", []uint8{1, 2, 3, 4, 10, 16, 14, 1}, []uint8{
		uint8(rpc.KindPaxos), uint8(rpc.KindLearn), uint8(rpc.KindSnapshot), uint8(rpc.KindIdentity), uint8(rpc.KindJoin), uint8(rpc.KindCheckReachable),
		uint8(rpc.KindCommit), joinGroupFull,
	})
}

// TestEveryCallHasAHandler: each kind of call owned by replicas has a handler, and a kind of another owner is an error.
func TestEveryCallHasAHandler(t *testing.T) {
	if mismatches := callHandlers.Mismatches(rpc.OwnerReplica); len(mismatches) > 0 {
		t.Errorf("kinds without a handler, or of another owner: %v", mismatches)
	}
	answers, _ := reduce(newSingle(true), time.Second, CallReceived{Kind: rpc.KindUsageReport}, true)
	if len(answers) != 1 || !errors.Is(answers[0].(SendReply).Err, rpc.UnknownKindError(rpc.KindUsageReport)) {
		t.Errorf("call of another owner: %+v", answers)
	}
}

// TestGoldenReplies: the replies to calls do not change.
func TestGoldenReplies(t *testing.T) {
	r := newSingle(true)
	r.state.FormerMembers = []string{"k-0"} // only in the second format
	reply := func(name string, c CallReceived) {
		t.Helper()
		answers, _ := reduce(r, time.Second, c, true)
		if len(answers) != 1 || answers[0].(SendReply).Err != nil {
			t.Fatalf("%s: %+v", name, answers)
		}
		golden.Check(t, name+".hex", answers[0].(SendReply).Body)
	}
	r.Reduce(time.Second, Tick{})
	reply("reply-identity", CallReceived{Kind: rpc.KindIdentity})
	reply("reply-snapshot-format-2", CallReceived{Kind: rpc.KindSnapshot, Body: EncodeIndexed(0, []byte{replog.StateVersion})})
	reply("reply-snapshot-format-1", CallReceived{Kind: rpc.KindSnapshot, Body: EncodeIndexed(0, nil)})
	reply("reply-snapshot-none", CallReceived{Kind: rpc.KindSnapshot, Body: golden.Read(t, "snapshot-request.hex")})
	prepare := paxos.Request{Kind: paxos.KindPrepare, Index: 1, Number: paxos.ProposalNumber{Term: 3, Proposer: 5}}
	reply("reply-prepare", CallReceived{Kind: rpc.KindPaxos, Body: encodePaxosRequest(&prepare)})
	reply("reply-commit", CallReceived{Kind: rpc.KindCommit, Body: golden.Read(t, "commit.hex")})
}

// TestGoldenReachableReplies: the answer to rpc.KindCheckReachable is one byte.
func TestGoldenReachableReplies(t *testing.T) {
	for name, err := range map[string]error{"reply-reachable": nil, "reply-unreachable": errors.New("no answer")} {
		r := newSingle(true)
		var sent []SendCall
		for _, f := range r.Reduce(time.Second, CallReceived{Kind: rpc.KindCheckReachable, Body: []byte("10.0.0.2:7000"), Request: 7}) {
			if f, ok := f.(SendCall); ok && f.Kind == rpc.KindIdentity && f.To.String() == "10.0.0.2:7000" {
				sent = append(sent, f)
			}
		}
		if len(sent) != 1 || len(sent[0].Body) > 0 {
			t.Fatalf("%s: calls %+v", name, sent)
		}
		for _, f := range r.Reduce(time.Second, CallReturned{ID: sent[0].ID, Body: golden.Read(t, "identity-other.hex"), Err: err}) {
			if f, ok := f.(SendReply); ok && f.Request == 7 {
				golden.Check(t, name+".hex", f.Body)
				name = ""
			}
		}
		if name != "" {
			t.Errorf("%s: no reply", name)
		}
	}
}
