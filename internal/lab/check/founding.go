package check

import (
	"fmt"
	"slices"
	"strings"

	"notchhinge/internal/control/paxos"
)

// founders is a set by its members' numbers.
func founders(ids []int) []byte { return []byte(fmt.Sprint(ids)) }

// found plays a random life, in which three machines found at least, and returns the sets that were founded.
func found(draw func(n int) int, machines int, need func(set int) int) []string {
	accs := make([]paxos.Acceptor, machines)
	disks := make([]paxos.AcceptorState, machines)
	none := func(uint64) ([]byte, bool) { return nil, false }
	for i := range accs {
		accs[i] = paxos.Acceptor{IsVoter: true, ChosenValue: none}
	}
	side := make([]int, machines) // who is on which side of a cut
	sets := map[string]bool{}
	number := uint64(0)
	for range 12 {
		for i := range side {
			side[i] = draw(2)
		}
		if i := draw(2*machines + 1); i < machines {
			accs[i] = paxos.Acceptor{IsVoter: true, ChosenValue: none, State: disks[i]}
		}
		who := draw(machines)
		var ids []int
		for i := range machines {
			if side[i] == side[who] {
				ids = append(ids, i)
			}
		}
		if len(ids) < 3 {
			continue
		}
		for range 3 { // as a keeper goes on with the set that it finds accepted
			number++
			own := founders(ids)
			r := &paxos.Proposer{Number: paxos.ProposalNumber{Term: number, Proposer: number}, Quorum: need(len(ids)), OwnValue: own}
			r.IsValidValue = func(v []byte) bool { return string(v) == string(own) }
			for _, id := range ids {
				r.Voters = append(r.Voters, uint64(id))
			}
			out := turn(draw, r, accs, disks, side, who)
			if out == paxos.OutcomeChosen {
				sets[string(r.Value)] = true
			}
			if out != paxos.OutcomeInvalidValue {
				break
			}
			ids = ids[:0:0]
			for _, f := range strings.Fields(strings.Trim(string(r.Value), "[]")) {
				var id int
				_, _ = fmt.Sscan(f, &id) // written by this model
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
func turn(draw func(n int) int, r *paxos.Proposer, accs []paxos.Acceptor, disks []paxos.AcceptorState, side []int, who int) paxos.Outcome {
	ask := r.Prepare()
	for {
		var next *paxos.Request
		out := paxos.OutcomePending
		for _, id := range r.Voters {
			if next != nil || out != paxos.OutcomePending {
				break
			}
			phase := r.Phase()
			if side[id] != side[who] || draw(6) == 0 {
				out = r.HandleFailure(id, phase)
				continue
			}
			ans, write := accs[id].Handle(ask)
			if write {
				disks[id] = accs[id].State
			}
			if draw(6) == 0 {
				out = r.HandleFailure(id, phase)
				continue
			}
			next, out = r.HandleResponse(id, phase, ans)
		}
		if next == nil {
			if out == paxos.OutcomePending {
				out = paxos.OutcomeNoQuorum
			}
			return out
		}
		ask = *next
	}
}
