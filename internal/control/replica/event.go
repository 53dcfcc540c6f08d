package replica

import (
	"net/netip"
	"time"

	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
)

// RequestID identifies a request of the owner in the effect that answers it. The owner assigns it; see Pending. Zero is for a
// request whose answer is not awaited.
type RequestID uint64

// CallID identifies a SendCall in its CallReturned.
type CallID uint64

// WriteID identifies a Write in its WriteDone. Zero identifies none.
type WriteID uint64

// EntryFunc returns the next entry to be proposed upon a state, encoded, or nil once there is nothing to propose. It is called
// again after each attempt, since what was chosen may be another replica's entry.
type EntryFunc func(*replog.State) []byte

// Event is something that happened: one of the types below.
type Event interface{ isEvent() }

// CallReceived reports a call of another process. SendReply comes back with Request.
type CallReceived struct {
	Request RequestID
	Kind    rpc.Kind
	Body    []byte
	From    netip.Addr // of the caller
}

// CallReturned reports the answer to a SendCall, or that there was none in time.
type CallReturned struct {
	ID   CallID
	Body []byte
	Err  error
}

// WriteDone reports that a Write is durable, or that the disk has refused it. It comes before any other event.
type WriteDone struct {
	ID      WriteID
	Durable bool
}

// Tick reports that time has passed.
type Tick struct{}

// ReplaceConfig is an operator's new configuration, which builds on a revision. OperatorAnswer comes back by the deadline.
type ReplaceConfig struct {
	Request      RequestID
	BaseRevision uint64
	Config       []byte // as received
	Deadline     time.Duration
}

// ReadConfig is a linearizable read of the configuration. OperatorAnswer comes back by the deadline. A passive read proposes
// nothing: it is not answered while an index is open that only a proposal could decide.
type ReadConfig struct {
	Request  RequestID
	Passive  bool
	Deadline time.Duration
}

// ReadHistory is a linearizable read of the accepted revisions. OperatorAnswer comes back by the deadline.
type ReadHistory struct {
	Request  RequestID
	Deadline time.Duration
}

// RemoveMember is an operator's request to remove the voters of a name. OperatorAnswer comes back by the deadline.
type RemoveMember struct {
	Request  RequestID
	Name     string
	Deadline time.Duration
}

// Leave starts a graceful shutdown. LeaveDone comes back once this replica has handed its vote over, at the latest at the
// deadline.
type Leave struct {
	Request  RequestID
	Deadline time.Duration
}

// Propose has entries chosen until Next returns nil. ProposeDone comes back by the deadline.
type Propose struct {
	Request  RequestID
	Next     EntryFunc
	Deadline time.Duration
}

func (CallReceived) isEvent()  {}
func (CallReturned) isEvent()  {}
func (WriteDone) isEvent()     {}
func (Tick) isEvent()          {}
func (ReplaceConfig) isEvent() {}
func (ReadConfig) isEvent()    {}
func (ReadHistory) isEvent()   {}
func (RemoveMember) isEvent()  {}
func (Leave) isEvent()         {}
func (Propose) isEvent()       {}
