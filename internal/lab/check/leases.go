package check

import (
	"fmt"
	"slices"
	"time"

	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
)

// Members are replaced while the lease holder and some members are partitioned from the others. Two holders must never act at the
// same time, and none may act after its successor has.

// Rules of leases that a walk breaks on purpose; each must be detected.
const (
	brokenRenewal        = "a renewal does not name its members"
	brokenPendingMembers = "a lease is granted while a members change is pending"
	brokenNewVoter       = "a new member grants a lease at once"
)

var brokenLeases = []string{brokenRenewal, brokenPendingMembers, brokenNewVoter}

// fencedPlatform accepts every call of a lease holder, and checks that no two hosts act as holders at the same time.
type fencedPlatform struct {
	calls   int
	highest uint64         // fencing token
	senders map[uint64]int // the host that has sent each fencing token
}

// accept handles a call, and returns the violation that it shows; "" = none.
func (p *fencedPlatform) accept(host int, token uint64) (violation string) {
	p.calls++
	if p.senders == nil {
		p.senders = map[uint64]int{}
	}
	if other, known := p.senders[token]; known && other != host {
		violation = fmt.Sprintf("replicas %d and %d have both sent fencing token %d", other, host, token)
	} else if token < p.highest {
		violation = fmt.Sprintf("replica %d sent fencing token %d after the platform had seen %d", host, token, p.highest)
	}
	p.senders[token] = host
	p.highest = max(p.highest, token)
	return violation
}

// replaceMember has a random host propose a change that replaces a random member by a host that has caught up. It returns the
// bit set of the lease holder and the removed member.
func (s *replicaCluster) replaceMember() (hostSet int) {
	state := s.newestState()
	var added *host
	for _, h := range s.hosts {
		if state.Member(h.id) == nil && h.latestState().NextIndex == state.NextIndex {
			added = h
		}
	}
	removed := state.Members[s.draw(len(state.Members))]
	for _, h := range s.hosts {
		if h.id == state.LeaseHolder || h.id == removed.ID {
			hostSet |= 1 << h.index
		}
	}
	if added == nil {
		return hostSet
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
	s.hosts[s.draw(len(s.hosts))].handle(replica.Propose{Deadline: s.now + requestTimeout, Next: next})
	return hostSet
}

// leaseWalk runs a walk of replaced members and partitions, and returns the first violation.
func leaseWalk(draw func(n int) int, brokenRule string) string {
	s := newReplicaCluster(draw, 3+2*draw(2), 2, brokenRule)
	s.run(12 * time.Second) // until there is a lease holder
	for range 10 {
		side := s.replaceMember()
		if draw(3) > 0 {
			s.run(time.Duration(draw(12000)) * time.Microsecond)
			for range draw(3) {
				side |= 1 << draw(len(s.hosts))
			}
			s.partition(side, max(draw(6)-3, 0), time.Duration(2+draw(19))*time.Second)
		}
		if h := s.hosts[draw(len(s.hosts))]; draw(6) == 0 && h.isUp {
			h.kill(time.Duration(50+draw(3000)) * time.Millisecond)
		}
		s.run(time.Duration(draw(9000)) * time.Millisecond)
	}
	if s.heal(); s.violation == "" {
		calls := s.platform.calls
		if s.run(12 * time.Second); s.platform.calls == calls {
			s.violate("12 s after the last fault no lease holder calls the platform")
		}
	}
	return s.violation
}

// randomLeases runs a walk of each seed, and returns the first violation with its seed.
func randomLeases(seeds int, brokenRule string) (violation string, seed int) {
	for seed := range seeds {
		if violation := leaseWalk(draws(seed), brokenRule); violation != "" {
			return violation, seed
		}
	}
	return "", seeds
}

// brokenReplicaWalks returns the walks that break a rule of replicas or leases.
func brokenReplicaWalks() []Walk {
	var walks []Walk
	add := func(walk func(int, string) (string, int), rules []string) {
		for _, rule := range rules {
			walks = append(walks, Walk{rule, func(n int) (string, int) { return walk(n, rule) }})
		}
	}
	add(randomOperatorWalks, brokenOperators)
	add(randomLeases, brokenLeases)
	return walks
}
