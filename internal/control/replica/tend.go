package replica

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/limits"
)

const (
	settleWithin = limits.OperatorCallTimeout
	foundWithin  = 3 * time.Second // one set of founders; and so long only the first of them tries
)

// tending is what a keeper does unasked: it founds the core at the first start, and looks now and then whether others have
// come further.
type tending struct {
	began   time.Duration
	known   int           // founders
	stable  time.Duration // since when they are so many
	founded time.Duration // a founding goes on until then
	looked  bool          // another has said in this life how far it has come
}

func (n *Replica) startTending() {
	n.tend.began, n.tend.stable = n.now, n.now
	n.readVoters()
	n.look()
}

// look waits for the next look, and has it.
func (n *Replica) look() {
	state := &n.state
	switch {
	case state.NextIndex == 0 && n.IsFounder:
		n.after(limits.FoundingInterval, n.gather)
	case state.NextIndex == 0 || !n.tend.looked: // what it has on its disk may be old
		n.after(limits.FoundingInterval, n.lookAtOne)
	case state.Member(n.Self.ID) == nil:
		n.after(limits.JoinRetryInterval, n.lookAtOne)
	default:
		n.after(limits.CatchUpInterval, n.lookAtOne)
	}
}

// who asks a keeper who it is.
func (n *Replica) who(to netip.AddrPort, then func(i identity, ok bool)) {
	n.call(to, CallIdentity, nil, limits.ReplicaCallTimeout, func(body []byte, err error) {
		var i identity
		if err == nil {
			i, err = decodeIdentity(body)
		}
		then(i, err == nil)
	})
}

// lookAtOne looks whether another has come further, and asks it to be taken in where this one is no member.
func (n *Replica) lookAtOne() {
	all := n.Peers()
	if len(all) == 0 {
		n.look()
		return
	}
	to := all[n.rnd.IntN(len(all))]
	if answering := slices.DeleteFunc(slices.Clone(all), func(a netip.AddrPort) bool {
		_, silent := n.members.silent[a]
		return silent
	}); len(answering) > 0 && n.rnd.IntN(4) > 0 {
		to = answering[n.rnd.IntN(len(answering))]
	}
	n.who(to, func(i identity, ok bool) {
		n.tend.looked = n.tend.looked || ok
		then := func() {
			if ok && n.state.NextIndex > 0 && n.state.Member(n.Self.ID) == nil && !n.members.leaving {
				n.join(to)
				return
			}
			n.trim(n.look)
		}
		if ok && i.next > n.state.NextIndex {
			n.catchUp(to, then)
			return
		}
		then()
	})
}

// join asks a keeper to have this one taken in as a member. What it was before, with another disk, it is no more.
func (n *Replica) join(to netip.AddrPort) {
	i := identity{n.Self, n.state.NextIndex, n.IsFounder}
	n.call(to, CallJoin, i.encode(), settleWithin, func(body []byte, err error) {
		if err != nil {
			n.log.Info("not taken in as a member yet", "by", to.String(), "err", err)
		}
		if err == nil && len(body) == 1 && body[0] == joinFull {
			n.after(limits.LearnerRetryInterval, n.lookAtOne)
			return
		}
		n.look()
	})
}

// gather finds out who the founders are.
func (n *Replica) gather() {
	others := n.Peers()
	founders := []replog.Member{n.Self}
	left := len(others)
	if left == 0 {
		n.consider(founders)
		return
	}
	for _, to := range others {
		n.who(to, func(i identity, ok bool) {
			switch {
			case !ok:
			case i.next > 0:
				n.catchUp(to, func() {})
			case i.founder:
				founders = append(founders, i.Member)
			}
			if left--; left == 0 {
				n.consider(founders)
			}
		})
	}
}

// consider has those founders found that are there, if they are as many as are wanted and no further one has come for a while.
func (n *Replica) consider(founders []replog.Member) {
	t := &n.tend
	if len(founders) != t.known {
		t.known, t.stable = len(founders), n.now
	}
	slices.SortFunc(founders, func(x, y replog.Member) int { return cmp.Compare(x.Name, y.Name) })
	first := founders[0].ID == n.Self.ID || n.now-t.began > foundWithin
	if len(founders) < n.MinVoters || n.now-t.stable < limits.FoundingQuietPeriod || !first || n.state.NextIndex > 0 {
		n.look()
		return
	}
	t.founded = n.now + foundWithin
	n.found(founders, 0)
}

// found has the founders agree that they are. All of them must accept, so that no other set can be founded: two sets of
// 2f+1 share a founder as long as there are fewer than 4f+2.
func (n *Replica) found(founders []replog.Member, try int) {
	if n.state.NextIndex > 0 || n.now >= n.tend.founded {
		n.look()
		return
	}
	own := replog.Entry{Nonce: n.rnd.Uint64(), Payload: replog.MembersChange{Members: founders}}.Encode()
	r := paxos.Proposer{Index: 0, OwnValue: own, Quorum: len(founders)}
	for _, m := range founders {
		r.Voters = append(r.Voters, m.ID)
	}
	// What one of them has accepted before may be of another set, whose members must then all accept it.
	r.IsValidValue = func(value []byte) bool {
		e, err := replog.Decode(value)
		change, ok := e.Payload.(replog.MembersChange)
		return err == nil && ok && slices.Equal(change.Members, founders)
	}
	n.attempt(r, founders, try, func(a *attempt) {
		switch a.out {
		case paxos.OutcomeChosen:
			n.log.Info("the core is founded", "members", len(founders))
		case paxos.OutcomeInvalidValue:
			e, err := replog.Decode(a.Value)
			if change, ok := e.Payload.(replog.MembersChange); err == nil && ok && len(change.Members) > 0 {
				founders = change.Members
			}
		}
		n.found(founders, try+1)
	})
}
