package singleton

import (
	"fmt"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/lease"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/control/usage"
)

// callHandler returns the response to a call from another process.
type callHandler func(c *Controller, body []byte) ([]byte, error)

// callHandlers has a handler for each kind of call that belongs to the singleton roles.
var callHandlers = rpc.Handlers[callHandler]{
	rpc.KindUsageReport:    (*Controller).answerReport,
	rpc.KindUsageTable:     (*Controller).answerTable,
	rpc.KindRenewLease:     (*Controller).answerRenewal,
	rpc.KindCheckCandidacy: (*Controller).answerCandidacy,
}

// answer returns the response to a call from another process.
func (c *Controller) answer(kind rpc.Kind, body []byte) ([]byte, error) {
	handle, err := callHandlers.Lookup(kind)
	if err != nil {
		return nil, fmt.Errorf("singleton: %w", err)
	}
	return handle(c, body)
}

// answerTable returns the counters of a range of windows to another voter.
func (c *Controller) answerTable(body []byte) ([]byte, error) {
	r := encoding.Reader{Buf: body}
	from, to := r.Uvarint(), r.Uvarint()
	if err := r.Finish(); err != nil {
		return nil, err
	}
	return c.table.Encode(from, to), nil
}

// answerRenewal grants or rejects the renewal of a lease.
func (c *Controller) answerRenewal(body []byte) ([]byte, error) {
	request, err := lease.DecodeRenewal(body, lease.HashVoters(c.state.Members))
	if err != nil {
		return nil, err
	}
	return lease.EncodeResponse(c.grant(request)), nil
}

// answerCandidacy permits or rejects a voter's candidacy for the lease.
func (c *Controller) answerCandidacy(body []byte) ([]byte, error) {
	request, err := lease.DecodeCandidacy(body)
	if err != nil {
		return nil, err
	}
	return lease.EncodeResponse(c.permits(request)), nil
}

// answerReport records a router's usage report.
func (c *Controller) answerReport(body []byte) ([]byte, error) {
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
