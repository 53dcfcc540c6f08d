package replica

import "notchhinge/internal/control/paxos"

// alignAcceptor sets the acceptor's index and voting right from the state. Before the group is founded only founders
// vote.
func (r *Replica) alignAcceptor() {
	r.acceptor.NextIndex = r.state.NextIndex
	if r.state.NextIndex == 0 {
		r.acceptor.IsVoter = r.IsFounder
	} else {
		r.acceptor.IsVoter = r.isVoter()
	}
}

// handlePaxosRequest passes a request to the acceptor and calls done with the response. A promise or an acceptance must
// be durable first: a grant waits for the latest write of the acceptor state, even if it repeats a grant whose write
// has not finished. An error means that the write failed; it is not a vote.
func (r *Replica) handlePaxosRequest(req paxos.Request, done func(paxos.Response, error)) {
	r.term = max(r.term, req.Number.Term)
	resp, changed := r.acceptor.Handle(req)
	if !changed && (r.pendingVoteWrite == 0 || resp.Verdict != paxos.VerdictGranted) {
		done(resp, nil)
		return
	}
	var id WriteID
	id = r.write(Write{}, func(durable bool) {
		if !durable {
			done(paxos.Response{}, errDiskWrite)
			return
		}
		if r.pendingVoteWrite == id {
			r.pendingVoteWrite = 0
		}
		if req.Kind == paxos.KindAccept {
			r.watchAcceptedMembership(req.Index)
		}
		done(resp, nil)
	})
	r.pendingVoteWrite = id
}
