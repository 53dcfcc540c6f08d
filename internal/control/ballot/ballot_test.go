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
	a.Voter = false
	if got, write := a.Handle(Ask{Kind: Prepare, Place: 3, Number: Number{50, 1}}); got.Verdict != NoVote || write {
		t.Errorf("who has no vote: %+v", got)
	}
}

// TestBarredIsNoDuel: members that must not accept a value say so, and its proposer does not take that for another's attempt:
// where they are too many, trying again at once is of no use.
func TestBarredIsNoDuel(t *testing.T) {
	for _, c := range []struct {
		barring int
		want    Outcome
	}{{0, Chosen}, {2, Chosen}, {3, Held}, {5, Held}} {
		r := &Round{Number: Number{7, 1}, Members: []uint64{0, 1, 2, 3, 4}, Own: []byte("holder"), Need: 3}
		accs := make([]Acceptor, 5)
		for i := range accs {
			accs[i] = Acceptor{Voter: true, Bars: func(v []byte) bool { return i < c.barring && string(v) == "holder" }}
		}
		ask, out := r.Begin(), Pending
		for phase := 0; phase < 2 && out == Pending; phase++ {
			for i := range accs {
				ans, _ := accs[i].Handle(ask)
				next, o := r.Take(uint64(i), phase == 1, ans)
				if out = o; next != nil {
					ask = *next
					break
				}
				if out != Pending {
					break
				}
			}
		}
		if out != c.want || out == Held && r.Higher != (Number{}) {
			t.Errorf("%d bar it: %v, want %v", c.barring, out, c.want)
		}
	}
}
