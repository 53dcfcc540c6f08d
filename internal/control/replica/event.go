package replica

import (
	"net/netip"
	"time"

	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
)

// RequestID identifies a request of the owner in the effect that answers it. The owner assigns it; see Pending. Zero
// marks a request whose answer the owner ignores.
type RequestID uint64

// CallID identifies a SendCall in its CallReturned.
type CallID uint64

// WriteID identifies a Write in its WriteDone. Zero is not a valid ID.
type WriteID uint64

// EntryFunc returns the next encoded entry to propose on top of a state, or nil if nothing is left to propose. It is
// called again after each attempt, because the chosen entry may come from another replica.
type EntryFunc func(*replog.State) []byte

// Event is an input of Reduce: one of the types below.
type Event interface{ isEvent() }

// CallReceived reports a call from another process. A SendReply with the same Request answers it.
type CallReceived struct {
	Request RequestID
	Kind    rpc.Kind
	Body    []byte
	From    netip.Addr // IP address of the caller
}

// CallReturned reports the answer to a SendCall, or its failure.
type CallReturned struct {
	ID   CallID
	Body []byte
	Err  error
}

// WriteDone reports the result of a Write. It comes before any other event.
type WriteDone struct {
	ID      WriteID
	Durable bool
}

// Tick reports that time has passed, without any other event.
type Tick struct{}

// ReplaceConfig is an operator's request to replace the configuration of BaseRevision. An OperatorAnswer follows by the
// deadline.
type ReplaceConfig struct {
	Request      RequestID
	BaseRevision uint64
	Config       []byte // encoded, as received
	Deadline     time.Duration
}

// ReadConfig is a linearizable read of the configuration. An OperatorAnswer follows by the deadline. A passive read
// proposes nothing: if only a proposal can decide an open index (see readMode), it waits for another replica's proposal.
type ReadConfig struct {
	Request  RequestID
	Passive  bool
	Deadline time.Duration
}

// ReadHistory is a linearizable read of the accepted revisions. An OperatorAnswer follows by the deadline.
type ReadHistory struct {
	Request  RequestID
	Deadline time.Duration
}

// RemoveMember is an operator's request to remove the voters with a name. An OperatorAnswer follows by the deadline.
type RemoveMember struct {
	Request  RequestID
	Name     string
	Deadline time.Duration
}

// Leave starts a graceful shutdown. LeaveDone follows once this replica has handed over its vote, by the deadline at
// the latest.
type Leave struct {
	Request  RequestID
	Deadline time.Duration
}

// Propose requests proposals until Next returns nil. ProposeDone follows by the deadline.
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
