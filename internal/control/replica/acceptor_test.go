package replica

import (
	"testing"
	"time"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
)

// TestVoteIsSentAfterItsWrite: a vote is sent only once it is durable, and not at all if the write fails; a grant
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
		t.Errorf("after a failed write: %+v", answers)
	}
	answers, writes := reduce(r, time.Second, prepare, true) // already granted in memory
	if len(answers) != 1 || answers[0].(SendReply).Err != nil || writes != 1 {
		t.Errorf("after a successful write: %+v, %d writes, want 1", answers, writes)
	}
	if _, writes = reduce(r, time.Second, prepare, true); writes != 0 {
		t.Errorf("%d writes of a vote that is already durable", writes)
	}
}

// TestMembershipPendingUntilDecided: a replica reports an accepted membership change as pending until the index is
// decided.
func TestMembershipPendingUntilDecided(t *testing.T) {
	r := newSingle(true)
	value := replog.Entry{Payload: replog.MembersChange{Members: append(membersOf(9), r.Self)}}.Encode()
	if r.MembershipPending() {
		t.Error("MembershipPending before a value was accepted")
	}
	req := paxos.Request{Kind: paxos.KindAccept, Index: 1, Number: paxos.ProposalNumber{Term: 3, Proposer: 5}, Value: value}
	reduce(r, time.Second, CallReceived{Kind: rpc.KindPaxos, Body: encodePaxosRequest(&req)}, true)
	if !r.MembershipPending() {
		t.Error("no MembershipPending after a membership change was accepted")
	}
	reduce(r, time.Second, CallReceived{Kind: rpc.KindLearn, Body: EncodeIndexed(1, value)}, true)
	if r.MembershipPending() || len(r.state.Members) != 2 {
		t.Error("still pending, or voters not applied, after the index was decided")
	}
}
