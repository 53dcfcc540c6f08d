package paxos

import "testing"

func TestAcceptorKeepsToItsPlace(t *testing.T) {
	a := Acceptor{IsVoter: true, NextIndex: 3, ChosenValue: func(uint64) ([]byte, bool) { return []byte("old"), true }}
	for _, c := range []struct {
		ask  Request
		want Verdict
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
		if got, _ := a.Handle(c.ask); got.Verdict != c.want {
			t.Errorf("%+v: %v, want %v", c.ask, got.Verdict, c.want)
		}
	}
	if got, _ := a.Handle(Request{Kind: KindQuery}); got.Value != nil || got.Accepted != (ProposalNumber{5, 1}) {
		t.Errorf("%+v: whoever reads asks, and a value may be large", got)
	}
	a.IsVoter = false
	if got, write := a.Handle(Request{Kind: KindPrepare, Index: 3, Number: ProposalNumber{50, 1}}); got.Verdict != VerdictNotVoter || write {
		t.Errorf("who has no vote: %+v", got)
	}
}
