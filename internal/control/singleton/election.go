package singleton

import (
	"log/slog"
	"net/netip"
	"time"

	"notchhinge/internal/control/lease"
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/limits"
)

// grant grants a lease to the holder, if this voter's state has the same holder and the same voters as the request.
//
// These conditions keep a lease of the old voters from overlapping with one of the new voters. A majority of the old voters
// accepts a change of members, and each of them then rejects renewals until the change is decided, and renewals for the old
// voters after that. A new voter grants no lease for one LeaseDuration. When a majority of the new voters can grant a lease, the
// last lease of the old voters has therefore expired, even if the old holder and some old voters are partitioned and have not
// learned of the change.
func (c *Controller) grant(request lease.Renewal) bool {
	s := &c.state
	switch {
	case s.FencingToken != request.FencingToken || s.LeaseHolder != request.Holder || !c.isVoter() || request.VotersHash != lease.HashVoters(s.Members):
		return false
	case c.cfg.MembershipPending != nil && c.cfg.MembershipPending():
		return false
	}
	return c.grants.Grant(c.now, request.Holder)
}

// permits reports whether this voter permits a candidacy: the candidate must know the newest holder, and no lease that this voter
// granted to another holder may still be valid.
func (c *Controller) permits(request lease.Candidacy) bool {
	return c.state.FencingToken == request.FencingToken && !c.grants.Blocks(c.now, request.Candidate)
}

// callTimeout reports whether this voter may call the platform, and the timeout of the call. The call must arrive before another
// voter can hold the lease.
func (c *Controller) callTimeout() (timeout time.Duration, ok bool) {
	timeout = c.holder.Remaining(c.now) - limits.LeaseCallReserve
	return timeout, timeout > 0 && c.state.LeaseHolder == c.cfg.Self.ID
}

// candidate is an attempt of this voter to become the holder.
type candidate struct {
	controller *Controller
	token      uint64 // fencing token of the previous holder
	entry      []byte
}

// campaign proposes this voter as the holder, if there is no active holder and a majority of the voters permits it. It gives a new
// holder one LeaseDuration to obtain its lease. Otherwise two candidates could replace each other repeatedly and neither would
// obtain a lease.
//
// The voters are polled before the proposal, and the acceptors do not check it. The next proposer must complete a value that an
// acceptor has accepted; a value that other acceptors must reject would block the log. The election alone is thus not safe: only
// the leases prevent two holders from acting at the same time.
func (c *Controller) campaign() {
	self := &c.cfg.Self
	if c.onComplete != nil || c.grants.Blocks(c.now, self.ID) {
		return
	}
	idle := min(c.grants.Idle(c.now), c.now-c.holderSeenAt)
	if c.state.LeaseHolder != 0 && idle < c.cfg.LeaseDuration+c.cfg.CandidacyDelay {
		return
	}
	entry := replog.Entry{Nonce: c.rnd.Uint64(), Payload: replog.LeaseGrant{HolderID: self.ID, HolderName: self.Name}}
	a := candidate{controller: c, token: c.state.FencingToken, entry: entry.Encode()}
	request := lease.Candidacy{FencingToken: a.token, Candidate: self.ID}
	c.startPoll(pollRequest{rpc.KindCheckCandidacy, request.Encode(), c.permits(request)}, a.propose)
}

// propose proposes the candidate. It is called once a majority permits the candidacy.
func (a *candidate) propose() {
	if a.controller.onComplete == nil && a.controller.state.FencingToken == a.token {
		a.controller.propose(a.next, a.finish)
	}
}

// next returns the entry to propose, or nil once the log has a new holder.
func (a *candidate) next(s *replog.State) []byte {
	if s.FencingToken != a.token || s.LeaseHolder == a.controller.cfg.Self.ID {
		return nil
	}
	return a.entry
}

// finish requests the first lease if this voter is now the holder.
func (a *candidate) finish(error) {
	if a.controller.state.LeaseHolder == a.controller.cfg.Self.ID {
		a.controller.log(slog.LevelInfo, "elected lease holder", "fencing_token", a.controller.state.FencingToken)
		a.controller.renew()
	}
}

// renew requests a lease that starts now from all voters.
func (c *Controller) renew() {
	requestedAt := c.now
	request := lease.Renewal{FencingToken: c.state.FencingToken, Holder: c.cfg.Self.ID, VotersHash: lease.HashVoters(c.state.Members)}
	c.startPoll(pollRequest{rpc.KindRenewLease, request.Encode(), c.grant(request)}, func() { c.holder.Extend(requestedAt) })
}

// pollRequest is a request to all voters.
type pollRequest struct {
	kind       rpc.Kind
	body       []byte
	selfGrants bool // whether this voter itself grants the request
}

// poll counts the voters that grant a pollRequest.
type poll struct {
	granted, quorum int
	onMajority      func()
}

// startPoll sends a request to all voters and calls onMajority once a majority has granted it. Responses to earlier polls are
// ignored from now on.
func (c *Controller) startPoll(request pollRequest, onMajority func()) {
	members := c.state.Members
	p := &poll{quorum: paxos.Majority(len(members)), onMajority: onMajority}
	c.poll = p
	for i := range members {
		m := &members[i]
		if m.ID == c.cfg.Self.ID {
			if request.selfGrants {
				c.countGrant(p)
			}
			continue
		}
		if to, err := netip.ParseAddrPort(m.Addr); err == nil {
			c.call(to, request.kind, request.body, func(body []byte, err error) {
				if err == nil && lease.IsGranted(body) {
					c.countGrant(p)
				}
			})
		}
	}
}

// countGrant counts a voter's grant and calls onMajority when the majority is reached.
func (c *Controller) countGrant(p *poll) {
	if p.granted++; p.granted == p.quorum && c.poll == p {
		p.onMajority()
	}
}
