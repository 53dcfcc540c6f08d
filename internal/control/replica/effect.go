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

// Effect is something that the owner must do: one of the types below. Effects are performed in their order.
type Effect interface{ isEffect() }

// SendCall asks for a call of another process. CallReturned comes back with ID, at the latest after Timeout.
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

// Write asks for a synced write to the disk. WriteDone must come back with ID before any other event, and nothing that Reduce
// returns for it may leave earlier.
//
// With Snapshot, State replaces all that was written before. Otherwise, with a Value, the value was chosen for index
// State.NextIndex-1 and has led to State. Otherwise Acceptor is what the acceptor must not forget. State and Acceptor are
// always set: after a failed write they are what the owner writes first.
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

// ProposeDone reports that a Propose has nothing left to propose, or could not be finished.
type ProposeDone struct {
	Request RequestID
	Err     error
}

// LeaveDone reports that nothing depends on this replica any more, or that the deadline of a Leave has passed.
type LeaveDone struct{ Request RequestID }

// StateChanged reports a new state.
type StateChanged struct{ State replog.State }

// Log asks for a log record.
type Log struct {
	Level   slog.Level
	Message string
	Args    []any // as slog takes them
}

func (SendCall) isEffect()       {}
func (SendReply) isEffect()      {}
func (Write) isEffect()          {}
func (OperatorAnswer) isEffect() {}
func (ProposeDone) isEffect()    {}
func (LeaveDone) isEffect()      {}
func (StateChanged) isEffect()   {}
func (Log) isEffect()            {}
