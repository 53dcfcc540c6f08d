package replica

import (
	"net/netip"
	"slices"
	"time"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/limits"
)

// leavePollInterval is the delay between two polls during a graceful shutdown.
const leavePollInterval = 50 * time.Millisecond

// leave hands over before the process exits: it gives its vote to a learner if there is one, and otherwise brings the
// remaining voters up to date. It finishes at the deadline at the latest.
func (r *Replica) leave(e Leave) {
	l := &leaving{replica: r, request: e.Request, deadline: e.Deadline}
	r.runAt(e.Deadline, l.finish)
	r.membership.isLeaving = true
	l.poll()
}

// leaving is a graceful shutdown in progress.
type leaving struct {
	replica  *Replica
	request  RequestID
	deadline time.Duration
	finished bool
}

func (l *leaving) finish() {
	if !l.finished {
		l.finished = true
		l.replica.emit(LeaveDone{l.request})
	}
}

func (l *leaving) pollAgain() { l.replica.runAfter(leavePollInterval, l.poll) }

// poll requests the next index of all voters and other known replicas. A replica without a vote finishes immediately.
func (l *leaving) poll() {
	r := l.replica
	if l.finished {
		return
	}
	if r.state.NextIndex == 0 || !r.isVoter() {
		l.finish()
		return
	}
	p := &leavePoll{leaving: l}
	calls := newFanOut(p.conclude)
	polled := map[netip.AddrPort]bool{}
	for _, to := range append(r.peerVoters(), r.Peers()...) {
		if !polled[to] {
			polled[to] = true
			calls.sent()
			r.callIdentity(to, func(i identity, ok bool) {
				if ok {
					p.count(i)
				}
				calls.answered()
			})
		}
	}
	calls.allSent()
}

// leavePoll is one poll during a graceful shutdown.
type leavePoll struct {
	*leaving
	learner  *replog.Member
	upToDate int      // number of other voters that have all entries of this replica
	lagging  []uint64 // other voters that lack some of them
}

// count records an answer. Only a learner that has nearly caught up can receive the vote.
func (p *leavePoll) count(i identity) {
	state := &p.replica.state
	switch {
	case state.Member(i.ID) == nil:
		if i.nextIndex+limits.MaxJoinLag >= state.NextIndex && i.nextIndex > 0 {
			p.learner = &i.Member
		}
	case i.nextIndex < state.NextIndex:
		p.lagging = append(p.lagging, i.ID)
	default:
		p.upToDate++
	}
}

// conclude hands the vote over to a learner, or finishes once a majority has all entries of this replica.
func (p *leavePoll) conclude() {
	r := p.replica
	switch {
	case p.finished:
	case p.learner != nil:
		r.handOver(*p.learner, p.deadline, func(err error) {
			if err != nil {
				p.pollAgain()
				return
			}
			p.finish()
		})
	case len(p.lagging) == 0 && p.upToDate >= paxos.Majority(len(r.state.Members)):
		p.finish()
	default:
		for _, id := range p.lagging {
			r.notifyLagging(id, r.state.Members)
		}
		p.pollAgain()
	}
}

// handOver replaces this replica with a learner in the membership.
func (r *Replica) handOver(learner replog.Member, deadline time.Duration, done func(error)) {
	r.changeMembers(func(s *replog.State) ([]replog.Member, error) {
		i := slices.IndexFunc(s.Members, func(m replog.Member) bool { return m.ID == r.Self.ID })
		if i < 0 || s.Member(learner.ID) != nil {
			return nil, nil
		}
		r.log.Info("handing vote over to learner", "name", learner.Name, "member", formatMemberID(learner.ID))
		voters := slices.Clone(s.Members)
		voters[i] = learner
		return voters, nil
	}, deadline, done)
}
