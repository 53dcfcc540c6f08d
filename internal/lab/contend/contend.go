// Package contend plays keepers that want values of any size chosen at the same time, with links that take their time for
// large ones, disks that sync, and waits after a lost attempt as the keeper has them, and tells how many tries and how long it
// takes until each value has its place. It is lab code, pure, in simulated time.
package contend

import (
	"math/rand/v2"
	"slices"
	"time"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/timerqueue"
)

// Machines are the keepers of a fleet.
type Machines struct {
	Keepers int
	Delay   time.Duration // one way
	Link    float64       // bytes a second out of one
	Sync    time.Duration // of its disk
	Disk    float64       // bytes a second to it
	// Whole: who has accepted what was chosen is told the value once more, and not its number alone.
	Whole bool
}

// Wish is a value that a keeper wants chosen, from a time on.
type Wish struct {
	Keeper int
	At     time.Duration
	Bytes  int
}

// Settled is what came of a wish.
type Settled struct {
	Tries int
	Took  time.Duration // until it was chosen
}

type keeper struct {
	acc   paxos.Acceptor
	log   [][]byte
	link  time.Duration // free from then on
	disk  time.Duration
	round uint64
	queue []int // wishes, the first of which it proposes
	busy  bool
}

type play struct {
	m     Machines
	rnd   *rand.Rand
	now   time.Duration
	due   *timerqueue.Queue[func()]
	all   []*keeper
	wants []Wish
	out   []Settled
	done  int
}

const head = 64 // bytes of a message without its value

// Play plays wishes until all are settled, or an hour has passed.
func Play(m Machines, wants []Wish, seed uint64) []Settled {
	p := &play{m: m, due: timerqueue.New[func()](), rnd: rand.New(rand.NewPCG(seed, 5)), wants: wants, out: make([]Settled, len(wants))}
	for range m.Keepers {
		k := &keeper{}
		k.acc = paxos.Acceptor{IsVoter: true, ChosenValue: func(place uint64) ([]byte, bool) {
			if place < uint64(len(k.log)) {
				return k.log[place], true
			}
			return nil, false
		}}
		p.all = append(p.all, k)
	}
	for i, w := range wants {
		p.in(w.At, func() {
			k := p.all[w.Keeper]
			k.queue = append(k.queue, i)
			p.propose(w.Keeper)
		})
	}
	for p.done < len(wants) && p.now < time.Hour {
		at, ok := p.due.NextDue()
		if !ok {
			break
		}
		p.now = at
		do, _ := p.due.PopDue(at)
		do()
	}
	return p.out
}

// in has something done after a time.
func (p *play) in(d time.Duration, do func()) {
	p.due.Add(p.now+d, do)
}

// send brings bytes from one keeper to another, behind what its link still has to carry.
func (p *play) send(from, to, bytes int, do func()) {
	if from == to {
		p.in(0, do)
		return
	}
	k := p.all[from]
	k.link = max(k.link, p.now) + time.Duration(float64(bytes)/p.m.Link*float64(time.Second))
	p.in(k.link-p.now+p.m.Delay, do)
}

// value is a wish as it is voted on: its number, and as many bytes as it has.
func (p *play) value(wish int) []byte {
	b := make([]byte, max(p.wants[wish].Bytes, 1))
	b[0] = byte(wish)
	return b
}

// propose makes the next attempt of a keeper, as keeper.propose does.
func (p *play) propose(at int) {
	k := p.all[at]
	if k.busy || len(k.queue) == 0 {
		return
	}
	k.busy = true
	p.attempt(at, 0)
}

func (p *play) attempt(at, try int) {
	k := p.all[at]
	wish := k.queue[0]
	if slices.ContainsFunc(k.log, func(v []byte) bool { return int(v[0]) == wish }) {
		p.out[wish].Took = p.now - p.wants[wish].At
		p.done++
		k.queue = k.queue[1:]
		k.busy = false
		p.propose(at)
		return
	}
	p.out[wish].Tries++
	k.round++
	r := &paxos.Proposer{
		Index: uint64(len(k.log)), Number: paxos.ProposalNumber{Term: k.round, Proposer: uint64(at) + 1}, OwnValue: p.value(wish),
		Quorum: paxos.Majority(p.m.Keepers),
	}
	for i := range p.all {
		r.Voters = append(r.Voters, uint64(i))
	}
	over := false
	var ask func(a paxos.Request)
	take := func(from int, phase paxos.RequestKind, ans paxos.Response, failed bool) {
		if over {
			return
		}
		var next *paxos.Request
		var out paxos.Outcome
		if failed {
			out = r.HandleFailure(uint64(from), phase)
		} else {
			next, out = r.HandleResponse(uint64(from), phase, ans)
		}
		if next != nil {
			ask(*next)
		}
		if out == paxos.OutcomePending {
			return
		}
		over = true
		pause := time.Duration(0)
		switch out {
		case paxos.OutcomeChosen:
			p.learn(at, r.Index, r.Value)
			for i := range p.all {
				if i == at {
					continue
				}
				size := head + len(r.Value)
				if r.HasGranted(uint64(i)) && !p.m.Whole {
					size = head
				}
				p.send(at, i, size, func() { p.learn(i, r.Index, r.Value) })
			}
		case paxos.OutcomeAlreadyChosen:
			if r.Value != nil {
				p.learn(at, r.Index, r.Value)
			} else {
				pause = 20 * time.Millisecond // it catches up
			}
		case paxos.OutcomePreempted:
			k.round = max(k.round, r.HigherNumber.Term)
			pause = paxos.Backoff(p.rnd.Int64N, try)
		default:
			pause = 20*time.Millisecond + time.Duration(p.rnd.Int64N(int64(40*time.Millisecond)))
		}
		p.in(pause, func() { p.attempt(at, try+1) })
	}
	ask = func(a paxos.Request) {
		for i := range p.all {
			answered := false
			p.send(at, i, head+len(a.Value), func() {
				p.vote(i, a, func(ans paxos.Response, after time.Duration) {
					p.in(after, func() {
						p.send(i, at, head+len(ans.Value), func() {
							if !answered {
								answered = true
								take(i, a.Kind, ans, false)
							}
						})
					})
				})
			})
			p.in(400*time.Millisecond, func() {
				if !answered {
					answered = true
					take(i, a.Kind, paxos.Response{}, true)
				}
			})
		}
	}
	ask(r.Prepare())
}

// vote has a keeper answer, once its disk has what it says.
func (p *play) vote(i int, a paxos.Request, answer func(paxos.Response, time.Duration)) {
	k := p.all[i]
	k.round = max(k.round, a.Number.Term)
	ans, write := k.acc.Handle(a)
	after := time.Duration(0)
	if write {
		k.disk = max(k.disk, p.now) + p.m.Sync + time.Duration(float64(len(k.acc.State.Value))/p.m.Disk*float64(time.Second))
		after = k.disk - p.now
	}
	answer(ans, after)
}

// learn has a keeper take what was chosen for its next place.
func (p *play) learn(i int, place uint64, value []byte) {
	k := p.all[i]
	if place != uint64(len(k.log)) {
		return
	}
	k.log = append(k.log, value)
	k.acc.NextIndex = uint64(len(k.log))
	k.disk = max(k.disk, p.now) + p.m.Sync + time.Duration(float64(len(value))/p.m.Disk*float64(time.Second))
}
