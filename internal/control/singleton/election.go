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

// grant grants a lease to the holder, if it is the holder here as well and counts its majority among the members that are
// known here.
//
// A change of members is accepted by a majority of the members before it. Each of these then gives no more grants among them,
// and a new member gives none for the length of a lease. So when a majority of the members after the change can grant a lease,
// the last one that was granted among the members before it has passed, even where the holder and some of them are partitioned
// and know nothing of the change.
func (c *Controller) grant(q lease.Renewal) bool {
	s := &c.state
	switch {
	case s.FencingToken != q.FencingToken || s.LeaseHolder != q.Holder || !c.isVoter() || q.VotersHash != lease.HashVoters(s.Members):
		return false
	case c.cfg.MembershipPending != nil && c.cfg.MembershipPending():
		return false
	}
	return c.grants.Grant(c.now, q.Holder)
}

// permits reports whether no other holder's lease would be in the way of a candidate that follows the newest holder known here.
func (c *Controller) permits(q lease.Candidacy) bool {
	return c.state.FencingToken == q.FencingToken && !c.grants.Blocks(c.now, q.Candidate)
}

// callTimeout reports whether this voter may call the platform, and the time-out of the call: it must have arrived before
// another may act.
func (c *Controller) callTimeout() (timeout time.Duration, ok bool) {
	timeout = c.holder.Remaining(c.now) - limits.LeaseCallReserve
	return timeout, timeout > 0 && c.state.LeaseHolder == c.cfg.Self.ID
}

// candidate is this voter while it tries to become the holder.
type candidate struct {
	c     *Controller
	token uint64 // of the holder that it would follow
	entry []byte
}

// stand has this voter agreed as the holder, if there is none any more and a majority permits it. A holder that was agreed
// lately is given the length of a lease to ask for its own: otherwise two voters that stand in turn would keep each other from it.
//
// The members are asked before the proposal and not by it: a value that one of them has accepted must be completed by the next
// proposer, and one that others must not accept would block the log. Only the leases keep two holders from acting.
func (c *Controller) stand() {
	self := &c.cfg.Self
	if c.onComplete != nil || c.grants.Blocks(c.now, self.ID) {
		return
	}
	idle := min(c.grants.Idle(c.now), c.now-c.holderSeenAt)
	if c.state.LeaseHolder != 0 && idle < c.cfg.LeaseDuration+c.cfg.CandidacyDelay {
		return
	}
	entry := replog.Entry{Nonce: c.rnd.Uint64(), Payload: replog.LeaseGrant{HolderID: self.ID, HolderName: self.Name}}
	a := candidate{c: c, token: c.state.FencingToken, entry: entry.Encode()}
	q := lease.Candidacy{FencingToken: a.token, Candidate: self.ID}
	c.startPoll(pollRequest{rpc.KindCheckCandidacy, q.Encode(), c.permits(q)}, a.propose)
}

// propose proposes the candidate, once a majority permits it.
func (a *candidate) propose() {
	if a.c.onComplete == nil && a.c.state.FencingToken == a.token {
		a.c.propose(a.next, a.finish)
	}
}

// next returns the entry to be chosen, and nil once there is another holder.
func (a *candidate) next(s *replog.State) []byte {
	if s.FencingToken != a.token || s.LeaseHolder == a.c.cfg.Self.ID {
		return nil
	}
	return a.entry
}

// finish asks for the first lease, where this voter has become the holder.
func (a *candidate) finish(error) {
	if a.c.state.LeaseHolder == a.c.cfg.Self.ID {
		a.c.log(slog.LevelInfo, "elected lease holder", "fencing_token", a.c.state.FencingToken)
		a.c.renew()
	}
}

// renew asks the members for a lease that begins now.
func (c *Controller) renew() {
	requestedAt := c.now
	q := lease.Renewal{FencingToken: c.state.FencingToken, Holder: c.cfg.Self.ID, VotersHash: lease.HashVoters(c.state.Members)}
	c.startPoll(pollRequest{rpc.KindRenewLease, q.Encode(), c.grant(q)}, func() { c.holder.Extend(requestedAt) })
}

// pollRequest is a question to all members.
type pollRequest struct {
	kind rpc.Kind
	body []byte
	own  bool // this voter's own verdict
}

// poll is the count of verdicts on a pollRequest.
type poll struct {
	granted, quorum int
	onMajority      func()
}

// startPoll asks the members, and calls onMajority once a majority has granted. Verdicts on an earlier poll do not count any more.
func (c *Controller) startPoll(q pollRequest, onMajority func()) {
	members := c.state.Members
	p := &poll{quorum: paxos.Majority(len(members)), onMajority: onMajority}
	c.poll = p
	for i := range members {
		m := &members[i]
		if m.ID == c.cfg.Self.ID {
			if q.own {
				c.countGrant(p)
			}
			continue
		}
		if to, err := netip.ParseAddrPort(m.Addr); err == nil {
			c.call(to, q.kind, q.body, func(body []byte, err error) {
				if err == nil && lease.IsGranted(body) {
					c.countGrant(p)
				}
			})
		}
	}
}

// countGrant counts a member's grant.
func (c *Controller) countGrant(p *poll) {
	if p.granted++; p.granted == p.quorum && c.poll == p {
		p.onMajority()
	}
}
