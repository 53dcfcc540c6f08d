package policy

// All decisions of the balancer. The types, events and actions of its interface are in api.go.
//
// The mechanism: a session stays with the replica that first served it while that replica answers (affinity);
// new sessions, and those that lost their replica, go to a random ready one. In order: the balancer, the life
// of a request, the session table, the draw, health, load reports, admission, and the watch on discovery.

import (
	"cmp"
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Shares and counts are in the units of the settings; none is chosen for a deployment.
const (
	maxRequestID = 1<<52 - 1
	maxSessions  = 1 << 16          // entries of the session table; the least recently used leaves first
	sessionIdle  = 10 * time.Minute // far beyond any think time, so that only abandoned sessions expire

	retriesPerRequest = 0.1 // retries earned by each request, lest they feed an overload
	maxSavedRetries   = 10  // and saved up at most, for a crash that hits many requests
	minWatchBackoff   = time.Second
	logInterval       = 5 * time.Second // at most one line of each kind in this time

	prefixSpread     = 3    // a prefix gets three times the replicas that its share of traffic needs
	prefixNearFactor = 2    // with many routers a prefix's order counts from twice as many on
	prefixPrior      = 5    // requests after which the first ones of a prefix no longer count for much
	prefixMemory     = 256  // requests after which older ones count half
	maxPrefixes      = 1024 // orders cached for each set of replicas

	loadBoundSized   = 2                // no new session for a replica with over twice the mean of own attempts
	loadBoundUnsized = 1                // or over the mean, where no list tells how much a replica can take
	reportLifetime   = 10 * time.Second // the weight of a report falls evenly to zero in this time
	spillStep        = 0.1              // an answer that is fully late moves a tenth of the sessions

	probeFromRouters  = 8                      // from so many routers on replicas are probed before use
	probeTimeout      = 120 * time.Millisecond // for the answer to a probe
	probeInterval     = 400 * time.Millisecond // no replica is probed more often
	backlogUnanswered = 1000                   // backlog of a replica that has not answered its probe
	backlogOverloaded = 5                      // and of one that answers that it cannot in time
	maxErrorRate      = 0.2                    // errors a second from which a replica counts as not answering
	backlogLateFactor = 4                      // time of a backlog's prefill against what the targets allow
	maxColdShare      = 4                      // most sessions of a replica in slow start, in even shares

	shedThreshold = 0.08 // mean of lost value from which new sessions are rejected
	shedIncrease  = 0.5  // share rejected more a second, times what is lost above that
	shedDecrease  = 0.1  // share rejected less a second without overload
	maxShedShare  = 0.6  // some must be admitted, or nothing would show that the overload has passed
	tenantMemory  = 64   // requests over which tenants' shares are computed; then older ones count half

	minEjection      = time.Second      // first ejection; doubled while trial requests go on failing
	maxEjection      = 16 * time.Second // and no longer than this
	zoneFailureLimit = 4                // replicas of a zone that fail in a row before the zone is ejected
	maxEjectedShare  = 0.3              // share of the fleet that may be ejected at once
	fullPause        = 500 * time.Millisecond

	// Salts make the hashes of spilling, shedding and slow start independent of the draw and of each other.
	spillSalt     = 0x2545f4914f6cdd1d
	shedSalt      = 0x8cb92ba72f3d8dd7
	slowStartSalt = 0x5bd1e9955bd1e995
)

// Balancer makes the decisions of one router. It is not safe for concurrent use.
type Balancer struct {
	settings       Settings
	rng            *rand.Rand
	requests       map[RequestID]*request
	sessions       sessionTable
	fleet          fleet
	prefixes       prefixes
	loads          loads
	savedRetries   float64 // retries that may be made now
	shedShare      float64 // share of new sessions that is rejected
	lostValue      float64 // running mean of the value that lateness loses
	shedUpdatedAt  Time
	minValue       float64 // lowest value of a class
	loadBound      float64 // loadBoundSized or loadBoundUnsized
	arrivals       float64 // requests so far
	tenants        tenants
	spillShare     float64 // share of the sessions that are drawn over all zones
	watch          watch
	loggedAt       map[string]Time
	probesFirst    bool       // replicas are probed before a session is sent there
	awaitingProbes []*request // requests that wait for probes
}

// New returns a balancer that knows no replicas yet, or an error that names the setting at fault.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:     s,
		rng:          rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		requests:     map[RequestID]*request{},
		sessions:     sessionTable{entries: map[uint64]*list.Element{}},
		fleet:        fleet{byID: map[ReplicaID]*replica{}, zones: map[int]zone{}},
		prefixes:     prefixes{count: map[uint64]float64{}},
		savedRetries: maxSavedRetries,
		loggedAt:     map[string]Time{},
	}
	if b.loadBound = loadBoundSized; s.WeightMeaning == WeightUnused {
		b.loadBound = loadBoundUnsized
	}
	b.minValue = slices.MinFunc(s.Classes, func(x, y Class) int { return cmp.Compare(x.Value, y.Value) }).Value
	for _, t := range s.Tenants {
		b.tenants.share = append(b.tenants.share, t.Share)
		b.tenants.count = append(b.tenants.count, 0)
	}
	for _, c := range s.ReportColumns {
		b.loads.isUsed = append(b.loads.isUsed, c != "" && c != "qps" && c != "eps")
	}
	b.probesFirst = s.Limits.CanProbe && len(s.ReportColumns) > 0 && s.Routers >= probeFromRouters
	return b, nil
}

// The life of a request: attempts, time-outs, the final answer.

type request struct {
	Request
	class        *Class
	seed         uint64 // of its draw: the session, or a random number where it names none
	deadline     Time
	affinityLost bool       // the session's replica may not be used
	answered     bool       // has its final answer, or the client left
	probed       []*replica // drawn for it, and probed
	attempts     []attempt  // one at a time: all but the last are done
}

type attempt struct {
	replica         *replica
	sentAt          Time
	done            bool
	mayHaveRun      bool // it may have run
	staleConnection bool // its connection was at fault, not the replica
}

// RequestArrived takes in a request.
func (b *Balancer) RequestArrived(now Time, a Actions, q Request) {
	if _, known := b.requests[q.ID]; known {
		return
	}
	if q.ID > maxRequestID || q.Class < 0 || q.Class >= len(b.settings.Classes) || q.Timeout <= 0 {
		a.Explain(q.ID, ReasonBadRequest)
		a.Fail(q.ID)
		return
	}
	b.savedRetries = min(b.savedRetries+retriesPerRequest, maxSavedRetries)
	r := &request{Request: q, class: &b.settings.Classes[q.Class], deadline: now + q.Timeout}
	if r.seed = q.Session; r.seed == 0 {
		r.seed = b.rng.Uint64()
	}
	b.requests[q.ID] = r
	b.arrivals++
	b.tenants.countRequest(q.Tenant)
	if q.Prefix != 0 {
		b.prefixes.countRequest(q.Prefix)
	}
	b.place(now, a, r)
}

// ResponseStarted takes in that an answer has begun.
func (b *Balancer) ResponseStarted(now Time, a Actions, e ResponseStarted) {
	b.fleet.recordAnswer(now, e.Replica)
	if r := b.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
		b.learnLatency(now, r, &r.attempts[e.Attempt], e.Elapsed)
	}
}

// learnLatency takes in the latency of a first token, or that there was none for so long.
func (b *Balancer) learnLatency(now Time, r *request, t *attempt, elapsed time.Duration) {
	late := min(max(2*float64(elapsed)/float64(b.targetLatency(r))-1, 0), 1)
	b.learnSpillShare(t.replica, late)
	b.learnShedShare(now, late*(1-r.class.LateValue))
}

// AttemptFinished takes in the outcome of an attempt.
func (b *Balancer) AttemptFinished(now Time, a Actions, o Outcome) {
	b.recordOutcome(now, a, &o)
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return
	}
	t := &r.attempts[o.Attempt]
	t.done = true
	t.mayHaveRun = o.Result != ResultFull && o.Result != ResultConnectFailed && o.Result != ResultNotSent
	t.staleConnection = o.StaleConnection
	t.replica.inFlight--
	b.fleet.inFlight--
	b.learnOutcome(now, r, t, &o)
	switch {
	case r.answered || o.RequestEnded:
		delete(b.requests, r.ID)
	case o.Result == ResultNotSent || now >= r.deadline:
		b.fail(a, r, ReasonDeadline)
	default:
		b.retry(now, a, r)
	}
}

// learnOutcome takes in the latency of an attempt that has ended, where there was no Started.
func (b *Balancer) learnOutcome(now Time, r *request, t *attempt, o *Outcome) {
	switch {
	case o.Result == ResultTimedOut && t.replica.answeredAt > t.sentAt && !r.answered: // else it hangs
		b.learnLatency(now, r, t, r.class.Deadline)
	case o.Result == ResultOK && !r.class.IsStreaming:
		b.learnLatency(now, r, t, o.Elapsed)
	}
}

// ClientDisconnected takes in that the client has left; it gets no answer.
func (b *Balancer) ClientDisconnected(now Time, a Actions, id RequestID) {
	r := b.requests[id]
	if r == nil || r.answered {
		return
	}
	r.answered = true // kept until the outcome of its attempt
	if b.settings.Limits.CanCancel && len(r.attempts) > 0 {
		a.Cancel(id, len(r.attempts)-1)
	}
}

// TimerFired is called when a wait set by Actions.Wake has passed.
func (b *Balancer) TimerFired(now Time, a Actions, token uint64) {
	switch token {
	case timerWatch:
		a.Watch()
	case timerProbes:
		b.sendProbed(now, a)
	}
}

func (b *Balancer) targetLatency(r *request) time.Duration {
	perKTokens := float64(r.class.TargetLatencyPerKTokens)
	return max(r.class.TargetLatency+time.Duration(perKTokens*r.PromptTokens/1000), 1)
}

// place makes the first attempt.
func (b *Balancer) place(now Time, a Actions, r *request) {
	to := b.sessions.find(now, r.Session)
	switch r.affinityLost = to != nil; {
	case to == nil && b.isShedding(r):
		b.reject(a, r, ReasonLoadShed, b.settings.Limits.MaxRetryAfter)
	case to != nil && b.isUsable(now, to, r, purposeAffinity):
		b.send(now, a, r, to, ReasonAffinity)
	default:
		b.sendToDrawn(now, a, r)
	}
}

// sendToDrawn sends r to a replica that is drawn. Where there are many routers, and each uses a replica too
// seldom to know its state, it draws two and probes them, which takes milliseconds.
func (b *Balancer) sendToDrawn(now Time, a Actions, r *request) {
	to, why := b.draw(now, r)
	switch {
	case to == nil:
		b.giveUp(now, a, r, ReasonNoReplica)
		return
	case !b.probesFirst || len(r.probed) > 0 || now+2*probeTimeout > r.deadline:
		b.send(now, a, r, to, why)
		return
	}
	for ; to != nil && len(r.probed) < 2; to, _ = b.draw(now, r) {
		r.probed = append(r.probed, to)
		if now >= to.probedAt+probeInterval {
			to.probedAt, to.backlog = now, backlogUnanswered
			a.Probe(to.ID)
			a.SetTimer(probeTimeout, timerProbes)
		}
	}
	b.awaitingProbes = append(b.awaitingProbes, r)
	b.sendProbed(now, a)
}

// sendProbed sends the requests that need not wait for a probe any more: to the first replica, whose prefix
// cache may have the prompt, unless its backlog is larger than the prefill of the whole prompt at the other.
// Where the better one would be late, too, it rejects at once: the request would make others late.
func (b *Balancer) sendProbed(now Time, a Actions) {
	held := b.awaitingProbes
	b.awaitingProbes = nil
	for _, r := range held {
		isWaiting := func(to *replica) bool { return to.probedAt > to.reportedAt && now < to.probedAt+probeTimeout }
		switch {
		case r.answered: // its client has left
			delete(b.requests, r.ID)
		case slices.ContainsFunc(r.probed, isWaiting):
			b.awaitingProbes = append(b.awaitingProbes, r)
		default:
			var best *replica
			for _, to := range r.probed {
				isBetter := best == nil || to.backlog+r.PromptTokens/1000 < best.backlog
				if b.isUsable(now, to, r, purposeOverBound) && isBetter {
					best = to
				}
			}
			switch perK := backlogLateFactor * float64(r.class.TargetLatencyPerKTokens); {
			case best == nil:
				b.sendToDrawn(now, a, r)
			case !r.IsResumed && best.backlog < backlogUnanswered && best.backlog*perK > float64(b.targetLatency(r)):
				b.giveUp(now, a, r, ReasonLoadShed)
			default:
				b.send(now, a, r, best, b.drawReason(best, purposeNewSession))
			}
		}
	}
}

func (b *Balancer) send(now Time, a Actions, r *request, to *replica, why Reason) {
	if r.affinityLost && why == ReasonSelected && len(r.attempts) == 0 {
		why = ReasonAffinityLost
	}
	r.probed = nil
	r.attempts = append(r.attempts, attempt{replica: to, sentAt: now, mayHaveRun: true})
	to.onTrial = to.duration > 0
	to.inFlight++
	b.fleet.inFlight++
	to.slowStartBudget-- // counts only in slow start
	b.sessions.assign(now, r.Session, to)
	a.Explain(r.ID, why)
	a.Send(r.ID, to.ID, 0)
}

// retry makes another attempt where the rules and the retry budget permit one.
func (b *Balancer) retry(now Time, a Actions, r *request) {
	cost := 1.0
	if last := &r.attempts[len(r.attempts)-1]; !last.mayHaveRun || last.staleConnection {
		cost = 0 // it has not run, or its connection was gone: it cost no replica any work
	}
	switch {
	case len(r.attempts) >= cmp.Or(r.class.MaxAttempts, b.settings.Limits.MaxAttempts):
		b.giveUp(now, a, r, ReasonMaxAttempts)
	case b.savedRetries < cost:
		b.giveUp(now, a, r, ReasonRetryBudget)
	default:
		b.savedRetries -= cost
		b.sendToDrawn(now, a, r)
	}
}

// giveUp ends r without a result: rejected where nothing has run or a repetition is harmless, else failed.
func (b *Balancer) giveUp(now Time, a Actions, r *request, why Reason) {
	b.log(now, a, "rejected", "no engine could take a request")
	c := r.class
	if c.Effect == EffectSafe || c.Effect == EffectKeyed && c.DedupGroup == GroupAll || !r.mayHaveRun() {
		b.reject(a, r, why, min(fullPause, b.settings.Limits.MaxRetryAfter))
	} else {
		b.fail(a, r, why)
	}
}

func (b *Balancer) reject(a Actions, r *request, why Reason, wait time.Duration) {
	delete(b.requests, r.ID)
	a.Explain(r.ID, why)
	if !b.settings.Limits.SendsRetryAfter {
		wait = 0
	}
	a.Reject(r.ID, wait)
}

func (b *Balancer) fail(a Actions, r *request, why Reason) {
	delete(b.requests, r.ID)
	a.Explain(r.ID, why)
	a.Fail(r.ID)
}

// coin is a random number of a kind in (0, 1): the same for all requests of a session, at all routers.
func (r *request) coin(salt uint64) float64 { return unitInterval(hashPair(r.seed, salt)) }

func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(t attempt) bool { return t.mayHaveRun })
}

// permits reports whether the class of r permits another attempt at a replica after those before.
func (r *request) permits(now Time, to *replica) bool {
	if slices.Contains(r.probed, to) {
		return false
	}
	for i := range r.attempts {
		t := &r.attempts[i]
		switch {
		case t.replica == to && !t.staleConnection:
			return false // it was tried
		case !t.mayHaveRun || r.class.Effect == EffectSafe:
		case r.class.Effect == EffectUnsafe || now >= t.sentAt+r.class.DedupWindow:
			return false
		case r.class.DedupGroup == GroupZone && t.replica.Zone != to.Zone:
			return false
		case r.class.DedupGroup == GroupCell && t.replica.Cell != to.Cell:
			return false
		}
	}
	return true
}

// The session table: which replica serves a session. It is bounded; idle entries expire.

type sessionTable struct {
	entries map[uint64]*list.Element
	recent  list.List // of *pin, most recently used first
}

type sessionEntry struct {
	session uint64
	replica *replica
	usedAt  Time
}

func (t *sessionTable) find(now Time, session uint64) *replica {
	e := t.entries[session]
	if session == 0 || e == nil || now-e.Value.(*sessionEntry).usedAt > sessionIdle {
		return nil
	}
	return e.Value.(*sessionEntry).replica
}

func (t *sessionTable) assign(now Time, session uint64, to *replica) {
	if session == 0 {
		return
	}
	if e := t.entries[session]; e != nil {
		*e.Value.(*sessionEntry) = sessionEntry{session, to, now}
		t.recent.MoveToFront(e)
	} else {
		t.entries[session] = t.recent.PushFront(&sessionEntry{session, to, now})
	}
	for last := t.recent.Back(); last != nil; last = t.recent.Back() {
		p := last.Value.(*sessionEntry)
		if t.recent.Len() <= maxSessions && now-p.usedAt <= sessionIdle {
			break
		}
		t.recent.Remove(last)
		delete(t.entries, p.session)
	}
}

// The draw: a random ready replica for a session that has none.

// draw returns a replica that r may go to, or nil. Where ejections leave none, they are ignored.
//
// The draw is seeded by the session (weighted rendezvous hashing): over sessions it is random, in proportion
// to the replicas' weights, yet routers that share nothing, and restarted ones, draw alike. So a conversation
// whose turns reach several routers finds its prompt in one replica's prefix cache.
func (b *Balancer) draw(now Time, r *request) (*replica, Reason) {
	for _, want := range []purpose{purposeNewSession, purposeOverBound, purposeLastResort} {
		for _, p := range b.replicaSets(r) {
			list, n := p.replicas, len(p.replicas)
			if r.Prefix != 0 && n > 0 {
				list = p.ordered(r.Prefix)
				if !b.probesFirst {
					n = b.prefixes.replicasFor(r.Prefix, n)
				}
			}
			for _, some := range [][]*replica{list[:n], list[n:]} {
				if to := b.pick(now, r, some, want); to != nil {
					return to, b.drawReason(to, want)
				}
			}
		}
	}
	return nil, ReasonNoReplica
}

// drawReason returns the reason of a draw, for traces.
func (b *Balancer) drawReason(to *replica, want purpose) Reason {
	switch {
	case want == purposeLastResort:
		return ReasonLastResort
	case want == purposeOverBound:
		return ReasonOverBound
	case to.Zone != b.settings.Zone:
		return ReasonOtherZone
	}
	return ReasonSelected
}

// pick returns the first replica in the session's order that r may go to.
func (b *Balancer) pick(now Time, r *request, some []*replica, want purpose) *replica {
	var best *replica
	lowest := math.Inf(1)
	near := prefixNearFactor * float64(b.prefixes.replicasFor(r.Prefix, len(some)))
	for i, to := range some {
		s := rendezvousScore(r.seed, to)
		switch {
		case !b.probesFirst:
			s /= to.capacityFactor(now)
		case r.Prefix != 0: // weighed by the prefix's order
			s *= near + float64(i)
		}
		if s < lowest && r.permits(now, to) && b.isUsable(now, to, r, want) {
			best, lowest = to, s
		}
	}
	return best
}

// rendezvousScore orders replicas at random by the seed, in proportion to their weights; the lowest is first.
func rendezvousScore(seed uint64, to *replica) float64 {
	return -math.Log(unitInterval(hashPair(seed, uint64(to.ID)))) / to.smoothedWeight
}

// replicaSet is a set of replicas to draw from.
type replicaSet struct {
	replicas []*replica
	byPrefix map[uint64][]*replica // the same, ordered by prefix; made on demand
}

func (p *replicaSet) ordered(prefix uint64) []*replica {
	if o := p.byPrefix[prefix]; o != nil {
		return o
	}
	o := slices.Clone(p.replicas)
	slices.SortFunc(o, func(x, y *replica) int {
		return cmp.Compare(rendezvousScore(prefix, x), rendezvousScore(prefix, y))
	})
	if p.byPrefix == nil || len(p.byPrefix) > maxPrefixes {
		p.byPrefix = map[uint64][]*replica{}
	}
	p.byPrefix[prefix] = o
	return o
}

// prefixes counts the recent requests of each shared prefix.
type prefixes struct {
	count map[uint64]float64
	total float64
}

func (p *prefixes) countRequest(prefix uint64) {
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

// replicasFor returns how many of n replicas serve a prefix: its share of the traffic, with a reserve. A new
// one, which may become popular, starts with many.
func (p *prefixes) replicasFor(prefix uint64, n int) int {
	share := p.count[prefix] / (p.total + prefixPrior)
	return min(n, int(math.Ceil(float64(n)*share*prefixSpread)))
}

// replicaSets lists the sets to draw from, in order: this zone first, since leaving it has a price. Sessions
// that spill are drawn over all zones, lest one be full while others have capacity: at least what a zone with
// less than an even share of the fleet lacks is spilled.
func (b *Balancer) replicaSets(r *request) []*replicaSet {
	lacks := 1 - b.fleet.sameZoneShare*float64(b.settings.Zones)
	if len(b.loads.isUsed) == 0 {
		lacks = max(lacks, 2*b.shedShare) // no report shows a full zone, but shedding does
	}
	if r.coin(spillSalt) < max(b.spillShare, lacks) {
		return []*replicaSet{&b.fleet.all}
	}
	return []*replicaSet{&b.fleet.sameZone, &b.fleet.otherZones}
}

// learnSpillShare moves the spilled share by how late an answer was, from 0 (within half of its target) to 1
// (past it): up while lateness here exceeds that elsewhere by more than the price of crossing, else down.
func (b *Balancer) learnSpillShare(to *replica, late float64) {
	near := 1 - b.spillShare
	if to.Zone == b.settings.Zone {
		b.spillShare += spillStep * (late - b.settings.CrossZonePrice)
	} else {
		b.spillShare -= spillStep * late * min(near/max(b.spillShare, 0.01), 10)
	}
	b.spillShare = min(max(b.spillShare, 0), 1)
}

// Replica health: what this router knows of each replica.

type fleet struct {
	byID                 map[ReplicaID]*replica
	sameZone, otherZones replicaSet // listed as ready, here and elsewhere, in the order of their ids
	all                  replicaSet // both
	zones                map[int]zone
	inFlight             int     // attempts at any of them
	usualReplicas        float64 // number of ready replicas, or of late if there were more
	sameZoneShare        float64 // share of the listed weight that is in this zone
}

// ejection keeps requests from a replica, or from a zone, that does not answer.
type ejection struct {
	until    Time          // nothing is sent there before
	duration time.Duration // of the last one; 0 = not ejected
}

func (c *ejection) extend(now Time) {
	c.duration = min(max(2*c.duration, minEjection), maxEjection)
	c.until = now + c.duration
}

// zone is what this router knows of a zone as a whole.
type zone struct {
	ejection
	failures int // ejections of its replicas since any of them answered
}

type replica struct {
	Replica
	drainingSince Time // when the list first said so
	ejection
	smoothedWeight    float64 // its listed weight, a running mean where that follows the load
	inFlight          int     // attempts of this router
	onTrial           bool    // after an ejection, while one request tests it
	fullUntil         Time    // it rejected a request and need not be asked for a moment
	slowStartUntil    Time
	slowStartBudget   float64 // attempts that it may still be sent in slow start
	slowStartBudgetAt float64 // arrivals when the budget was last computed
	probedAt          Time    // last probe
	answeredAt        Time    // last answer
	errors            int     // since then
	reportedAt        Time
	backlog           float64 // thousands of prompt tokens, or equal work, ahead by its last report
	load              float64 // by its last report, against the mean of all reports; 0 = no report yet
}

// purpose is what a replica is wanted for.
type purpose uint8

const (
	purposeAffinity purpose = iota
	purposeNewSession
	purposeOverBound  // all usable ones are over the load bound: no reason to try an ejected one
	purposeLastResort // nothing was usable: ejections are ignored, drains and slow start never
)

// isUsable is the one place that decides whether r may go to a replica now.
func (b *Balancer) isUsable(now Time, to *replica, r *request, p purpose) bool {
	switch {
	case to.State == StateGone:
		return false
	case to.State == StateDraining && (p != purposeAffinity || now >= to.drainingSince+b.settings.DrainGrace):
		return false
	case p == purposeLastResort:
	case to.onTrial || now < max(to.until, to.fullUntil, b.fleet.zones[to.Zone].until):
		return false
	case p == purposeNewSession && b.isOverLoadBound(to):
		return false
	}
	return !b.isTooCold(now, to, r)
}

func (b *Balancer) isOverLoadBound(to *replica) bool {
	mean := float64(b.fleet.inFlight) / float64(len(b.fleet.all.replicas))
	return float64(to.inFlight) > b.loadBound*mean+1
}

// isTooCold reports whether a replica in slow start may not take r. It takes a share of its usual traffic,
// affinity included, that grows evenly. A coin by session and replica chooses, so that all routers agree; a
// budget bounds what this router sends. So sessions, a popular prefix or what others reject cannot flood it.
func (b *Balancer) isTooCold(now Time, to *replica, r *request) bool {
	if now >= to.slowStartUntil {
		return false
	}
	warm := max(1-float64(to.slowStartUntil-now)/float64(b.settings.SlowStart), 0)
	share := b.settings.SlowStartInitial + (1-b.settings.SlowStartInitial)*min(warm, 1)
	if b.probesFirst { // too few requests arrive here to save up a whole attempt: the draw is the bound
		drawn := rendezvousScore(r.seed, to)*to.smoothedWeight <= maxColdShare/b.fleet.usualReplicas
		return r.coin(slowStartSalt^uint64(to.ID)) >= share || !drawn
	}
	to.slowStartBudget = min(to.slowStartBudget+share*(b.arrivals-to.slowStartBudgetAt)/b.fleet.usualReplicas, 1)
	to.slowStartBudgetAt = b.arrivals
	return to.slowStartBudget < 1 || r.coin(slowStartSalt^uint64(to.ID)) >= share
}

// recordAnswer notes that a replica has answered.
func (f *fleet) recordAnswer(now Time, id ReplicaID) {
	if to := f.byID[id]; to != nil {
		to.ejection, to.onTrial, to.answeredAt, to.errors = ejection{}, false, now, 0
		f.zones[to.Zone] = zone{}
	}
}

// recordOutcome notes what the end of an attempt says about its replica.
func (b *Balancer) recordOutcome(now Time, a Actions, o *Outcome) {
	to := b.fleet.byID[o.Replica]
	if to == nil {
		return
	}
	to.onTrial = false
	b.recordReport(now, to, o.Report)
	switch o.Result {
	case ResultOK:
		b.fleet.recordAnswer(now, o.Replica)
	case ResultError:
		// Fast errors must not attract sessions. A single error may be the request's own fault.
		if to.errors++; to.errors >= 2 {
			b.eject(now, a, to, "errors")
		}
	case ResultTimedOut:
		// Unlike a replica with one slow request, one that hangs has answered nobody meanwhile.
		if to.answeredAt <= now-o.Elapsed {
			b.eject(now, a, to, "no answer")
		}
	case ResultFull:
		to.fullUntil = now + fullPause
	case ResultConnectFailed, ResultReset:
		if !o.StaleConnection {
			b.eject(now, a, to, "no connection")
		}
	}
}

// eject keeps requests from a replica for a while, unless too much of the fleet is ejected: a shared cause is
// likelier then, and the rest could not take the load. When replicas of a zone fail in a row and none
// answers, the zone (unless it is the only one) is ejected: with little traffic it takes long to try each.
func (b *Balancer) eject(now Time, a Actions, to *replica, why string) {
	f := &b.fleet
	to.onTrial = false
	if now < to.until {
		return
	}
	z := f.zones[to.Zone]
	if z.failures++; b.settings.Zones > 1 && z.failures >= zoneFailureLimit && now >= z.until {
		z.ejection.extend(now)
		b.log(now, a, "zone", fmt.Sprintf("zone %d: nothing answers; ejected for %v", to.Zone, z.duration))
	}
	f.zones[to.Zone] = z
	ejected := 0
	for _, other := range f.all.replicas {
		if other.duration > 0 {
			ejected++
		}
	}
	if to.duration == 0 && float64(ejected) >= maxEjectedShare*float64(len(f.all.replicas)) {
		return
	}
	to.ejection.extend(now)
	b.log(now, a, "ejected", fmt.Sprintf("engine %d: %s; ejected for %v", to.ID, why, to.duration))
}

// Load reports.

// loads turns reports into loads that can be compared between replicas.
type loads struct {
	isUsed []bool // columns that grow with the work of a replica
	mean   [4]float64
}

// relativeLoad returns the mean of a report's used columns, each against its running mean.
func (l *loads) relativeLoad(p Report) float64 {
	var sum, n float64
	for i, use := range l.isUsed {
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

// capacityFactor is how much more (or less) than its weight a replica should draw, by its last report, which
// counts less with age: a stale one must not send all routers to one replica, or all away from it.
func (to *replica) capacityFactor(now Time) float64 {
	fresh := 1 - float64(now-to.reportedAt)/float64(reportLifetime)
	if to.load == 0 || fresh <= 0 {
		return 1
	}
	f := 2 / (1 + to.load)
	if to.slowStartUntil > now {
		f = min(f, 1) // an empty replica in slow start reports little load
	}
	return 1 + (f*f-1)*fresh
}

// ProbeFinished takes in the result of a probe.
func (b *Balancer) ProbeFinished(now Time, a Actions, p ProbeResult) {
	to := b.fleet.byID[p.Replica]
	if to == nil {
		return
	}
	if p.Result == ResultConnectFailed {
		b.eject(now, a, to, "no connection")
	}
	to.reportedAt = now
	switch p.Result {
	case ResultOK:
		to.backlog = 0
	case ResultError:
		to.backlog = backlogOverloaded
	}
	b.recordReport(now, to, p.Report)
	b.sendProbed(now, a)
}

// recordReport takes in a load report.
func (b *Balancer) recordReport(now Time, to *replica, p Report) {
	if p.N == 0 {
		return
	}
	to.load, to.reportedAt = b.loads.relativeLoad(p), now
	to.backlog = 0
	for i, c := range b.settings.ReportColumns[:min(p.N, len(b.settings.ReportColumns))] {
		switch v := p.Values[i]; {
		case c == "x1" && v >= 0:
			to.backlog += v
		case c == "inflight" && v >= 0: // each slows down the others
			to.backlog += v / 2
		case c == "eps" && v > maxErrorRate:
			to.backlog += backlogUnanswered
		}
	}
}

// Admission.

// isShedding reports whether a new session is rejected, to keep the rest in time. A retry gets the same coin.
func (b *Balancer) isShedding(r *request) bool {
	if b.shedShare <= 0 {
		return false
	}
	share := b.tenants.rejectShare(r.Tenant, b.shedShare)
	return r.coin(shedSalt) < share*b.minValue/r.class.Value
}

// tenants counts the recent requests of each tenant, against its share.
type tenants struct {
	share, count []float64
	total        float64
}

func (t *tenants) countRequest(tenant int) {
	if tenant < 0 || tenant >= len(t.count) {
		return
	}
	if t.total >= tenantMemory {
		for i := range t.count {
			t.count[i] /= 2
		}
		t.total /= 2
	}
	t.count[tenant]++
	t.total++
}

// rejectShare divides a share to be rejected between the tenants: what is beyond a tenant's share goes first.
func (t *tenants) rejectShare(tenant int, share float64) float64 {
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

// learnShedShare moves the rejected share: up while lateness loses value, else evenly down.
// The way down takes seconds, so that shedding ends with the overload.
func (b *Balancer) learnShedShare(now Time, lost float64) {
	dt := secondsSince(now, &b.shedUpdatedAt)
	b.lostValue += (lost - b.lostValue) / 8
	if b.lostValue > shedThreshold {
		b.shedShare += shedIncrease * dt * (b.lostValue - shedThreshold)
	} else {
		b.shedShare -= shedDecrease * dt
	}
	b.shedShare = min(max(b.shedShare, 0), maxShedShare)
}

// The watch on discovery.

const timerWatch, timerProbes = 0, 1 // tokens of timers

type watch struct {
	started bool
	backoff time.Duration // wait before the next call after a failure
}

// ListUpdated takes in an update of the list of replicas.
func (b *Balancer) ListUpdated(now Time, a Actions, l List) {
	if l.Kind == ListFailed {
		b.watch.backoff = min(max(2*b.watch.backoff, minWatchBackoff), b.settings.WatchWithin)
		b.scheduleWatch(a, b.watch.backoff/2, b.watch.backoff)
		b.log(now, a, "discovery", "discovery failed a call; asking again later")
		return
	}
	b.updateReplicas(now, l)
	if l.Kind != ListCached {
		b.watch.backoff = 0
	}
	if !b.watch.started {
		// Routers that start together must not ask together: discovery rejects a crowd.
		b.watch.started = true
		b.scheduleWatch(a, 0, b.settings.WatchWithin/2)
	}
}

// scheduleWatch sets the timer of the next call, at a random time between two bounds.
func (b *Balancer) scheduleWatch(a Actions, minWait, maxWait time.Duration) {
	if b.settings.NeedsWatch {
		a.SetTimer(minWait+time.Duration(b.rng.Int64N(int64(maxWait-minWait)+1)), timerWatch)
	}
}

func (b *Balancer) updateReplicas(now Time, l List) {
	f := &b.fleet
	listed := map[ReplicaID]bool{}
	for _, e := range l.Replicas {
		b.updateReplica(now, e)
		listed[e.ID] = true
	}
	for id, to := range f.byID {
		if l.Kind != ListDelta && !listed[id] {
			to.State = StateGone
		}
		if to.State == StateGone {
			delete(f.byID, id) // the session table and attempts may still refer to it
		}
	}
	f.rebuild(b.settings.Zone)
}

// updateReplica takes in one entry of the list.
func (b *Balancer) updateReplica(now Time, e Replica) {
	to, known := b.fleet.byID[e.ID]
	if !known {
		to = &replica{}
		b.fleet.byID[e.ID] = to
	}
	if e.State != StateReady && to.State == StateReady {
		to.drainingSince = now
	}
	if !(e.Weight > 0) {
		e.Weight = 1
	}
	if !known || e.ReadyAt != to.ReadyAt { // another process: what was known of the one before is void
		// The budget starts below one attempt, so that many routers do not send their first one at once.
		*to = replica{drainingSince: to.drainingSince, inFlight: to.inFlight}
		to.slowStartBudget, to.slowStartBudgetAt = b.rng.Float64(), b.arrivals
	}
	to.slowStartUntil = 0
	if e.ReadyAt != 0 {
		to.slowStartUntil = e.ReadyAt + b.settings.SlowStart
	}
	before := to.smoothedWeight
	to.Replica, to.smoothedWeight = e, e.Weight
	if b.settings.WeightMeaning == WeightLive && before > 0 {
		to.smoothedWeight = before + (e.Weight-before)/16
	}
}

// rebuild makes the sets to draw from anew.
func (f *fleet) rebuild(ownZone int) {
	f.sameZone, f.otherZones, f.all = replicaSet{}, replicaSet{}, replicaSet{}
	for _, to := range f.byID {
		if to.State == StateReady {
			f.all.replicas = append(f.all.replicas, to)
		}
	}
	slices.SortFunc(f.all.replicas, func(x, y *replica) int { return cmp.Compare(x.ID, y.ID) })
	var near, sum float64
	for _, to := range f.all.replicas {
		sum += to.Weight
		if to.Zone == ownZone {
			near += to.Weight
			f.sameZone.replicas = append(f.sameZone.replicas, to)
		} else {
			f.otherZones.replicas = append(f.otherZones.replicas, to)
		}
	}
	f.usualReplicas = max(float64(len(f.all.replicas)), f.usualReplicas*0.99)
	f.sameZoneShare = near / max(sum, 1e-9)
}

// log writes a line, unless one of its kind was written lately.
func (b *Balancer) log(now Time, a Actions, kind, line string) {
	if last, ok := b.loggedAt[kind]; ok && now-last < logInterval {
		return
	}
	b.loggedAt[kind] = now
	a.Log(line)
}

// secondsSince returns the seconds since last, one at most, and sets last to now.
func secondsSince(now Time, last *Time) float64 {
	dt := min(now-*last, time.Second).Seconds()
	*last = now
	return dt
}

// hashPair hashes two words; unit maps a hash into (0, 1).
func hashPair(x, y uint64) uint64 {
	x = (x ^ y*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>32) * 0x94d049bb133111eb
	return x ^ x>>29
}

func unitInterval(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }
