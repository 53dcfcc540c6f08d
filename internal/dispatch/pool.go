package dispatch

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/retrybudget"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// instance is a pool at work: a module of its own and the hosts that it knows. It is the module's policy.Actions, so
// that what a module does can only concern its own.
type instance struct {
	b          *Dispatcher
	id         hoststate.PoolID
	name       string
	module     *policy.Balancer
	warmUp     time.Duration
	coldFrom   float64
	attempts   int
	retryAfter time.Duration
	hosts      map[policy.ReplicaID]*Host
	hostNames  map[string]policy.ReplicaID
	ready      int // of the hosts
	counts     Counters
	held       int        // authorisations that are not forgotten
	set        *trace.Set // for the journal
	repeats    *retrybudget.Budget
	leaving    bool // nothing more is routed to it; it goes with its last authorisation
	gone       bool
}

var _ policy.Actions = (*instance)(nil)

// poolSet adds a pool, or changes what a pool may have.
func (b *Dispatcher) poolSet(e ConfigurePool) {
	p := b.pools[e.Pool]
	if p == nil {
		if e.Module == nil {
			return
		}
		p = &instance{
			b: b, id: e.Pool, module: e.Module, warmUp: e.SlowStart, coldFrom: e.SlowStartInitial, hosts: map[policy.ReplicaID]*Host{},
			hostNames: map[string]policy.ReplicaID{}, counts: Counters{Outcomes: map[policy.Result]int{}},
		}
		if b.pools[p.id] = p; b.boxes == nil && len(b.pools) > 1 {
			b.shareBoxes()
		}
	}
	p.name, p.attempts, p.retryAfter, p.leaving = e.Name, e.MaxAttempts, e.RetryAfter, false
	if p.attempts == 0 {
		p.attempts = b.lim.MaxAttempts
	}
	if p.retryAfter == 0 {
		p.retryAfter = b.lim.OverloadRetryAfter
	}
	p.set = &trace.Set{Pool: e.Name, Classes: e.Classes}
	if e.RetryBudget != nil && (p.repeats == nil || *e.RetryBudget != *p.repeats) {
		p.repeats = e.RetryBudget
	}
	b.places.SetClaim(int(p.id), e.RequestQuota)
}

// shareBoxes begins to keep account of boxes that pools share; with one pool there is nothing to account for.
func (b *Dispatcher) shareBoxes() {
	b.boxes = hoststate.NewTracker(b.lim.DrainPrecedence)
	for _, p := range b.pools {
		for id, h := range p.hosts {
			b.boxes.Update(b.now, p.id, h.box(), hoststate.Update{Replica: id, State: h.State, BornAt: h.BornAt})
		}
	}
}

// endPools has pools that leave go, once nothing of theirs is open.
func (b *Dispatcher) endPools() {
	b.leaving = false
	for _, id := range slices.Sorted(maps.Keys(b.pools)) {
		p := b.pools[id]
		switch {
		case !p.leaving:
			continue
		case p.held > 0:
			b.leaving = true
			continue
		}
		p.gone = true
		delete(b.pools, id)
		b.places.EndClaim(int(id))
		if b.boxes != nil {
			b.boxes.RemovePool(id)
		}
		b.counts.add(&p.counts)
		b.do(PoolEnded{id})
	}
}

func (h *Host) box() hoststate.Host { return hoststate.Host{Name: h.Name, Addr: h.Addr} }

func (h *Host) replica(id policy.ReplicaID) policy.Replica {
	return policy.Replica{ID: id, Zone: h.Zone, Cell: h.Cell, State: h.State, Weight: h.Weight, ReadyAt: h.BornAt}
}

func (p *instance) listed(e EndpointsListed) {
	b := p.b
	l := policy.List{Kind: e.Kind}
	if e.Kind != policy.ListFailed && e.Kind != policy.ListCached {
		p.counts.Lists++
		p.counts.ListEntries += len(e.Hosts)
	}
	var words []hoststate.Notification
	listed := map[policy.ReplicaID]bool{}
	for _, h := range e.Hosts {
		id := p.hostID(h.Name)
		listed[id] = h.State != policy.StateGone
		if b.boxes != nil {
			words = append(words, p.shared(id, &h)...)
		}
		p.hosts[id] = &h
		l.Replicas = append(l.Replicas, h.replica(id))
	}
	p.module.Listed(b.now, p, l)
	if e.Kind != policy.ListFailed {
		for id, h := range p.hosts { // on a long day hosts are replaced by others without end
			if there, told := listed[id]; told && !there || !told && e.Kind != policy.ListDelta {
				if b.boxes != nil && !told {
					b.boxes.Update(b.now, p.id, h.box(), hoststate.Update{State: policy.StateGone, Removed: true})
				}
				delete(p.hosts, id)
				delete(p.hostNames, h.Name)
			}
		}
	}
	p.ready = 0
	for _, h := range p.hosts {
		if h.State == policy.StateReady {
			p.ready++
		}
	}
	b.pass(words)
}

// shared has what a list says of a host compared with what other pools were told of the box, and changes its state to
// what this pool must see. It returns what the others must hear.
func (p *instance) shared(id policy.ReplicaID, h *Host) []hoststate.Notification {
	b := p.b
	before := p.hosts[id]
	switch {
	case before == nil:
	case h.State == policy.StateGone:
		h.Addr = before.Addr // that it had, whatever the last word of it says
	case h.Addr != before.Addr: // it is elsewhere now, which is another box
		b.boxes.Update(b.now, p.id, before.box(), hoststate.Update{State: policy.StateGone, Removed: true})
	}
	told := hoststate.Update{Replica: id, State: h.State, BornAt: h.BornAt, Removed: h.Removed}
	state, words := b.boxes.Update(b.now, p.id, h.box(), told)
	h.State = state
	return words
}

// pass tells modules of ends of boxes, and of such that were taken back, that other pools were told.
func (b *Dispatcher) pass(words []hoststate.Notification) {
	for _, w := range words {
		q := b.pools[w.Pool]
		if q == nil || q.hosts[w.Replica] == nil {
			continue
		}
		h := *q.hosts[w.Replica]
		if h.State == policy.StateReady {
			q.ready--
		}
		if h.State = w.State; h.State == policy.StateReady {
			q.ready++
		}
		q.hosts[w.Replica] = &h
		q.module.Listed(b.now, q, policy.List{Kind: policy.ListDelta, Replicas: []policy.Replica{h.replica(w.Replica)}})
	}
}

// unreachable tells the other pools that share a box that it could not be reached, or that it reset a connection.
func (p *instance) unreachable(host policy.ReplicaID) {
	h := p.hosts[host]
	if h == nil {
		return
	}
	for _, s := range p.b.boxes.OtherPools(nil, p.id, h.box()) {
		if q := p.b.pools[s.Pool]; q != nil {
			q.module.Probed(p.b.now, q, policy.ProbeResult{Replica: s.Replica, Result: policy.ResultConnectFailed})
		}
	}
}

// tooCold tells whether a box that several pools share has had all that it may have while it is cold.
func (p *instance) tooCold(h *Host) bool {
	b := p.b
	if b.boxes == nil || h.BornAt == 0 || b.now >= h.BornAt+p.warmUp || !b.boxes.IsShared(h.box()) {
		return false
	}
	traffic := []hoststate.PoolTraffic{p.traffic(h.BornAt)}
	for _, s := range b.boxes.OtherPools(nil, p.id, h.box()) {
		if q := b.pools[s.Pool]; q != nil {
			traffic = append(traffic, q.traffic(h.BornAt))
		}
	}
	return !b.boxes.MaySendCold(h.box(), h.BornAt, traffic)
}

func (p *instance) traffic(born time.Duration) hoststate.PoolTraffic {
	return hoststate.PoolTraffic{
		Pool: p.id, Arrived: float64(p.counts.Received), Hosts: float64(p.ready),
		Share: hoststate.SlowStartShare(p.b.now-born, p.warmUp, p.coldFrom),
	}
}

// hostID gives a host its number. It is a hash of the name, since the module draws by it and all routers
// should draw alike; two names that meet are told apart.
func (p *instance) hostID(name string) policy.ReplicaID {
	if id, ok := p.hostNames[name]; ok {
		return id
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	id := policy.ReplicaID(h.Sum32())
	for p.hosts[id] != nil {
		id++
	}
	p.hostNames[name] = id
	return id
}

// turnedDown records an authorisation that the module never sees.
func (p *instance) turnedDown(e *RequestReceived, why trace.Why, retryAfter time.Duration) {
	b := p.b
	if b.journal == nil {
		return
	}
	b.lastID++
	j := b.journal.Taken(b.now, b.lastID, e.Client, e.ClientRequestID, e.ReceivedAt, &e.Request, e.Origin, p.set)
	b.journal.Because(b.lastID, j, policy.Reason(why))
	b.journal.Closed(b.now, b.lastID, j, trace.Refused, retryAfter)
}

// auth finds an authorisation of this pool.
func (p *instance) auth(id policy.RequestID) *auth {
	if a := p.b.auths[id]; a != nil && a.pool == p {
		return a
	}
	return nil
}

// Send implements policy.Actions. It enforces what the module may have overlooked: a leg for an authorisation
// that is over or bound, or beyond the most legs, or to an unknown host, is moot.
func (p *instance) Send(id policy.RequestID, to policy.ReplicaID, timeout time.Duration) {
	b, a := p.b, p.auth(id)
	if a == nil {
		return
	}
	l := &leg{id: AttemptID{id, len(a.legs)}, host: to, at: b.now}
	a.legs = append(a.legs, l)
	a.running++
	h := p.hosts[to]
	var span *trace.Carried
	if b.journal != nil {
		host := Host{Name: "unknown"}
		if h != nil {
			host = *h
		}
		span = b.journal.Sent(b.now, a.id, a.journey, l.id.Index, host.Name, host.Addr)
	}
	until := a.deadline
	if timeout != 0 {
		until = min(until, b.now+timeout)
	}
	if h == nil || a.over || a.bound != nil || len(a.legs) > a.attempts || until <= b.now {
		if b.journal != nil { // it is never out, so that no word of its line will come
			b.journal.Ended(b.now, a.id, a.journey, l.id.Index, policy.ResultMoot, false, nil)
		}
		b.endLater(a, l, policy.ResultMoot)
		return
	}
	if p.tooCold(h) {
		if b.journal != nil {
			b.journal.Ended(b.now, a.id, a.journey, l.id.Index, policy.ResultFull, false, nil)
		}
		b.endLater(a, l, policy.ResultFull) // as if the box itself had turned it away
		return
	}
	if p.repeats != nil && a.arrived && !p.repeats.TryTake(b.now) {
		// It has been at a host already, and all routers together may not send so much again.
		b.endLater(a, l, policy.ResultMoot)
		return
	}
	p.counts.Attempts++
	if until < a.deadline {
		l.key = b.due.Add(until, due{auth: a, leg: l})
	}
	send := StartAttempt{Pool: p.id, Attempt: l.id, Client: a.from, Host: to, HostName: h.Name, Addr: h.Addr, Timeout: until - b.now}
	if b.journal != nil {
		b.do(StartTracedAttempt{send, span})
		return
	}
	b.do(send)
}

// Explain implements policy.Actions.
func (p *instance) Explain(id policy.RequestID, why policy.Reason) {
	if p.b.journal == nil {
		return
	}
	if a := p.auth(id); a != nil {
		p.b.journal.Because(id, a.journey, why)
	}
}

// Reject implements policy.Actions.
func (p *instance) Reject(id policy.RequestID, retryAfter time.Duration) {
	p.answer(id, VerdictRejected, retryAfter)
}

// Fail implements policy.Actions.
func (p *instance) Fail(id policy.RequestID) { p.answer(id, VerdictFailed, 0) }

func (p *instance) answer(id policy.RequestID, why Verdict, retryAfter time.Duration) {
	b, a := p.b, p.auth(id)
	if a == nil || a.over || a.bound != nil {
		return // an answer for what is over is no fault and does nothing
	}
	if why == VerdictFailed {
		p.counts.Failed++
	} else {
		p.counts.Rejected++
	}
	b.do(Reject{Client: a.from, Verdict: why, RetryAfter: retryAfter, MayHaveRun: a.mayRun || a.running > 0})
	b.close(a)
	if why == VerdictFailed {
		b.closed(a, trace.Failed, 0)
	} else {
		b.closed(a, trace.Refused, retryAfter)
	}
	for _, l := range a.legs {
		if !l.ended {
			b.drop(a, l, policy.ResultCancelled)
		}
	}
}

// Cancel implements policy.Actions.
func (p *instance) Cancel(id policy.RequestID, attempt int) {
	b := p.b
	a, l := b.leg(AttemptID{id, attempt})
	if l == nil || a.pool != p || l.ended || a.bound == l && !a.gone {
		return // a begun stream is the acquirer's
	}
	if a.gone {
		b.drop(a, l, b.left(a))
		return
	}
	b.drop(a, l, policy.ResultCancelled)
}

// Probe implements policy.Actions.
func (p *instance) Probe(to policy.ReplicaID) {
	if h := p.hosts[to]; h != nil {
		p.counts.Probes++
		p.b.do(SendProbe{Pool: p.id, Host: to, Addr: h.Addr, Sent: p.b.now})
	}
}

// Watch implements policy.Actions.
func (p *instance) Watch() { p.b.do(WatchEndpoints{p.id}) }

// SetTimer implements policy.Actions.
func (p *instance) SetTimer(after time.Duration, token uint64) {
	p.b.due.Add(p.b.now+max(after, 1), due{pool: p, token: token}) // never within the turn that asks
}

// Log implements policy.Actions.
func (p *instance) Log(line string) { p.b.do(Log{p.name, line}) }

// add adds another pool's counters.
func (c *Counters) add(o *Counters) {
	c.Received += o.Received
	c.RejectedByFrontend += o.RejectedByFrontend
	c.Attempts += o.Attempts
	for r, n := range o.Outcomes {
		c.Outcomes[r] += n
	}
	c.Served += o.Served
	c.Broken += o.Broken
	c.Rejected += o.Rejected
	c.Failed += o.Failed
	c.ClientsLeft += o.ClientsLeft
	c.Probes += o.Probes
	c.Lists += o.Lists
	c.ListEntries += o.ListEntries
}

// counted answers Audit. What it returns is another goroutine's to read.
func (b *Dispatcher) counted(of any) CountersReport {
	all := b.counts
	all.Outcomes = maps.Clone(all.Outcomes)
	var pools []PoolCounters
	for _, id := range slices.Sorted(maps.Keys(b.pools)) {
		p := b.pools[id]
		all.add(&p.counts)
		c := p.counts
		c.Outcomes, c.Open = maps.Clone(c.Outcomes), int(b.places.Reserved(int(id)))
		pools = append(pools, PoolCounters{
			Counters: c, Pool: id, Name: p.name, Hosts: len(p.hosts), Ready: p.ready, Unfinished: p.held, IsEnding: p.leaving,
			RequestQuota: b.places.Claim(int(id)),
		})
	}
	all.Open = b.Open()
	if b.journal != nil {
		t := b.journal.Counters()
		all.Traces = &t
	}
	return CountersReport{ReplyTo: of, Counters: all, Pools: pools}
}
