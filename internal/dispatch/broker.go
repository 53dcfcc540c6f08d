package dispatch

import (
	"time"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/limits"
	"notchhinge/internal/quota"
	"notchhinge/internal/timerqueue"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// Dispatcher is the reducer: Reduce is the only thing that changes it. It is not safe for concurrent use.
type Dispatcher struct {
	lim     limits.Limits
	pools   map[hoststate.PoolID]*instance
	leaving bool               // one of the pools at least
	places  *quota.Quota       // of open authorisations, by pool
	boxes   *hoststate.Tracker // nil as long as there is one pool
	now     time.Duration
	effects []Effect
	later   []func() // outcomes that a module is told once it has returned from the present call
	due     *timerqueue.Queue[due]
	lastID  policy.RequestID
	auths   map[policy.RequestID]*auth
	byParty map[Client]*auth
	names   map[name]bool   // of open authorisations
	counts  Counters        // of what no pool there is took
	journal *trace.Recorder // nil where nothing is traced
}

// name is the id of an open authorisation. Two services may well use one id at once.
type name struct {
	pool hoststate.PoolID
	id   string
}

type auth struct {
	id       policy.RequestID
	pool     *instance
	from     Client
	name     string
	deadline time.Duration
	key      timerqueue.Key
	attempts int // legs that it may have
	legs     []*leg
	bound    *leg
	over     bool  // has its final answer, or the acquirer left
	gone     bool  // the acquirer left
	arrived  bool  // a leg of it has reached a host
	mayRun   bool  // a leg has ended otherwise than by never having run
	running  int32 // legs that have not been told to the module as ended
	journey  *trace.Journey
}

type leg struct {
	id    AttemptID
	host  policy.ReplicaID
	at    time.Duration
	key   timerqueue.Key
	ended bool // its one outcome was told
	stale bool // its line was at fault
	// arrived: it was answered, though by another host than was meant
	arrived bool
}

// due is what a deadline is for: a leg, an authorisation, a parked line, a front's reminder or a timer of the module.
type due struct {
	auth  *auth
	leg   *leg
	line  uint64 // never 0
	of    any    // what a front is to be reminded of
	pool  *instance
	token uint64
}

// New returns a broker that has no pool yet.
func New(lim limits.Limits) *Dispatcher {
	return &Dispatcher{
		lim: lim, due: timerqueue.New[due](), pools: map[hoststate.PoolID]*instance{}, places: quota.New(int64(lim.ConcurrentRequests)),
		auths: map[policy.RequestID]*auth{}, byParty: map[Client]*auth{}, names: map[name]bool{},
		counts: Counters{Outcomes: map[policy.Result]int{}},
	}
}

// Trace has the journeys of all further authorisations recorded. It is called before the first event.
func (b *Dispatcher) Trace(o trace.Options) { b.journal = trace.New(o, keeper{b}) }

// keeper is the broker as the recorder sees it.
type keeper struct{ b *Dispatcher }

func (k keeper) Wake(at time.Duration) { k.b.due.Add(max(at, k.b.now+1), due{of: k.b.journal}) }
func (k keeper) Keep(t *trace.Try)     { k.b.do(ExportTrace{t}) }

// Next tells when the broker wants a Tick.
func (b *Dispatcher) Next() (at time.Duration, ok bool) { return b.due.NextDue() }

// Open tells how many authorisations wait for the end of their answer.
func (b *Dispatcher) Open() int { return len(b.byParty) }

// Reduce takes an event in and returns what is to be done. All that is due by now comes first. The effects
// are valid until the next call.
func (b *Dispatcher) Reduce(now time.Duration, e Event) []Effect {
	b.now = max(b.now, now) // the module's clock never goes back
	clear(b.effects)
	b.effects = b.effects[:0]
	for d, ok := b.due.PopDue(b.now); ok; d, ok = b.due.PopDue(b.now) {
		b.fire(d)
		b.settle()
	}
	b.take(e)
	b.settle()
	if b.leaving {
		b.endPools()
	}
	return b.effects
}

// settle tells the module what its own actions have brought about.
func (b *Dispatcher) settle() {
	for len(b.later) > 0 {
		f := b.later[0]
		b.later = b.later[1:]
		f()
	}
	b.later = nil
}

func (b *Dispatcher) do(e Effect) { b.effects = append(b.effects, e) }

func (b *Dispatcher) take(e Event) {
	switch e := e.(type) {
	case RequestReceived:
		b.taken(e)
	case RejectedByFrontend:
		b.counts.RejectedByFrontend++
	case ClientLeft:
		b.departed(e.Client)
	case AttemptStarted:
		b.began(e.Attempt)
	case AttemptEnded:
		a, l := b.leg(e.Attempt)
		if b.journal != nil && a != nil {
			b.journal.Ended(b.now, a.id, a.journey, e.Attempt.Index, e.Result, e.StaleConnection, e.Times)
		} else if b.journal != nil {
			b.journal.Late(b.now, e.Attempt.Request, e.Attempt.Index, e.Result, e.StaleConnection, e.Times)
		}
		if l != nil && !l.ended {
			l.stale, l.arrived = e.StaleConnection, e.ReachedOtherHost
			b.end(a, l, e.Result, e.CachedTokens, e.Report)
		}
	case ProbeDone:
		if p := b.pools[e.Pool]; p != nil {
			p.module.Probed(b.now, p, policy.ProbeResult{
				Replica: e.Host, Result: e.Result, Elapsed: b.now - e.Sent, Report: e.Report,
			})
		}
	case EndpointsListed:
		if p := b.pools[e.Pool]; p != nil {
			p.listed(e)
		}
	case ConfigurePool:
		b.poolSet(e)
	case AddClasses:
		if p := b.pools[e.Pool]; p != nil {
			if err := p.module.SetClasses(e.Classes); err != nil {
				b.do(Log{p.name, err.Error()})
			}
		}
	case EndPool:
		if p := b.pools[e.Pool]; p != nil {
			p.leaving, b.leaving = true, true
		}
	case RetryAllowance:
		for _, p := range b.pools {
			if p.repeats != nil {
				p.repeats.Allowance = float64(e)
			}
		}
	case ConnectionIdle:
		b.due.Add(b.now+e.Idle, due{line: e.Connection})
	case SetReminder:
		b.due.Add(e.At, due{of: e.Token})
	case RejectionWritten:
		if b.journal != nil {
			b.journal.Answered(b.now, e.Client, e.At)
		}
	case StartDrain:
		if b.journal != nil {
			b.journal.Drain(b.now)
		}
	case FlushTraces:
		if b.journal != nil {
			b.journal.Flush(b.now)
		}
	case LogLine:
		b.do(Log{Message: string(e)})
	case GetSnapshots:
		all := map[string]*policy.Snapshot{}
		for _, p := range b.pools {
			all[p.name] = p.module.Snapshot()
		}
		b.do(Snapshots{e.ReplyTo, all})
	case RestoreSnapshot:
		if p := b.pools[e.Pool]; p != nil && e.Snapshot != nil {
			p.module.Restore(b.now, e.Snapshot)
		}
	case GetCounters:
		b.do(b.counted(e.ReplyTo))
	}
}

func (b *Dispatcher) taken(e RequestReceived) {
	if b.byParty[e.Client] != nil {
		return
	}
	p := b.pools[e.Pool]
	if p == nil {
		// It was routed to a pool that has gone since, its last authorisation with it: it never ran.
		b.counts.RejectedByFrontend++
		b.do(Reject{Client: e.Client, RetryAfter: b.lim.OverloadRetryAfter})
		return
	}
	if b.names[name{p.id, e.ClientRequestID}] {
		p.counts.RejectedByFrontend++
		p.turnedDown(&e, trace.IDTaken, 0)
		b.do(Reject{Client: e.Client, Verdict: VerdictDuplicateID})
		return
	}
	if !b.places.Take(int(p.id), 1) {
		// More would need more descriptors than there are, or than there are for this pool; the module need not know
		// of what cannot be sent.
		p.counts.RejectedByFrontend++
		p.turnedDown(&e, trace.RouterFull, p.retryAfter)
		b.do(Reject{Client: e.Client, RetryAfter: p.retryAfter})
		return
	}
	p.counts.Received++
	p.held++
	if p.repeats != nil {
		p.repeats.CountRequest(b.now)
	}
	b.lastID++
	a := &auth{id: b.lastID, pool: p, from: e.Client, deadline: min(e.ReceivedAt, b.now) + e.Request.Timeout, attempts: p.attempts}
	if e.MaxAttempts > 0 {
		a.attempts = min(a.attempts, e.MaxAttempts)
	}
	a.key = b.due.Add(a.deadline, due{auth: a})
	b.auths[a.id], b.byParty[a.from] = a, a
	if a.name = e.ClientRequestID; a.name != "" {
		b.names[name{p.id, a.name}] = true
	}
	e.Request.ID, e.Request.Timeout = a.id, a.deadline-b.now
	if b.journal != nil {
		a.journey = b.journal.Taken(b.now, a.id, a.from, e.ClientRequestID, e.ReceivedAt, &e.Request, e.Origin, p.set)
	}
	p.module.Arrive(b.now, p, e.Request)
}

func (b *Dispatcher) departed(from Client) {
	a := b.byParty[from]
	if a == nil {
		return
	}
	a.pool.counts.ClientsLeft++
	a.gone = true
	b.close(a)
	b.closed(a, trace.Gone, 0)
	a.pool.module.Departed(b.now, a.pool, a.id)
	// What the module does not call off itself runs for nobody: a begun stream, or legs that may not be called
	// off by the settings. Their outcome says nothing of the issuer host.
	for _, l := range a.legs {
		if !l.ended {
			b.drop(a, l, b.left(a))
		}
	}
}

// left is the outcome of the legs of an acquirer that has gone. One that waits as long as it said it would goes in the
// very moment of its deadline, and mostly a little before that is noticed here: then its legs have timed out, which
// the module must hear, or it would learn nothing of an overload, nor of a host that hangs.
func (b *Dispatcher) left(a *auth) policy.Result {
	if a.bound == nil && b.now >= a.deadline-b.lim.DeadlineTolerance {
		return policy.ResultTimedOut
	}
	return policy.ResultCancelled
}

// close ends an authorisation towards its acquirer. Legs that still run keep it known.
func (b *Dispatcher) close(a *auth) {
	a.over = true
	b.due.Remove(a.key)
	delete(b.byParty, a.from)
	delete(b.names, name{a.pool.id, a.name})
	b.places.Release(int(a.pool.id), 1)
	b.forget(a)
}

// closed tells the journal how an authorisation ended towards its acquirer.
func (b *Dispatcher) closed(a *auth, o trace.Outcome, retryAfter time.Duration) {
	if b.journal != nil {
		b.journal.Closed(b.now, a.id, a.journey, o, retryAfter)
	}
}

func (b *Dispatcher) forget(a *auth) {
	if a.over && a.running == 0 && b.auths[a.id] != nil {
		delete(b.auths, a.id)
		a.pool.held--
	}
}

func (b *Dispatcher) leg(id AttemptID) (*auth, *leg) {
	a := b.auths[id.Request]
	if a == nil || id.Index < 0 || id.Index >= len(a.legs) {
		return nil, nil
	}
	return a, a.legs[id.Index]
}

// began binds the authorisation to the leg whose first event came first; the others are called off.
func (b *Dispatcher) began(id AttemptID) {
	a, l := b.leg(id)
	if l == nil || l.ended || a.over || a.bound != nil {
		b.do(CancelAttempt{id})
		return
	}
	a.bound = l
	b.due.Remove(a.key)
	b.due.Remove(l.key)
	b.do(BindAttempt{id})
	if b.journal != nil {
		b.journal.Bound(b.now, a.id, a.journey, id.Index)
	}
	a.pool.module.Started(b.now, a.pool, policy.Started{ID: a.id, Attempt: id.Index, Replica: l.host, Elapsed: b.now - l.at})
	for _, other := range a.legs {
		if other != l && !other.ended {
			b.drop(a, other, policy.ResultCancelled)
		}
	}
}

// drop abandons a leg and tells its outcome, once the module has returned.
func (b *Dispatcher) drop(a *auth, l *leg, r policy.Result) {
	b.do(CancelAttempt{l.id})
	b.endLater(a, l, r)
}

func (b *Dispatcher) endLater(a *auth, l *leg, r policy.Result) {
	l.ended = true
	b.due.Remove(l.key)
	b.later = append(b.later, func() { b.tell(a, l, r, 0, policy.Report{}) })
}

func (b *Dispatcher) end(a *auth, l *leg, r policy.Result, kept float64, p policy.Report) {
	l.ended = true
	b.due.Remove(l.key)
	b.tell(a, l, r, kept, p)
}

// tell gives the module the one outcome of a leg. The end of a bound leg, whole or not, ends the authorisation.
func (b *Dispatcher) tell(a *auth, l *leg, r policy.Result, kept float64, report policy.Report) {
	p := a.pool
	a.running--
	a.arrived = a.arrived || l.arrived || r != policy.ResultConnectFailed && r != policy.ResultMoot
	a.mayRun = a.mayRun || r != policy.ResultFull && r != policy.ResultConnectFailed && r != policy.ResultMoot
	p.counts.Outcomes[r]++
	if b.journal != nil {
		b.journal.Told(b.now, a.id, a.journey, l.id.Index, r, kept)
	}
	if a.bound == l && !a.over {
		b.close(a)
		if r == policy.ResultOK {
			p.counts.Served++
			b.closed(a, trace.Served, 0)
		} else {
			p.counts.Broken++
			b.closed(a, trace.Broken, 0)
		}
	}
	p.module.Finished(b.now, p, policy.Outcome{
		ID: a.id, Attempt: l.id.Index, Replica: l.host, Result: r, Elapsed: b.now - l.at,
		RequestEnded: a.over || a.bound != nil, CachedTokens: kept, Report: report, StaleConnection: l.stale,
	})
	if b.boxes != nil && (r == policy.ResultReset || r == policy.ResultConnectFailed) && !l.stale {
		p.unreachable(l.host)
	}
	b.forget(a)
}

func (b *Dispatcher) fire(d due) {
	switch {
	case d.leg != nil:
		if !d.leg.ended {
			b.do(CancelAttempt{d.leg.id})
			b.end(d.auth, d.leg, policy.ResultTimedOut, 0, policy.Report{})
		}
	case d.auth != nil:
		// The legs time out with the authorisation, and the module answers then. Should it have nothing out,
		// it is answered here, lest an acquirer wait for ever.
		for _, l := range d.auth.legs {
			if !l.ended {
				b.do(CancelAttempt{l.id})
				b.end(d.auth, l, policy.ResultTimedOut, 0, policy.Report{})
				b.settle()
			}
		}
		if !d.auth.over {
			d.auth.pool.Explain(d.auth.id, policy.Reason(trace.Unanswered))
			d.auth.pool.Fail(d.auth.id)
		}
	case d.of != nil:
		if d.of == any(b.journal) {
			b.journal.Due(b.now)
			return
		}
		b.do(ReminderDue{d.of})
	case d.line != 0:
		b.do(CloseIdleConnection{d.line})
	case !d.pool.gone:
		d.pool.module.Timer(b.now, d.pool, d.token)
	}
}
