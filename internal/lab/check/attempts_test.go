package check

import "testing"

func TestEveryLeg(t *testing.T) {
	t.Parallel()
	// notchlab check goes further: here one request meets everything, and the next shows what it has left behind.
	if found, met := legs(slips{}, legSome()[1:], legsFine()[0]); found != "" || met < 10000 {
		t.Errorf("%q after %d lives", found, met)
	}
}

func TestBrokenLegsAreFound(t *testing.T) {
	t.Parallel()
	for _, w := range legsBroken() {
		if found, met := w.Run(0); found == "" {
			t.Errorf("%s: not found in %d lives", w.Name, met)
		}
	}
}
