package replica

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/limits"
	"notchhinge/internal/timerqueue"
)

// proposal is something that is wanted chosen. One at a time is proposed here.
type proposal struct {
	want func(*replog.State) []byte
	done func(error)
	key  timerqueue.Key
	try  int
	over bool
	last *attempt
}

// propose has entries chosen until want says that it is done, and tells how that went.
func (n *Replica) propose(want func(*replog.State) []byte, until time.Duration, done func(error)) {
	p := &proposal{want: want, done: done}
	p.key = n.timers.Add(max(until, n.now+1), func() {
		if a := p.last; a != nil {
			n.log.Warn("a place is not settled in time", "place", a.Index, "tries", p.try, "outcome", int(a.out), "number", a.Number.Term,
				"higher", a.HigherNumber.Term, "accepting", a.Phase() == paxos.KindAccept, "behind", len(a.LaggingVoters))
		}
		n.finish(p, ErrQuorumUnavailable)
	})
	if n.queue = append(n.queue, p); len(n.queue) == 1 {
		n.step(p)
	}
}

// finish ends a proposal, and begins the next.
func (n *Replica) finish(p *proposal, err error) {
	if p.over {
		return
	}
	p.over = true
	n.timers.Remove(p.key)
	head := n.queue[0] == p
	kept := n.queue[:0]
	for _, q := range n.queue {
		if q != p {
			kept = append(kept, q)
		}
	}
	n.queue = kept
	p.done(err)
	if head && len(n.queue) > 0 {
		n.step(n.queue[0])
	}
}

// step makes the next attempt of a proposal, if it needs one.
func (n *Replica) step(p *proposal) {
	if p.over {
		return
	}
	if n.state.NextIndex == 0 {
		n.finish(p, ErrNotFounded)
		return
	}
	state := n.state
	own := p.want(&state)
	if own == nil {
		n.finish(p, nil)
		return
	}
	r := paxos.Proposer{Index: state.NextIndex, OwnValue: own, Quorum: paxos.Majority(len(state.Members))}
	for _, m := range state.Members {
		r.Voters = append(r.Voters, m.ID)
	}
	p.try++
	p.last = n.attempt(r, state.Members, p.try-1, func(a *attempt) {
		n.step(p) // it sees in the state what has come of it
	})
}

// attempt is one attempt at a place, under one number.
type attempt struct {
	paxos.Proposer
	members []replog.Member
	out     paxos.Outcome
	then    func(*attempt)
	try     int
}

// attempt begins one, does what follows from how it went, and then goes on.
func (n *Replica) attempt(r paxos.Proposer, members []replog.Member, try int, then func(*attempt)) *attempt {
	n.round++
	a := &attempt{Proposer: r, members: members, then: then, try: try}
	a.Number = paxos.ProposalNumber{Term: n.round, Proposer: n.Incarnation}
	n.phase(a, a.Prepare())
	return a
}

// phase sends what is asked to every member, itself last.
func (n *Replica) phase(a *attempt, ask paxos.Request) {
	own := -1
	text := encodeAsk(&ask)
	for i := range a.members {
		m := &a.members[i]
		to, ok := addr(m)
		switch {
		case m.ID == n.Self.ID:
			own = i
		case !ok:
			n.reply(a, m, ask.Kind, paxos.Response{}, false)
		default:
			n.call(to, CallPaxos, text, limits.ReplicaCallTimeout, func(body []byte, err error) {
				var ans paxos.Response
				if err == nil {
					ans, err = decodeAnswer(body)
				}
				n.reply(a, m, ask.Kind, ans, err == nil)
			})
		}
	}
	if own >= 0 {
		n.vote(ask, func(ans paxos.Response, err error) { n.reply(a, &a.members[own], ask.Kind, ans, err == nil) })
	}
}

// reply takes in what a member has answered, or that it has not.
func (n *Replica) reply(a *attempt, m *replog.Member, phase paxos.RequestKind, ans paxos.Response, ok bool) {
	if a.out != paxos.OutcomePending {
		return
	}
	var next *paxos.Request
	out := paxos.OutcomePending
	if ok {
		next, out = a.HandleResponse(m.ID, phase, ans)
	} else {
		out = a.HandleFailure(m.ID, phase)
	}
	if next != nil {
		n.phase(a, *next)
	}
	if out != paxos.OutcomePending && a.out == paxos.OutcomePending {
		a.out = out
		n.ended(a, m)
	}
}

// ended does what follows from how an attempt went; from is who has answered last.
func (n *Replica) ended(a *attempt, from *replog.Member) {
	next := func() { a.then(a) }
	switch a.out {
	case paxos.OutcomeChosen:
		n.learn(a.Index, a.Value)
		n.tell(a)
		next()
	case paxos.OutcomeAlreadyChosen:
		if a.Value != nil && n.learn(a.Index, a.Value) && a.NextIndex <= a.Index+1 {
			next()
			return
		}
		if to, ok := addr(from); ok {
			n.catchUp(to, next)
			return
		}
		n.after(20*time.Millisecond, next)
	case paxos.OutcomePreempted:
		n.round = max(n.round, a.HigherNumber.Term)
		n.after(paxos.Backoff(n.rnd.Int64N, a.try), next)
	default:
		for _, id := range a.LaggingVoters { // they lack what was chosen before: it was told, and did not reach them
			n.bring(id, a.members)
		}
		n.after(20*time.Millisecond+time.Duration(n.rnd.Int64N(int64(40*time.Millisecond))), next)
	}
}

// tell tells the members what was chosen: those that have accepted it under which number, the others the value, which may be
// large. Who does not hear it finds out.
func (n *Replica) tell(a *attempt) {
	named, whole := encodeChosen(a.Index, a.Number), EncodeIndexed(a.Index, a.Value)
	for i := range a.members {
		m := &a.members[i]
		to, ok := addr(m)
		if m.ID == n.Self.ID || !ok {
			continue
		}
		kind, b := CallLearn, whole
		if a.HasGranted(m.ID) {
			kind, b = CallCommit, named
		}
		n.call(to, kind, b, limits.ReplicaCallTimeout, nil)
	}
	for i := range n.state.Members { // and those whom it has made members
		m := &n.state.Members[i]
		if to, ok := addr(m); ok && m.ID != n.Self.ID && !slices.ContainsFunc(a.members, func(x replog.Member) bool { return x.ID == m.ID }) {
			n.call(to, CallLearn, whole, limits.ReplicaCallTimeout, nil)
		}
	}
}

// bring brings a member up that is behind: it is told where the state is, and takes it.
func (n *Replica) bring(id uint64, members []replog.Member) {
	for i := range members {
		if to, ok := addr(&members[i]); ok && members[i].ID == id && id != n.Self.ID {
			n.call(to, CallLearn, EncodeIndexed(n.state.NextIndex, nil), limits.ReplicaCallTimeout, nil)
		}
	}
}

// read waits for the state here to be settled.
type read struct {
	quiet bool // nothing is proposed for its sake
	until time.Duration
	key   timerqueue.Key
	over  bool
	done  func(error)
}

// reads are those that wait. A majority is asked for all of them at once: there may be as many as there are routers that start.
type reads struct {
	waiting []*read // they came after the present round had begun, whose answers may be older than they are
	settled []*read // the present round is for these
}

// settle makes sure that the state here is no older than anything that was acknowledged before it was called.
// A quiet one waits for others to decide what is open, since there may be as many as routers and all keepers be asked at once: were
// each to propose what may be large, they would keep one another from it (docs/incidents, reads that kept a place open).
func (n *Replica) settle(until time.Duration, quiet bool, done func(error)) {
	r := &read{quiet: quiet, until: until, done: done}
	r.key = n.timers.Add(max(until, n.now+1), func() { n.endRead(r, ErrQuorumUnavailable) })
	if n.reads.waiting = append(n.reads.waiting, r); len(n.reads.settled) == 0 {
		n.readRound()
	}
}

// endRead ends a read.
func (n *Replica) endRead(r *read, err error) {
	if !r.over {
		r.over = true
		n.timers.Remove(r.key)
		r.done(err)
	}
}

// readRound settles the state for the reads that wait.
func (n *Replica) readRound() {
	rd := &n.reads
	rd.waiting = slices.DeleteFunc(rd.waiting, func(r *read) bool { return r.over })
	if rd.settled, rd.waiting = rd.waiting, nil; len(rd.settled) == 0 {
		return
	}
	until := time.Duration(0)
	for _, r := range rd.settled {
		until = max(until, r.until)
	}
	n.settleRound(until, func(err error) {
		all := rd.settled
		rd.settled = nil
		for _, r := range all {
			if errors.Is(err, ErrQuorumUnavailable) && !r.over && r.until > n.now { // it came later than those whose time is over
				rd.waiting = append(rd.waiting, r)
				continue
			}
			n.endRead(r, err)
		}
		if len(rd.settled) == 0 {
			n.readRound()
		}
	})
}

// settleRound makes sure of it once.
func (n *Replica) settleRound(until time.Duration, done func(error)) {
	ended := false
	var key timerqueue.Key
	then := func(err error) {
		if !ended {
			ended = true
			n.timers.Remove(key)
			done(err)
		}
	}
	key = n.timers.Add(max(until, n.now+1), func() { then(ErrQuorumUnavailable) })
	// need is the first place that is not wanted, as a majority of those who were members there has said: what is chosen from there
	// on was not acknowledged before the call. Were the newest wanted at each look, changes that go on would be followed for as
	// long as they do. A state with other members says nothing until they are asked: they may have gone on without the former ones.
	need, asked, patient := uint64(0), []replog.Member(nil), true
	var look func()
	again := func(d time.Duration) { n.after(d, look) }
	look = func() {
		state := n.state
		if ended {
			return
		}
		if need == 0 { // no answer counts yet: those that have come meanwhile are as well served by the next ones
			n.reads.settled, n.reads.waiting = append(n.reads.settled, n.reads.waiting...), nil
		}
		if need > 0 && state.NextIndex >= need {
			if slices.Equal(asked, state.Members) {
				then(nil)
				return
			}
			need = 0
		}
		if state.NextIndex == 0 {
			then(ErrNotFounded)
			return
		}
		good, left, open, over := 0, len(state.Members), false, false
		next := state.NextIndex
		var best netip.AddrPort
		heard := func(m *replog.Member, ans paxos.Response, ok bool) {
			if left--; over {
				return
			}
			if ok {
				// At a member's address may be one with another disk, who has not seen what the member had accepted: it counts for
				// nothing, but may have come further.
				if ans.Verdict == paxos.VerdictReported {
					good++
				} else if ans.NextIndex < state.NextIndex {
					n.bring(m.ID, state.Members)
				}
				if ans.NextIndex > next {
					next, open = ans.NextIndex, false
					best, _ = addr(m)
				}
				open = open || ans.NextIndex == next && ans.Accepted != (paxos.ProposalNumber{})
			}
			enough := good >= paxos.Majority(len(state.Members))
			if over = enough || left == 0; !over {
				return
			}
			if enough && need == 0 {
				if need, asked = next, state.Members; open {
					need++
				}
			}
			switch {
			case need > 0 && n.state.NextIndex >= need:
				look()
			case next > state.NextIndex:
				n.catchUp(best, func() {
					if n.state.NextIndex >= next {
						look()
						return
					}
					again(20 * time.Millisecond)
				})
			case !enough:
				again(50 * time.Millisecond)
			case patient || !slices.ContainsFunc(n.reads.settled, func(r *read) bool { return !r.quiet && !r.over }):
				// Whoever has proposed what is open is likely to be at it still.
				patient, need = false, 0
				again(100*time.Millisecond + time.Duration(n.rnd.Int64N(int64(100*time.Millisecond))))
			default:
				// Something was accepted for the place that is open, and may have been chosen: it is brought to its end.
				nothing := replog.Entry{Nonce: n.rnd.Uint64(), Payload: replog.Noop{}}.Encode()
				n.propose(func(now *replog.State) []byte {
					if now.NextIndex >= need {
						return nil
					}
					return nothing
				}, until, func(err error) {
					if err != nil {
						then(err)
						return
					}
					look()
				})
			}
		}
		own := false
		for i := range state.Members {
			m := &state.Members[i]
			to, ok := addr(m)
			switch {
			case m.ID == n.Self.ID:
				own = true
			case !ok:
				heard(m, paxos.Response{}, false)
			default:
				query := encodeAsk(&paxos.Request{Kind: paxos.KindQuery})
				n.call(to, CallPaxos, query, limits.ReplicaCallTimeout, func(body []byte, err error) {
					var ans paxos.Response
					if err == nil {
						ans, err = decodeAnswer(body)
					}
					heard(m, ans, err == nil)
				})
			}
		}
		if own {
			ans, _ := n.acc.Handle(paxos.Request{Kind: paxos.KindQuery})
			heard(&n.Self, ans, true)
		}
	}
	look()
}
