package check

import (
	"fmt"
	"slices"
	"strings"

	"notchhinge/internal/control/paxos"
)

// minFounders is the minimum number of machines, the proposer included, that must be reachable to propose them as founders.
const minFounders = 3

// founding simulates machines that found a fleet, at index 0 of the log, under partitions. Each proposes the set of machines
// that it reaches. The rule under test: all members of a set must accept it.
type founding struct {
	draw      func(n int) int
	acceptors []paxos.Acceptor
	disks     []paxos.AcceptorState
	side      []int // side of the partition, by machine
	number    uint64
	founded   map[string]bool // sets that were chosen
}

func newFounding(draw func(n int) int, machines int) *founding {
	f := &founding{
		draw: draw, acceptors: make([]paxos.Acceptor, machines), disks: make([]paxos.AcceptorState, machines),
		side: make([]int, machines), founded: map[string]bool{},
	}
	for i := range f.acceptors {
		f.restart(i)
	}
	return f
}

// restart restarts a machine from its disk.
func (f *founding) restart(i int) {
	f.acceptors[i] = paxos.Acceptor{IsVoter: true, ChosenValue: func(uint64) ([]byte, bool) { return nil, false }, State: f.disks[i]}
}

// randomFounding returns the sets of machines that were chosen as founders during 12 random partitions, sorted. quorum returns
// how many members of a set must accept it.
func randomFounding(draw func(n int) int, machines int, quorum func(founders int) int) []string {
	f := newFounding(draw, machines)
	for range 12 {
		for i := range f.side {
			f.side[i] = draw(2)
		}
		if i := draw(2*machines + 1); i < machines {
			f.restart(i)
		}
		proposer := draw(machines)
		if set := f.reachable(proposer); len(set) >= minFounders {
			f.propose(proposer, set, quorum)
		}
	}
	var sets []string
	for s := range f.founded {
		sets = append(sets, s)
	}
	slices.Sort(sets)
	return sets
}

// reachable returns the machines on the same side of the partition.
func (f *founding) reachable(from int) (set []int) {
	for i, side := range f.side {
		if side == f.side[from] {
			set = append(set, i)
		}
	}
	return set
}

// propose proposes a set of founders. If another set was accepted before, it proposes that one instead, as a replica does.
func (f *founding) propose(proposer int, set []int, quorum func(int) int) {
	for range 3 {
		f.number++
		own := fmt.Sprint(set)
		p := &paxos.Proposer{
			Number: paxos.ProposalNumber{Term: f.number, Proposer: f.number}, Quorum: quorum(len(set)), OwnValue: []byte(own),
			IsValidValue: func(v []byte) bool { return string(v) == own },
		}
		for _, id := range set {
			p.Voters = append(p.Voters, uint64(id))
		}
		switch f.run(p, proposer) {
		case paxos.OutcomeChosen:
			f.founded[string(p.Value)] = true
			return
		case paxos.OutcomeInvalidValue:
			set = decodeSet(string(p.Value))
		default:
			return
		}
	}
}

// decodeSet reverses fmt.Sprint.
func decodeSet(s string) (set []int) {
	for _, field := range strings.Fields(strings.Trim(s, "[]")) {
		var id int
		_, _ = fmt.Sscan(field, &id) // written by propose
		set = append(set, id)
	}
	return set
}

// run runs a proposal to its outcome. All messages across the partition and one in six of the others are lost.
func (f *founding) run(p *paxos.Proposer, proposer int) paxos.Outcome {
	req := p.Prepare()
	for {
		next, out := f.broadcast(p, req, proposer)
		if next != nil {
			req = *next
			continue
		}
		if out == paxos.OutcomePending {
			out = paxos.OutcomeNoQuorum
		}
		return out
	}
}

// broadcast sends a request to the voters one after another, until the proposal advances.
func (f *founding) broadcast(p *paxos.Proposer, req paxos.Request, proposer int) (next *paxos.Request, out paxos.Outcome) {
	for _, id := range p.Voters {
		if f.side[id] != f.side[proposer] || f.draw(6) == 0 {
			out = p.HandleFailure(id, req.Kind)
		} else if resp := f.handle(id, req); f.draw(6) == 0 {
			out = p.HandleFailure(id, req.Kind)
		} else {
			next, out = p.HandleResponse(id, req.Kind, resp)
		}
		if next != nil || out != paxos.OutcomePending {
			break
		}
	}
	return next, out
}

// handle returns a voter's response, and persists its state before.
func (f *founding) handle(voter uint64, req paxos.Request) paxos.Response {
	resp, persist := f.acceptors[voter].Handle(req)
	if persist {
		f.disks[voter] = f.acceptors[voter].State
	}
	return resp
}
