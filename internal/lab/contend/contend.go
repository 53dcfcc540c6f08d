// Package contend measures contention among proposers: replicas propose values of any size at the same time, over links and
// disks of a given speed. The result is the number of attempts and the time that each value takes to be chosen. The package
// runs the acceptors, proposers and backoff of package paxos in simulated time, as a replica does. It is lab code and pure:
// equal arguments give equal results.
package contend

import (
	"math/rand/v2"
	"slices"
	"time"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/timerqueue"
)

// Cluster describes the replicas of a fleet, which are all voters, and their hardware.
type Cluster struct {
	Replicas int
	Latency  time.Duration // one way, of a message without a value
	Link     float64       // outgoing bytes per second of a replica
	Sync     time.Duration // of a synced write without data
	Disk     float64       // written bytes per second
	// ResendValues makes a proposer send the chosen value again to voters that have accepted it, rather than only its number.
	ResendValues bool
}

// Proposal is a value that a replica proposes.
type Proposal struct {
	Replica int
	At      time.Duration // time of its submission
	Bytes   int
}

// Result is the result of a Proposal.
type Result struct {
	Attempts int
	Elapsed  time.Duration // from its submission until it was chosen; 0 = not chosen
}

const (
	messageBytes    = 64 // size of a message without its value
	responseTimeout = 400 * time.Millisecond
	catchUpTime     = 20 * time.Millisecond // of a lagging replica
	retryPause      = 20 * time.Millisecond // after an attempt without a quorum; up to retryJitter is added
	retryJitter     = 40 * time.Millisecond
)

type replica struct {
	acceptor paxos.Acceptor
	log      [][]byte
	linkFree time.Duration // time at which all earlier messages have been sent
	diskFree time.Duration // time at which all earlier writes are synced
	term     uint64        // highest term seen
	queue    []int         // indexes of submitted proposals; the first one is being proposed
	isBusy   bool
}

type simulation struct {
	Cluster
	rnd       *rand.Rand
	now       time.Duration
	timers    *timerqueue.Queue[func()]
	replicas  []*replica
	proposals []Proposal
	results   []Result
	chosen    int // number of chosen proposals
}

// Run simulates the proposals until all are chosen, for at most an hour of simulated time, and returns their results.
func Run(c Cluster, proposals []Proposal, seed uint64) []Result {
	s := &simulation{
		Cluster: c, timers: timerqueue.New[func()](), rnd: rand.New(rand.NewPCG(seed, 5)),
		proposals: proposals, results: make([]Result, len(proposals)),
	}
	for range c.Replicas {
		r := &replica{}
		r.acceptor = paxos.Acceptor{IsVoter: true, ChosenValue: r.chosenValue}
		s.replicas = append(s.replicas, r)
	}
	for i, p := range proposals {
		s.after(p.At, func() {
			r := s.replicas[p.Replica]
			r.queue = append(r.queue, i)
			s.propose(p.Replica)
		})
	}
	for s.chosen < len(proposals) && s.now < time.Hour {
		at, ok := s.timers.NextDue()
		if !ok {
			break
		}
		s.now = at
		do, _ := s.timers.PopDue(at)
		do()
	}
	return s.results
}

func (r *replica) chosenValue(index uint64) ([]byte, bool) {
	if index < uint64(len(r.log)) {
		return r.log[index], true
	}
	return nil, false
}

// after calls do once d has passed.
func (s *simulation) after(d time.Duration, do func()) { s.timers.Add(s.now+d, do) }

// send calls arrive when a message from one replica has reached another; it waits behind earlier messages on the sender's link.
func (s *simulation) send(from, to, bytes int, arrive func()) {
	if from == to {
		s.after(0, arrive)
		return
	}
	r := s.replicas[from]
	r.linkFree = max(r.linkFree, s.now) + transferTime(bytes, s.Link)
	s.after(r.linkFree-s.now+s.Latency, arrive)
}

// write occupies a replica's disk with a synced write.
func (s *simulation) write(r *replica, bytes int) {
	r.diskFree = max(r.diskFree, s.now) + s.Sync + transferTime(bytes, s.Disk)
}

func transferTime(bytes int, perSecond float64) time.Duration {
	return time.Duration(float64(bytes) / perSecond * float64(time.Second))
}

// value returns the value of a proposal, which begins with the proposal's index.
func (s *simulation) value(proposal int) []byte {
	b := make([]byte, max(s.proposals[proposal].Bytes, 1))
	b[0] = byte(proposal)
	return b
}

// propose starts the first proposal of a replica's queue, unless one is in progress.
func (s *simulation) propose(replicaIndex int) {
	r := s.replicas[replicaIndex]
	if r.isBusy || len(r.queue) == 0 {
		return
	}
	r.isBusy = true
	s.attempt(replicaIndex, 0)
}

// attempt starts the next attempt for a replica's proposal, or the next proposal if this one is chosen.
func (s *simulation) attempt(replicaIndex, number int) {
	r := s.replicas[replicaIndex]
	proposal := r.queue[0]
	if slices.ContainsFunc(r.log, func(v []byte) bool { return int(v[0]) == proposal }) {
		s.results[proposal].Elapsed = s.now - s.proposals[proposal].At
		s.chosen++
		r.queue = r.queue[1:]
		r.isBusy = false
		s.propose(replicaIndex)
		return
	}
	s.results[proposal].Attempts++
	r.term++
	a := &attempt{sim: s, replica: replicaIndex, number: number, Proposer: paxos.Proposer{
		Index: uint64(len(r.log)), Number: paxos.ProposalNumber{Term: r.term, Proposer: uint64(replicaIndex) + 1},
		OwnValue: s.value(proposal), Quorum: paxos.Majority(s.Replicas),
	}}
	for i := range s.replicas {
		a.Voters = append(a.Voters, uint64(i))
	}
	a.broadcast(a.Prepare())
}

// handle passes a request to a voter. It calls respond once the state that the response reports is on the voter's disk.
func (s *simulation) handle(voter int, req paxos.Request, respond func(paxos.Response)) {
	r := s.replicas[voter]
	r.term = max(r.term, req.Number.Term)
	resp, persist := r.acceptor.Handle(req)
	wait := time.Duration(0)
	if persist {
		s.write(r, len(r.acceptor.State.Value))
		wait = r.diskFree - s.now
	}
	s.after(wait, func() { respond(resp) })
}

// learn appends a chosen value to a replica's log, if it is for the next index there.
func (s *simulation) learn(replicaIndex int, index uint64, value []byte) {
	r := s.replicas[replicaIndex]
	if index != uint64(len(r.log)) {
		return
	}
	r.log = append(r.log, value)
	r.acceptor.NextIndex = uint64(len(r.log))
	s.write(r, len(value))
}
