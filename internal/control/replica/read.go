package replica

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/timerqueue"
)

// A linearizable read asks a majority of the voters how far each has come, and is answered from the state here once that covers
// all of it (a read index; without a leader as in Linearizable Quorum Reads in Paxos, HotStorage 2019). One round serves all
// reads that wait: as many may come at once as there are routers that start.

const (
	catchUpRetry = 20 * time.Millisecond  // after a snapshot that did not bring the state up to the read index
	quorumRetry  = 50 * time.Millisecond  // after a poll that no majority has answered
	openRetryMin = 100 * time.Millisecond // bounds of the delay that leaves an open index to its proposer
	openRetryMax = 200 * time.Millisecond
)

// read is a linearizable read that waits for its round.
type read struct {
	isPassive bool // nothing is proposed for its sake
	deadline  time.Duration
	timer     timerqueue.Key
	finished  bool
	done      func(error)
}

// readQueue holds the reads of a replica.
type readQueue struct {
	waiting []*read // came after answers of the present round that may be older than they are
	current []*read // are served by the present round
}

// readMode says whether a read may propose.
type readMode bool

const (
	// readActive has an open index decided by a proposal if its own proposer has not done so after a while.
	readActive readMode = false
	// readPassive leaves an open index to others. Reads of routers are passive: all routers may ask all replicas at once, and
	// proposals of them all would keep a large one from being chosen (docs/incidents/2026-12-02-reads-that-kept-a-place-open.md).
	readPassive readMode = true
)

// confirmState calls done once the state here is no older than anything that was acknowledged before the call, or with an error
// at the deadline.
func (r *Replica) confirmState(deadline time.Duration, mode readMode, done func(error)) {
	rd := &read{isPassive: mode == readPassive, deadline: deadline, done: done}
	rd.timer = r.at(deadline, func() { r.finishRead(rd, ErrQuorumUnavailable) })
	if r.reads.waiting = append(r.reads.waiting, rd); len(r.reads.current) == 0 {
		r.startReadRound()
	}
}

func (r *Replica) finishRead(rd *read, err error) {
	if !rd.finished {
		rd.finished = true
		r.timers.Remove(rd.timer)
		rd.done(err)
	}
}

// startReadRound starts a round for the reads that wait, if there are any. The last of their deadlines is that of the round.
func (r *Replica) startReadRound() {
	q := &r.reads
	q.waiting = slices.DeleteFunc(q.waiting, func(rd *read) bool { return rd.finished })
	if q.current, q.waiting = q.waiting, nil; len(q.current) == 0 {
		return
	}
	round := &readRound{replica: r}
	for _, rd := range q.current {
		round.deadline = max(round.deadline, rd.deadline)
	}
	round.timer = r.at(round.deadline, func() { round.finish(ErrQuorumUnavailable) })
	round.poll()
}

// readRoundDone finishes the reads of a round, and starts the next round.
func (r *Replica) readRoundDone(err error) {
	q := &r.reads
	served := q.current
	q.current = nil
	for _, rd := range served {
		if errors.Is(err, ErrQuorumUnavailable) && !rd.finished && rd.deadline > r.now { // it has joined the round later
			q.waiting = append(q.waiting, rd)
			continue
		}
		r.finishRead(rd, err)
	}
	if len(q.current) == 0 {
		r.startReadRound()
	}
}

// readRound brings the state here up to the read index. It polls the voters as often as that takes.
type readRound struct {
	replica  *Replica
	deadline time.Duration
	timer    timerqueue.Key
	finished bool

	// readIndex is the first index that the reads need not cover, as a majority of the voters has said: what is chosen from
	// there on was not acknowledged before they came. Zero before a majority has answered. It is fixed by the first majority:
	// a round that asked for the newest index after each snapshot would follow steady changes for as long as they last.
	readIndex uint64
	// voters are those whose majority has given readIndex. A state with other voters does not answer the reads before these are
	// asked, too: they may have gone on without any of the former ones.
	voters []replog.Member
	// hasYielded: an open index has been left to its proposer once.
	hasYielded bool
}

func (rr *readRound) finish(err error) {
	if !rr.finished {
		rr.finished = true
		rr.replica.timers.Remove(rr.timer)
		rr.replica.readRoundDone(err)
	}
}

// poll finishes the round if the state covers the read index, and otherwise asks the voters how far they have come.
func (rr *readRound) poll() {
	if rr.finished {
		return
	}
	state, queue := &rr.replica.state, &rr.replica.reads
	if rr.readIndex == 0 { // no answer counts yet, so the next answers serve later reads as well
		queue.current, queue.waiting = append(queue.current, queue.waiting...), nil
	}
	if rr.readIndex > 0 && state.NextIndex >= rr.readIndex {
		if slices.Equal(rr.voters, state.Members) {
			rr.finish(nil)
			return
		}
		rr.readIndex = 0
	}
	if state.NextIndex == 0 {
		rr.finish(ErrNotFounded)
		return
	}
	p := &readPoll{readRound: rr, members: state.Members, pending: len(state.Members), askedAt: state.NextIndex, newest: state.NextIndex}
	p.send()
}

// readPoll is one poll of the voters of a readRound.
type readPoll struct {
	*readRound
	members   []replog.Member // that are asked
	askedAt   uint64          // the next index here when they were asked
	pending   int             // voters that have not answered
	answered  int             // voters whose answers count
	concluded bool

	newest   uint64         // the highest next index that any voter has named
	newestAt netip.AddrPort // that voter; set if newest is above askedAt
	isOpen   bool           // a voter has accepted a value at newest, which may have been chosen
}

// send asks every member, and this replica's own acceptor last.
func (p *readPoll) send() {
	isMember := false
	for i := range p.members {
		m := &p.members[i]
		to, ok := memberAddr(m)
		switch {
		case m.ID == p.replica.Self.ID:
			isMember = true
		case !ok:
			p.receive(m, paxos.Response{}, false)
		default:
			query := encodePaxosRequest(&paxos.Request{Kind: paxos.KindQuery})
			p.replica.callPaxos(to, query, func(resp paxos.Response, ok bool) { p.receive(m, resp, ok) })
		}
	}
	if isMember {
		resp, _ := p.replica.acceptor.Handle(paxos.Request{Kind: paxos.KindQuery})
		p.receive(&p.replica.Self, resp, true)
	}
}

// receive takes a voter's answer, and concludes the poll with the first majority or the last answer.
func (p *readPoll) receive(m *replog.Member, resp paxos.Response, ok bool) {
	if p.pending--; p.concluded {
		return
	}
	if ok {
		p.count(m, resp)
	}
	hasMajority := p.answered >= paxos.Majority(len(p.members))
	if p.concluded = hasMajority || p.pending == 0; p.concluded {
		p.conclude(hasMajority)
	}
}

// count takes an answer into account. Another disk may be at a member's address by now, which lacks what the member had
// accepted: its answer is no vote, but may show that there is more to catch up with.
func (p *readPoll) count(m *replog.Member, resp paxos.Response) {
	if resp.Verdict == paxos.VerdictReported {
		p.answered++
	} else if resp.NextIndex < p.askedAt {
		p.replica.notifyLagging(m.ID, p.members)
	}
	if resp.NextIndex > p.newest {
		p.newest, p.isOpen = resp.NextIndex, false
		p.newestAt, _ = memberAddr(m)
	}
	p.isOpen = p.isOpen || resp.NextIndex == p.newest && resp.Accepted != (paxos.ProposalNumber{})
}

// conclude decides what follows from a poll.
func (p *readPoll) conclude(hasMajority bool) {
	if hasMajority && p.readIndex == 0 {
		p.readIndex, p.voters = p.newest, p.members
		if p.isOpen {
			p.readIndex++
		}
	}
	switch {
	case p.readIndex > 0 && p.replica.state.NextIndex >= p.readIndex:
		p.poll()
	case p.newest > p.askedAt:
		p.replica.catchUp(p.newestAt, p.caughtUp)
	case !hasMajority:
		p.replica.after(quorumRetry, p.poll)
	case !p.hasYielded || p.onlyPassive():
		// The proposer of the open index is probably still at work.
		p.hasYielded, p.readIndex = true, 0
		p.replica.after(p.replica.jitter(openRetryMin, openRetryMax), p.poll)
	default:
		p.decideOpenIndex()
	}
}

func (p *readPoll) caughtUp() {
	if p.replica.state.NextIndex >= p.newest {
		p.poll()
		return
	}
	p.replica.after(catchUpRetry, p.poll)
}

// onlyPassive tells whether no read of the round may propose.
func (rr *readRound) onlyPassive() bool {
	return !slices.ContainsFunc(rr.replica.reads.current, func(rd *read) bool { return !rd.isPassive && !rd.finished })
}

// decideOpenIndex proposes a no-op at the open index, so that what was accepted there is chosen or replaced.
func (rr *readRound) decideOpenIndex() {
	noop := rr.replica.noop()
	next := func(state *replog.State) []byte {
		if state.NextIndex >= rr.readIndex {
			return nil
		}
		return noop
	}
	rr.replica.propose(next, rr.deadline, func(err error) {
		if err != nil {
			rr.finish(err)
			return
		}
		rr.poll()
	})
}
