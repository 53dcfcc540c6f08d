package singleton

import (
	"errors"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/lease"
	"notchhinge/internal/control/usage"
)

var errUnknownCall = errors.New("singleton: unknown kind of call")

// answer answers a call of another process.
func (c *Controller) answer(kind uint8, body []byte) ([]byte, error) {
	switch kind {
	case CallUsageReport:
		return c.answerReport(body)
	case CallUsageTable:
		r := encoding.Reader{Buf: body}
		from, to := r.Uvarint(), r.Uvarint()
		if err := r.Finish(); err != nil {
			return nil, err
		}
		return c.table.Encode(from, to), nil
	case CallRenewLease:
		q, err := lease.DecodeRenewal(body, lease.VoterSet(c.state.Members))
		if err != nil {
			return nil, err
		}
		return lease.EncodeVerdict(c.grant(q)), nil
	case CallCheckCandidacy:
		q, err := lease.DecodeCandidacy(body)
		if err != nil {
			return nil, err
		}
		return lease.EncodeVerdict(c.permits(q)), nil
	}
	return nil, errUnknownCall
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
