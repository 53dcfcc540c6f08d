package singleton

import (
	"fmt"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/lease"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/control/usage"
)

// callHandler handles a call from another process and returns the response.
type callHandler func(c *Controller, body []byte) ([]byte, error)

// callHandlers has a handler for each kind of call that belongs to the singleton roles.
var callHandlers = rpc.Handlers[callHandler]{
	rpc.KindUsageReport:    (*Controller).handleReport,
	rpc.KindUsageTable:     (*Controller).handleTableRequest,
	rpc.KindRenewLease:     (*Controller).handleRenewal,
	rpc.KindCheckCandidacy: (*Controller).handleCandidacy,
}

// handleCall handles a call from another process and returns the response.
func (c *Controller) handleCall(kind rpc.Kind, body []byte) ([]byte, error) {
	handle, err := callHandlers.Lookup(kind)
	if err != nil {
		return nil, fmt.Errorf("singleton: %w", err)
	}
	return handle(c, body)
}

// handleTableRequest returns the counters of a range of windows to the lease holder.
func (c *Controller) handleTableRequest(body []byte) ([]byte, error) {
	r := encoding.Reader{Buf: body}
	from, to := r.Uvarint(), r.Uvarint()
	if err := r.Finish(); err != nil {
		return nil, err
	}
	return c.table.Encode(from, to), nil
}

// handleRenewal grants or rejects the renewal of a lease.
func (c *Controller) handleRenewal(body []byte) ([]byte, error) {
	request, err := lease.DecodeRenewal(body, lease.HashVoters(c.state.Members))
	if err != nil {
		return nil, err
	}
	return lease.EncodeResponse(c.grant(request)), nil
}

// handleCandidacy permits or rejects a voter's candidacy for the lease.
func (c *Controller) handleCandidacy(body []byte) ([]byte, error) {
	request, err := lease.DecodeCandidacy(body)
	if err != nil {
		return nil, err
	}
	return lease.EncodeResponse(c.permits(request)), nil
}

// handleReport records a router's usage report.
func (c *Controller) handleReport(body []byte) ([]byte, error) {
	report, err := usage.DecodeReport(body)
	if err != nil {
		return nil, err
	}
	c.table.Record(c.now, report)
	ack := usage.Ack{TableID: c.cfg.Incarnation, Routers: uint64(c.liveRouters())}
	return ack.Encode(), nil
}

// liveRouters returns the number of router incarnations that share the retry budget, or 0 if it is unknown. Only the holder
// returns a number. It waits for RouterWindow after its election, so that every router that used its share within that time has
// reported. The first holder of the fleet does not wait.
func (c *Controller) liveRouters() int {
	if _, ok := c.callTimeout(); !ok || c.now-c.holderSeenAt < c.cfg.RouterWindow && !c.isFirstHolder {
		return 0
	}
	return c.table.LiveRouters(c.now, c.cfg.RouterWindow)
}
