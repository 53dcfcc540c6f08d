package paxos

import "bytes"

// AcceptorState is what an acceptor must keep across restarts. It concerns one index, the first one that is not chosen as far
// as the acceptor knows: earlier indexes are in the log, later ones get no vote.
type AcceptorState struct {
	Index    uint64
	Promised ProposalNumber // lower numbers are rejected
	Accepted ProposalNumber // zero = no value is accepted
	Value    []byte         // accepted under Accepted
}

// Acceptor is the acceptor of one voter. NextIndex and IsVoter follow the log; the log's owner sets them.
type Acceptor struct {
	State       AcceptorState
	NextIndex   uint64 // first index that is not learned here
	IsVoter     bool
	ChosenValue func(index uint64) ([]byte, bool) // value of a learned index; false where it is compacted
}

// Handle answers a request. Where persist is true, State has changed and must be synced to disk before the response leaves;
// the response is lost if that fails.
func (a *Acceptor) Handle(m Request) (resp Response, persist bool) {
	if a.State.Index != a.NextIndex {
		a.State = AcceptorState{Index: a.NextIndex}
	}
	if m.Kind == KindQuery {
		return a.report(), false
	}
	switch {
	case m.Index < a.NextIndex:
		resp = Response{Verdict: VerdictAlreadyChosen, NextIndex: a.NextIndex}
		if v, ok := a.ChosenValue(m.Index); ok {
			resp.Value = v
		}
		return resp, false
	case m.Index > a.NextIndex:
		return Response{Verdict: VerdictLagging, NextIndex: a.NextIndex}, false
	case !a.IsVoter:
		return Response{Verdict: VerdictNotVoter, NextIndex: a.NextIndex}, false
	case m.Number.Compare(a.State.Promised) < 0:
		return Response{Verdict: VerdictRejected, NextIndex: a.NextIndex, Promised: a.State.Promised}, false
	}
	switch m.Kind {
	case KindPrepare:
		persist = m.Number != a.State.Promised
		a.State.Promised = m.Number
		return Response{Verdict: VerdictGranted, NextIndex: a.NextIndex, Accepted: a.State.Accepted, Value: a.State.Value}, persist
	case KindAccept:
		persist = m.Number != a.State.Accepted || !bytes.Equal(m.Value, a.State.Value)
		a.State.Promised, a.State.Accepted, a.State.Value = m.Number, m.Number, m.Value
		return Response{Verdict: VerdictGranted, NextIndex: a.NextIndex}, persist
	}
	return Response{Verdict: VerdictNotVoter, NextIndex: a.NextIndex}, false // a kind of a later version
}

// report answers a query. The accepted value is left out: it may be large, and every linearizable read sends queries.
func (a *Acceptor) report() Response {
	resp := Response{Verdict: VerdictReported, NextIndex: a.NextIndex, Accepted: a.State.Accepted}
	if !a.IsVoter {
		resp.Verdict = VerdictNotVoter
	}
	return resp
}
