package check

import (
	"fmt"
	"slices"
	"strings"

	"notchhinge/internal/control/ballot"
)

// founders is a set by its members' numbers.
func founders(ids []int) []byte { return []byte(fmt.Sprint(ids)) }

// found plays a random life and returns the sets that were founded.
func found(draw func(n int) int, machines, least int, need func(set int) int) []string {
	accs := make([]ballot.Acceptor, machines)
	disks := make([]ballot.Vote, machines)
	none := func(uint64) ([]byte, bool) { return nil, false }
	for i := range accs {
		accs[i] = ballot.Acceptor{Voter: true, Chosen: none}
	}
	side := make([]int, machines) // who is on which side of a cut
	sets := map[string]bool{}
	number := uint64(0)
	for range 12 {
		for i := range side {
			side[i] = draw(2)
		}
		if i := draw(2*machines + 1); i < machines {
			accs[i] = ballot.Acceptor{Voter: true, Chosen: none, Vote: disks[i]}
		}
		who := draw(machines)
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
			r := &ballot.Round{Number: ballot.Number{Round: number, Node: number}, Need: need(len(ids)), Own: own}
			r.Fits = func(v []byte) bool { return string(v) == string(own) }
			for _, id := range ids {
				r.Members = append(r.Members, uint64(id))
			}
			out := turn(draw, r, accs, disks, side, who)
			if out == ballot.Chosen {
				sets[string(r.Value)] = true
			}
			if out != ballot.Unfit {
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
func turn(draw func(n int) int, r *ballot.Round, accs []ballot.Acceptor, disks []ballot.Vote, side []int, who int) ballot.Outcome {
	ask := r.Begin()
	for {
		var next *ballot.Ask
		out := ballot.Pending
		for _, id := range r.Members {
			if next != nil || out != ballot.Pending {
				break
			}
			accepting := r.Accepting()
			if side[id] != side[who] || draw(6) == 0 {
				out = r.Fail(id, accepting)
				continue
			}
			ans, write := accs[id].Handle(ask)
			if write {
				disks[id] = accs[id].Vote
			}
			if draw(6) == 0 {
				out = r.Fail(id, accepting)
				continue
			}
			next, out = r.Take(id, accepting, ans)
		}
		if next == nil {
			if out == ballot.Pending {
				out = ballot.Lost
			}
			return out
		}
		ask = *next
	}
}
