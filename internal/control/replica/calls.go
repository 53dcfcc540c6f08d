package replica

import (
	"errors"
	"net/netip"
	"time"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/limits"
)

// CallKind is the number of a kind of call between processes, as it stands on the wire. Replicas take the kinds below; other
// packages own 5 (configurations), 8, 9, 11 and 15 (singleton roles). 6, 7, 12 and 13 were used once and stay free.
type CallKind uint8

// The kinds of calls that replicas take.
const (
	CallPaxos     CallKind = 1  // paxos.Request, answered by paxos.Response
	CallLearn     CallKind = 2  // an index and the value chosen for it; without a value, notice of a longer log
	CallSnapshot  CallKind = 3  // the whole state, if it is beyond an index, in the newest format that the caller reads
	CallIdentity  CallKind = 4  // answered by the identity of the replica
	CallJoin      CallKind = 10 // identity of a learner that asks for a vote; answered by nothing, or by joinGroupFull
	CallCommit    CallKind = 14 // what the callee has accepted for an index under a proposal number was chosen
	CallReachable CallKind = 16 // whether the replica at an address answers the callee: 1, or 0
)

// CallTimeout is how long a caller waits for the answer to a call. A callee need not take a call that has waited for longer.
func CallTimeout(kind CallKind) time.Duration {
	switch kind {
	case CallSnapshot, CallReachable:
		return 2 * limits.ReplicaCallTimeout
	case CallJoin:
		return settleTimeout
	}
	return limits.ReplicaCallTimeout
}

// errUnknownCall answers a call of a kind that no replica takes.
var errUnknownCall = errors.New("replica: unknown kind of call")

// replyFunc answers a call of another process.
type replyFunc func(body []byte, err error)

// receiveCall handles a call of another process.
func (r *Replica) receiveCall(c CallReceived) {
	reply := func(body []byte, err error) { r.emit(SendReply{c.Request, body, err}) }
	switch c.Kind {
	case CallPaxos:
		r.receivePaxos(c.Body, reply)
	case CallLearn:
		r.receiveLearn(c, reply)
	case CallCommit:
		r.receiveCommit(c, reply)
	case CallSnapshot:
		r.receiveSnapshotCall(c.Body, reply)
	case CallReachable:
		r.receiveReachable(c.Body, reply)
	case CallIdentity:
		reply(r.identity().encode(), nil)
	case CallJoin:
		r.receiveJoin(c, reply)
	default:
		reply(nil, errUnknownCall)
	}
}

// receivePaxos handles a CallPaxos. The response leaves once the disk has what it says.
func (r *Replica) receivePaxos(body []byte, reply replyFunc) {
	req, err := decodePaxosRequest(body)
	if err != nil {
		reply(nil, err)
		return
	}
	r.vote(req, func(resp paxos.Response, err error) {
		if err != nil {
			reply(nil, err)
			return
		}
		reply(encodePaxosResponse(&resp), nil)
	})
}

// call asks for a call of another process; done is called with the answer, or with an error after the timeout. It may be nil.
func (r *Replica) call(to netip.AddrPort, kind CallKind, body []byte, done replyFunc) {
	r.lastID++
	id, sentAt := CallID(r.lastID), r.now
	r.calls[id] = func(body []byte, err error) {
		if r.observeCall(to, sentAt, err); done != nil {
			done(body, err)
		}
	}
	r.emit(SendCall{ID: id, To: to, Kind: kind, Body: body, Timeout: CallTimeout(kind)})
}

// callPaxos calls an acceptor.
func (r *Replica) callPaxos(to netip.AddrPort, body []byte, done func(resp paxos.Response, ok bool)) {
	r.call(to, CallPaxos, body, func(body []byte, err error) {
		var resp paxos.Response
		if err == nil {
			resp, err = decodePaxosResponse(body)
		}
		done(resp, err == nil)
	})
}

// callIdentity asks another replica for its identity.
func (r *Replica) callIdentity(to netip.AddrPort, done func(i identity, ok bool)) {
	r.call(to, CallIdentity, nil, func(body []byte, err error) {
		var i identity
		if err == nil {
			i, err = decodeIdentity(body)
		}
		done(i, err == nil)
	})
}
