package check

import (
	"testing"

	"pgregory.net/rapid"

	"notchhinge/internal/control/paxos"
)

// drawn has rapid draw, so that it can shrink.
func drawn(t *rapid.T) func(n int) int {
	return func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
}

func TestOneValueAPlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(t, "members"))
		w.live(drawn(t), 150)
		if says := w.broken(); says != "" {
			t.Fatal(says)
		}
	})
}

func TestBrokenRulesAreFound(t *testing.T) {
	// A check that can't fail checks nothing: a member that votes on after its disk was wiped, or that answers before its
	// vote is on the disk, must be found out by the very walk that finds nothing otherwise.
	for name, breaks := range map[string]func(*world){
		"votes after a wipe":      func(w *world) { w.forgets = true },
		"answers before the sync": func(w *world) { w.skipDisk = true },
		"counts its rounds anew":  func(w *world) { w.again = true },
	} {
		if found, lives := deep(breaks, 20000); found == "" {
			t.Errorf("%s: not found in %d lives", name, lives)
		}
	}
	if found, lives := deep(func(*world) {}, 4000); found != "" {
		t.Errorf("%s after %d lives", found, lives)
	}
}

func TestEveryOrder(t *testing.T) {
	if found, lives := explore(1, 9); found != "" || lives < 1000 {
		t.Errorf("%q after %d lives", found, lives)
	}
}

func TestOldProposerWakes(t *testing.T) {
	// A proposer dies after one of three has accepted, another comes and has its own chosen where the first had not been; the
	// operator tries again elsewhere; then the first wakes up with all that it had sent, and what it had heard, still on the
	// way. Whichever majority the second finds, there is one value, and the first one's is it if the second has seen it.
	for seen := range 3 { // who of the three has accepted the first one's value
		for away := range 3 { // who does not answer the second
			w := newWorld(3)
			w.begin(0)
			first := w.rounds[0]
			take := func(a *attempt, phase paxos.RequestKind, back bool, from int) bool {
				for i, x := range w.wires {
					if x.from == a && x.phase == phase && x.back == back && (!back && x.to == from || back && x.by == uint64(from+1)) {
						w.deliver(i, false)
						return true
					}
				}
				return false
			}
			for i := range 3 {
				take(first, paxos.KindPrepare, false, i)
				take(first, paxos.KindPrepare, true, i)
			}
			if !take(first, paxos.KindAccept, false, seen) { // and dies: its other words stay on the way
				t.Fatal("the first one has not come as far as to have a value accepted")
			}
			for _, number := range []int{1, 2} { // the second, and the operator's next try
				w.begin(0)
				second := w.rounds[number]
				for _, phase := range []paxos.RequestKind{paxos.KindPrepare, paxos.KindAccept} {
					for i := range 3 {
						if i != away {
							take(second, phase, false, i)
							take(second, phase, true, i)
						}
					}
				}
				want := "v2"
				if seen != away {
					want = "v1"
				}
				if !w.chosen[0][want] || len(w.chosen[0]) != 1 {
					t.Fatalf("accepted at %d, away %d: %v, not %s", seen, away, w.chosen[0], want)
				}
			}
			for i := range 3 { // the first wakes up
				take(first, paxos.KindAccept, false, i)
				take(first, paxos.KindAccept, true, i)
			}
			if says := w.broken(); says != "" || first.over && first.Value != nil && !w.chosen[0][string(first.Value)] {
				t.Errorf("accepted at %d, away %d: %s", seen, away, says)
			}
		}
	}
}

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

// TestTwoHalvesNeverBothFound has machines found a core that do not know how many they are: cuts come and go between them,
// words are lost, processes start again with their disks, and each proposes those whom it can see, as soon as they are 2f+1.
// All whom a set names must accept it; so two sets can't both be founded as long as there are fewer than 4f+2 machines.
// TestAnotherLossAfterAReplacement: once a change of voters is finished, planned or not, any one of them may go.
func TestAnotherLossAfterAReplacement(t *testing.T) {
	if found, met := replace(4000, false); found != "" || met < 500 {
		t.Errorf("%q, %d changes came to their end", found, met)
	}
	if found, met := replace(4000, true); found == "" {
		t.Errorf("finished once it is chosen: not found in %d changes", met)
	}
}

func TestTwoHalvesNeverBothFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		founded := found(drawn(t), rapid.IntRange(3, 5).Draw(t, "machines"), func(set int) int { return set })
		if len(founded) > 1 {
			t.Fatalf("founded: %v", founded)
		}
	})
}

// TestHalvesThatFoundAreFoundOut breaks the rule: a majority of those whom a set names is taken for enough.
func TestHalvesThatFoundAreFoundOut(t *testing.T) {
	worst := 0
	for seed := range 300 {
		founded := len(found(draws(seed), 5, paxos.Majority))
		worst = max(worst, founded)
	}
	if worst < 2 {
		t.Error("a check that can't fail: no life in which a majority founds was found out")
	}
}

// TestAcknowledgedDrainsHold: whoever crashes between the announcement of a drain and the answer, or right after it with all
// replicas, a zone, or all that knew, nobody sends the engine requests once its time is over. A drain that is acknowledged as
// soon as it is received is found out.
func TestAcknowledgedDrainsHold(t *testing.T) {
	if found, seed := draining(150, false); found != "" {
		t.Errorf("seed %d: %s", seed, found)
	}
	if found, lives := draining(150, true); found == "" {
		t.Errorf("acknowledged before anybody else knows: not found in %d walks", lives)
	}
}

// TestOneOfTwoConfigurations: of two upon one version one is acknowledged, whatever is cut, killed, lost or taken in meanwhile,
// and it is in the chain. Who takes a ballot that was won for one's own is found out.
func TestOneOfTwoConfigurations(t *testing.T) {
	if found, seed := races(3000, false); found != "" {
		t.Errorf("seed %d: %s", seed, found)
	}
	if found, lives := races(3000, true); found == "" {
		t.Errorf("a ballot that was won is taken for one's own: not found in %d lives", lives)
	}
}
