package paxos

import "bytes"

// AcceptorState is the state that an acceptor must keep across restarts. It concerns one index only, the first one that
// the acceptor has not learned: earlier indexes are in the log, and later ones get no vote.
type AcceptorState struct {
	Index    uint64
	Promised ProposalNumber // proposals with lower numbers are rejected
	Accepted ProposalNumber // zero = no value has been accepted
	Value    []byte         // the value accepted under Accepted
}

// Acceptor is the acceptor of one voter. The owner of the log keeps NextIndex and IsVoter up to date.
type Acceptor struct {
	State       AcceptorState
	NextIndex   uint64 // first index that the acceptor has not learned
	IsVoter     bool
	ChosenValue func(index uint64) ([]byte, bool) // value of a learned index; false if it is compacted
}

// Handle answers a request. If persist is true, State has changed and must be synced to disk before the response is
// sent. If that fails, the response must not be sent.
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
	return Response{Verdict: VerdictNotVoter, NextIndex: a.NextIndex}, false // a request kind of a later release
}

// report answers a query. It omits the accepted value, which may be large, because every linearizable read sends
// queries.
func (a *Acceptor) report() Response {
	resp := Response{Verdict: VerdictReported, NextIndex: a.NextIndex, Accepted: a.State.Accepted}
	if !a.IsVoter {
		resp.Verdict = VerdictNotVoter
	}
	return resp
}
