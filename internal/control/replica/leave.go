package replica

import (
	"net/netip"
	"slices"
	"time"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/limits"
)

// leavePollInterval is the delay between two polls of a leaving replica.
const leavePollInterval = 50 * time.Millisecond

// leave hands over before the process ends: the vote to a learner, if there is one, or else what this replica knows to the
// voters that are left. It ends at the deadline at the latest.
func (r *Replica) leave(e Leave) {
	l := &leaving{replica: r, request: e.Request, deadline: e.Deadline}
	r.at(e.Deadline, l.finish)
	r.membership.isLeaving = true
	l.poll()
}

// leaving is a graceful shutdown that goes on.
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

func (l *leaving) pollAgain() { l.replica.after(leavePollInterval, l.poll) }

// poll asks all voters and all other replicas that are known how far they have come. A replica without a vote ends at once.
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
	asked := map[netip.AddrPort]bool{}
	for _, to := range append(r.peerVoters(), r.Peers()...) {
		if !asked[to] {
			asked[to] = true
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

// leavePoll is one poll of a leaving replica.
type leavePoll struct {
	*leaving
	learner  *replog.Member
	upToDate int      // other voters that know all that is known here
	lagging  []uint64 // other voters that do not
}

// count takes an answer into account. Only a learner that has nearly caught up can have the vote.
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

// conclude hands the vote over, or ends once a majority has what this replica knows.
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

// handOver gives the vote of this replica to a learner.
func (r *Replica) handOver(learner replog.Member, deadline time.Duration, done func(error)) {
	r.changeMembers(func(s *replog.State) ([]replog.Member, error) {
		i := slices.IndexFunc(s.Members, func(m replog.Member) bool { return m.ID == r.Self.ID })
		if i < 0 || s.Member(learner.ID) != nil {
			return nil, nil
		}
		r.log.Info("handing vote over to learner", "name", learner.Name, "member", memberID(learner.ID))
		voters := slices.Clone(s.Members)
		voters[i] = learner
		return voters, nil
	}, deadline, done)
}
