package replica

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/limits"
)

// Who votes is a value of the chain, agreed by a majority of those that voted before it. The core has 2f+1 voters (Least), f
// being the losses that are to be borne, whatever comes and goes: a keeper beyond that is a standby, which follows the state
// and has no vote. A standby takes the place of a voter that is silent, or that leaves in order and hands its place over. So a
// change never lowers the number of voters, and one that was only silent comes back as a standby.
//
// A change is finished once a place after its own is chosen: the new voters vote on that, and each votes only on a place when
// its disk has all before. Until then nothing that depends on the change is said to be done: who is taken in has no answer,
// who leaves does not end, the operator has no acknowledgement. Should the proposer die in between, any voter that knows of
// the change finishes it.

// membership is what a keeper knows of who could vote and who does not answer.
type membership struct {
	silent     map[netip.AddrPort]silence // who does not answer
	candidates []candidate                // keepers without a vote that have asked for one lately
	watching   bool                       // silent voters are asked again and again, for the candidates' sake
	settled    uint64                     // the place after the newest change of members that is known here; 0 = none is
	leaving    bool                       // the process ends: it wants no vote any more
}

// silence is of a keeper that does not answer.
type silence struct {
	since time.Duration // the first call that it missed was sent
	asked time.Duration // those that answer have said last that it does not answer them either; 0 = they have not
}

// candidate is a keeper that wants a vote, and when it last said so.
type candidate struct {
	replog.Member
	at time.Duration
}

var errFull = errors.New("no voter is silent whose place could be had")

// heard notes what a call of another keeper has come to: who does not answer is silent from the call's sending on.
func (n *Replica) heard(from netip.AddrPort, sent time.Duration, err error) {
	if err == nil {
		delete(n.members.silent, from)
		return
	}
	silent := n.members.silent
	if _, known := silent[from]; !known {
		silent[from] = silence{since: sent}
	}
	if len(silent) > limits.MaxUnresponsiveReplicas { // of those that were replaced long ago
		voters := map[netip.AddrPort]bool{}
		for i := range n.state.Members {
			if to, ok := addr(&n.state.Members[i]); ok {
				voters[to] = true
			}
		}
		maps.DeleteFunc(silent, func(a netip.AddrPort, _ silence) bool { return !voters[a] })
	}
}

// longestSilent finds the voter that has been silent for longest, and at least for so long; -1 = there is none. With alike it
// is one that others have asked as well, lately.
func (n *Replica) longestSilent(s *replog.State, least time.Duration, alike bool) int {
	found, since := -1, n.now-least
	for i := range s.Members {
		to, ok := addr(&s.Members[i])
		x, silent := n.members.silent[to]
		if alike && (x.asked == 0 || n.now-x.asked > limits.UnreachableReportTTL) {
			continue
		}
		if ok && silent && x.since <= since && s.Members[i].ID != n.Self.ID {
			found, since = i, x.since-1
		}
	}
	return found
}

// doubt asks the voters that answer whether one answers them that is silent here, and notes that it does not answer any of them. Two keepers may
// be cut off from each other alone: who is heard by another has its vote for good reason.
func (n *Replica) doubt(then func()) {
	at := n.longestSilent(&n.state, limits.VoterReplaceDelay, false)
	if at < 0 {
		then()
		return
	}
	whom, _ := addr(&n.state.Members[at])
	left, heard := 1, false
	end := func() {
		if left--; left > 0 {
			return
		}
		if x, silent := n.members.silent[whom]; heard {
			delete(n.members.silent, whom)
		} else if silent {
			n.members.silent[whom] = silence{x.since, n.now}
		}
		then()
	}
	for i := range n.state.Members {
		m := &n.state.Members[i]
		to, ok := addr(m)
		if _, silent := n.members.silent[to]; !ok || silent || m.ID == n.Self.ID {
			continue
		}
		left++
		n.call(to, CallReachable, []byte(whom.String()), 2*limits.ReplicaCallTimeout, func(body []byte, err error) {
			heard = heard || err == nil && len(body) == 1 && body[0] == 1
			end()
		})
	}
	end()
}

// hears answers whether another keeper answers here.
func (n *Replica) hears(body []byte, reply func([]byte, error)) {
	to, err := netip.ParseAddrPort(string(body))
	if err != nil {
		reply(nil, err)
		return
	}
	n.who(to, func(_ identity, ok bool) {
		said := byte(0)
		if ok {
			said = 1
		}
		reply([]byte{said}, nil)
	})
}

// seat returns the voters with one more among them: in the place of the one of its name, whose disk is gone; as a further one
// where there are fewer than are wanted; or in the place of who has been silent for longest. Nothing = it has its vote.
func (n *Replica) seat(s *replog.State, m replog.Member) ([]replog.Member, error) {
	if s.Member(m.ID) != nil || m.ID == 0 {
		return nil, nil
	}
	voters := slices.Clone(s.Members)
	at := slices.IndexFunc(voters, func(x replog.Member) bool { return x.Name == m.Name })
	switch {
	case at >= 0:
		n.log.Info("taking a member in", "name", m.Name, "member", member(m.ID), "instead_of_its_former_disk", true)
	case len(voters) < n.MinVoters:
		n.log.Info("taking a member in", "name", m.Name, "member", member(m.ID), "members", len(voters)+1)
		return append(voters, m), nil
	default:
		if at = n.longestSilent(s, limits.VoterReplaceDelay, true); at < 0 {
			return nil, errFull
		}
		to, _ := addr(&voters[at])
		n.log.Info("taking a member in", "name", m.Name, "member", member(m.ID), "instead_of", voters[at].Name,
			"silent", (n.now - n.members.silent[to].since).String())
	}
	voters[at] = m
	return voters, nil
}

// change has other voters agreed, as next names them upon the newest state (nothing = they are that already), and is done once
// the change is finished.
func (n *Replica) change(next func(*replog.State) ([]replog.Member, error), until time.Duration, done func(error)) {
	var fails error
	n.propose(func(s *replog.State) []byte {
		voters, err := next(s)
		if fails = err; err != nil || voters == nil {
			return nil
		}
		return replog.Entry{Nonce: n.rnd.Uint64(), Payload: replog.MembersChange{Members: voters}}.Encode()
	}, until, func(err error) {
		switch {
		case err != nil:
			done(err)
		case fails != nil:
			done(fails)
		default:
			n.finishChange(until, done)
		}
	})
}

// finishChange has a place chosen after the newest change of members, unless one is.
func (n *Replica) finishChange(until time.Duration, done func(error)) {
	at := n.members.settled
	n.propose(func(s *replog.State) []byte {
		if s.NextIndex > at {
			return nil
		}
		return replog.Entry{Nonce: n.rnd.Uint64(), Payload: replog.Noop{}}.Encode()
	}, until, done)
}

// votersChanged notes that the newest place that is known here may be a change of members: whoever had it agreed may be gone,
// so each voter sees after a while whether it is finished.
func (n *Replica) votersChanged() {
	at := n.state.NextIndex
	if n.members.settled = at; at <= 1 { // the founders, who have all accepted it
		return
	}
	n.after(200*time.Millisecond+time.Duration(n.rnd.Int64N(int64(400*time.Millisecond))), func() {
		if n.state.NextIndex == at && n.state.Member(n.Self.ID) != nil {
			n.finishChange(n.now+settleWithin, func(error) {})
		}
	})
}

// readVoters finds out at the start whether the newest place was a change of members.
func (n *Replica) readVoters() {
	if n.state.NextIndex == 0 {
		return
	}
	if value, ok := n.ChosenValue(n.state.NextIndex - 1); ok {
		if !isMembersChange(value) {
			return
		}
	}
	n.votersChanged() // with a snapshot alone it may have been one
}

// MembershipPending tells whether this keeper has accepted other members for the place that is open: they may have been chosen, so that
// what the members that it knows of grant may count no more.
func (n *Replica) MembershipPending() bool {
	v := &n.acc.State
	if v.Index != n.state.NextIndex || v.Accepted == (paxos.ProposalNumber{}) {
		return false
	}
	return isMembersChange(v.Value)
}

// isMembersChange reports whether a value of the log is a change of members.
func isMembersChange(value []byte) bool {
	e, err := replog.Decode(value)
	_, ok := e.Payload.(replog.MembersChange)
	return err == nil && ok
}

// accepted sees to it that a change of members that was accepted here is decided, should its proposer be gone.
func (n *Replica) accepted(place uint64) {
	if !n.MembershipPending() {
		return
	}
	n.after(300*time.Millisecond+time.Duration(n.rnd.Int64N(int64(400*time.Millisecond))), func() {
		if n.state.NextIndex != place || !n.MembershipPending() {
			return
		}
		nothing := replog.Entry{Nonce: n.rnd.Uint64(), Payload: replog.Noop{}}.Encode()
		n.propose(func(s *replog.State) []byte {
			if s.NextIndex > place {
				return nil
			}
			return nothing
		}, n.now+settleWithin, func(error) {})
	})
}

// probe asks every voter who it is, so that it is known who is silent, and the others of who is; it goes on once all have answered or
// have not.
func (n *Replica) probe(then func()) {
	left := 1
	heard := func(identity, bool) {
		if left--; left == 0 {
			n.doubt(then)
		}
	}
	for i := range n.state.Members {
		if to, ok := addr(&n.state.Members[i]); ok && n.state.Members[i].ID != n.Self.ID {
			left++
			n.who(to, heard)
		}
	}
	heard(identity{}, true)
}

// proposer is the keeper that has changes settled just now, if that is another and who asks to be taken in has called here
// itself. Where changes are made all the time only that one can have a further one settled, between two of them: another's
// ballot for a few bytes is in the way of its large ones, and loses against them.
func (n *Replica) proposer(i *identity, from netip.Addr) (to netip.AddrPort, ok bool) {
	if own, ok := addr(&i.Member); !ok || own.Addr() != from || n.now-n.toldAt > limits.ReplicaCallTimeout || n.teller == from || len(n.queue) > 0 {
		return to, false
	}
	all := n.Peers()
	at := slices.IndexFunc(all, func(a netip.AddrPort) bool { return a.Addr() == n.teller })
	if at < 0 {
		return to, false
	}
	return all[at], true
}

// admit has a keeper taken in that asks for a vote, if there is a place for it, or notes it as a candidate for the next that
// becomes free. Who asks has caught up but for a few places, so that a majority does not come to depend on who knows nothing.
func (n *Replica) admit(i identity, done func(error)) {
	if n.state.Member(n.Self.ID) == nil || i.next+limits.MaxJoinLag < n.state.NextIndex {
		done(errBehind)
		return
	}
	if n.state.Member(i.ID) == nil {
		c := &n.members.candidates
		*c = slices.DeleteFunc(*c, func(x candidate) bool { return x.ID == i.ID || x.Name == i.Name || n.now-x.at > limits.JoinRequestTTL })
		if *c = append(*c, candidate{i.Member, n.now}); len(*c) > limits.MaxJoinRequests {
			*c = (*c)[1:]
		}
	}
	take := func(otherwise func()) {
		n.change(func(s *replog.State) ([]replog.Member, error) { return n.seat(s, i.Member) }, n.now+settleWithin, func(err error) {
			if errors.Is(err, errFull) {
				otherwise()
				return
			}
			done(err)
		})
	}
	take(func() {
		n.probe(func() {
			take(func() {
				done(errFull)
				n.watch()
			})
		})
	})
}

// watch asks silent voters again and again while somebody could have the place of one.
func (n *Replica) watch() {
	m := &n.members
	if m.watching {
		return
	}
	m.watching = true
	var look func()
	end := func() { m.watching = false }
	look = func() {
		m.candidates = slices.DeleteFunc(m.candidates, func(x candidate) bool {
			return n.now-x.at > limits.JoinRequestTTL || n.state.Member(x.ID) != nil
		})
		if len(m.candidates) == 0 || n.state.Member(n.Self.ID) == nil || n.longestSilent(&n.state, 0, false) < 0 {
			end()
			return
		}
		n.probe(func() {
			if len(m.candidates) == 0 || n.longestSilent(&n.state, limits.VoterReplaceDelay, true) < 0 {
				n.after(limits.VoterCheckInterval, look)
				return
			}
			first := m.candidates[0].Member
			n.change(func(s *replog.State) ([]replog.Member, error) { return n.seat(s, first) }, n.now+settleWithin, func(error) {
				n.after(limits.VoterCheckInterval, look)
			})
		})
	}
	look()
}

// trim takes out who has been silent for long where there are more voters than are wanted, as a core of an earlier program may
// have: each that is gone for good makes a majority harder to have.
func (n *Replica) trim(then func()) {
	if len(n.state.Members) <= n.MinVoters || n.state.Member(n.Self.ID) == nil {
		then()
		return
	}
	n.probe(func() {
		n.change(func(s *replog.State) ([]replog.Member, error) {
			at := n.longestSilent(s, limits.SurplusVoterRemovalDelay, true)
			if at < 0 || len(s.Members) <= n.MinVoters {
				return nil, nil
			}
			n.log.Info("taking a member out", "name", s.Members[at].Name, "left", len(s.Members)-1)
			return slices.Delete(slices.Clone(s.Members), at, at+1), nil
		}, n.now+settleWithin, func(error) { then() })
	})
}

// dismiss takes members of a name out that are gone for good. Those that are left must still be as many as the losses that are
// to be borne want. Who runs is a standby then, or is taken in again where there are fewer. The same order again, to any
// keeper, is done: the chain keeps the names of those that had a vote.
func (n *Replica) dismiss(e RemoveMember) {
	if n.state.Member(n.Self.ID) == nil {
		n.do(OperatorAnswer{e.Of, api.Result{Status: http.StatusServiceUnavailable, Message: "this keeper is no member itself"}})
		return
	}
	n.settle(e.Until, false, func(err error) {
		if err != nil {
			n.answer(e.Of, err, nil)
			return
		}
		var res api.Result
		n.change(func(s *replog.State) ([]replog.Member, error) {
			left := slices.DeleteFunc(slices.Clone(s.Members), func(m replog.Member) bool { return m.Name == e.Name })
			switch {
			case len(left) == len(s.Members) && slices.Contains(s.FormerMembers, e.Name):
				res = api.Result{Status: http.StatusOK, Revision: s.Revision}
			case len(left) == len(s.Members):
				res = api.Result{Status: http.StatusNotFound, Message: fmt.Sprintf("no member is named %q", e.Name)}
			case len(left) < n.MinVoters:
				res = api.Result{Status: http.StatusConflict, Message: fmt.Sprintf("%d members would be left; %d are wanted", len(left), n.MinVoters)}
			default:
				n.log.Info("taking a member out", "name", e.Name, "left", len(left))
				return left, nil
			}
			return nil, nil
		}, e.Until, func(err error) { n.answer(e.Of, err, func() api.Result { return res }) })
	})
}

// leave hands over before the process ends: its place to a standby, if there is one, and what it knows to the voters that are
// left. It is over at the latest when its time is.
func (n *Replica) leave(e Leave) {
	over := false
	end := func() {
		if !over {
			over = true
			n.do(Left{e.Of})
		}
	}
	n.timers.Add(max(e.Until, n.now+1), end)
	n.members.leaving = true
	var look func()
	again := func() { n.after(50*time.Millisecond, look) }
	look = func() {
		switch {
		case over:
			return
		case n.state.NextIndex == 0 || n.state.Member(n.Self.ID) == nil:
			end()
			return
		}
		var standby *replog.Member
		left, voters, behind := 1, 0, []uint64(nil)
		asked := map[netip.AddrPort]bool{}
		heard := func(i identity, ok bool) {
			if ok {
				switch {
				case n.state.Member(i.ID) == nil:
					if i.next+limits.MaxJoinLag >= n.state.NextIndex && i.next > 0 {
						standby = &i.Member
					}
				case i.next < n.state.NextIndex:
					behind = append(behind, i.ID)
				default:
					voters++
				}
			}
			if left--; left > 0 || over {
				return
			}
			switch {
			case standby != nil:
				n.handOver(*standby, e.Until, func(err error) {
					if err != nil {
						again()
						return
					}
					end()
				})
			case len(behind) == 0 && voters >= paxos.Majority(len(n.state.Members)):
				end()
			default:
				for _, id := range behind {
					n.bring(id, n.state.Members)
				}
				again()
			}
		}
		ask := func(to netip.AddrPort) {
			if !asked[to] {
				asked[to] = true
				left++
				n.who(to, heard)
			}
		}
		for i := range n.state.Members {
			if to, ok := addr(&n.state.Members[i]); ok && n.state.Members[i].ID != n.Self.ID {
				ask(to)
			}
		}
		for _, to := range n.Peers() {
			ask(to)
		}
		heard(identity{}, false)
	}
	look()
}

// handOver has another keeper vote in this one's place.
func (n *Replica) handOver(to replog.Member, until time.Duration, done func(error)) {
	n.change(func(s *replog.State) ([]replog.Member, error) {
		at := slices.IndexFunc(s.Members, func(m replog.Member) bool { return m.ID == n.Self.ID })
		if at < 0 || s.Member(to.ID) != nil {
			return nil, nil
		}
		n.log.Info("handing its vote over", "to", to.Name, "member", member(to.ID))
		voters := slices.Clone(s.Members)
		voters[at] = to
		return voters, nil
	}, until, done)
}
