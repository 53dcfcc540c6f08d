package replica

import (
	"testing"
	"time"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
)

// TestVoteIsSentAfterItsWrite: a vote is answered once it is durable, and not at all where the disk refuses it; a grant that is
// repeated after a failed write is written again.
func TestVoteIsSentAfterItsWrite(t *testing.T) {
	r := newSingle(true)
	req := paxos.Request{Kind: paxos.KindPrepare, Index: 1, Number: paxos.ProposalNumber{Term: 3, Proposer: 5}}
	prepare := CallReceived{Kind: rpc.KindPaxos, Body: encodePaxosRequest(&req)}
	r.Reduce(time.Second, Tick{})
	for _, f := range r.Reduce(time.Second, prepare) {
		if reply, ok := f.(SendReply); ok {
			t.Errorf("replied before the write: %+v", reply)
		}
	}
	r = newSingle(true)
	answers, _ := reduce(r, time.Second, prepare, false)
	if len(answers) != 1 || answers[0].(SendReply).Err == nil {
		t.Errorf("write refused: %+v", answers)
	}
	answers, writes := reduce(r, time.Second, prepare, true) // granted already in memory
	if len(answers) != 1 || answers[0].(SendReply).Err != nil || writes != 1 {
		t.Errorf("write accepted: %+v, %d writes", answers, writes)
	}
	if _, writes = reduce(r, time.Second, prepare, true); writes != 0 {
		t.Errorf("%d writes of a durable vote", writes)
	}
}

// TestMembershipPendingUntilDecided: a replica that has accepted other voters says so until the index is decided.
func TestMembershipPendingUntilDecided(t *testing.T) {
	r := newSingle(true)
	value := replog.Entry{Payload: replog.MembersChange{Members: append(membersOf(9), r.Self)}}.Encode()
	if r.MembershipPending() {
		t.Error("pending before anything is accepted")
	}
	req := paxos.Request{Kind: paxos.KindAccept, Index: 1, Number: paxos.ProposalNumber{Term: 3, Proposer: 5}, Value: value}
	reduce(r, time.Second, CallReceived{Kind: rpc.KindPaxos, Body: encodePaxosRequest(&req)}, true)
	if !r.MembershipPending() {
		t.Error("not pending after other voters were accepted")
	}
	reduce(r, time.Second, CallReceived{Kind: rpc.KindLearn, Body: EncodeIndexed(1, value)}, true)
	if r.MembershipPending() || len(r.state.Members) != 2 {
		t.Error("pending after the index was decided")
	}
}
