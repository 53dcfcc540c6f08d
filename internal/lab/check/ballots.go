// Package check walks through lives of the parts that must not be wrong: ballots and changes of members with every order of
// things within bounds and at random with seeds, founding with cuts, and a keeper's store on a disk that loses, tears, reorders
// and refuses. CI walks a little way, notchlab check as far as it is told. Each walk can be told to break a rule, and must
// find that out. It is lab code, pure but for the time that it takes.
package check

import (
	"fmt"

	"notchhinge/internal/control/paxos"
)

// draws returns draws that follow from a seed.
func draws(seed int) func(n int) int {
	x := uint64(seed)*0x9e3779b97f4a7c15 + 1
	return func(n int) int {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		return int(x % uint64(n))
	}
}

// world is a few members and proposers with a network between them that delays, repeats and loses, and disks that a crash
// may leave behind or not.
type world struct {
	members  []*member
	wires    []wire
	rounds   []*attempt
	chosen   map[uint64]map[string]bool // by place: every value that any proposer found chosen
	next     uint64                     // rounds' numbers
	forgets  bool                       // a crash loses the disk, and the member votes on: must be found out
	skipDisk bool                       // answers leave before the vote is on the disk: likewise
	again    bool                       // a proposer that restarts counts its rounds anew: likewise
}

type member struct {
	id   uint64
	acc  paxos.Acceptor
	disk paxos.AcceptorState
	log  [][]byte // chosen values by place, durable
}

type wire struct {
	to      int
	from    *attempt
	ask     paxos.Request
	back    bool
	answer  paxos.Response
	phase   paxos.RequestKind
	by      uint64
	repeats int
}

type attempt struct {
	paxos.Proposer
	over bool
}

func newWorld(n int) *world {
	w := &world{chosen: map[uint64]map[string]bool{}}
	for i := range n {
		m := &member{id: uint64(i + 1)}
		m.acc = paxos.Acceptor{IsVoter: true, ChosenValue: m.chosen}
		w.members = append(w.members, m)
	}
	return w
}

func (m *member) chosen(place uint64) ([]byte, bool) {
	if place < uint64(len(m.log)) {
		return m.log[place], true
	}
	return nil, false
}

func (m *member) learn(place uint64, value []byte) {
	if place == uint64(len(m.log)) {
		m.log = append(m.log, value)
		m.acc.NextIndex = uint64(len(m.log))
	}
}

func (w *world) begin(place uint64) {
	w.next++
	number := paxos.ProposalNumber{Term: 1 + w.next/2, Proposer: w.next}
	if w.again {
		number = paxos.ProposalNumber{Term: 1 + w.next/2, Proposer: 1}
	}
	a := &attempt{Proposer: paxos.Proposer{
		Index: place, Number: number, Quorum: paxos.Majority(len(w.members)),
		OwnValue: []byte(fmt.Sprintf("v%d", w.next)),
	}}
	for _, m := range w.members {
		a.Voters = append(a.Voters, m.id)
	}
	w.rounds = append(w.rounds, a)
	w.send(a, a.Prepare())
}

func (w *world) send(a *attempt, ask paxos.Request) {
	for i := range w.members {
		w.wires = append(w.wires, wire{to: i, from: a, ask: ask, phase: ask.Kind})
	}
}

// deliver has the wire at i arrive; keep says that it may arrive again.
func (w *world) deliver(i int, keep bool) {
	x := w.wires[i]
	if !keep || x.repeats > 1 {
		w.wires = append(w.wires[:i:i], w.wires[i+1:]...)
	} else {
		w.wires[i].repeats++
	}
	if !x.back {
		m := w.members[x.to]
		ans, write := m.acc.Handle(x.ask)
		if write && !w.skipDisk {
			m.disk = m.acc.State
		}
		w.wires = append(w.wires, wire{back: true, from: x.from, answer: ans, phase: x.phase, by: m.id})
		return
	}
	a := x.from
	if a.over {
		return
	}
	next, out := a.HandleResponse(x.by, x.phase, x.answer)
	if next != nil {
		w.send(a, *next)
	}
	if out == paxos.OutcomePending {
		return
	}
	a.over = true
	switch {
	case out == paxos.OutcomeChosen, out == paxos.OutcomeAlreadyChosen && x.answer.Value != nil:
		if w.chosen[a.Index] == nil {
			w.chosen[a.Index] = map[string]bool{}
		}
		w.chosen[a.Index][string(a.Value)] = true
		for _, m := range w.members {
			if out == paxos.OutcomeChosen && m.id == 1+a.Number.Proposer%uint64(len(w.members)) {
				m.learn(a.Index, a.Value)
			}
		}
	}
}

// crash has a member start again from its disk, which may lack what was not synced.
func (w *world) crash(i int) {
	m := w.members[i]
	if w.forgets {
		m.disk = paxos.AcceptorState{}
	}
	m.acc = paxos.Acceptor{State: m.disk, IsVoter: true, NextIndex: uint64(len(m.log)), ChosenValue: m.chosen}
}

// broken names a place at which two values were chosen.
func (w *world) broken() string {
	for place, values := range w.chosen {
		if len(values) > 1 {
			return fmt.Sprintf("place %d: %v", place, values)
		}
	}
	return ""
}

// live plays a random life.
func (w *world) live(draw func(n int) int, steps int) {
	for range steps {
		switch draw(10) {
		case 0:
			w.begin(uint64(len(w.members[draw(len(w.members))].log)))
		case 1:
			w.crash(draw(len(w.members)))
		case 2:
			if len(w.wires) > 0 {
				i := draw(len(w.wires))
				w.wires = append(w.wires[:i:i], w.wires[i+1:]...)
			}
		default:
			if len(w.wires) > 0 {
				w.deliver(draw(len(w.wires)), draw(2) == 0)
			}
		}
	}
}

// explore plays every order of deliveries and of a crash for two proposers and three members, without repeats, as far as
// a bound on the steps allows, and returns the first life in which two values were chosen.
func explore(crashes, most int) (found string, lives int) {
	type step struct{ kind, i int }
	play := func(path []step) *world {
		w := newWorld(3)
		w.begin(0)
		for _, s := range path {
			switch s.kind {
			case 0:
				w.deliver(s.i, false)
			case 1:
				w.crash(s.i)
			case 2:
				w.begin(0)
			}
		}
		return w
	}
	var walk func(path []step, crashed, begun int) bool
	seen := map[string]bool{}
	walk = func(path []step, crashed, begun int) bool {
		w := play(path)
		if says := w.broken(); says != "" {
			found = says
			return true
		}
		key := w.key(crashed, begun)
		if seen[key] || len(path) > most {
			return false
		}
		seen[key] = true
		lives++
		for i := range w.wires {
			if walk(append(path[:len(path):len(path)], step{0, i}), crashed, begun) {
				return true
			}
		}
		if begun < 1 {
			if walk(append(path[:len(path):len(path)], step{2, 0}), crashed, begun+1) {
				return true
			}
		}
		if crashed < crashes {
			for i := range w.members {
				if walk(append(path[:len(path):len(path)], step{1, i}), crashed+1, begun) {
					return true
				}
			}
		}
		return false
	}
	walk(nil, 0, 0)
	return found, lives
}

// key names a world's state.
func (w *world) key(crashed, begun int) string {
	s := fmt.Sprint(crashed, begun)
	for _, m := range w.members {
		s += fmt.Sprintf("|%v %v %d", m.acc.State, m.disk, len(m.log))
	}
	for i, a := range w.rounds {
		s += fmt.Sprintf("/%d %v %s", i, a.over, a.Key())
	}
	pending := map[string]int{}
	for _, x := range w.wires {
		pending[fmt.Sprintf("%d %d %v %v %v %d", x.to, x.from.Number.Term, x.ask, x.back, x.answer, x.by)]++
	}
	return s + fmt.Sprint(pending)
}

// deep plays random lives with a seed each, so that the verdict is the same every time.
func deep(breaks func(*world), lives int) (string, int) {
	for seed := range lives {
		w := newWorld(3)
		breaks(w)
		draw := draws(seed)
		w.begin(0)
		for range 60 {
			switch k := draw(12); {
			case k == 0 && len(w.rounds) < 4:
				w.begin(0)
			case k == 1:
				w.crash(draw(3))
			case len(w.wires) > 0:
				w.deliver(draw(len(w.wires)), false)
			}
		}
		if says := w.broken(); says != "" {
			return says, seed
		}
	}
	return "", lives
}
