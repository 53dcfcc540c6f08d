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

// A linearizable read queries a majority of the voters for their next index. It is answered once the local state
// includes all entries below the highest of these, the read index (see Linearizable Quorum Reads in Paxos, HotStorage
// 2019). One round serves all waiting reads, because many routers may start and read at once.
//
// An index is open while a voter has accepted a value for it and the value is not known to be chosen. It may have been
// chosen and acknowledged, so the read index is above an open index.

const (
	catchUpRetryDelay = 20 * time.Millisecond  // after a snapshot that did not reach the read index
	quorumRetryDelay  = 50 * time.Millisecond  // after a poll without a majority
	openIndexDelayMin = 100 * time.Millisecond // bounds of the wait for the proposer of an open index
	openIndexDelayMax = 200 * time.Millisecond
)

// read is a pending linearizable read.
type read struct {
	isPassive bool // must not cause a proposal
	deadline  time.Duration
	timer     timerqueue.Key
	finished  bool
	done      func(error)
}

// readQueue holds the pending reads of a replica.
type readQueue struct {
	waiting []*read // arrived too late for the current round, whose answers may predate them
	current []*read // served by the current round
}

// readMode selects whether a read may cause a proposal.
type readMode bool

const (
	// readActive proposes at an open index if its own proposer does not decide it in time.
	readActive readMode = false
	// readPassive leaves an open index to others. Reads of routers are passive: all routers may read from all replicas
	// at once, and the resulting proposals would prevent a large value from being chosen
	// (docs/incidents/2026-12-02-reads-that-kept-a-place-open.md).
	readPassive readMode = true
)

// confirmState calls done once the local state includes everything that was acknowledged before the call, or with an
// error at the deadline.
func (r *Replica) confirmState(deadline time.Duration, mode readMode, done func(error)) {
	rd := &read{isPassive: mode == readPassive, deadline: deadline, done: done}
	rd.timer = r.runAt(deadline, func() { r.finishRead(rd, ErrQuorumUnavailable) })
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

// startReadRound starts a round for the waiting reads, if there are any. Its deadline is the latest of theirs.
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
	round.timer = r.runAt(round.deadline, func() { round.finish(ErrQuorumUnavailable) })
	round.poll()
}

// readRoundDone finishes the reads of a round and starts the next round.
func (r *Replica) readRoundDone(err error) {
	q := &r.reads
	served := q.current
	q.current = nil
	for _, rd := range served {
		if errors.Is(err, ErrQuorumUnavailable) && !rd.finished && rd.deadline > r.now { // joined during the round, with a later deadline
			q.waiting = append(q.waiting, rd)
			continue
		}
		r.finishRead(rd, err)
	}
	if len(q.current) == 0 {
		r.startReadRound()
	}
}

// readRound brings the local state up to the read index, polling the voters until that is done.
type readRound struct {
	replica  *Replica
	deadline time.Duration
	timer    timerqueue.Key
	finished bool

	// readIndex is the index below which the local state must have all entries. Entries from readIndex on were not
	// acknowledged before the reads arrived. It is zero until a majority has answered, and the first majority sets it: a
	// round that raised it after each snapshot might never end under a steady load of changes.
	readIndex uint64
	// voters are the members whose majority determined readIndex. If the state has other voters once it reaches
	// readIndex, these are polled as well: they may have chosen entries without any of the former voters.
	voters []replog.Member
	// hasWaitedForProposer is set once the round has waited for the proposer of an open index.
	hasWaitedForProposer bool
}

func (rr *readRound) finish(err error) {
	if !rr.finished {
		rr.finished = true
		rr.replica.timers.Remove(rr.timer)
		rr.replica.readRoundDone(err)
	}
}

// poll finishes the round if the state covers the read index, and otherwise queries the voters.
func (rr *readRound) poll() {
	if rr.finished {
		return
	}
	state, queue := &rr.replica.state, &rr.replica.reads
	if rr.readIndex == 0 { // no answer counts yet, so this poll also serves the waiting reads
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
	p := &readPoll{
		readRound: rr, members: state.Members, pending: len(state.Members),
		localNextIndex: state.NextIndex, highestNextIndex: state.NextIndex,
	}
	p.send()
}

// readPoll is one poll of the voters in a readRound.
type readPoll struct {
	*readRound
	members        []replog.Member // voters that are polled
	localNextIndex uint64          // next index of this replica when the poll started
	pending        int             // number of outstanding answers
	answered       int             // number of answers that count for the majority
	concluded      bool

	highestNextIndex uint64         // highest next index reported by a voter
	mostAdvancedPeer netip.AddrPort // the voter that reported highestNextIndex; set if that is above localNextIndex
	isOpen           bool           // a voter has accepted a value at highestNextIndex, which may be chosen
}

// send queries every member, and this replica's own acceptor last.
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

// receive processes a voter's answer. The first majority, or the last answer, concludes the poll.
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

// count records an answer. A replica with a new disk at a member's address lacks the values that the member has
// accepted. Its answer does not count as a vote, but may show that this replica lags.
func (p *readPoll) count(m *replog.Member, resp paxos.Response) {
	if resp.Verdict == paxos.VerdictReported {
		p.answered++
	} else if resp.NextIndex < p.localNextIndex {
		p.replica.notifyLagging(m.ID, p.members)
	}
	if resp.NextIndex > p.highestNextIndex {
		p.highestNextIndex, p.isOpen = resp.NextIndex, false
		p.mostAdvancedPeer, _ = memberAddr(m)
	}
	p.isOpen = p.isOpen || resp.NextIndex == p.highestNextIndex && resp.Accepted != (paxos.ProposalNumber{})
}

// conclude sets the read index from the first majority and chooses the next step of the round.
func (p *readPoll) conclude(hasMajority bool) {
	if hasMajority && p.readIndex == 0 {
		p.readIndex, p.voters = p.highestNextIndex, p.members
		if p.isOpen {
			p.readIndex++
		}
	}
	switch {
	case p.readIndex > 0 && p.replica.state.NextIndex >= p.readIndex:
		p.poll()
	case p.highestNextIndex > p.localNextIndex:
		p.replica.catchUp(p.mostAdvancedPeer, p.caughtUp)
	case !hasMajority:
		p.replica.runAfter(quorumRetryDelay, p.poll)
	case !p.hasWaitedForProposer || p.isPassiveOnly():
		// The proposer of the open index is probably still running.
		p.hasWaitedForProposer, p.readIndex = true, 0
		p.replica.runAfter(p.replica.jitter(openIndexDelayMin, openIndexDelayMax), p.poll)
	default:
		p.decideOpenIndex()
	}
}

func (p *readPoll) caughtUp() {
	if p.replica.state.NextIndex >= p.highestNextIndex {
		p.poll()
		return
	}
	p.replica.runAfter(catchUpRetryDelay, p.poll)
}

// isPassiveOnly reports whether no read of the round may cause a proposal.
func (rr *readRound) isPassiveOnly() bool {
	return !slices.ContainsFunc(rr.replica.reads.current, func(rd *read) bool { return !rd.isPassive && !rd.finished })
}

// decideOpenIndex proposes a no-op at the open index, so that a value accepted there is either chosen or replaced.
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
