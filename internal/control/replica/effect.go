package replica

import (
	"log/slog"
	"net/netip"
	"time"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
)

// Effect is an action for the owner: one of the types below. Effects are performed in order.
type Effect interface{ isEffect() }

// SendCall requests a call to another process. A CallReturned with the same ID follows, after Timeout at the latest.
type SendCall struct {
	ID      CallID
	To      netip.AddrPort
	Kind    rpc.Kind
	Body    []byte
	Timeout time.Duration
}

// SendReply answers a CallReceived.
type SendReply struct {
	Request RequestID
	Body    []byte
	Err     error
}

// Write requests a synced write to the disk. A WriteDone with the same ID must follow before any other event. Effects
// that Reduce returns for the WriteDone may be performed only after it.
//
// With Snapshot set, State replaces everything written before. Otherwise, if Value is set, it is the value chosen for
// index State.NextIndex-1, and State is the result of applying it. Otherwise Acceptor is the acceptor state to persist.
// State and Acceptor are always set: after a failed write the owner writes both before anything else.
type Write struct {
	ID       WriteID
	Snapshot bool
	Value    []byte
	State    *replog.State
	Acceptor paxos.AcceptorState
}

// OperatorAnswer answers an operator's request.
type OperatorAnswer struct {
	Request RequestID
	api.Result
}

// ProposeDone reports the end of a Propose. Err is nil if nothing was left to propose.
type ProposeDone struct {
	Request RequestID
	Err     error
}

// LeaveDone reports that this replica has handed over, or that the deadline of a Leave has passed.
type LeaveDone struct{ Request RequestID }

// StateChanged reports a new state.
type StateChanged struct{ State replog.State }

// Log requests a log record.
type Log struct {
	Level   slog.Level
	Message string
	Args    []any // alternating keys and values, as in package slog
}

func (SendCall) isEffect()       {}
func (SendReply) isEffect()      {}
func (Write) isEffect()          {}
func (OperatorAnswer) isEffect() {}
func (ProposeDone) isEffect()    {}
func (LeaveDone) isEffect()      {}
func (StateChanged) isEffect()   {}
func (Log) isEffect()            {}
