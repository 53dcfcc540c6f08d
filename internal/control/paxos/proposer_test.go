package paxos

import "testing"

// TestProposerOutcomes runs one proposal with three voters and a quorum of two. Each response belongs to the current
// phase.
func TestProposerOutcomes(t *testing.T) {
	granted, rejected := Response{Verdict: VerdictGranted}, Response{Verdict: VerdictRejected, Promised: ProposalNumber{Term: 9}}
	accepted := Response{Verdict: VerdictGranted, Accepted: ProposalNumber{Term: 1}, Value: []byte("earlier")}
	for name, c := range map[string]struct {
		responses []Response // from voters 1, 2 and 3 in turn
		want      Outcome
		value     string
	}{
		"its own value, granted by a quorum in both phases": {[]Response{granted, granted, granted, granted}, OutcomeChosen, "own"},
		"the value that a voter had accepted":               {[]Response{granted, accepted, granted, granted, granted}, OutcomeChosen, "earlier"},
		"a higher number at a quorum":                       {[]Response{granted, rejected, rejected}, OutcomePreempted, "own"},
		"a higher number at one, no answer of another":      {[]Response{rejected, {Verdict: VerdictNotVoter}}, OutcomePreempted, "own"},
		"voters that lag":                                   {[]Response{{Verdict: VerdictLagging}, {Verdict: VerdictLagging}}, OutcomeNoQuorum, "own"},
		"a voter that knows the index":                      {[]Response{granted, {Verdict: VerdictAlreadyChosen, Value: []byte("old")}}, OutcomeAlreadyChosen, "old"},
		"too few responses":                                 {[]Response{granted}, OutcomePending, "own"},
	} {
		t.Run(name, func(t *testing.T) {
			p := Proposer{Number: ProposalNumber{Term: 5}, Voters: []uint64{1, 2, 3}, Quorum: 2, OwnValue: []byte("own")}
			p.Prepare()
			out := OutcomePending
			for i, resp := range c.responses {
				if out != OutcomePending {
					break
				}
				_, out = p.HandleResponse(uint64(i%3)+1, p.Phase(), resp)
			}
			if out != c.want || string(p.Value) != c.value {
				t.Errorf("outcome %d, value %q; want %d, %q", out, p.Value, c.want, c.value)
			}
		})
	}
}

// TestLateResponsesDoNotCount: duplicate responses and responses to the earlier phase are ignored.
func TestLateResponsesDoNotCount(t *testing.T) {
	p := Proposer{Number: ProposalNumber{Term: 5}, Voters: []uint64{1, 2, 3}, Quorum: 2, OwnValue: []byte("own")}
	p.Prepare()
	granted := Response{Verdict: VerdictGranted}
	p.HandleResponse(1, KindPrepare, granted)
	if next, _ := p.HandleResponse(1, KindPrepare, granted); next != nil {
		t.Error("a duplicate response was counted")
	}
	if next, _ := p.HandleResponse(2, KindPrepare, granted); next == nil || next.Kind != KindAccept {
		t.Fatalf("after a quorum of promises: %+v", next)
	}
	if p.HandleResponse(3, KindPrepare, granted); p.HasGranted(3) || p.HandleFailure(3, KindPrepare) != OutcomePending {
		t.Error("a response to the prepare request was counted in the accept phase")
	}
}
