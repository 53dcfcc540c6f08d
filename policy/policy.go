package policy

// This file contains every decision of the balancer. The types of its interface are in api.go.
//
// A session stays with the replica that served it first, for as long as that replica responds (session
// affinity). Other sessions go to a ready replica that is selected pseudo-randomly.

import (
	"cmp"
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Shares are fractions from 0 to 1. Constants without a unit in their comment are factors.
const (
	maxRequestID = 1<<52 - 1
	maxSessions  = 1 << 16          // session table entries; the least recently used one is evicted
	sessionIdle  = 10 * time.Minute // longer than a user's think time, so that only abandoned sessions expire

	retryBudgetPerRequest = 0.1 // retries; a low ratio keeps retries from amplifying an overload
	maxRetryBudget        = 10  // retries; covers the requests that one replica crash interrupts
	minWatchBackoff       = time.Second
	logInterval           = 5 * time.Second // minimum interval between log lines of one kind

	prefixReplicaFactor    = 3    // replicas of a prefix, relative to its share of the traffic
	prefixRankOffsetFactor = 2    // offset of the ranks in a prefix's order, per replica of the prefix
	prefixPriorRequests    = 5    // added to the total, so that the first requests do not dominate a share
	prefixWindow           = 256  // requests; at this total all prefix counts are halved
	maxPrefixes            = 1024 // cached replica orders of a replica set

	loadBoundSized   = 2                // in-flight attempts of a replica, relative to the mean; with sizes
	loadBoundUnsized = 1                // the same without sizes; lower, as replicas may be small
	reportLifetime   = 10 * time.Second // the weight of a load report decays linearly to zero
	spillStep        = 0.1              // change of the spilled share for one late response

	minRoutersForProbes = 8                      // with fewer routers each one knows the state of its replicas
	probeTimeout        = 120 * time.Millisecond // a probe without a response by then has failed
	probeInterval       = 400 * time.Millisecond // minimum interval between probes of a replica
	backlogUnanswered   = 1000                   // backlog assumed for a replica that did not answer its probe
	backlogOverloaded   = 5                      // backlog assumed for a replica that answered it with an error
	maxErrorRate        = 0.2                    // errors per second; above it a replica counts as unresponsive
	backlogLateFactor   = 4                      // margin on a backlog's prefill time against the latency target
	maxSlowStartShare   = 4                      // limit on sessions in slow start, relative to an even share

	shedThreshold = 0.08 // mean lost value above which new sessions are rejected
	shedIncrease  = 0.5  // increase of the rejected share per second and unit of lost value
	shedDecrease  = 0.1  // decrease of the rejected share per second
	maxShedShare  = 0.6  // some sessions must be admitted, or the end of an overload would go unnoticed
	tenantWindow  = 64   // requests; at this total all tenant counts are halved

	minEjection      = time.Second      // first ejection; each further one lasts twice as long
	maxEjection      = 16 * time.Second // upper bound of an ejection
	zoneFailureLimit = 4                // consecutive replica failures after which a zone is ejected
	maxEjectedShare  = 0.3              // share of the fleet that may be ejected at the same time
	fullBackoff      = 500 * time.Millisecond

	// The salts make hashes for different decisions independent of replica selection and of each other.
	spillSalt     = 0x2545f4914f6cdd1d
	shedSalt      = 0x8cb92ba72f3d8dd7
	slowStartSalt = 0x5bd1e9955bd1e995
)

// Balancer makes the decisions of one router. It is not safe for concurrent use.
type Balancer struct {
	settings         Settings
	rng              *rand.Rand
	requests         map[RequestID]*request
	sessions         sessionTable
	fleet            fleet
	prefixes         prefixes
	loads            loads
	retryBudget      float64 // available retries
	shedShare        float64 // share of new sessions that is rejected
	lostValue        float64 // running mean of the value that requests lose by lateness
	shedUpdatedAt    Time
	minValue         float64 // lowest value of a class
	loadBound        float64 // loadBoundSized or loadBoundUnsized
	arrivals         float64 // number of requests received
	tenants          tenants
	spillShare       float64 // share of sessions whose replica is selected from all zones
	watch            watch
	loggedAt         map[string]Time
	probesBeforeSend bool       // new sessions wait for probes of two replicas
	awaitingProbes   []*request // requests that wait for probes
}

// New returns a balancer with an empty replica list. Its error names the invalid setting.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:    s,
		rng:         rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		requests:    map[RequestID]*request{},
		sessions:    sessionTable{entries: map[uint64]*list.Element{}},
		fleet:       fleet{byID: map[ReplicaID]*replica{}, zones: map[int]zone{}},
		prefixes:    prefixes{count: map[uint64]float64{}},
		retryBudget: maxRetryBudget,
		loggedAt:    map[string]Time{},
	}
	if b.loadBound = loadBoundSized; s.WeightMeaning == WeightUnused {
		b.loadBound = loadBoundUnsized
	}
	b.minValue = slices.MinFunc(s.Classes, func(x, y Class) int { return cmp.Compare(x.Value, y.Value) }).Value
	for _, tenant := range s.Tenants {
		b.tenants.share = append(b.tenants.share, tenant.Share)
		b.tenants.count = append(b.tenants.count, 0)
	}
	for _, column := range s.ReportColumns {
		b.loads.usedColumns = append(b.loads.usedColumns, column != "" && column != "qps" && column != "eps")
	}
	b.probesBeforeSend = s.Limits.CanProbe && len(s.ReportColumns) > 0 && s.Routers >= minRoutersForProbes
	return b, nil
}

// Requests: attempts, timeouts and final responses.

type request struct {
	Request
	class        *Class
	seed         uint64 // of replica selection: the session, or a random number without one
	deadline     Time
	affinityLost bool       // the session's replica is unavailable
	isCompleted  bool       // has its final response, or the client disconnected
	probed       []*replica // selected for it and probed
	attempts     []attempt  // sequential: all but the last are done
}

type attempt struct {
	replica         *replica
	sentAt          Time
	done            bool
	mayHaveRun      bool // false once it is known that the replica did not run it
	staleConnection bool // it failed on a reused connection that the replica had closed
}

// RequestArrived handles a new request. A known id is ignored, and an invalid request fails.
func (b *Balancer) RequestArrived(now Time, a Actions, req Request) {
	if _, known := b.requests[req.ID]; known {
		return
	}
	if req.ID > maxRequestID || req.Class < 0 || req.Class >= len(b.settings.Classes) || req.Timeout <= 0 {
		a.Explain(req.ID, ReasonBadRequest)
		a.Fail(req.ID)
		return
	}
	b.retryBudget = min(b.retryBudget+retryBudgetPerRequest, maxRetryBudget)
	r := &request{Request: req, class: &b.settings.Classes[req.Class], deadline: now + req.Timeout}
	if r.seed = req.Session; r.seed == 0 {
		r.seed = b.rng.Uint64()
	}
	b.requests[req.ID] = r
	b.arrivals++
	b.tenants.countRequest(req.Tenant)
	if req.Prefix != 0 {
		b.prefixes.countRequest(req.Prefix)
	}
	b.sendFirstAttempt(now, a, r)
}

// ResponseStarted handles the start of a response and records its latency.
func (b *Balancer) ResponseStarted(now Time, a Actions, e ResponseStarted) {
	b.fleet.recordResponse(now, e.Replica)
	if r := b.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
		b.recordLatency(now, r, &r.attempts[e.Attempt], e.Elapsed)
	}
}

// recordLatency updates spilling and shedding by how long r waited for its first token.
func (b *Balancer) recordLatency(now Time, r *request, att *attempt, elapsed time.Duration) {
	lateness := min(max(2*float64(elapsed)/float64(b.targetLatency(r))-1, 0), 1)
	b.updateSpillShare(att.replica, lateness)
	b.updateShedShare(now, lateness*(1-r.class.LateValue))
}

// AttemptFinished handles the outcome of an attempt: it ends the request or retries it.
func (b *Balancer) AttemptFinished(now Time, a Actions, outcome Outcome) {
	b.recordOutcome(now, a, &outcome)
	r := b.requests[outcome.ID]
	if r == nil || outcome.Attempt < 0 || outcome.Attempt >= len(r.attempts) ||
		r.attempts[outcome.Attempt].done {
		return
	}
	att := &r.attempts[outcome.Attempt]
	att.done = true
	att.mayHaveRun = outcome.Result != ResultFull && outcome.Result != ResultConnectFailed &&
		outcome.Result != ResultNotSent
	att.staleConnection = outcome.StaleConnection
	att.replica.inFlight--
	b.fleet.inFlight--
	b.recordOutcomeLatency(now, r, att, &outcome)
	switch {
	case r.isCompleted || outcome.RequestEnded:
		delete(b.requests, r.ID)
	case outcome.Result == ResultNotSent || now >= r.deadline:
		b.fail(a, r, ReasonDeadline)
	default:
		b.retry(now, a, r)
	}
}

// recordOutcomeLatency records the latency of a finished attempt that had no ResponseStarted.
func (b *Balancer) recordOutcomeLatency(now Time, r *request, att *attempt, outcome *Outcome) {
	switch {
	case outcome.Result == ResultTimedOut && // a replica without responses hangs and is not overloaded
		att.replica.lastResponseAt > att.sentAt && !r.isCompleted:
		b.recordLatency(now, r, att, r.class.Deadline)
	case outcome.Result == ResultOK && !r.class.IsStreaming:
		b.recordLatency(now, r, att, outcome.Elapsed)
	}
}

// ClientDisconnected cancels the running attempt of a request. The request gets no response.
func (b *Balancer) ClientDisconnected(now Time, a Actions, id RequestID) {
	r := b.requests[id]
	if r == nil || r.isCompleted {
		return
	}
	r.isCompleted = true // kept until its attempt finishes
	if b.settings.Limits.CanCancel && len(r.attempts) > 0 {
		a.Cancel(id, len(r.attempts)-1)
	}
}

// TimerFired handles the expiry of a timer set by Actions.SetTimer.
func (b *Balancer) TimerFired(now Time, a Actions, token uint64) {
	switch token {
	case timerWatch:
		a.Watch()
	case timerProbes:
		b.sendAfterProbes(now, a)
	}
}

func (b *Balancer) targetLatency(r *request) time.Duration {
	perKTokens := float64(r.class.TargetLatencyPerKTokens)
	return max(r.class.TargetLatency+time.Duration(perKTokens*r.PromptTokens/1000), 1)
}

// sendFirstAttempt sends r to the replica of its session, or to a selected one. It may reject a new session.
func (b *Balancer) sendFirstAttempt(now Time, a Actions, r *request) {
	target := b.sessions.find(now, r.Session)
	switch r.affinityLost = target != nil; {
	case target == nil && b.shouldShed(r):
		b.reject(a, r, ReasonLoadShed, b.settings.Limits.MaxRetryAfter)
	case target != nil && b.isUsable(now, target, r, purposeAffinity):
		b.send(now, a, r, target, ReasonAffinity)
	default:
		b.sendToSelected(now, a, r)
	}
}

// sendToSelected sends r to a selected replica. With many routers, each of which uses a replica too rarely to
// know its state, it first probes two selected replicas, which takes milliseconds.
func (b *Balancer) sendToSelected(now Time, a Actions, r *request) {
	target, reason := b.selectReplica(now, r)
	switch {
	case target == nil:
		b.giveUp(now, a, r, ReasonNoReplica)
		return
	case !b.probesBeforeSend || len(r.probed) > 0 || now+2*probeTimeout > r.deadline:
		b.send(now, a, r, target, reason)
		return
	}
	for ; target != nil && len(r.probed) < 2; target, _ = b.selectReplica(now, r) {
		r.probed = append(r.probed, target)
		if now >= target.probedAt+probeInterval {
			target.probedAt, target.backlog = now, backlogUnanswered
			a.Probe(target.ID)
			a.SetTimer(probeTimeout, timerProbes)
		}
	}
	b.awaitingProbes = append(b.awaitingProbes, r)
	b.sendAfterProbes(now, a)
}

// sendAfterProbes sends each request whose probes have completed or timed out. It prefers the first replica,
// whose prefix cache may hold the prompt, unless its backlog exceeds the other's by more than the prompt.
// A request that would be late at both is rejected at once, because it would delay other requests.
func (b *Balancer) sendAfterProbes(now Time, a Actions) {
	waiting := b.awaitingProbes
	b.awaitingProbes = nil
	for _, r := range waiting {
		isPending := func(target *replica) bool {
			return target.probedAt > target.reportedAt && now < target.probedAt+probeTimeout
		}
		switch {
		case r.isCompleted: // the client disconnected
			delete(b.requests, r.ID)
		case slices.ContainsFunc(r.probed, isPending):
			b.awaitingProbes = append(b.awaitingProbes, r)
		default:
			var best *replica
			for _, target := range r.probed {
				isBetter := best == nil || target.backlog+r.PromptTokens/1000 < best.backlog
				if b.isUsable(now, target, r, purposeOverBound) && isBetter {
					best = target
				}
			}
			switch latencyPerK := backlogLateFactor * float64(r.class.TargetLatencyPerKTokens); {
			case best == nil:
				b.sendToSelected(now, a, r)
			case !r.IsResumed && best.backlog < backlogUnanswered &&
				best.backlog*latencyPerK > float64(b.targetLatency(r)):
				b.giveUp(now, a, r, ReasonLoadShed)
			default:
				b.send(now, a, r, best, b.selectionReason(best, purposeNewSession))
			}
		}
	}
}

func (b *Balancer) send(now Time, a Actions, r *request, target *replica, reason Reason) {
	if r.affinityLost && reason == ReasonSelected && len(r.attempts) == 0 {
		reason = ReasonAffinityLost
	}
	r.probed = nil
	r.attempts = append(r.attempts, attempt{replica: target, sentAt: now, mayHaveRun: true})
	target.onTrial = target.duration > 0
	target.inFlight++
	b.fleet.inFlight++
	target.slowStartBudget-- // applies only in slow start
	b.sessions.assign(now, r.Session, target)
	a.Explain(r.ID, reason)
	a.Send(r.ID, target.ID, 0)
}

// retry makes another attempt if the maximum of attempts and the retry budget allow it.
func (b *Balancer) retry(now Time, a Actions, r *request) {
	cost := 1.0
	if last := &r.attempts[len(r.attempts)-1]; !last.mayHaveRun || last.staleConnection {
		cost = 0 // the failed attempt caused no work at a replica
	}
	switch {
	case len(r.attempts) >= cmp.Or(r.class.MaxAttempts, b.settings.Limits.MaxAttempts):
		b.giveUp(now, a, r, ReasonMaxAttempts)
	case b.retryBudget < cost:
		b.giveUp(now, a, r, ReasonRetryBudget)
	default:
		b.retryBudget -= cost
		b.sendToSelected(now, a, r)
	}
}

// giveUp rejects r if no attempt has run or a repetition is harmless, and fails it otherwise.
func (b *Balancer) giveUp(now Time, a Actions, r *request, reason Reason) {
	b.log(now, a, "rejected", "no engine could take a request")
	c := r.class
	if c.Effect == EffectSafe || c.Effect == EffectKeyed && c.DedupGroup == GroupAll || !r.mayHaveRun() {
		b.reject(a, r, reason, min(fullBackoff, b.settings.Limits.MaxRetryAfter))
	} else {
		b.fail(a, r, reason)
	}
}

func (b *Balancer) reject(a Actions, r *request, reason Reason, wait time.Duration) {
	delete(b.requests, r.ID)
	a.Explain(r.ID, reason)
	if !b.settings.Limits.SendsRetryAfter {
		wait = 0
	}
	a.Reject(r.ID, wait)
}

func (b *Balancer) fail(a Actions, r *request, reason Reason) {
	delete(b.requests, r.ID)
	a.Explain(r.ID, reason)
	a.Fail(r.ID)
}

// hashFraction returns a hash in (0, 1) that is the same for all requests of a session at all routers.
func (r *request) hashFraction(salt uint64) float64 { return unitInterval(hashPair(r.seed, salt)) }

func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(att attempt) bool { return att.mayHaveRun })
}

// permits reports whether r may be sent to a replica, considering its class and its previous attempts.
func (r *request) permits(now Time, target *replica) bool {
	if slices.Contains(r.probed, target) {
		return false
	}
	for i := range r.attempts {
		att := &r.attempts[i]
		switch {
		case att.replica == target && !att.staleConnection:
			return false // already tried
		case !att.mayHaveRun || r.class.Effect == EffectSafe:
		case r.class.Effect == EffectUnsafe || now >= att.sentAt+r.class.DedupWindow:
			return false
		case r.class.DedupGroup == GroupZone && att.replica.Zone != target.Zone:
			return false
		case r.class.DedupGroup == GroupCell && att.replica.Cell != target.Cell:
			return false
		}
	}
	return true
}

// Session table: the replica of each session. It is bounded, and idle entries expire.

type sessionTable struct {
	entries map[uint64]*list.Element
	recent  list.List // of *sessionEntry, most recently used first
}

type sessionEntry struct {
	session uint64
	replica *replica
	usedAt  Time
}

func (t *sessionTable) find(now Time, session uint64) *replica {
	element := t.entries[session]
	if session == 0 || element == nil || now-element.Value.(*sessionEntry).usedAt > sessionIdle {
		return nil
	}
	return element.Value.(*sessionEntry).replica
}

func (t *sessionTable) assign(now Time, session uint64, target *replica) {
	if session == 0 {
		return
	}
	if element := t.entries[session]; element != nil {
		*element.Value.(*sessionEntry) = sessionEntry{session, target, now}
		t.recent.MoveToFront(element)
	} else {
		t.entries[session] = t.recent.PushFront(&sessionEntry{session, target, now})
	}
	for oldest := t.recent.Back(); oldest != nil; oldest = t.recent.Back() {
		entry := oldest.Value.(*sessionEntry)
		if t.recent.Len() <= maxSessions && now-entry.usedAt <= sessionIdle {
			break
		}
		t.recent.Remove(oldest)
		delete(t.entries, entry.session)
	}
}

// Replica selection for sessions without a replica.

// selectReplica returns a replica for r, or nil. Ejections are ignored if they leave no replica.
//
// It uses weighted rendezvous hashing with the session as the key. Over many sessions the selection is random
// in proportion to the replicas' weights. Routers that share no state, and restarted routers, select the same
// replica for a session, so that the turns of a conversation find their prompt in one prefix cache.
func (b *Balancer) selectReplica(now Time, r *request) (*replica, Reason) {
	for _, p := range []purpose{purposeNewSession, purposeOverBound, purposeLastResort} {
		for _, set := range b.candidateSets(r) {
			replicas, n := set.replicas, len(set.replicas)
			if r.Prefix != 0 && n > 0 {
				replicas = set.orderedFor(r.Prefix)
				if !b.probesBeforeSend {
					n = b.prefixes.replicasFor(r.Prefix, n)
				}
			}
			for _, part := range [][]*replica{replicas[:n], replicas[n:]} {
				if target := b.selectFrom(now, r, part, p); target != nil {
					return target, b.selectionReason(target, p)
				}
			}
		}
	}
	return nil, ReasonNoReplica
}

// selectionReason returns the reason of a selection, for traces.
func (b *Balancer) selectionReason(target *replica, p purpose) Reason {
	switch {
	case p == purposeLastResort:
		return ReasonLastResort
	case p == purposeOverBound:
		return ReasonOverBound
	case target.Zone != b.settings.Zone:
		return ReasonOtherZone
	}
	return ReasonSelected
}

// selectFrom returns the usable replica with the lowest score for the session of r, or nil.
func (b *Balancer) selectFrom(now Time, r *request, candidates []*replica, p purpose) *replica {
	var best *replica
	lowest := math.Inf(1)
	rankOffset := prefixRankOffsetFactor * float64(b.prefixes.replicasFor(r.Prefix, len(candidates)))
	for i, target := range candidates {
		score := rendezvousScore(r.seed, target)
		switch {
		case !b.probesBeforeSend:
			score /= target.capacityFactor(now)
		case r.Prefix != 0: // prefer replicas that come first in the prefix's order
			score *= rankOffset + float64(i)
		}
		if score < lowest && r.permits(now, target) && b.isUsable(now, target, r, p) {
			best, lowest = target, score
		}
	}
	return best
}

// rendezvousScore returns the weighted rendezvous hash of a seed and a replica; the lowest score wins.
func rendezvousScore(seed uint64, target *replica) float64 {
	return -math.Log(unitInterval(hashPair(seed, uint64(target.ID)))) / target.smoothedWeight
}

// replicaSet is a set of candidates for selection.
type replicaSet struct {
	replicas []*replica
	byPrefix map[uint64][]*replica // the replicas in the order of a prefix; computed on demand
}

func (s *replicaSet) orderedFor(prefix uint64) []*replica {
	if ordered := s.byPrefix[prefix]; ordered != nil {
		return ordered
	}
	ordered := slices.Clone(s.replicas)
	slices.SortFunc(ordered, func(x, y *replica) int {
		return cmp.Compare(rendezvousScore(prefix, x), rendezvousScore(prefix, y))
	})
	if s.byPrefix == nil || len(s.byPrefix) > maxPrefixes {
		s.byPrefix = map[uint64][]*replica{}
	}
	s.byPrefix[prefix] = ordered
	return ordered
}

// prefixes counts the recent requests of each shared prefix.
type prefixes struct {
	count map[uint64]float64
	total float64
}

func (p *prefixes) countRequest(prefix uint64) {
	if p.total >= prefixWindow {
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

// replicasFor returns how many of n replicas serve a prefix, which is a multiple of its share of the traffic.
func (p *prefixes) replicasFor(prefix uint64, n int) int {
	share := p.count[prefix] / (p.total + prefixPriorRequests)
	return min(n, int(math.Ceil(float64(n)*share*prefixReplicaFactor)))
}

// candidateSets returns the sets to select from, in order: first this zone, since leaving it has a price.
// Spilled sessions select from all zones. The spilled share is at least the capacity that this zone lacks
// compared with an even share of the fleet.
func (b *Balancer) candidateSets(r *request) []*replicaSet {
	shortfall := 1 - b.fleet.sameZoneShare*float64(b.settings.Zones)
	if len(b.loads.usedColumns) == 0 {
		shortfall = max(shortfall, 2*b.shedShare) // without load reports, only shedding shows that the zone is full
	}
	if r.hashFraction(spillSalt) < max(b.spillShare, shortfall) {
		return []*replicaSet{&b.fleet.all}
	}
	return []*replicaSet{&b.fleet.sameZone, &b.fleet.otherZones}
}

// updateSpillShare adjusts the spilled share by the lateness of a response, from 0 (within half of the target
// latency) to 1 (past it). The share rises while lateness in this zone exceeds that in other zones by more
// than the price of crossing, and falls otherwise.
func (b *Balancer) updateSpillShare(target *replica, lateness float64) {
	unspilledShare := 1 - b.spillShare
	if target.Zone == b.settings.Zone {
		b.spillShare += spillStep * (lateness - b.settings.CrossZonePrice)
	} else {
		b.spillShare -= spillStep * lateness * min(unspilledShare/max(b.spillShare, 0.01), 10)
	}
	b.spillShare = min(max(b.spillShare, 0), 1)
}

// Replica health.

type fleet struct {
	byID                 map[ReplicaID]*replica
	sameZone, otherZones replicaSet // ready replicas, ordered by id
	all                  replicaSet // sameZone and otherZones
	zones                map[int]zone
	inFlight             int     // attempts in flight at all replicas
	recentMaxReplicas    float64 // number of ready replicas; a decaying maximum
	sameZoneShare        float64 // share of the total weight that is in this zone
}

// ejection excludes an unresponsive replica or zone from selection for a while.
type ejection struct {
	until    Time          // end of the exclusion
	duration time.Duration // of the last ejection; 0 = not ejected
}

func (e *ejection) extend(now Time) {
	e.duration = min(max(2*e.duration, minEjection), maxEjection)
	e.until = now + e.duration
}

// zone is the health of a zone as a whole.
type zone struct {
	ejection
	failures int // failures of its replicas since the last response
}

type replica struct {
	Replica
	drainingSince Time // when the list first reported it as draining
	ejection
	smoothedWeight    float64 // listed weight; a running mean for WeightLive
	inFlight          int     // attempts of this router
	onTrial           bool    // one trial request is in flight after an ejection
	fullUntil         Time    // end of the pause after it rejected a request as full
	slowStartUntil    Time
	slowStartBudget   float64 // attempts that this router may send it in slow start
	slowStartBudgetAt float64 // Balancer.arrivals at the last update of the budget
	probedAt          Time    // time of the last probe
	lastResponseAt    Time    // time of the last response
	errors            int     // consecutive errors since the last response
	reportedAt        Time
	backlog           float64 // queued work by its last report, in thousands of prompt tokens
	load              float64 // by its last report, relative to the mean of all reports; 0 = no report
}

// purpose is the reason for which a replica is considered. It relaxes or tightens isUsable.
type purpose uint8

const (
	purposeAffinity purpose = iota
	purposeNewSession
	purposeOverBound  // the load bound is ignored; ejections still apply
	purposeLastResort // ejections are ignored; draining and slow start still apply
)

// isUsable reports whether r may go to a replica now. No other code decides this.
func (b *Balancer) isUsable(now Time, target *replica, r *request, p purpose) bool {
	switch {
	case target.State == StateGone:
		return false
	case target.State == StateDraining &&
		(p != purposeAffinity || now >= target.drainingSince+b.settings.DrainGrace):
		return false
	case p == purposeLastResort:
	case target.onTrial || now < max(target.until, target.fullUntil, b.fleet.zones[target.Zone].until):
		return false
	case p == purposeNewSession && b.isOverLoadBound(target):
		return false
	}
	return !b.exceedsSlowStartShare(now, target, r)
}

func (b *Balancer) isOverLoadBound(target *replica) bool {
	mean := float64(b.fleet.inFlight) / float64(len(b.fleet.all.replicas))
	return float64(target.inFlight) > b.loadBound*mean+1
}

// exceedsSlowStartShare reports whether a replica in slow start must not take r. It gets a linearly growing
// share of its usual traffic, affinity included. A hash of session and replica selects the sessions, so that
// all routers agree. A budget bounds the attempts of this router, whatever the kind of traffic.
func (b *Balancer) exceedsSlowStartShare(now Time, target *replica, r *request) bool {
	if now >= target.slowStartUntil {
		return false
	}
	progress := max(1-float64(target.slowStartUntil-now)/float64(b.settings.SlowStart), 0)
	share := b.settings.SlowStartInitial + (1-b.settings.SlowStartInitial)*min(progress, 1)
	if b.probesBeforeSend { // too few requests arrive here for the budget to reach one attempt
		isWithinShare := rendezvousScore(r.seed, target)*target.smoothedWeight <=
			maxSlowStartShare/b.fleet.recentMaxReplicas
		return r.hashFraction(slowStartSalt^uint64(target.ID)) >= share || !isWithinShare
	}
	target.slowStartBudget = min(
		target.slowStartBudget+share*(b.arrivals-target.slowStartBudgetAt)/b.fleet.recentMaxReplicas, 1)
	target.slowStartBudgetAt = b.arrivals
	return target.slowStartBudget < 1 || r.hashFraction(slowStartSalt^uint64(target.ID)) >= share
}

// recordResponse ends the ejection of a replica that has responded, and that of its zone.
func (f *fleet) recordResponse(now Time, id ReplicaID) {
	if target := f.byID[id]; target != nil {
		target.ejection, target.onTrial, target.lastResponseAt, target.errors = ejection{}, false, now, 0
		f.zones[target.Zone] = zone{}
	}
}

// recordOutcome updates the health of a replica by the outcome of an attempt.
func (b *Balancer) recordOutcome(now Time, a Actions, outcome *Outcome) {
	target := b.fleet.byID[outcome.Replica]
	if target == nil {
		return
	}
	target.onTrial = false
	b.recordReport(now, target, outcome.Report)
	switch outcome.Result {
	case ResultOK:
		b.fleet.recordResponse(now, outcome.Replica)
	case ResultError:
		// A replica that fails fast must not attract sessions. A single error may be caused by the request.
		if target.errors++; target.errors >= 2 {
			b.eject(now, a, target, "errors")
		}
	case ResultTimedOut:
		// A replica that has responded in the meantime does not hang; only this request was slow.
		if target.lastResponseAt <= now-outcome.Elapsed {
			b.eject(now, a, target, "no answer")
		}
	case ResultFull:
		target.fullUntil = now + fullBackoff
	case ResultConnectFailed, ResultReset:
		if !outcome.StaleConnection {
			b.eject(now, a, target, "no connection")
		}
	}
}

// eject ejects a replica, unless too much of the fleet is ejected already: then a shared cause is likely, and
// the remaining replicas could not take the load. Consecutive failures in a zone eject the whole zone, unless
// it is the only one, because a router with little traffic needs long to find each failed replica.
func (b *Balancer) eject(now Time, a Actions, target *replica, cause string) {
	f := &b.fleet
	target.onTrial = false
	if now < target.until {
		return
	}
	z := f.zones[target.Zone]
	if z.failures++; b.settings.Zones > 1 && z.failures >= zoneFailureLimit && now >= z.until {
		z.ejection.extend(now)
		b.log(now, a, "zone", fmt.Sprintf("zone %d: no replica responds; ejected for %v", target.Zone, z.duration))
	}
	f.zones[target.Zone] = z
	ejected := 0
	for _, other := range f.all.replicas {
		if other.duration > 0 {
			ejected++
		}
	}
	if target.duration == 0 && float64(ejected) >= maxEjectedShare*float64(len(f.all.replicas)) {
		return
	}
	target.ejection.extend(now)
	b.log(now, a, "ejected", fmt.Sprintf("engine %d: %s; ejected for %v", target.ID, cause, target.duration))
}

// Load reports.

// loads normalizes load reports, so that the loads of replicas can be compared.
type loads struct {
	usedColumns []bool // whether a column grows with the work of a replica
	mean        [4]float64
}

// relativeLoad returns the mean of a report's used columns, each divided by its running mean.
func (l *loads) relativeLoad(report Report) float64 {
	var sum, n float64
	for i, isUsed := range l.usedColumns {
		if i >= report.N || !isUsed || !(report.Values[i] >= 0 && report.Values[i] <= math.MaxFloat32) {
			continue // a NaN would corrupt the running mean
		}
		if l.mean[i] == 0 {
			l.mean[i] = report.Values[i]
		}
		l.mean[i] += (report.Values[i] - l.mean[i]) / 32
		if l.mean[i] > 0 {
			sum += report.Values[i] / l.mean[i]
			n++
		}
	}
	return sum / max(n, 1)
}

// capacityFactor returns the factor by which the last load report changes a replica's weight. It decays with
// the report's age, because a stale report must not send all routers to one replica or away from it.
func (target *replica) capacityFactor(now Time) float64 {
	freshness := 1 - float64(now-target.reportedAt)/float64(reportLifetime)
	if target.load == 0 || freshness <= 0 {
		return 1
	}
	factor := 2 / (1 + target.load)
	if target.slowStartUntil > now {
		factor = min(factor, 1) // low load in slow start does not show spare capacity
	}
	return 1 + (factor*factor-1)*freshness
}

// ProbeFinished handles the result of a probe and sends the requests that waited for it.
func (b *Balancer) ProbeFinished(now Time, a Actions, probe ProbeResult) {
	target := b.fleet.byID[probe.Replica]
	if target == nil {
		return
	}
	if probe.Result == ResultConnectFailed {
		b.eject(now, a, target, "no connection")
	}
	target.reportedAt = now
	switch probe.Result {
	case ResultOK:
		target.backlog = 0
	case ResultError:
		target.backlog = backlogOverloaded
	}
	b.recordReport(now, target, probe.Report)
	b.sendAfterProbes(now, a)
}

// recordReport updates the load and backlog of a replica by a load report.
func (b *Balancer) recordReport(now Time, target *replica, report Report) {
	if report.N == 0 {
		return
	}
	target.load, target.reportedAt = b.loads.relativeLoad(report), now
	target.backlog = 0
	for i, column := range b.settings.ReportColumns[:min(report.N, len(b.settings.ReportColumns))] {
		switch value := report.Values[i]; {
		case column == "x1" && value >= 0:
			target.backlog += value
		case column == "inflight" && value >= 0: // running requests slow down each other
			target.backlog += value / 2
		case column == "eps" && value > maxErrorRate:
			target.backlog += backlogUnanswered
		}
	}
}

// Load shedding.

// shouldShed reports whether a new session is rejected, so that other requests meet their targets. A hash of
// the session decides, so that a client's retry of a rejected session is rejected as well.
func (b *Balancer) shouldShed(r *request) bool {
	if b.shedShare <= 0 {
		return false
	}
	share := b.tenants.rejectShare(r.Tenant, b.shedShare)
	return r.hashFraction(shedSalt) < share*b.minValue/r.class.Value
}

// tenants counts the recent requests of each tenant.
type tenants struct {
	share, count []float64
	total        float64
}

func (t *tenants) countRequest(tenant int) {
	if tenant < 0 || tenant >= len(t.count) {
		return
	}
	if t.total >= tenantWindow {
		for i := range t.count {
			t.count[i] /= 2
		}
		t.total /= 2
	}
	t.count[tenant]++
	t.total++
}

// rejectShare returns the share of a tenant's requests to reject, given the share of all requests. Traffic
// beyond a tenant's share of the fleet is rejected first.
func (t *tenants) rejectShare(tenant int, share float64) float64 {
	if tenant < 0 || tenant >= len(t.count) || t.total == 0 {
		return share
	}
	excess := 0.0 // part of all traffic that exceeds the share of its tenant
	for i, n := range t.count {
		excess += max(n/t.total-t.share[i], 0)
	}
	ownExcess := max(1-t.share[tenant]*t.total/max(t.count[tenant], 1), 0)
	if share <= excess {
		return ownExcess * share / excess
	}
	return ownExcess + (1-ownExcess)*(share-excess)/(1-excess)
}

// updateShedShare raises the rejected share while lateness loses value and lowers it at a constant rate
// otherwise, so that shedding ends seconds after the overload.
func (b *Balancer) updateShedShare(now Time, lost float64) {
	elapsed := secondsSince(now, &b.shedUpdatedAt)
	b.lostValue += (lost - b.lostValue) / 8
	if b.lostValue > shedThreshold {
		b.shedShare += shedIncrease * elapsed * (b.lostValue - shedThreshold)
	} else {
		b.shedShare -= shedDecrease * elapsed
	}
	b.shedShare = min(max(b.shedShare, 0), maxShedShare)
}

// Watching discovery.

const timerWatch, timerProbes = 0, 1 // timer tokens

type watch struct {
	started bool
	backoff time.Duration // delay before the next call; doubled on each failure
}

// ListUpdated handles an update of the replica list, or a failed call to discovery.
func (b *Balancer) ListUpdated(now Time, a Actions, list List) {
	if list.Kind == ListFailed {
		b.watch.backoff = min(max(2*b.watch.backoff, minWatchBackoff), b.settings.MaxWatchDelay)
		b.scheduleWatch(a, b.watch.backoff/2, b.watch.backoff)
		b.log(now, a, "discovery", "discovery call failed; retrying with backoff")
		return
	}
	b.updateReplicas(now, list)
	if list.Kind != ListCached {
		b.watch.backoff = 0
	}
	if !b.watch.started {
		// The delay is random, so that routers that start together do not call discovery together.
		b.watch.started = true
		b.scheduleWatch(a, 0, b.settings.MaxWatchDelay/2)
	}
}

// scheduleWatch sets the timer of the next call to discovery to a random delay between two bounds.
func (b *Balancer) scheduleWatch(a Actions, minWait, maxWait time.Duration) {
	if b.settings.NeedsWatch {
		a.SetTimer(minWait+time.Duration(b.rng.Int64N(int64(maxWait-minWait)+1)), timerWatch)
	}
}

func (b *Balancer) updateReplicas(now Time, list List) {
	f := &b.fleet
	listed := map[ReplicaID]bool{}
	for _, e := range list.Replicas {
		b.updateReplica(now, e)
		listed[e.ID] = true
	}
	for id, target := range f.byID {
		if list.Kind != ListDelta && !listed[id] {
			target.State = StateGone
		}
		if target.State == StateGone {
			delete(f.byID, id) // sessions and attempts may still refer to it
		}
	}
	f.rebuild(b.settings.Zone)
}

// updateReplica applies one entry of the list.
func (b *Balancer) updateReplica(now Time, entry Replica) {
	target, known := b.fleet.byID[entry.ID]
	if !known {
		target = &replica{}
		b.fleet.byID[entry.ID] = target
	}
	if entry.State != StateReady && target.State == StateReady {
		target.drainingSince = now
	}
	if !(entry.Weight > 0) {
		entry.Weight = 1
	}
	if !known || entry.ReadyAt != target.ReadyAt { // a new process: discard the state of the previous one
		// The initial budget is random and below one, so that many routers do not send at the same time.
		*target = replica{drainingSince: target.drainingSince, inFlight: target.inFlight}
		target.slowStartBudget, target.slowStartBudgetAt = b.rng.Float64(), b.arrivals
	}
	target.slowStartUntil = 0
	if entry.ReadyAt != 0 {
		target.slowStartUntil = entry.ReadyAt + b.settings.SlowStart
	}
	previousWeight := target.smoothedWeight
	target.Replica, target.smoothedWeight = entry, entry.Weight
	if b.settings.WeightMeaning == WeightLive && previousWeight > 0 {
		target.smoothedWeight = previousWeight + (entry.Weight-previousWeight)/16
	}
}

// rebuild recomputes the candidate sets from the known replicas.
func (f *fleet) rebuild(ownZone int) {
	f.sameZone, f.otherZones, f.all = replicaSet{}, replicaSet{}, replicaSet{}
	for _, target := range f.byID {
		if target.State == StateReady {
			f.all.replicas = append(f.all.replicas, target)
		}
	}
	slices.SortFunc(f.all.replicas, func(x, y *replica) int { return cmp.Compare(x.ID, y.ID) })
	var sameZoneWeight, totalWeight float64
	for _, target := range f.all.replicas {
		totalWeight += target.Weight
		if target.Zone == ownZone {
			sameZoneWeight += target.Weight
			f.sameZone.replicas = append(f.sameZone.replicas, target)
		} else {
			f.otherZones.replicas = append(f.otherZones.replicas, target)
		}
	}
	f.recentMaxReplicas = max(float64(len(f.all.replicas)), f.recentMaxReplicas*0.99)
	f.sameZoneShare = sameZoneWeight / max(totalWeight, 1e-9)
}

// log writes a line, unless one of its kind was written within logInterval.
func (b *Balancer) log(now Time, a Actions, kind, line string) {
	if last, ok := b.loggedAt[kind]; ok && now-last < logInterval {
		return
	}
	b.loggedAt[kind] = now
	a.Log(line)
}

// secondsSince returns the seconds since last, at most 1, and sets last to now.
func secondsSince(now Time, last *Time) float64 {
	elapsed := min(now-*last, time.Second).Seconds()
	*last = now
	return elapsed
}

// hashPair hashes two words into one.
func hashPair(x, y uint64) uint64 {
	x = (x ^ y*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>32) * 0x94d049bb133111eb
	return x ^ x>>29
}

// unitInterval maps a hash into (0, 1).
func unitInterval(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }
