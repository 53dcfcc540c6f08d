package api

import (
	"context"
	"net/http"
)

// Heartbeat is an engine's report about itself. Unknown fields are ignored.
type Heartbeat struct {
	ID                string       `cbor:"-"` // from the path
	TargetService     string       `cbor:"target_service"`
	Address           string       `cbor:"address"` // IP address and port
	Zone              string       `cbor:"zone"`
	Revision          string       `cbor:"revision"`       // of the engine's software
	CapacitySlots     float64      `cbor:"capacity_slots"` // requests that it runs at once; 0 = unknown
	Status            EngineStatus `cbor:"status"`
	WarmupRemainingMS float64      `cbor:"warmup_remaining_ms"`
	CallCount         uint64       `cbor:"call_count"` // orders its heartbeats
}

// EngineStatus is the readiness that an engine reports.
type EngineStatus string

// Values of EngineStatus.
const (
	EngineReady    EngineStatus = "ready"
	EngineDraining EngineStatus = "draining"
)

// Result is the outcome of an operator's call.
type Result struct {
	Status   Status
	Message  string // the reason of a failure
	Revision uint64 // the newest known revision
	Body     []byte // the configuration as submitted, or the history as JSON
}

// Err returns the failure of a call as an *Error, or nil if the call succeeded.
func (r *Result) Err() error {
	if r.Status == StatusOK {
		return nil
	}
	return &Error{r.Status, r.Message}
}

// Handler executes calls. All methods must be safe for concurrent use. Methods with a context may block until it is done.
type Handler interface {
	// RedirectTarget returns the control address of a process that has the control state. It returns "" if this process has
	// the state itself or knows no process that has it.
	RedirectTarget() string
	// Heartbeat handles an engine's heartbeat. If the engine is draining, it returns once enough other processes have
	// acknowledged that state. nextAddr is the control address for
	// the engine's next heartbeats; "" = any. An error other than an *Error is reported as StatusUnavailable.
	Heartbeat(ctx context.Context, h *Heartbeat) (nextAddr string, err error)
	// Deregister removes an engine, and returns once enough other processes have acknowledged the removal.
	Deregister(ctx context.Context, id string) error
	// ReplaceConfig submits a configuration that is based on a revision. It fails with StatusStaleRevision if that revision is
	// not the newest.
	ReplaceConfig(ctx context.Context, baseRevision uint64, text []byte) Result
	// DescribeConfig returns the newest configuration.
	DescribeConfig(ctx context.Context) Result
	// ConfigHistory returns the revisions and digests of the accepted configurations, as JSON.
	ConfigHistory(ctx context.Context) Result
	// RemoveMember removes a permanently failed replica from the membership, by its node name.
	RemoveMember(ctx context.Context, name string) Result
	// Status returns the state of this process, which the server encodes as JSON.
	Status() any
	// Engines returns the engines that this process knows, which the server encodes as JSON.
	Engines() any
	// Explain returns how a request with this head would be routed, which the server encodes as JSON. It sends nothing to
	// engines.
	Explain(r *http.Request) any
}
