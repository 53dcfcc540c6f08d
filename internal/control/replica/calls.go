package replica

import (
	"fmt"
	"net/netip"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/rpc"
)

// replyFunc receives the answer to a call, or an error.
type replyFunc func(body []byte, err error)

// callHandler handles a call from another process. It calls reply exactly once, immediately or later.
type callHandler func(r *Replica, c CallReceived, reply replyFunc)

// callHandlers holds the handlers of all kinds of calls that replicas own.
var callHandlers = rpc.Handlers[callHandler]{
	rpc.KindPaxos:          (*Replica).receivePaxos,
	rpc.KindLearn:          (*Replica).receiveLearn,
	rpc.KindCommit:         (*Replica).receiveCommit,
	rpc.KindSnapshot:       (*Replica).receiveSnapshotRequest,
	rpc.KindCheckReachable: (*Replica).receiveCheckReachable,
	rpc.KindIdentity:       (*Replica).receiveIdentity,
	rpc.KindJoin:           (*Replica).receiveJoin,
}

// receiveCall dispatches a call from another process to its handler.
func (r *Replica) receiveCall(c CallReceived) {
	reply := func(body []byte, err error) { r.emit(SendReply{c.Request, body, err}) }
	handle, err := callHandlers.Lookup(c.Kind)
	if err != nil {
		reply(nil, fmt.Errorf("replica: %w", err))
		return
	}
	handle(r, c, reply)
}

// receiveIdentity handles an rpc.KindIdentity.
func (r *Replica) receiveIdentity(_ CallReceived, reply replyFunc) { reply(r.identity().encode(), nil) }

// receivePaxos handles an rpc.KindPaxos. The response is sent once the acceptor state that it reports is durable.
func (r *Replica) receivePaxos(c CallReceived, reply replyFunc) {
	req, err := decodePaxosRequest(c.Body)
	if err != nil {
		reply(nil, err)
		return
	}
	r.handlePaxosRequest(req, func(resp paxos.Response, err error) {
		if err != nil {
			reply(nil, err)
			return
		}
		reply(encodePaxosResponse(&resp), nil)
	})
}

// call calls another process. done receives the answer, or an error after the timeout; it may be nil.
func (r *Replica) call(to netip.AddrPort, kind rpc.Kind, body []byte, done replyFunc) {
	r.lastID++
	id, sentAt := CallID(r.lastID), r.now
	r.calls[id] = func(body []byte, err error) {
		if r.observeCall(to, sentAt, err); done != nil {
			done(body, err)
		}
	}
	r.emit(SendCall{ID: id, To: to, Kind: kind, Body: body, Timeout: rpc.Lookup(kind).Timeout})
}

// callPaxos sends an encoded request to the acceptor of another replica.
func (r *Replica) callPaxos(to netip.AddrPort, body []byte, done func(resp paxos.Response, ok bool)) {
	r.call(to, rpc.KindPaxos, body, func(body []byte, err error) {
		var resp paxos.Response
		if err == nil {
			resp, err = decodePaxosResponse(body)
		}
		done(resp, err == nil)
	})
}

// callIdentity requests the identity of another replica.
func (r *Replica) callIdentity(to netip.AddrPort, done func(i identity, ok bool)) {
	r.call(to, rpc.KindIdentity, nil, func(body []byte, err error) {
		var i identity
		if err == nil {
			i, err = decodeIdentity(body)
		}
		done(i, err == nil)
	})
}
