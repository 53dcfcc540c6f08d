package check

import "testing"

func TestEveryChangeOfMembers(t *testing.T) {
	found, states := everyLife(newCore(), bounds{rounds: 2, wipes: 1, places: 2, depth: 6})
	if found != "" || states < 40000 {
		t.Errorf("%q in %d states", found, states)
	}
	t.Logf("%d states", states)
}

func TestBrokenMembersAreFound(t *testing.T) {
	for name, breaks := range map[string]func(*core){
		"a wiped machine goes on under its number": func(c *core) { c.forget = true },
		"a change counts before it is chosen":      func(c *core) { c.eager = true },
	} {
		if found, lives := deepLives(breaks, 20000); found == "" {
			t.Errorf("%s: not found in %d lives", name, lives)
		}
	}
	broken := newCore()
	broken.forget = true
	if found, states := everyLife(broken, bounds{rounds: 3, wipes: 1, places: 1, depth: 7}); found == "" {
		t.Errorf("a wiped machine that goes on under its number: not found in %d states", states)
	}
	if found, seed := deepLives(func(*core) {}, 3000); found != "" {
		t.Errorf("%s with seed %d", found, seed)
	}
}

// TestAnotherLossAfterAReplacement: once a change of voters is finished, planned or not, any one of them may go.
func TestAnotherLossAfterAReplacement(t *testing.T) {
	if found, met := replace(4000, false); found != "" || met < 500 {
		t.Errorf("%q, %d changes came to their end", found, met)
	}
	if found, met := replace(4000, true); found == "" {
		t.Errorf("finished once it is chosen: not found in %d changes", met)
	}
}
