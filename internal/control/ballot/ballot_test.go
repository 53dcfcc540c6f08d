package ballot

import "testing"

func TestAcceptorKeepsToItsPlace(t *testing.T) {
	a := Acceptor{Voter: true, Next: 3, Chosen: func(uint64) ([]byte, bool) { return []byte("old"), true }}
	for _, c := range []struct {
		ask  Ask
		want Verdict
	}{
		{Ask{Kind: Prepare, Place: 2, Number: Number{9, 1}}, Decided},
		{Ask{Kind: Prepare, Place: 4, Number: Number{9, 1}}, Behind},
		{Ask{Kind: Prepare, Place: 3, Number: Number{5, 1}}, Granted},
		{Ask{Kind: Prepare, Place: 3, Number: Number{4, 9}}, Refused},
		{Ask{Kind: Accept, Place: 3, Number: Number{5, 0}}, Refused},
		{Ask{Kind: Accept, Place: 3, Number: Number{5, 1}, Value: []byte("v")}, Granted},
		{Ask{Kind: Query}, Known},
		{Ask{Kind: 9, Place: 3, Number: Number{9, 9}}, NoVote},
	} {
		if got, _ := a.Handle(c.ask); got.Verdict != c.want {
			t.Errorf("%+v: %v, want %v", c.ask, got.Verdict, c.want)
		}
	}
	if got, _ := a.Handle(Ask{Kind: Query}); got.Value != nil || got.Accepted != (Number{5, 1}) {
		t.Errorf("%+v: whoever reads asks, and a value may be large", got)
	}
	a.Voter = false
	if got, write := a.Handle(Ask{Kind: Prepare, Place: 3, Number: Number{50, 1}}); got.Verdict != NoVote || write {
		t.Errorf("who has no vote: %+v", got)
	}
}
