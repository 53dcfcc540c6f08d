package check

import (
	"fmt"

	"notchhinge/internal/control/paxos"
)

// paxosCluster simulates voters and proposers, their disks, and a network that delays, duplicates and loses messages.
type paxosCluster struct {
	voters        []*paxosVoter
	messages      []message // in flight
	proposals     []*proposal
	chosen        map[uint64]map[string]bool // by index: all values that a proposer has found chosen
	proposalCount uint64

	// Rules that a walk breaks on purpose.

	losesDisk     bool // a crash loses the disk, and the voter keeps its vote
	skipsSync     bool // responses are sent before the acceptor's state is on the disk
	reusesNumbers bool // proposers reuse proposal numbers
}

type paxosVoter struct {
	id       uint64
	acceptor paxos.Acceptor
	disk     paxos.AcceptorState
	log      [][]byte // chosen values by index; durable
}

// message is a request to a voter, or its response.
type message struct {
	of         *proposal
	request    paxos.Request
	to         int // index of the voter that the request is for
	isResponse bool
	response   paxos.Response
	voter      uint64 // id of the voter that has responded
	deliveries int    // so far
}

type proposal struct {
	paxos.Proposer
	isEnded bool
}

func newPaxosCluster(n int) *paxosCluster {
	c := &paxosCluster{chosen: map[uint64]map[string]bool{}}
	for i := range n {
		v := &paxosVoter{id: uint64(i + 1)}
		v.acceptor = paxos.Acceptor{IsVoter: true, ChosenValue: v.chosenValue}
		c.voters = append(c.voters, v)
	}
	return c
}

func (v *paxosVoter) chosenValue(index uint64) ([]byte, bool) {
	if index < uint64(len(v.log)) {
		return v.log[index], true
	}
	return nil, false
}

func (v *paxosVoter) learn(index uint64, value []byte) {
	if index == uint64(len(v.log)) {
		v.log = append(v.log, value)
		v.acceptor.NextIndex = uint64(len(v.log))
	}
}

// propose starts a proposal at an index, with a new number and its own value.
func (c *paxosCluster) propose(index uint64) {
	c.proposalCount++
	number := paxos.ProposalNumber{Term: 1 + c.proposalCount/2, Proposer: c.proposalCount}
	if c.reusesNumbers {
		number.Proposer = 1
	}
	p := &proposal{Proposer: paxos.Proposer{
		Index: index, Number: number, Quorum: paxos.Majority(len(c.voters)),
		OwnValue: []byte(fmt.Sprintf("v%d", c.proposalCount)),
	}}
	for _, v := range c.voters {
		p.Voters = append(p.Voters, v.id)
	}
	c.proposals = append(c.proposals, p)
	c.broadcast(p, p.Prepare())
}

func (c *paxosCluster) broadcast(p *proposal, req paxos.Request) {
	for i := range c.voters {
		c.messages = append(c.messages, message{of: p, request: req, to: i})
	}
}

// drop loses a message.
func (c *paxosCluster) drop(i int) { c.messages = append(c.messages[:i:i], c.messages[i+1:]...) }

// deliver delivers a message. If keep is true, the message stays in flight and may be delivered again, at most three times.
func (c *paxosCluster) deliver(i int, keep bool) {
	m := c.messages[i]
	if !keep || m.deliveries > 1 {
		c.drop(i)
	} else {
		c.messages[i].deliveries++
	}
	if m.isResponse {
		c.handleResponse(m)
		return
	}
	v := c.voters[m.to]
	resp, persist := v.acceptor.Handle(m.request)
	if persist && !c.skipsSync {
		v.disk = v.acceptor.State
	}
	c.messages = append(c.messages, message{of: m.of, request: m.request, isResponse: true, response: resp, voter: v.id})
}

func (c *paxosCluster) handleResponse(m message) {
	p := m.of
	if p.isEnded {
		return
	}
	next, out := p.HandleResponse(m.voter, m.request.Kind, m.response)
	if next != nil {
		c.broadcast(p, *next)
	}
	p.isEnded = out != paxos.OutcomePending
	if out != paxos.OutcomeChosen && (out != paxos.OutcomeAlreadyChosen || m.response.Value == nil) {
		return
	}
	if c.chosen[p.Index] == nil {
		c.chosen[p.Index] = map[string]bool{}
	}
	c.chosen[p.Index][string(p.Value)] = true
	if out == paxos.OutcomeChosen { // the voter in the proposer's process learns it
		c.voters[p.Number.Proposer%uint64(len(c.voters))].learn(p.Index, p.Value)
	}
}

// restart crashes a voter and restarts it from its disk.
func (c *paxosCluster) restart(i int) {
	v := c.voters[i]
	if c.losesDisk {
		v.disk = paxos.AcceptorState{}
	}
	v.acceptor = paxos.Acceptor{State: v.disk, IsVoter: true, NextIndex: uint64(len(v.log)), ChosenValue: v.chosenValue}
}

// violation describes an index at which two values were chosen; "" = none.
func (c *paxosCluster) violation() string {
	for index, values := range c.chosen {
		if len(values) > 1 {
			return fmt.Sprintf("two values chosen at index %d: %v", index, values)
		}
	}
	return ""
}

// run takes random steps: proposals, crashes, lost and delivered messages.
func (c *paxosCluster) run(draw func(n int) int, steps int) {
	for range steps {
		switch draw(10) {
		case 0:
			c.propose(uint64(len(c.voters[draw(len(c.voters))].log)))
		case 1:
			c.restart(draw(len(c.voters)))
		case 2:
			if len(c.messages) > 0 {
				c.drop(draw(len(c.messages)))
			}
		default:
			if len(c.messages) > 0 {
				c.deliver(draw(len(c.messages)), draw(2) == 0)
			}
		}
	}
}

// key identifies the state of a cluster: clusters with equal keys behave equally.
func (c *paxosCluster) key() string {
	s := ""
	for _, v := range c.voters {
		s += fmt.Sprintf("|%v %v %d", v.acceptor.State, v.disk, len(v.log))
	}
	for i, p := range c.proposals {
		s += fmt.Sprintf("/%d %v %s", i, p.isEnded, p.Key())
	}
	inFlight := map[string]int{}
	for _, m := range c.messages {
		what := fmt.Sprint("request ", m.to, m.request)
		if m.isResponse {
			what = fmt.Sprint("response ", m.voter, m.response)
		}
		inFlight[fmt.Sprint(m.of.Number.Term, what)]++
	}
	return s + fmt.Sprint(inFlight)
}

// randomProposals runs three voters with random steps for each seed, and returns the first violation with its seed.
func randomProposals(breakRule func(*paxosCluster), seeds int) (violation string, seed int) {
	for seed := range seeds {
		c := newPaxosCluster(3)
		breakRule(c)
		draw := draws(seed)
		c.propose(0)
		for range 60 {
			switch k := draw(12); {
			case k == 0 && len(c.proposals) < 4:
				c.propose(0)
			case k == 1:
				c.restart(draw(3))
			case len(c.messages) > 0:
				c.deliver(draw(len(c.messages)), false)
			}
		}
		if v := c.violation(); v != "" {
			return v, seed
		}
	}
	return "", seeds
}

// orderWalk runs two proposals among three voters in every order of deliveries and crashes, without duplicated messages.
type orderWalk struct {
	maxCrashes int
	maxSteps   int
	seen       map[string]bool
	violation  string // the first one
}

type orderStep struct {
	do func(c *paxosCluster, i int)
	i  int
}

func deliverOnce(c *paxosCluster, i int)  { c.deliver(i, false) }
func restartVoter(c *paxosCluster, i int) { c.restart(i) }
func proposeAgain(c *paxosCluster, _ int) { c.propose(0) }

// exploreOrders walks every order within the bounds, and returns the first violation and the number of states.
func exploreOrders(maxCrashes, maxSteps int) (violation string, states int) {
	w := &orderWalk{maxCrashes: maxCrashes, maxSteps: maxSteps, seen: map[string]bool{}}
	w.walk(nil, 0, false)
	return w.violation, len(w.seen)
}

// walk visits the state that a path leads to and all states reachable from it. It returns true once a violation is found.
func (w *orderWalk) walk(path []orderStep, crashes int, isSecond bool) bool {
	c := newPaxosCluster(3)
	c.propose(0)
	for _, s := range path {
		s.do(c, s.i)
	}
	if w.violation = c.violation(); w.violation != "" {
		return true
	}
	key := fmt.Sprint(crashes, isSecond) + c.key()
	if w.seen[key] || len(path) > w.maxSteps {
		return false
	}
	w.seen[key] = true
	then := func(do func(*paxosCluster, int), i int) []orderStep {
		return append(path[:len(path):len(path)], orderStep{do, i})
	}
	for i := range c.messages {
		if w.walk(then(deliverOnce, i), crashes, isSecond) {
			return true
		}
	}
	if !isSecond && w.walk(then(proposeAgain, 0), crashes, true) {
		return true
	}
	if crashes < w.maxCrashes {
		for i := range c.voters {
			if w.walk(then(restartVoter, i), crashes+1, isSecond) {
				return true
			}
		}
	}
	return false
}
