package replica

import (
	"fmt"
	"net/netip"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/rpc"
)

// replyFunc answers a call of another process.
type replyFunc func(body []byte, err error)

// callHandler handles a call of another process. reply is called once, then or later.
type callHandler func(r *Replica, c CallReceived, reply replyFunc)

// callHandlers handle the calls that replicas own.
var callHandlers = rpc.Handlers[callHandler]{
	rpc.KindPaxos:          (*Replica).receivePaxos,
	rpc.KindLearn:          (*Replica).receiveLearn,
	rpc.KindCommit:         (*Replica).receiveCommit,
	rpc.KindSnapshot:       (*Replica).receiveSnapshotCall,
	rpc.KindCheckReachable: (*Replica).receiveReachable,
	rpc.KindIdentity:       (*Replica).receiveIdentity,
	rpc.KindJoin:           (*Replica).receiveJoin,
}

// receiveCall handles a call of another process.
func (r *Replica) receiveCall(c CallReceived) {
	reply := func(body []byte, err error) { r.emit(SendReply{c.Request, body, err}) }
	handle, err := callHandlers.Lookup(c.Kind)
	if err != nil {
		reply(nil, fmt.Errorf("replica: %w", err))
		return
	}
	handle(r, c, reply)
}

// receiveIdentity handles a KindIdentity.
func (r *Replica) receiveIdentity(_ CallReceived, reply replyFunc) { reply(r.identity().encode(), nil) }

// receivePaxos handles an rpc.KindPaxos. The response leaves once the disk has what it says.
func (r *Replica) receivePaxos(c CallReceived, reply replyFunc) {
	req, err := decodePaxosRequest(c.Body)
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

// callPaxos calls an acceptor.
func (r *Replica) callPaxos(to netip.AddrPort, body []byte, done func(resp paxos.Response, ok bool)) {
	r.call(to, rpc.KindPaxos, body, func(body []byte, err error) {
		var resp paxos.Response
		if err == nil {
			resp, err = decodePaxosResponse(body)
		}
		done(resp, err == nil)
	})
}

// callIdentity asks another replica for its identity.
func (r *Replica) callIdentity(to netip.AddrPort, done func(i identity, ok bool)) {
	r.call(to, rpc.KindIdentity, nil, func(body []byte, err error) {
		var i identity
		if err == nil {
			i, err = decodeIdentity(body)
		}
		done(i, err == nil)
	})
}
