package singleton

import (
	"fmt"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/lease"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/control/usage"
)

// callHandler answers a call of another process.
type callHandler func(c *Controller, body []byte) ([]byte, error)

// callHandlers answer the calls that singleton roles own.
var callHandlers = rpc.Handlers[callHandler]{
	rpc.KindUsageReport:    (*Controller).answerReport,
	rpc.KindUsageTable:     (*Controller).answerTable,
	rpc.KindRenewLease:     (*Controller).answerRenewal,
	rpc.KindCheckCandidacy: (*Controller).answerCandidacy,
}

// answer answers a call of another process.
func (c *Controller) answer(kind rpc.Kind, body []byte) ([]byte, error) {
	handle, err := callHandlers.Lookup(kind)
	if err != nil {
		return nil, fmt.Errorf("singleton: %w", err)
	}
	return handle(c, body)
}

// answerTable answers another voter with the counters of a range of windows.
func (c *Controller) answerTable(body []byte) ([]byte, error) {
	r := encoding.Reader{Buf: body}
	from, to := r.Uvarint(), r.Uvarint()
	if err := r.Finish(); err != nil {
		return nil, err
	}
	return c.table.Encode(from, to), nil
}

// answerRenewal grants the holder its lease, or does not.
func (c *Controller) answerRenewal(body []byte) ([]byte, error) {
	q, err := lease.DecodeRenewal(body, lease.HashVoters(c.state.Members))
	if err != nil {
		return nil, err
	}
	return lease.EncodeResponse(c.grant(q)), nil
}

// answerCandidacy says whether a voter may stand for the lease.
func (c *Controller) answerCandidacy(body []byte) ([]byte, error) {
	q, err := lease.DecodeCandidacy(body)
	if err != nil {
		return nil, err
	}
	return lease.EncodeResponse(c.permits(q)), nil
}

// answerReport takes in a router's report.
func (c *Controller) answerReport(body []byte) ([]byte, error) {
	p, err := usage.DecodeReport(body)
	if err != nil {
		return nil, err
	}
	c.table.Record(c.now, p)
	ack := usage.Ack{TableID: c.cfg.Incarnation, Routers: uint64(c.liveRouters())}
	return ack.Encode(), nil
}

// liveRouters counts the incarnations of routers that share the retry budget. Only the holder counts them, and only once it
// has heard from all that may have used their share within a window, which holds at once for the first holder ever. 0 = not known.
func (c *Controller) liveRouters() int {
	if _, ok := c.callTimeout(); !ok || c.now-c.holderSeenAt < c.cfg.RouterWindow && !c.isFirstHolder {
		return 0
	}
	return c.table.LiveRouters(c.now, c.cfg.RouterWindow)
}
