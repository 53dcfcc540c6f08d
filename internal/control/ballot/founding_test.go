package ballot

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// founders is a set by its members' numbers.
func founders(ids []int) []byte { return []byte(fmt.Sprint(ids)) }

// TestTwoHalvesNeverBothFound has machines found a core that do not know how many they are: cuts come and go between them,
// words are lost, processes start again with their disks, and each proposes those whom it can see, as soon as they are 2f+1.
// All whom a set names must accept it; so two sets can't both be founded as long as there are fewer than 4f+2 machines.
func TestTwoHalvesNeverBothFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		founded := found(t, rapid.IntRange(3, 5).Draw(t, "machines"), 3, func(set int) int { return set })
		if len(founded) > 1 {
			t.Fatalf("founded: %v", founded)
		}
	})
}

// TestHalvesThatFoundAreFoundOut breaks the rule: a majority of those whom a set names is taken for enough.
func TestHalvesThatFoundAreFoundOut(t *testing.T) {
	worst := 0
	for seed := range 300 {
		founded := rapid.Custom(func(t *rapid.T) int {
			return len(found(t, 5, 3, Majority))
		}).Example(seed)
		worst = max(worst, founded)
	}
	if worst < 2 {
		t.Error("a check that can't fail: no life in which a majority founds was found out")
	}
}

// found plays a random life and returns the sets that were founded.
func found(t *rapid.T, machines, least int, need func(set int) int) []string {
	accs := make([]Acceptor, machines)
	disks := make([]Vote, machines)
	none := func(uint64) ([]byte, bool) { return nil, false }
	for i := range accs {
		accs[i] = Acceptor{Voter: true, Chosen: none}
	}
	side := make([]int, machines) // who is on which side of a cut
	sets := map[string]bool{}
	number := uint64(0)
	for range 12 {
		for i := range side {
			side[i] = rapid.IntRange(0, 1).Draw(t, "side")
		}
		if i := rapid.IntRange(0, 2*machines).Draw(t, "again"); i < machines {
			accs[i] = Acceptor{Voter: true, Chosen: none, Vote: disks[i]}
		}
		who := rapid.IntRange(0, machines-1).Draw(t, "who")
		var ids []int
		for i := range machines {
			if side[i] == side[who] {
				ids = append(ids, i)
			}
		}
		if len(ids) < least {
			continue
		}
		for range 3 { // as a keeper goes on with the set that it finds accepted
			number++
			own := founders(ids)
			r := &Round{Number: Number{number, number}, Need: need(len(ids)), Own: own}
			r.Fits = func(v []byte) bool { return string(v) == string(own) }
			for _, id := range ids {
				r.Members = append(r.Members, uint64(id))
			}
			out := turn(t, r, accs, disks, side, who)
			if out == Chosen {
				sets[string(r.Value)] = true
			}
			if out != Unfit {
				break
			}
			ids = ids[:0:0]
			for _, f := range strings.Fields(strings.Trim(string(r.Value), "[]")) {
				var id int
				fmt.Sscan(f, &id)
				ids = append(ids, id)
			}
		}
	}
	var all []string
	for s := range sets {
		all = append(all, s)
	}
	slices.Sort(all)
	return all
}

// turn turns a round until its outcome; words across a cut are lost, and others now and then.
func turn(t *rapid.T, r *Round, accs []Acceptor, disks []Vote, side []int, who int) Outcome {
	ask := r.Begin()
	for {
		var next *Ask
		out := Pending
		for _, id := range r.Members {
			if next != nil || out != Pending {
				break
			}
			accepting := r.Accepting()
			if side[id] != side[who] || rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
				out = r.Fail(id, accepting)
				continue
			}
			ans, write := accs[id].Handle(ask)
			if write {
				disks[id] = accs[id].Vote
			}
			if rapid.IntRange(0, 5).Draw(t, "answer lost") == 0 {
				out = r.Fail(id, accepting)
				continue
			}
			next, out = r.Take(id, accepting, ans)
		}
		if next == nil {
			if out == Pending {
				out = Lost
			}
			return out
		}
		ask = *next
	}
}
