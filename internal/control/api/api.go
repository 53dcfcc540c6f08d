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

// EngineStatus is what an engine says about its readiness.
type EngineStatus string

// The states of an engine.
const (
	EngineReady    EngineStatus = "ready"
	EngineDraining EngineStatus = "draining"
)

// Result is the outcome of an operator's call.
type Result struct {
	Status   Status
	Message  string // why it failed
	Revision uint64 // the newest revision that is known
	Body     []byte // the configuration as submitted, or the history as JSON
}

// Err is the failure of a call as an *Error; nil if it succeeded.
func (r *Result) Err() error {
	if r.Status == StatusOK {
		return nil
	}
	return &Error{r.Status, r.Message}
}

// Handler executes calls. Methods with a context may block until it ends, and are safe for concurrent use.
type Handler interface {
	// RedirectTarget is the control address of a process that has the control state, if this one does not. It is empty where
	// this process has it, or knows none that does.
	RedirectTarget() string
	// Heartbeat returns the address for the engine's further heartbeats; "" = any. It returns once enough other processes
	// know of the engine's state. An error that is no *Error is reported as StatusUnavailable.
	Heartbeat(ctx context.Context, h *Heartbeat) (home string, err error)
	// Deregister removes an engine.
	Deregister(ctx context.Context, id string) error
	// ReplaceConfig submits a configuration that is based on a revision; it fails with StatusStaleRevision if another one is the
	// newest.
	ReplaceConfig(ctx context.Context, baseRevision uint64, text []byte) Result
	// DescribeConfig returns the newest configuration.
	DescribeConfig(ctx context.Context) Result
	// ConfigHistory returns revisions and digests of the accepted configurations as JSON.
	ConfigHistory(ctx context.Context) Result
	// RemoveMember removes a replica that is gone for good from the membership, by its node name.
	RemoveMember(ctx context.Context, name string) Result
	// Status returns the state of this process, to be written as JSON.
	Status() any
	// Engines returns the engines that this process knows, to be written as JSON.
	Engines() any
	// Explain returns how a request with this head would be routed, to be written as JSON. Nothing is sent.
	Explain(r *http.Request) any
}
