package singleton

import (
	"log/slog"
	"net/netip"
	"time"

	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
)

// CallID identifies a call to another process until it returns.
type CallID uint64

// Event is something that happened.
type Event interface{ isEvent() }

type (
	// Tick comes every limits.SingletonTickInterval.
	Tick struct{}
	// CallReceived is a call of another process. Its SendReply is among the effects of the same Reduce.
	CallReceived struct {
		Kind rpc.Kind
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
		Kind    rpc.Kind
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
