package contend

import (
	"time"

	"notchhinge/internal/control/paxos"
)

// attempt is one attempt of a replica to get its proposal chosen.
type attempt struct {
	paxos.Proposer
	sim     *simulation
	replica int // index of the replica
	number  int // number of this attempt among those for its proposal, from 0
	isEnded bool
}

// broadcast sends a request to all voters. A voter that does not respond within responseTimeout counts as failed.
func (a *attempt) broadcast(req paxos.Request) {
	s := a.sim
	for i := range s.replicas {
		hasResponded := false
		s.send(a.replica, i, messageBytes+len(req.Value), func() {
			s.handle(i, req, func(resp paxos.Response) {
				s.send(i, a.replica, messageBytes+len(resp.Value), func() {
					if !hasResponded && !a.isEnded {
						next, out := a.HandleResponse(uint64(i), req.Kind, resp)
						a.advance(next, out)
					}
					hasResponded = true
				})
			})
		})
		s.after(responseTimeout, func() {
			if !hasResponded && !a.isEnded {
				a.advance(nil, a.HandleFailure(uint64(i), req.Kind))
			}
			hasResponded = true
		})
	}
}

// advance sends the next request, or ends the attempt.
func (a *attempt) advance(next *paxos.Request, out paxos.Outcome) {
	if next != nil {
		a.broadcast(*next)
	}
	if out == paxos.OutcomePending {
		return
	}
	a.isEnded = true
	pause := a.end(out)
	a.sim.after(pause, func() { a.sim.attempt(a.replica, a.number+1) })
}

// end handles the outcome, and returns how long the replica waits before its next attempt.
func (a *attempt) end(out paxos.Outcome) (pause time.Duration) {
	s := a.sim
	switch out {
	case paxos.OutcomeChosen:
		s.learn(a.replica, a.Index, a.Value)
		a.announce()
	case paxos.OutcomeAlreadyChosen:
		if a.Value == nil {
			return catchUpTime
		}
		s.learn(a.replica, a.Index, a.Value)
	case paxos.OutcomePreempted:
		r := s.replicas[a.replica]
		r.term = max(r.term, a.HigherNumber.Term)
		return paxos.Backoff(s.rnd.Int64N, a.number)
	default:
		return retryPause + time.Duration(s.rnd.Int64N(int64(retryJitter)))
	}
	return 0
}

// announce sends the chosen value to the other replicas. Those that are known to have accepted it receive only its number.
func (a *attempt) announce() {
	s := a.sim
	for i := range s.replicas {
		if i == a.replica {
			continue
		}
		size := messageBytes + len(a.Value)
		if a.HasGranted(uint64(i)) && !s.ResendValues {
			size = messageBytes
		}
		s.send(a.replica, i, size, func() { s.learn(i, a.Index, a.Value) })
	}
}
