package replica

import (
	"fmt"
	"slices"
	"time"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/timerqueue"
)

// A replica processes its proposals one at a time. Each takes one or more attempts. An attempt runs one Paxos instance
// at the next index under one proposal number, and may choose the value of another replica.

// retryDelayMin and retryDelayMax bound the random delay after an attempt without a quorum.
const (
	retryDelayMin = 20 * time.Millisecond
	retryDelayMax = 60 * time.Millisecond
)

// proposal is a request to append entries to the log.
type proposal struct {
	next     EntryFunc
	done     func(error)
	timer    timerqueue.Key
	attempts int
	finished bool
	latest   *attempt // nil before the first attempt
}

// propose proposes entries until next returns nil, and then calls done. It fails with ErrQuorumUnavailable at the
// deadline, with ErrNotFounded before the group is founded, and with ErrInvalidEntry without sending an entry that
// replicas would ignore.
func (r *Replica) propose(next EntryFunc, deadline time.Duration, done func(error)) {
	p := &proposal{next: next, done: done}
	p.timer = r.runAt(deadline, func() {
		if p.latest != nil {
			r.logTimeout(p)
		}
		r.finishProposal(p, ErrQuorumUnavailable)
	})
	if r.proposals = append(r.proposals, p); len(r.proposals) == 1 {
		r.advanceProposal(p)
	}
}

func (r *Replica) logTimeout(p *proposal) {
	a := p.latest
	r.log.Warn("proposal timed out", "index", a.Index, "attempt", p.attempts, "outcome", int(a.outcome), "term", a.Number.Term,
		"higher_term", a.HigherNumber.Term, "accepting", a.Phase() == paxos.KindAccept, "lagging", len(a.LaggingVoters))
}

// finishProposal ends a proposal and starts the next one in the queue.
func (r *Replica) finishProposal(p *proposal, err error) {
	if p.finished {
		return
	}
	p.finished = true
	r.timers.Remove(p.timer)
	wasFirst := r.proposals[0] == p
	r.proposals = slices.DeleteFunc(r.proposals, func(q *proposal) bool { return q == p })
	p.done(err)
	if wasFirst && len(r.proposals) > 0 {
		r.advanceProposal(r.proposals[0])
	}
}

// advanceProposal starts the next attempt of a proposal, or finishes it if nothing is left to propose.
func (r *Replica) advanceProposal(p *proposal) {
	if p.finished {
		return
	}
	if r.state.NextIndex == 0 {
		r.finishProposal(p, ErrNotFounded)
		return
	}
	state := r.state
	value := p.next(&state)
	if value == nil {
		r.finishProposal(p, nil)
		return
	}
	if err := replog.Check(value); err != nil {
		r.finishProposal(p, fmt.Errorf("%w: %w", ErrInvalidEntry, err))
		return
	}
	retries := p.attempts
	p.attempts++
	proposer := paxos.Proposer{
		Index: state.NextIndex, OwnValue: value, Voters: memberIDs(state.Members), Quorum: paxos.Majority(len(state.Members)),
	}
	p.latest = r.startAttempt(proposer, state.Members, retries, func(*attempt) { r.advanceProposal(p) })
}

func memberIDs(members []replog.Member) (ids []uint64) {
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return ids
}

// attempt is one attempt to have a value chosen at an index, under one proposal number.
type attempt struct {
	paxos.Proposer
	members []replog.Member
	retries int // number of earlier attempts, for the backoff
	outcome paxos.Outcome
	done    func(*attempt)
}

// startAttempt starts an attempt among members. done is called after its outcome has been processed: the chosen value
// is committed, or the retry delay has passed.
func (r *Replica) startAttempt(p paxos.Proposer, members []replog.Member, retries int, done func(*attempt)) *attempt {
	r.term++
	a := &attempt{Proposer: p, members: members, done: done, retries: retries}
	a.Number = paxos.ProposalNumber{Term: r.term, Proposer: r.Incarnation}
	r.broadcast(a, a.Prepare())
	return a
}

// voterResponse is the response of a voter in one phase of an attempt.
type voterResponse struct {
	voter    *replog.Member
	phase    paxos.RequestKind
	response paxos.Response
	ok       bool // false if there was no response
}

// broadcast sends a request to every member, and handles it locally last.
func (r *Replica) broadcast(a *attempt, req paxos.Request) {
	var self *replog.Member
	body := encodePaxosRequest(&req)
	for i := range a.members {
		m := &a.members[i]
		to, ok := memberAddr(m)
		switch {
		case m.ID == r.Self.ID:
			self = m
		case !ok:
			r.handleResponse(a, voterResponse{voter: m, phase: req.Kind})
		default:
			r.callPaxos(to, body, func(resp paxos.Response, ok bool) {
				r.handleResponse(a, voterResponse{m, req.Kind, resp, ok})
			})
		}
	}
	if self != nil {
		r.handlePaxosRequest(req, func(resp paxos.Response, err error) {
			r.handleResponse(a, voterResponse{self, req.Kind, resp, err == nil})
		})
	}
}

// handleResponse processes a voter's response, and starts the next phase or ends the attempt.
func (r *Replica) handleResponse(a *attempt, v voterResponse) {
	if a.outcome != paxos.OutcomePending {
		return
	}
	var next *paxos.Request
	var outcome paxos.Outcome
	if v.ok {
		next, outcome = a.HandleResponse(v.voter.ID, v.phase, v.response)
	} else {
		outcome = a.HandleFailure(v.voter.ID, v.phase)
	}
	if next != nil {
		r.broadcast(a, *next)
	}
	if outcome != paxos.OutcomePending && a.outcome == paxos.OutcomePending {
		a.outcome = outcome
		r.endAttempt(a, v.voter)
	}
}

// endAttempt processes the outcome of an attempt. last is the voter whose response decided it.
func (r *Replica) endAttempt(a *attempt, last *replog.Member) {
	done := func() { a.done(a) }
	switch a.outcome {
	case paxos.OutcomeChosen:
		r.commit(a.Index, a.Value)
		r.announce(a)
		done()
	case paxos.OutcomeAlreadyChosen:
		r.adoptChosen(a, last, done)
	case paxos.OutcomePreempted:
		r.term = max(r.term, a.HigherNumber.Term)
		r.runAfter(paxos.Backoff(r.random.Int64N, a.retries), done)
	default:
		for _, id := range a.LaggingVoters { // they have missed an earlier announcement
			r.notifyLagging(id, a.members)
		}
		r.runAfter(r.jitter(retryDelayMin, retryDelayMax), done)
	}
}

// adoptChosen adopts the value that was chosen for the index earlier. It commits the value from the response, if there is
// one. If there is none, or the voter has later entries, it fetches the voter's state.
func (r *Replica) adoptChosen(a *attempt, from *replog.Member, done func()) {
	if a.Value != nil && r.commit(a.Index, a.Value) && a.NextIndex <= a.Index+1 {
		done()
		return
	}
	if to, ok := memberAddr(from); ok {
		r.catchUp(to, done)
		return
	}
	r.runAfter(retryDelayMin, done)
}
