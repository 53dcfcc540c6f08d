package replica

import "notchhinge/internal/control/paxos"

// alignAcceptor gives the acceptor the index and the right to vote that follow from the state. Before the founding only
// founders vote.
func (r *Replica) alignAcceptor() {
	r.acceptor.NextIndex = r.state.NextIndex
	if r.state.NextIndex == 0 {
		r.acceptor.IsVoter = r.IsFounder
	} else {
		r.acceptor.IsVoter = r.isVoter()
	}
}

// vote answers a proposer's request. What the response promises or accepts must be on the disk before done is called: a grant
// waits for the newest write of the acceptor's state, also where it repeats an earlier one that is not durable yet. An error
// is no vote: the disk has refused the write.
func (r *Replica) vote(req paxos.Request, done func(paxos.Response, error)) {
	r.term = max(r.term, req.Number.Term)
	resp, changed := r.acceptor.Handle(req)
	if !changed && (r.voteWrite == 0 || resp.Verdict != paxos.VerdictGranted) {
		done(resp, nil)
		return
	}
	var id WriteID
	id = r.write(Write{}, func(durable bool) {
		if !durable {
			done(paxos.Response{}, errDiskWrite)
			return
		}
		if r.voteWrite == id {
			r.voteWrite = 0
		}
		if req.Kind == paxos.KindAccept {
			r.watchAcceptedMembership(req.Index)
		}
		done(resp, nil)
	})
	r.voteWrite = id
}
