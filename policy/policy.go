package policy

// All decisions of the balancer. The types, events and actions that cross its border are in api.go.
//
// The mechanism: each gateway pins a session to the replica that first served it and keeps sending it
// there while that replica answers; new and orphaned sessions go to a random ready replica. The parts
// below, in order: the balancer, the life of a request, the session table, the draw, replica health, load
// reports, admission, and discovery upkeep.

import (
	"cmp"
	"container/list"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Shares and counts here are of the settings' own units; none comes from a deployment.
const (
	maxRequestID = 1<<52 - 1
	maxSessions  = 1 << 16          // entries of the session table; the least recently used leaves first
	sessionIdle  = 10 * time.Minute // far past any think time, so that only abandoned sessions expire

	retryShare = 0.1 // further attempts earned by each request, lest they feed an overload
	retryBurst = 10  // and saved up at most, for a crash that hits many
	watchRetry = time.Second
	logEvery   = 5 * time.Second // at most one line of each kind in this

	prefixSpread = 3    // a prefix is served by three times the replicas that its share of traffic needs
	prefixNear   = 2    // with many gateways places in a prefix's order count from twice as many on
	prefixPrior  = 5    // requests after which a first sight no longer counts for much
	prefixMemory = 256  // requests after which older ones count half
	maxPrefixes  = 1024 // orders kept for each part of the fleet

	boundLoad    = 2                // no new session for a replica with over twice the mean of own attempts
	boundUnsized = 1                // or over this much, where no list tells how much a replica can hold
	reportFades  = 10 * time.Second // a report counts for less and less, and no more after this
	spillStep    = 0.1              // a wholly late answer moves a tenth of the sessions

	checkFrom  = 8                      // gateways from which each meets a replica too seldom to know how it is
	checkWait  = 120 * time.Millisecond // for the answer to a check
	checkFresh = 400 * time.Millisecond // no replica is checked more often
	silent     = 1000                   // backlog of one that has not answered its check
	crowded    = 5                      // and of one that answers that it could not in time
	errorsMost = 0.2                    // errors a second from which one counts as silent
	lateFrom   = 4                      // a backlog takes so many times what aims allow for reading it
	coldMost   = 4                      // share of all sessions that a cold replica may draw, in even shares

	shedAbove  = 0.08 // mean of lost worth from which new sessions are refused
	shedUp     = 0.5  // share refused more a second, times what is lost above that
	shedDown   = 0.1  // share refused less a second when all is well
	shedMost   = 0.6  // some must be let in, or nothing would tell that the overload has passed
	sharesOver = 64   // requests over which tenants' shares are reckoned; then older ones count half

	closedFirst = time.Second      // first spell of a closed mark; doubles while trials go on failing
	closedMost  = 16 * time.Second // and no longer than this
	zoneFails   = 4                // replicas of a zone that fail in a row before the zone is closed
	mostMarked  = 0.3              // share of the fleet that may be marked at once
	fullSpell   = 500 * time.Millisecond

	// Salts keep the coins of spilling, refusing and cold replicas apart from the draw and from each other.
	spillSalt = 0x2545f4914f6cdd1d
	shedSalt  = 0x8cb92ba72f3d8dd7
	coldSalt  = 0x5bd1e9955bd1e995
)

// Balancer makes the decisions of one gateway. It is not safe for concurrent use.
type Balancer struct {
	set        Settings
	rnd        *rand.Rand
	requests   map[RequestID]*request
	sessions   sessionTable
	fleet      fleet
	prefixes   prefixes
	loads      loads
	retries    float64 // saved further attempts
	shed       float64 // share of new sessions that is refused
	lost       float64 // running mean of the worth that lateness loses
	shedAt     Time
	leastWorth float64 // of a class
	bound      float64 // boundLoad or boundUnsized
	arrived    float64 // requests so far
	tenants    tenants
	spill      float64 // share of the sessions that are drawn over the whole fleet
	watch      watch
	logged     map[string]Time
	checks     bool       // replicas are asked how they are before a session is sent there
	held       []*request // that wait for the answers
}

// New returns a balancer that knows no replicas yet, or an error that names the setting at fault.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		set:      s,
		rnd:      rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		requests: map[RequestID]*request{},
		sessions: sessionTable{entries: map[uint64]*list.Element{}},
		fleet:    fleet{byID: map[ReplicaID]*replica{}, zones: map[int]zone{}},
		prefixes: prefixes{count: map[uint64]float64{}},
		retries:  retryBurst,
		logged:   map[string]Time{},
	}
	if b.bound = boundLoad; s.Weights == NoWeights {
		b.bound = boundUnsized
	}
	b.leastWorth = slices.MinFunc(s.Classes, func(x, y Class) int { return cmp.Compare(x.Worth, y.Worth) }).Worth
	for _, t := range s.Tenants {
		b.tenants.share = append(b.tenants.share, t.Share)
		b.tenants.count = append(b.tenants.count, 0)
	}
	for _, c := range s.ReportColumns {
		b.loads.use = append(b.loads.use, c != "" && c != "qps" && c != "eps")
	}
	b.checks = s.Limits.Probes && len(s.ReportColumns) > 0 && s.Gateways >= checkFrom
	return b, nil
}

func (s *Settings) validate() error {
	switch {
	case s.DrainGrace < 0 || s.WarmUp < 0 || s.AskWithin < 0 || s.Limits.MaxRetryAfter < 0:
		return errors.New("policy: DrainGrace, WarmUp, AskWithin and MaxRetryAfter must not be negative")
	case len(s.Classes) == 0:
		return errors.New("policy: Classes must not be empty")
	case s.Limits.MaxAttempts < 1:
		return errors.New("policy: Limits.MaxAttempts must be at least 1")
	case !(s.ColdFrom > 0 && s.ColdFrom <= 1):
		return errors.New("policy: ColdFrom must be above 0 and at most 1")
	case s.Gateways < 1 || s.Gateway < 0 || s.Gateway >= s.Gateways:
		return errors.New("policy: Gateway must be from 0 to below Gateways")
	case s.Zone < 0 || s.Zone >= s.Zones:
		return errors.New("policy: Zone must be from 0 to below Zones")
	case s.AskDiscovery && s.AskWithin == 0:
		return errors.New("policy: AskWithin must be above 0 where AskDiscovery is set")
	case len(s.ReportColumns) > len(Report{}.Values):
		return errors.New("policy: ReportColumns holds more columns than a Report has values")
	}
	for _, c := range s.Classes {
		if c.Deadline <= 0 || c.Aim < 0 || c.Effect > Unsafe || c.Group > GroupCell {
			return fmt.Errorf("policy: Classes: %q has a Deadline, Aim, Effect or Group out of range", c.Name)
		}
	}
	return nil
}

// The life of a request: attempts, time-outs, the final answer.

type request struct {
	Request
	class    *Class
	seed     uint64 // of its draw and coins: the session, or any number where it names none
	deadline Time
	orphan   bool       // the table's replica may not be used
	answered bool       // has its final answer, or the client left
	asked    []*replica // drawn for it, and asked how they are
	attempts []attempt  // one at a time: each but the last is done
}

type attempt struct {
	to    *replica
	at    Time
	done  bool
	maybe bool // it may have run
	stale bool // its connection was at fault, and not the replica
}

// Arrive takes a request on.
func (b *Balancer) Arrive(now Time, a Actions, q Request) {
	if _, known := b.requests[q.ID]; known {
		return
	}
	if q.ID > maxRequestID || q.Class < 0 || q.Class >= len(b.set.Classes) || q.ExpiresIn <= 0 {
		a.Because(q.ID, BadRequest)
		a.Fail(q.ID)
		return
	}
	b.retries = min(b.retries+retryShare, retryBurst)
	r := &request{Request: q, class: &b.set.Classes[q.Class], deadline: now + q.ExpiresIn}
	if r.seed = q.Session; r.seed == 0 {
		r.seed = b.rnd.Uint64()
	}
	b.requests[q.ID] = r
	b.arrived++
	b.tenants.saw(q.Tenant)
	if q.Prefix != 0 {
		b.prefixes.saw(q.Prefix)
	}
	b.place(now, a, r)
}

// Started tells that an answer has begun.
func (b *Balancer) Started(now Time, a Actions, e Started) {
	b.fleet.answers(now, e.Replica)
	if r := b.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
		b.learn(now, r, &r.attempts[e.Attempt], e.Elapsed)
	}
}

// learn judges the first token of an attempt, or that there was none for so long.
func (b *Balancer) learn(now Time, r *request, t *attempt, elapsed time.Duration) {
	late := min(max(2*float64(elapsed)/float64(b.aim(r))-1, 0), 1)
	b.learnSpill(t.to, late)
	b.learnShed(now, late*(1-r.class.LateWorth))
}

// Finished tells the outcome of an attempt.
func (b *Balancer) Finished(now Time, a Actions, o Outcome) {
	b.outcome(now, a, &o)
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return
	}
	t := &r.attempts[o.Attempt]
	t.done, t.maybe = true, o.Result != Full && o.Result != ConnectFailed && o.Result != Moot
	t.stale = o.Stale
	t.to.out--
	b.fleet.out--
	switch {
	case o.Result == TimedOut && t.to.answered > t.at && !r.answered: // one that hangs is no overload
		b.learn(now, r, t, r.class.Deadline)
	case o.Result == OK && !r.class.Streaming: // no Started told when it was answered
		b.learn(now, r, t, o.Elapsed)
	}
	switch {
	case r.answered || o.Ended:
		delete(b.requests, r.ID)
	case o.Result == Moot || now >= r.deadline:
		b.fail(a, r, OutOfTime)
	default:
		b.again(now, a, r)
	}
}

// Departed tells that the client is gone; nothing more is owed.
func (b *Balancer) Departed(now Time, a Actions, id RequestID) {
	r := b.requests[id]
	if r == nil || r.answered {
		return
	}
	r.answered = true // kept until its attempt's outcome has come
	if b.set.Limits.Cancel && len(r.attempts) > 0 {
		a.Cancel(id, len(r.attempts)-1)
	}
}

// Timer is called when a wait set by Actions.Wake has passed.
func (b *Balancer) Timer(now Time, a Actions, token uint64) {
	switch token {
	case watchToken:
		a.Watch()
	case checkToken:
		b.settle(now, a)
	}
}

func (b *Balancer) aim(r *request) time.Duration {
	return max(r.class.Aim+time.Duration(float64(r.class.AimPerKTokens)*r.PromptTokens/1000), 1)
}

// place makes the first attempt.
func (b *Balancer) place(now Time, a Actions, r *request) {
	to := b.sessions.find(now, r.Session)
	switch r.orphan = to != nil; {
	case to == nil && b.shedding(r):
		b.refuse(a, r, Shedding, b.set.Limits.MaxRetryAfter)
	case to != nil && b.usable(now, to, r, pinnedTurn):
		b.send(now, a, r, to, Pinned)
	default:
		b.seek(now, a, r)
	}
}

// seek sends r to a replica that is drawn. Where gateways are many it draws two and asks how they do, which
// takes milliseconds: one that meets a replica once in half a minute would learn too late that it is slow,
// overloaded or dead, and each of the others would learn it again.
func (b *Balancer) seek(now Time, a Actions, r *request) {
	to, why := b.draw(now, r)
	switch {
	case to == nil:
		b.decline(now, a, r, NoReplica)
		return
	case !b.checks || len(r.asked) > 0 || now+2*checkWait > r.deadline:
		b.send(now, a, r, to, why)
		return
	}
	for ; to != nil && len(r.asked) < 2; to, _ = b.draw(now, r) {
		r.asked = append(r.asked, to)
		if now >= to.askedAt+checkFresh {
			to.askedAt, to.backlog = now, silent
			a.Probe(to.ID)
			a.Wake(checkWait, checkToken)
		}
	}
	b.held = append(b.held, r)
	b.settle(now, a)
}

// settle sends on what need not wait for a check any more: to the first of the two, which may have the prompt
// of the session, unless more is to be done there before than to read it all anew at the other. Where the
// better one would be late too, it refuses at once: what is sent there makes others late.
func (b *Balancer) settle(now Time, a Actions) {
	held := b.held
	b.held = nil
	for _, r := range held {
		wait := func(to *replica) bool { return to.askedAt > to.reportAt && now < to.askedAt+checkWait }
		switch {
		case r.answered: // its client left
			delete(b.requests, r.ID)
		case slices.ContainsFunc(r.asked, wait):
			b.held = append(b.held, r)
		default:
			var best *replica
			for _, to := range r.asked {
				if b.usable(now, to, r, overBound) && (best == nil || to.backlog+r.PromptTokens/1000 < best.backlog) {
					best = to
				}
			}
			switch perK := lateFrom * float64(r.class.AimPerKTokens); {
			case best == nil:
				b.seek(now, a, r)
			case !r.Resumed && best.backlog < silent && best.backlog*perK > float64(b.aim(r)):
				b.decline(now, a, r, Shedding)
			default:
				b.send(now, a, r, best, b.drew(best, newSession))
			}
		}
	}
}

func (b *Balancer) send(now Time, a Actions, r *request, to *replica, why Why) {
	if r.orphan && why == Drawn && len(r.attempts) == 0 {
		why = Orphaned
	}
	r.asked = nil
	r.attempts = append(r.attempts, attempt{to: to, at: now, maybe: true})
	to.trial = to.spell > 0
	to.out++
	b.fleet.out++
	to.budget-- // counts only while it is cold
	b.sessions.pin(now, r.Session, to)
	a.Because(r.ID, why)
	a.Send(r.ID, to.ID, 0)
}

// again makes a further attempt where the rules and the retry budget permit one.
func (b *Balancer) again(now Time, a Actions, r *request) {
	cost := 1.0
	if last := &r.attempts[len(r.attempts)-1]; !last.maybe || last.stale {
		cost = 0 // it proved not to have run, or its connection was gone, and so cost no replica any work
	}
	switch {
	case len(r.attempts) >= cmp.Or(r.class.MaxAttempts, b.set.Limits.MaxAttempts):
		b.decline(now, a, r, NoAttempts)
	case b.retries < cost:
		b.decline(now, a, r, NoRetries)
	default:
		b.retries -= cost
		b.seek(now, a, r)
	}
}

// decline gives a final answer that serves nothing: a refusal where nothing can have run (or a repeat is
// harmless), a failure otherwise.
func (b *Balancer) decline(now Time, a Actions, r *request, why Why) {
	b.log(now, a, "declined", "no replica could take a request")
	harmless := r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll || !r.mayHaveRun()
	if harmless {
		b.refuse(a, r, why, min(fullSpell, b.set.Limits.MaxRetryAfter))
	} else {
		b.fail(a, r, why)
	}
}

func (b *Balancer) refuse(a Actions, r *request, why Why, wait time.Duration) {
	delete(b.requests, r.ID)
	a.Because(r.ID, why)
	if !b.set.Limits.RetryAfter {
		wait = 0
	}
	a.Refuse(r.ID, wait)
}

func (b *Balancer) fail(a Actions, r *request, why Why) {
	delete(b.requests, r.ID)
	a.Because(r.ID, why)
	a.Fail(r.ID)
}

// coin throws the request's coin of a kind: the same for all requests of its session, at all gateways.
func (r *request) coin(salt uint64) float64 { return unit(mix(r.seed, salt)) }

func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(t attempt) bool { return t.maybe })
}

// mayGo says whether the class of r permits another attempt at to, given the attempts before.
func (r *request) mayGo(now Time, to *replica) bool {
	if slices.Contains(r.asked, to) {
		return false
	}
	for i := range r.attempts {
		t := &r.attempts[i]
		switch {
		case t.to == to && !t.stale:
			return false // it had its chance
		case !t.maybe || r.class.Effect == Safe:
		case r.class.Effect == Unsafe || now >= t.at+r.class.DedupWindow:
			return false
		case r.class.Group == GroupZone && t.to.Zone != to.Zone, r.class.Group == GroupCell && t.to.Cell != to.Cell:
			return false
		}
	}
	return true
}

// The session table: which replica serves a session. Bounded; idle entries expire.

type sessionTable struct {
	entries map[uint64]*list.Element
	recent  list.List // of *pin, most recently used first
}

type pin struct {
	session uint64
	to      *replica
	used    Time
}

func (t *sessionTable) find(now Time, session uint64) *replica {
	e := t.entries[session]
	if session == 0 || e == nil || now-e.Value.(*pin).used > sessionIdle {
		return nil
	}
	return e.Value.(*pin).to
}

func (t *sessionTable) pin(now Time, session uint64, to *replica) {
	if session == 0 {
		return
	}
	if e := t.entries[session]; e != nil {
		*e.Value.(*pin) = pin{session, to, now}
		t.recent.MoveToFront(e)
	} else {
		t.entries[session] = t.recent.PushFront(&pin{session, to, now})
	}
	for last := t.recent.Back(); last != nil; last = t.recent.Back() {
		p := last.Value.(*pin)
		if t.recent.Len() <= maxSessions && now-p.used <= sessionIdle {
			break
		}
		t.recent.Remove(last)
		delete(t.entries, p.session)
	}
}

// The draw: a random ready replica for a new or orphaned session.

// draw returns a replica that r may go to, or nil. Where closed marks leave none, they are ignored:
// with every port seemingly closed the marks are the likelier fault.
//
// The draw is seeded by the session (weighted rendezvous hashing): over sessions it is random, in proportion
// to the replicas' weights, yet gateways that share nothing, and restarted ones, draw alike. It prevents that
// a conversation whose turns reach several gateways has its kept prompt read anew at each.
func (b *Balancer) draw(now Time, r *request) (*replica, Why) {
	for _, want := range []purpose{newSession, overBound, lastResort} {
		for _, p := range b.reach(r) {
			list, n := p.replicas, len(p.replicas)
			if r.Prefix != 0 && n > 0 {
				list = p.order(r.Prefix)
				if !b.checks {
					n = b.prefixes.width(r.Prefix, n)
				}
			}
			for _, some := range [][]*replica{list[:n], list[n:]} {
				if to := b.pick(now, r, some, want); to != nil {
					return to, b.drew(to, want)
				}
			}
		}
	}
	return nil, NoReplica
}

// drew says what a draw was, for the staff.
func (b *Balancer) drew(to *replica, want purpose) Why {
	switch {
	case want == lastResort:
		return LastResort
	case want == overBound:
		return OverBound
	case to.Zone != b.set.Zone:
		return Spilled
	}
	return Drawn
}

// pick returns the first in the session's order that r may go to.
func (b *Balancer) pick(now Time, r *request, some []*replica, want purpose) *replica {
	var best *replica
	lowest := math.Inf(1)
	near := prefixNear * float64(b.prefixes.width(r.Prefix, len(some)))
	for i, to := range some {
		s := rank(r.seed, to)
		switch {
		case !b.checks:
			s /= to.room(now)
		case r.Prefix != 0: // in the prefix's order
			s *= near + float64(i)
		}
		if s < lowest && r.mayGo(now, to) && b.usable(now, to, r, want) {
			best, lowest = to, s
		}
	}
	return best
}

// rank orders replicas at random by the seed, in proportion to their weights.
func rank(seed uint64, to *replica) float64 {
	return -math.Log(unit(mix(seed, uint64(to.ID)))) / to.size
}

// part is a part of the fleet to draw from.
type part struct {
	replicas []*replica
	orders   map[uint64][]*replica // the same, ranked by prefix; made on demand
}

func (p *part) order(prefix uint64) []*replica {
	if o := p.orders[prefix]; o != nil {
		return o
	}
	o := slices.Clone(p.replicas)
	slices.SortFunc(o, func(x, y *replica) int { return cmp.Compare(rank(prefix, x), rank(prefix, y)) })
	if p.orders == nil || len(p.orders) > maxPrefixes {
		p.orders = map[uint64][]*replica{}
	}
	p.orders[prefix] = o
	return o
}

// prefixes counts the shared beginnings seen lately.
type prefixes struct {
	count map[uint64]float64
	total float64
}

func (p *prefixes) saw(prefix uint64) {
	if p.total >= prefixMemory {
		p.total = 0
		for k, n := range p.count {
			if n /= 2; n < 1 {
				delete(p.count, k)
			} else {
				p.count[k] = n
				p.total += n
			}
		}
	}
	p.count[prefix]++
	p.total++
}

// width says how many of n replicas serve a prefix: its share of the traffic with room to spare. While little
// has been seen any prefix may be popular, so that a new one starts wide.
func (p *prefixes) width(prefix uint64, n int) int {
	share := p.count[prefix] / (p.total + prefixPrior)
	return min(n, int(math.Ceil(float64(n)*share*prefixSpread)))
}

// reach lists where to look, in order. Leaving the zone has a price, so its replicas come first; but for the
// share of sessions that spills the whole fleet is one. It prevents that a zone runs full while others have
// room: at least what a zone with less than an even share of the fleet lacks is spilled.
func (b *Balancer) reach(r *request) []*part {
	lacks := 1 - b.fleet.nearShare*float64(b.set.Zones)
	if len(b.loads.use) == 0 {
		lacks = max(lacks, 2*b.shed) // no report shows whether the zone is full; that sessions are refused does
	}
	if r.coin(spillSalt) < max(b.spill, lacks) {
		return []*part{&b.fleet.all}
	}
	return []*part{&b.fleet.near, &b.fleet.far}
}

// learnSpill moves the spilled share by how late an answer was, from 0 (half its aim gone, or less) to 1 (all
// of it): up while lateness in the zone exceeds that elsewhere by more than the price of crossing, else down.
func (b *Balancer) learnSpill(to *replica, late float64) {
	near := 1 - b.spill
	if to.Zone == b.set.Zone {
		b.spill += spillStep * (late - b.set.CrossZone)
	} else {
		b.spill -= spillStep * late * min(near/max(b.spill, 0.01), 10)
	}
	b.spill = min(max(b.spill, 0), 1)
}

// Replica health: what this gateway knows of each replica.

type fleet struct {
	byID      map[ReplicaID]*replica
	near, far part // listed as ready, in the own zone and elsewhere, in the order of their ids
	all       part // both
	zones     map[int]zone
	out       int     // attempts out at any of them
	usual     float64 // number of ready replicas, or how many there were lately if more
	nearShare float64 // share of the listed weight that is in the own zone
}

// closed is the mark of a replica, or of a zone, that does not answer.
type closed struct {
	until Time          // nothing is sent to it before
	spell time.Duration // the last spell; 0 = not marked
}

func (c *closed) mark(now Time) {
	c.spell = min(max(2*c.spell, closedFirst), closedMost)
	c.until = now + c.spell
}

// zone is what this gateway knows of a zone as a whole.
type zone struct {
	closed
	failed int // marks of its replicas since any of them answered
}

type replica struct {
	Replica
	drainAt Time // when this gateway was told that it drains
	closed
	size      float64 // its listed weight, evened out over time where that moves with load
	out       int     // attempts of this gateway that are out there
	trial     bool    // the mark has lapsed and one request is out to test it
	fullUntil Time    // it turned a request away and need not be asked for a moment
	coldUntil Time
	budget    float64 // attempts that it may still be sent while it is cold
	budgetAt  float64 // requests that had arrived when the budget was last reckoned
	askedAt   Time    // last check
	answered  Time    // last sign of life
	errors    int     // since then
	reportAt  Time
	backlog   float64 // thousands of prompt tokens, or their like, to be done there first, by its last report
	load      float64 // by its last report, against the mean of all reports seen; 0 = no report yet
}

// purpose is what a replica is wanted for.
type purpose uint8

const (
	pinnedTurn purpose = iota
	newSession
	overBound  // every usable one is over the bound of new sessions: that is no reason to try one that is marked
	lastResort // nothing was usable: marks are ignored, drains and cold budgets never
)

// usable is the one owner of the question: may r go to this replica now?
func (b *Balancer) usable(now Time, to *replica, r *request, p purpose) bool {
	switch {
	case to.State == Gone:
		return false
	case to.State == Draining && (p != pinnedTurn || now >= to.drainAt+b.set.DrainGrace):
		return false
	case p == lastResort:
	case to.trial || now < max(to.until, to.fullUntil, b.fleet.zones[to.Zone].until):
		return false
	case p == newSession && float64(to.out) > b.bound*float64(b.fleet.out)/float64(len(b.fleet.all.replicas))+1:
		return false
	}
	return !b.cold(now, to, r)
}

// cold says whether a replica that started lately is too cold for r. It takes a share of its usual traffic
// that grows evenly while it warms up, pinned sessions included. A coin seeded by session and replica
// chooses, so that all gateways agree; a budget caps what this gateway sends, whatever the load beside it.
// It prevents that a restarted replica is pushed over by its pinned sessions, by a popular prefix, or by
// what full replicas turn away.
func (b *Balancer) cold(now Time, to *replica, r *request) bool {
	if now >= to.coldUntil {
		return false
	}
	warm := max(1-float64(to.coldUntil-now)/float64(b.set.WarmUp), 0)
	share := b.set.ColdFrom + (1-b.set.ColdFrom)*min(warm, 1)
	if b.checks { // too little arrives here to save a whole attempt up: the draw bounds what all gateways send
		return r.coin(coldSalt^uint64(to.ID)) >= share || rank(r.seed, to)*to.size > coldMost/b.fleet.usual
	}
	to.budget = min(to.budget+share*(b.arrived-to.budgetAt)/b.fleet.usual, 1)
	to.budgetAt = b.arrived
	return to.budget < 1 || r.coin(coldSalt^uint64(to.ID)) >= share
}

// answers notes a sign of life.
func (f *fleet) answers(now Time, id ReplicaID) {
	if to := f.byID[id]; to != nil {
		to.closed, to.trial, to.answered, to.errors = closed{}, false, now, 0
		f.zones[to.Zone] = zone{}
	}
}

// outcome notes what the end of an attempt says of its replica.
func (b *Balancer) outcome(now Time, a Actions, o *Outcome) {
	to := b.fleet.byID[o.Replica]
	if to == nil {
		return
	}
	to.trial = false
	b.reported(now, to, o.Report)
	switch o.Result {
	case OK:
		b.fleet.answers(now, o.Replica)
	case Error:
		// Fast errors must not go on attracting sessions. One error may be the request's own fault.
		if to.errors++; to.errors >= 2 {
			b.mark(now, a, to, "errors")
		}
	case TimedOut:
		// A replica that hangs keeps its port open, and its sessions would stay for ever. It is told from a slow
		// request by having answered nobody meanwhile.
		if to.answered <= now-o.Elapsed {
			b.mark(now, a, to, "no answer")
		}
	case Full:
		to.fullUntil = now + fullSpell
	case ConnectFailed, Reset:
		if !o.Stale {
			b.mark(now, a, to, "no connection")
		}
	}
}

// mark closes a replica for a spell, unless too much of the fleet is marked already: then the cause is
// likelier shared, and the rest could not carry the load. When one replica of a zone after the other fails
// and none answers, the zone (unless it is the only one) is closed as one: a gateway with little traffic
// would take too long to find each replica of a cut-off zone out.
func (b *Balancer) mark(now Time, a Actions, to *replica, why string) {
	f := &b.fleet
	to.trial = false
	if now < to.until {
		return
	}
	z := f.zones[to.Zone]
	if z.failed++; b.set.Zones > 1 && z.failed >= zoneFails && now >= z.until {
		z.closed.mark(now)
		b.log(now, a, "zone", fmt.Sprintf("zone %d: nothing answers; closed for %v", to.Zone, z.spell))
	}
	f.zones[to.Zone] = z
	marked := 0
	for _, other := range f.all.replicas {
		if other.spell > 0 {
			marked++
		}
	}
	if to.spell == 0 && float64(marked) >= mostMarked*float64(len(f.all.replicas)) {
		return
	}
	to.closed.mark(now)
	b.log(now, a, "closed", fmt.Sprintf("replica %d: %s; closed for %v", to.ID, why, to.spell))
}

// Load reports.

// loads turns reports into a load that can be compared between replicas.
type loads struct {
	use  []bool // columns that grow with the work a replica holds
	mean [4]float64
}

// take returns the mean of a report's usable columns, each against its running mean.
func (l *loads) take(p Report) float64 {
	var sum, n float64
	for i, use := range l.use {
		if i >= p.N || !use || !(p.Values[i] >= 0 && p.Values[i] <= math.MaxFloat32) { // a NaN would spread
			continue
		}
		if l.mean[i] == 0 {
			l.mean[i] = p.Values[i]
		}
		l.mean[i] += (p.Values[i] - l.mean[i]) / 32
		if l.mean[i] > 0 {
			sum += p.Values[i] / l.mean[i]
			n++
		}
	}
	return sum / max(n, 1)
}

// room is how much more (or less) than its size a replica should draw, by its last report. A report fades
// with age: a stale one must not herd the gateways to, or away from, a replica.
func (to *replica) room(now Time) float64 {
	fresh := 1 - float64(now-to.reportAt)/float64(reportFades)
	if to.load == 0 || fresh <= 0 {
		return 1
	}
	f := 2 / (1 + to.load)
	if to.coldUntil > now {
		f = min(f, 1) // an empty replica that is cold reports little load and must not attract more
	}
	return 1 + (f*f-1)*fresh
}

// Probed tells the result of a probe.
func (b *Balancer) Probed(now Time, a Actions, p ProbeResult) {
	to := b.fleet.byID[p.Replica]
	if to == nil {
		return
	}
	if p.Result == ConnectFailed {
		b.mark(now, a, to, "no connection")
	}
	to.reportAt = now
	switch p.Result {
	case OK:
		to.backlog = 0
	case Error:
		to.backlog = crowded
	}
	b.reported(now, to, p.Report)
	b.settle(now, a)
}

// reported takes a load report.
func (b *Balancer) reported(now Time, to *replica, p Report) {
	if p.N == 0 {
		return
	}
	to.load, to.reportAt = b.loads.take(p), now
	to.backlog = 0
	for i, c := range b.set.ReportColumns[:min(p.N, len(b.set.ReportColumns))] {
		switch v := p.Values[i]; {
		case c == "x1" && v >= 0:
			to.backlog += v
		case c == "inflight" && v >= 0: // each slows the others down
			to.backlog += v / 2
		case c == "eps" && v > errorsMost:
			to.backlog += silent
		}
	}
}

// Admission.

// shedding says whether a new session is refused at once, to keep the rest in time. The coin is thrown by
// session, so that a client's repeats, here or elsewhere, do not get in by trying again.
func (b *Balancer) shedding(r *request) bool {
	if b.shed <= 0 {
		return false
	}
	share := b.tenants.refuse(r.Tenant, b.shed)
	return r.coin(shedSalt) < share*b.leastWorth/r.class.Worth
}

// tenants counts the recent requests of each tenant against its share.
type tenants struct {
	share, count []float64
	total        float64
}

func (t *tenants) saw(tenant int) {
	if tenant < 0 || tenant >= len(t.count) {
		return
	}
	if t.total >= sharesOver {
		for i := range t.count {
			t.count[i] /= 2
		}
		t.total /= 2
	}
	t.count[tenant]++
	t.total++
}

// refuse splits a share to be refused between the tenants: what a tenant sends beyond its share goes first.
func (t *tenants) refuse(tenant int, share float64) float64 {
	if tenant < 0 || tenant >= len(t.count) || t.total == 0 {
		return share
	}
	beyond := 0.0 // part of all traffic that is beyond a share
	for i, n := range t.count {
		beyond += max(n/t.total-t.share[i], 0)
	}
	own := max(1-t.share[tenant]*t.total/max(t.count[tenant], 1), 0)
	if share <= beyond {
		return own * share / beyond
	}
	return own + (1-own)*(share-beyond)/(1-beyond)
}

// learnShed moves the refused share: up while lateness loses worth, down evenly while answers are in time.
// The way down takes seconds, so that a passed overload does not go on refusing.
func (b *Balancer) learnShed(now Time, lost float64) {
	dt := lapse(now, &b.shedAt)
	b.lost += (lost - b.lost) / 8
	if b.lost > shedAbove {
		b.shed += shedUp * dt * (b.lost - shedAbove)
	} else {
		b.shed -= shedDown * dt
	}
	b.shed = min(max(b.shed, 0), shedMost)
}

// Discovery upkeep.

const (
	watchToken = 0
	checkToken = 1
)

type watch struct {
	begun   bool
	waiting time.Duration // wait before the next call after a failure
}

// Listed takes news of the list of replicas.
func (b *Balancer) Listed(now Time, a Actions, l List) {
	if l.Kind == ListFailed {
		b.watch.waiting = min(max(2*b.watch.waiting, watchRetry), b.set.AskWithin)
		b.wakeToAsk(a, b.watch.waiting/2, b.watch.waiting)
		b.log(now, a, "discovery", "discovery failed a call; asking again later")
		return
	}
	b.updateFleet(now, l)
	if l.Kind != ListCached {
		b.watch.waiting = 0
	}
	if !b.watch.begun {
		// Gateways that start together must not ask together: discovery turns a crowd away.
		b.watch.begun = true
		b.wakeToAsk(a, 0, b.set.AskWithin/2)
	}
}

// wakeToAsk asks for the timer of the next call, somewhere from least to most from now.
func (b *Balancer) wakeToAsk(a Actions, least, most time.Duration) {
	if b.set.AskDiscovery {
		a.Wake(least+time.Duration(b.rnd.Int64N(int64(most-least)+1)), watchToken)
	}
}

func (b *Balancer) updateFleet(now Time, l List) {
	f := &b.fleet
	listed := map[ReplicaID]bool{}
	live := b.set.Weights == LiveWeights
	for _, e := range l.Replicas {
		to, known := f.byID[e.ID]
		if !known {
			to = &replica{}
			f.byID[e.ID] = to
		}
		if e.State != Ready && to.State == Ready {
			to.drainAt = now
		}
		if !(e.Weight > 0) {
			e.Weight = 1
		}
		if !known || e.ReadyAt != to.ReadyAt { // a new process: what was known of the old one is void
			// The budget starts anywhere below one attempt, so that many gateways with little traffic each
			// do not all send their first at once.
			*to = replica{drainAt: to.drainAt, out: to.out, budget: b.rnd.Float64(), budgetAt: b.arrived}
		}
		to.coldUntil = 0
		if e.ReadyAt != 0 {
			to.coldUntil = e.ReadyAt + b.set.WarmUp
		}
		size := to.size
		to.Replica = e
		if to.size = e.Weight; live && size > 0 {
			to.size = size + (to.size-size)/16
		}
		listed[e.ID] = true
	}
	for id, to := range f.byID {
		if l.Kind != ListDelta && !listed[id] {
			to.State = Gone
		}
		if to.State == Gone {
			delete(f.byID, id) // table entries and attempts may still refer to it
		}
	}
	f.near, f.far, f.all = part{}, part{}, part{}
	for _, to := range f.byID {
		if to.State == Ready {
			f.all.replicas = append(f.all.replicas, to)
		}
	}
	slices.SortFunc(f.all.replicas, func(x, y *replica) int { return cmp.Compare(x.ID, y.ID) })
	var near, sum float64
	for _, to := range f.all.replicas {
		sum += to.Weight
		if to.Zone == b.set.Zone {
			near += to.Weight
			f.near.replicas = append(f.near.replicas, to)
		} else {
			f.far.replicas = append(f.far.replicas, to)
		}
	}
	f.usual = max(float64(len(f.all.replicas)), f.usual*0.99)
	f.nearShare = near / max(sum, 1e-9)
}

// log writes a line unless one of its kind was written lately.
func (b *Balancer) log(now Time, a Actions, kind, line string) {
	if last, ok := b.logged[kind]; ok && now-last < logEvery {
		return
	}
	b.logged[kind] = now
	a.Log(line)
}

// lapse returns the seconds since last, one at most, and moves it to now.
func lapse(now Time, last *Time) float64 {
	dt := min(now-*last, time.Second).Seconds()
	*last = now
	return dt
}

// mix hashes two words; unit maps a hash into (0, 1).
func mix(x, y uint64) uint64 {
	x = (x ^ y*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>32) * 0x94d049bb133111eb
	return x ^ x>>29
}

func unit(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }
