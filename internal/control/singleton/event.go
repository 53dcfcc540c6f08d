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

// Event is an input of Controller.Reduce.
type Event interface{ isEvent() }

type (
	// Tick occurs every limits.SingletonTickInterval.
	Tick struct{}
	// CallReceived is a call from another process. The same Reduce returns a SendReply for it.
	CallReceived struct {
		Kind rpc.Kind
		Body []byte
	}
	// CallReturned is the result of a SendCall.
	CallReturned struct {
		ID   CallID
		Body []byte
		Err  error
	}
	// ProposalDone is the result of a Propose.
	ProposalDone struct{ Err error }
	// PlatformAnswered is the result of a ReportUsage or a ScaleEngines.
	PlatformAnswered struct{ Err error }
)

func (Tick) isEvent()             {}
func (CallReceived) isEvent()     {}
func (CallReturned) isEvent()     {}
func (ProposalDone) isEvent()     {}
func (PlatformAnswered) isEvent() {}

// Effect is an action for the owner of the Controller. At most one of Propose, ReportUsage and ScaleEngines is in flight.
type Effect interface{ isEffect() }

type (
	// SendCall calls another process. A CallReturned follows within the timeout.
	SendCall struct {
		ID      CallID
		To      netip.AddrPort
		Kind    rpc.Kind
		Body    []byte
		Timeout time.Duration
	}
	// SendReply is the response to the CallReceived that was reduced.
	SendReply struct {
		Body []byte
		Err  error
	}
	// Propose proposes the values that Next returns, one at a time, until it returns nil. A ProposalDone follows.
	Propose struct {
		Next    func(*replog.State) []byte
		Timeout time.Duration
	}
	// ReportUsage reports a usage window to the platform. It must not be sent after the timeout. A PlatformAnswered follows.
	ReportUsage struct {
		FencingToken, Window uint64
		Counts               map[string]uint64 // number of requests by tenant
		Timeout              time.Duration
	}
	// ScaleEngines requests a number of engines from the platform. It must not be sent after the timeout. A PlatformAnswered
	// follows.
	ScaleEngines struct {
		FencingToken  uint64
		Service, Zone string
		Engines       int
		Timeout       time.Duration
	}
	// Log writes a log message.
	Log struct {
		Level   slog.Level
		Message string
		Args    []any // key-value pairs, as for slog
	}
)

func (SendCall) isEffect()     {}
func (SendReply) isEffect()    {}
func (Propose) isEffect()      {}
func (ReportUsage) isEffect()  {}
func (ScaleEngines) isEffect() {}
func (Log) isEffect()          {}
