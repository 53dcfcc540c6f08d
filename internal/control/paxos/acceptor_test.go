package paxos

import "testing"

// TestAcceptorVerdicts: the verdict depends on the index, the proposal number and whether the acceptor is a voter.
func TestAcceptorVerdicts(t *testing.T) {
	a := Acceptor{IsVoter: true, NextIndex: 3, ChosenValue: func(uint64) ([]byte, bool) { return []byte("old"), true }}
	for _, c := range []struct { // in sequence, at one acceptor
		request Request
		want    Verdict
	}{
		{Request{Kind: KindPrepare, Index: 2, Number: ProposalNumber{9, 1}}, VerdictAlreadyChosen},
		{Request{Kind: KindPrepare, Index: 4, Number: ProposalNumber{9, 1}}, VerdictLagging},
		{Request{Kind: KindPrepare, Index: 3, Number: ProposalNumber{5, 1}}, VerdictGranted},
		{Request{Kind: KindPrepare, Index: 3, Number: ProposalNumber{4, 9}}, VerdictRejected},
		{Request{Kind: KindAccept, Index: 3, Number: ProposalNumber{5, 0}}, VerdictRejected},
		{Request{Kind: KindAccept, Index: 3, Number: ProposalNumber{5, 1}, Value: []byte("v")}, VerdictGranted},
		{Request{Kind: KindQuery}, VerdictReported},
		{Request{Kind: 9, Index: 3, Number: ProposalNumber{9, 9}}, VerdictNotVoter},
	} {
		if got, _ := a.Handle(c.request); got.Verdict != c.want {
			t.Errorf("%+v: %v, want %v", c.request, got.Verdict, c.want)
		}
	}
	if got, _ := a.Handle(Request{Kind: KindQuery}); got.Value != nil || got.Accepted != (ProposalNumber{5, 1}) {
		t.Errorf("query response %+v; want the number of the accepted value without the value", got)
	}
	a.IsVoter = false
	if got, persist := a.Handle(Request{Kind: KindPrepare, Index: 3, Number: ProposalNumber{50, 1}}); got.Verdict != VerdictNotVoter || persist {
		t.Errorf("not a voter: %+v", got)
	}
}
