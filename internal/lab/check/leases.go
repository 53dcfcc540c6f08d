package check

import (
	"fmt"
	"slices"
	"time"

	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
)

// Members are replaced while the lease holder is partitioned with some of them. Two holders must never act at once, nor one after
// another has followed it.

// Rules of leases that are broken on purpose; each must be found out.
const (
	brokenRenewal        = "a renewal does not say among which members"
	brokenPendingMembers = "a lease is granted while members may be others by now"
	brokenNewVoter       = "a new member grants a lease at once"
)

var brokenLeases = []string{brokenRenewal, brokenPendingMembers, brokenNewVoter}

// platform accepts every call of a holder, and checks that no two act at once.
type platform struct {
	calls   int
	highest uint64         // fencing token
	senders map[uint64]int // the host that has sent a fencing token
}

// accept takes in a call, and returns what is wrong with it.
func (p *platform) accept(host int, token uint64) (fault string) {
	p.calls++
	if p.senders == nil {
		p.senders = map[uint64]int{}
	}
	if other, known := p.senders[token]; known && other != host {
		fault = fmt.Sprintf("replicas %d and %d have both sent fencing token %d", other, host, token)
	} else if token < p.highest {
		fault = fmt.Sprintf("replica %d sends fencing token %d, and the platform has seen %d", host, token, p.highest)
	}
	p.senders[token] = host
	p.highest = max(p.highest, token)
	return fault
}

// replaceMember has a member that runs replaced by a machine that has caught up, in one change that one of the hosts proposes. It
// returns the lease holder and the member that is removed, as a set of hosts.
func (s *site) replaceMember() (side int) {
	now := s.newest()
	var added *host
	for _, h := range s.hosts {
		if now.Member(h.id) == nil && h.known().NextIndex == now.NextIndex {
			added = h
		}
	}
	removed := now.Members[s.draw(len(now.Members))]
	for _, h := range s.hosts {
		if h.id == now.LeaseHolder || h.id == removed.ID {
			side |= 1 << h.i
		}
	}
	if added == nil {
		return side
	}
	next := func(x *replog.State) []byte {
		nonce, members := uint64(s.draw(1<<30)), slices.Clone(x.Members)
		at := slices.IndexFunc(members, func(m replog.Member) bool { return m.ID == removed.ID })
		if at < 0 || x.Member(added.id) != nil {
			return nil
		}
		members[at] = added.member()
		return replog.Entry{Nonce: nonce, Payload: replog.MembersChange{Members: members}}.Encode()
	}
	s.hosts[s.draw(len(s.hosts))].take(replica.Propose{Deadline: s.now + within, Next: next})
	return side
}

// leaseWalk plays a walk of replaced members and partitions, and returns the first fault.
func leaseWalk(draw func(n int) int, broken string) string {
	s := newSite(draw, 3+2*draw(2), 2, broken)
	s.run(12 * time.Second) // there is a holder
	for range 10 {
		side := s.replaceMember()
		if draw(3) > 0 {
			s.run(time.Duration(draw(12000)) * time.Microsecond)
			for range draw(3) {
				side |= 1 << draw(len(s.hosts))
			}
			s.cut(side, max(draw(6)-3, 0), time.Duration(2+draw(19))*time.Second)
		}
		if h := s.hosts[draw(len(s.hosts))]; draw(6) == 0 && h.up {
			h.kill(time.Duration(50+draw(3000)) * time.Millisecond)
		}
		s.run(time.Duration(draw(9000)) * time.Millisecond)
	}
	if s.heal(); s.found == "" {
		calls := s.platform.calls
		if s.run(12 * time.Second); s.platform.calls == calls {
			s.breaks("12 s after the last fault nobody calls the platform")
		}
	}
	return s.found
}

// leases plays so many walks, and returns the first fault with its seed.
func leases(walks int, broken string) (found string, seed int) {
	for seed := range walks {
		if found := leaseWalk(draws(seed), broken); found != "" {
			return found, seed
		}
	}
	return "", walks
}

// brokenSites are the walks of all that is broken on purpose at a site.
func brokenSites() []Walk {
	var walks []Walk
	add := func(walk func(int, string) (string, int), rules []string) {
		for _, rule := range rules {
			walks = append(walks, Walk{rule, func(n int) (string, int) { return walk(n, rule) }})
		}
	}
	add(randomOperatorWalks, brokenOperators)
	add(leases, brokenLeases)
	return walks
}
