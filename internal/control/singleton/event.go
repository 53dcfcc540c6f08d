package singleton

import (
	"log/slog"
	"net/netip"
	"time"

	"notchhinge/internal/control/replog"
)

// Kinds of calls between processes that this package answers. Other numbers belong to other packages.
const (
	CallUsageReport    uint8 = 8  // from a router: a usage.Report, answered by a usage.Ack
	CallUsageTable     uint8 = 9  // from a voter: a range of windows, answered by an encoded usage.Table
	CallRenewLease     uint8 = 11 // from the holder: a lease.Renewal, answered by a verdict
	CallCheckCandidacy uint8 = 15 // from a voter: a lease.Candidacy, answered by a verdict
)

// OwnsCall reports whether a kind of call belongs to this package.
func OwnsCall(kind uint8) bool {
	switch kind {
	case CallUsageReport, CallUsageTable, CallRenewLease, CallCheckCandidacy:
		return true
	}
	return false
}

// CallID identifies a call to another process until it returns.
type CallID uint64

// Event is something that happened.
type Event interface{ isEvent() }

type (
	// Tick comes every limits.SingletonTickInterval.
	Tick struct{}
	// CallReceived is a call of another process. Its SendReply is among the effects of the same Reduce.
	CallReceived struct {
		Kind uint8
		Body []byte
	}
	// CallReturned is the outcome of a SendCall.
	CallReturned struct {
		ID   CallID
		Body []byte
		Err  error
	}
	// ProposalDone is the outcome of a Propose.
	ProposalDone struct{ Err error }
	// PlatformAnswered is the outcome of a ReportUsage or a ScaleEngines.
	PlatformAnswered struct{ Err error }
)

func (Tick) isEvent()             {}
func (CallReceived) isEvent()     {}
func (CallReturned) isEvent()     {}
func (ProposalDone) isEvent()     {}
func (PlatformAnswered) isEvent() {}

// Effect is something to be done. At most one of Propose, ReportUsage and ScaleEngines is in flight.
type Effect interface{ isEffect() }

type (
	// SendCall calls another process; CallReturned follows within the time-out.
	SendCall struct {
		ID      CallID
		To      netip.AddrPort
		Kind    uint8
		Body    []byte
		Timeout time.Duration
	}
	// SendReply answers the CallReceived that was reduced.
	SendReply struct {
		Body []byte
		Err  error
	}
	// Propose has what Next returns chosen, until it returns nil; ProposalDone follows.
	Propose struct {
		Next    func(*replog.State) []byte
		Timeout time.Duration
	}
	// ReportUsage reports a usage window to the platform; PlatformAnswered follows. It must not be sent after the time-out.
	ReportUsage struct {
		FencingToken, Window uint64
		Counts               map[string]uint64 // requests by tenant
		Timeout              time.Duration
	}
	// ScaleEngines orders a number of engines from the platform; PlatformAnswered follows. It must not be sent after the time-out.
	ScaleEngines struct {
		FencingToken  uint64
		Service, Zone string
		Engines       int
		Timeout       time.Duration
	}
	// Log logs a message.
	Log struct {
		Level   slog.Level
		Message string
		Args    []any // as slog takes them
	}
)

func (SendCall) isEffect()     {}
func (SendReply) isEffect()    {}
func (Propose) isEffect()      {}
func (ReportUsage) isEffect()  {}
func (ScaleEngines) isEffect() {}
func (Log) isEffect()          {}
