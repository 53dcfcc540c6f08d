package broker

import (
	"hash/fnv"
	"maps"
	"time"

	"notchhinge/internal/deadline"
	"notchhinge/internal/limits"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// Broker is the reducer: Reduce is the only thing that changes it. It is not safe for concurrent use.
type Broker struct {
	lim       limits.Limits
	module    *policy.Balancer
	now       time.Duration
	effects   []Effect
	later     []func() // outcomes that the module is told once it has returned from the present call
	due       *deadline.Queue[due]
	lastID    policy.RequestID
	auths     map[policy.RequestID]*auth
	byParty   map[Acquirer]*auth
	names     map[string]bool // of open authorisations
	hosts     map[policy.ReplicaID]*Host
	hostNames map[string]policy.ReplicaID
	counts    Counters
	journal   *trace.Recorder // nil where nothing is traced
}

type auth struct {
	id       policy.RequestID
	from     Acquirer
	name     string
	deadline time.Duration
	key      deadline.Key
	legs     []*leg
	bound    *leg
	over     bool  // has its final answer, or the acquirer left
	gone     bool  // the acquirer left
	running  int32 // legs that have not been told to the module as ended
	journey  *trace.Journey
}

type leg struct {
	id    LegID
	host  policy.ReplicaID
	at    time.Duration
	key   deadline.Key
	ended bool // its one outcome was told
	stale bool // its line was at fault
}

// due is what a deadline is for: a leg, an authorisation, a parked line, a front's reminder or a timer of the module.
type due struct {
	auth  *auth
	leg   *leg
	line  uint64 // never 0
	of    any    // what a front is to be reminded of
	token uint64
}

// New returns a broker that knows no issuer hosts yet.
func New(s policy.Settings, seed uint64, lim limits.Limits) (*Broker, error) {
	module, err := policy.New(s, seed)
	if err != nil {
		return nil, err
	}
	return &Broker{
		lim: lim, module: module, due: deadline.New[due](),
		auths: map[policy.RequestID]*auth{}, byParty: map[Acquirer]*auth{}, names: map[string]bool{},
		hosts: map[policy.ReplicaID]*Host{}, hostNames: map[string]policy.ReplicaID{},
		counts: Counters{Outcomes: map[policy.Result]int{}},
	}, nil
}

// Trace has the journeys of all further authorisations recorded. It is called before the first event.
func (b *Broker) Trace(o trace.Options) { b.journal = trace.New(o, keeper{b}) }

// keeper is the broker as the recorder sees it.
type keeper struct{ b *Broker }

func (k keeper) Wake(at time.Duration) { k.b.due.Add(max(at, k.b.now+1), due{of: k.b.journal}) }
func (k keeper) Keep(t *trace.Try)     { k.b.do(Keep{t}) }

// Next tells when the broker wants a Tick.
func (b *Broker) Next() (at time.Duration, ok bool) { return b.due.Next() }

// Open tells how many authorisations wait for the end of their answer.
func (b *Broker) Open() int { return len(b.byParty) }

// Reduce takes an event in and returns what is to be done. All that is due by now comes first. The effects
// are valid until the next call.
func (b *Broker) Reduce(now time.Duration, e Event) []Effect {
	b.now = max(b.now, now) // the module's clock never goes back
	clear(b.effects)
	b.effects = b.effects[:0]
	for d, ok := b.due.Due(b.now); ok; d, ok = b.due.Due(b.now) {
		b.fire(d)
		b.settle()
	}
	b.take(e)
	b.settle()
	return b.effects
}

// settle tells the module what its own actions have brought about.
func (b *Broker) settle() {
	for len(b.later) > 0 {
		f := b.later[0]
		b.later = b.later[1:]
		f()
	}
	b.later = nil
}

func (b *Broker) do(e Effect) { b.effects = append(b.effects, e) }

func (b *Broker) take(e Event) {
	switch e := e.(type) {
	case Taken:
		b.taken(e)
	case Declined:
		b.counts.Declined++
	case Departed:
		b.departed(e.From)
	case LegBegan:
		b.began(e.Leg)
	case LegEnded:
		a, l := b.leg(e.Leg)
		if b.journal != nil && a != nil {
			b.journal.Ended(b.now, a.id, a.journey, e.Leg.N, e.Result, e.Stale, e.Times)
		} else if b.journal != nil {
			b.journal.Late(b.now, e.Leg.Auth, e.Leg.N, e.Result, e.Stale, e.Times)
		}
		if l != nil && !l.ended {
			l.stale = e.Stale
			b.end(a, l, e.Result, e.Kept, e.Report)
		}
	case Probed:
		b.module.Probed(b.now, b, policy.ProbeResult{
			Replica: e.Host, Result: e.Result, Elapsed: b.now - e.Sent, Report: e.Report,
		})
	case Listed:
		b.listed(e)
	case Parked:
		b.due.Add(b.now+b.lim.IssuerIdle, due{line: e.Line})
	case Remind:
		b.due.Add(e.At, due{of: e.Of})
	case Answered:
		if b.journal != nil {
			b.journal.Answered(b.now, e.From, e.At)
		}
	case Drain:
		if b.journal != nil {
			b.journal.Drain(b.now)
		}
	case Flush:
		if b.journal != nil {
			b.journal.Flush(b.now)
		}
	case Note:
		b.do(Log{string(e)})
	case Audit:
		c := b.counts
		c.Open = b.Open()
		c.Outcomes = maps.Clone(c.Outcomes) // the reader is another goroutine
		if b.journal != nil {
			t := b.journal.Counters()
			c.Traces = &t
		}
		b.do(Counted{c})
	}
}

func (b *Broker) taken(e Taken) {
	if b.byParty[e.From] != nil {
		return
	}
	if b.names[e.Name] {
		b.counts.Declined++
		b.turnedDown(&e, trace.IDTaken, 0)
		b.do(Decline{To: e.From, Why: Taking})
		return
	}
	if len(b.byParty) >= b.lim.Open {
		// More would need more descriptors than there are; the module need not know of what cannot be sent.
		b.counts.Declined++
		b.turnedDown(&e, trace.RouterFull, b.lim.SpareAnswer)
		b.do(Decline{To: e.From, RetryAfter: b.lim.SpareAnswer})
		return
	}
	b.counts.Taken++
	b.lastID++
	a := &auth{id: b.lastID, from: e.From, deadline: min(e.At, b.now) + e.Request.ExpiresIn}
	a.key = b.due.Add(a.deadline, due{auth: a})
	b.auths[a.id], b.byParty[a.from] = a, a
	if a.name = e.Name; a.name != "" {
		b.names[a.name] = true
	}
	e.Request.ID, e.Request.ExpiresIn = a.id, a.deadline-b.now
	if b.journal != nil {
		a.journey = b.journal.Taken(b.now, a.id, a.from, e.Name, e.At, &e.Request, e.Origin)
	}
	b.module.Arrive(b.now, b, e.Request)
}

// turnedDown records an authorisation that the module never sees.
func (b *Broker) turnedDown(e *Taken, why trace.Why, retryAfter time.Duration) {
	if b.journal == nil {
		return
	}
	b.lastID++
	j := b.journal.Taken(b.now, b.lastID, e.From, e.Name, e.At, &e.Request, e.Origin)
	b.journal.Because(b.lastID, j, policy.Why(why))
	b.journal.Closed(b.now, b.lastID, j, trace.Refused, retryAfter)
}

func (b *Broker) departed(from Acquirer) {
	a := b.byParty[from]
	if a == nil {
		return
	}
	b.counts.Gone++
	a.gone = true
	b.close(a)
	b.closed(a, trace.Gone, 0)
	b.module.Departed(b.now, b, a.id)
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
func (b *Broker) left(a *auth) policy.Result {
	if a.bound == nil && b.now >= a.deadline-b.lim.LeaveSlack {
		return policy.TimedOut
	}
	return policy.Cancelled
}

// close ends an authorisation towards its acquirer. Legs that still run keep it known.
func (b *Broker) close(a *auth) {
	a.over = true
	b.due.Remove(a.key)
	delete(b.byParty, a.from)
	delete(b.names, a.name)
	b.forget(a)
}

// closed tells the journal how an authorisation ended towards its acquirer.
func (b *Broker) closed(a *auth, o trace.Outcome, retryAfter time.Duration) {
	if b.journal != nil {
		b.journal.Closed(b.now, a.id, a.journey, o, retryAfter)
	}
}

func (b *Broker) forget(a *auth) {
	if a.over && a.running == 0 {
		delete(b.auths, a.id)
	}
}

func (b *Broker) leg(id LegID) (*auth, *leg) {
	a := b.auths[id.Auth]
	if a == nil || id.N < 0 || id.N >= len(a.legs) {
		return nil, nil
	}
	return a, a.legs[id.N]
}

// began binds the authorisation to the leg whose first event came first; the others are called off.
func (b *Broker) began(id LegID) {
	a, l := b.leg(id)
	if l == nil || l.ended || a.over || a.bound != nil {
		b.do(DropLeg{id})
		return
	}
	a.bound = l
	b.due.Remove(a.key)
	b.due.Remove(l.key)
	b.do(Bind{id})
	if b.journal != nil {
		b.journal.Bound(b.now, a.id, a.journey, id.N)
	}
	b.module.Started(b.now, b, policy.Started{ID: a.id, Attempt: id.N, Replica: l.host, Elapsed: b.now - l.at})
	for _, other := range a.legs {
		if other != l && !other.ended {
			b.drop(a, other, policy.Cancelled)
		}
	}
}

// drop abandons a leg and tells its outcome, once the module has returned.
func (b *Broker) drop(a *auth, l *leg, r policy.Result) {
	b.do(DropLeg{l.id})
	b.endLater(a, l, r)
}

func (b *Broker) endLater(a *auth, l *leg, r policy.Result) {
	l.ended = true
	b.due.Remove(l.key)
	b.later = append(b.later, func() { b.tell(a, l, r, 0, policy.Report{}) })
}

func (b *Broker) end(a *auth, l *leg, r policy.Result, kept float64, p policy.Report) {
	l.ended = true
	b.due.Remove(l.key)
	b.tell(a, l, r, kept, p)
}

// tell gives the module the one outcome of a leg. The end of a bound leg, whole or not, ends the authorisation.
func (b *Broker) tell(a *auth, l *leg, r policy.Result, kept float64, p policy.Report) {
	a.running--
	b.counts.Outcomes[r]++
	if b.journal != nil {
		b.journal.Told(b.now, a.id, a.journey, l.id.N, r, kept)
	}
	if a.bound == l && !a.over {
		b.close(a)
		if r == policy.OK {
			b.counts.Served++
			b.closed(a, trace.Served, 0)
		} else {
			b.counts.Broken++
			b.closed(a, trace.Broken, 0)
		}
	}
	b.module.Finished(b.now, b, policy.Outcome{
		ID: a.id, Attempt: l.id.N, Replica: l.host, Result: r, Elapsed: b.now - l.at,
		Ended: a.over || a.bound != nil, KeptTokens: kept, Report: p, Stale: l.stale,
	})
	b.forget(a)
}

func (b *Broker) fire(d due) {
	switch {
	case d.leg != nil:
		if !d.leg.ended {
			b.do(DropLeg{d.leg.id})
			b.end(d.auth, d.leg, policy.TimedOut, 0, policy.Report{})
		}
	case d.auth != nil:
		// The legs time out with the authorisation, and the module answers then. Should it have nothing out,
		// it is answered here, lest an acquirer wait for ever.
		for _, l := range d.auth.legs {
			if !l.ended {
				b.do(DropLeg{l.id})
				b.end(d.auth, l, policy.TimedOut, 0, policy.Report{})
				b.settle()
			}
		}
		if !d.auth.over {
			b.Because(d.auth.id, policy.Why(trace.Unanswered))
			b.Fail(d.auth.id)
		}
	case d.of != nil:
		if d.of == any(b.journal) {
			b.journal.Due(b.now)
			return
		}
		b.do(Reminded{d.of})
	case d.line != 0:
		b.do(HangUp{d.line})
	default:
		b.module.Timer(b.now, b, d.token)
	}
}

func (b *Broker) listed(e Listed) {
	l := policy.List{Kind: e.Kind}
	if e.Kind != policy.ListFailed && e.Kind != policy.ListCached {
		b.counts.Lists++
		b.counts.Lines += len(e.Hosts)
	}
	listed := map[policy.ReplicaID]bool{}
	for _, h := range e.Hosts {
		id := b.hostID(h.Name)
		listed[id] = h.State != policy.Gone
		b.hosts[id] = &h
		l.Replicas = append(l.Replicas, policy.Replica{
			ID: id, Zone: h.Zone, Cell: h.Cell, State: h.State, Weight: h.Weight, ReadyAt: h.BornAt,
		})
	}
	b.module.Listed(b.now, b, l)
	if e.Kind == policy.ListFailed {
		return
	}
	for id, h := range b.hosts { // on a long day hosts are replaced by others without end
		if there, told := listed[id]; told && !there || !told && e.Kind != policy.ListDelta {
			delete(b.hosts, id)
			delete(b.hostNames, h.Name)
		}
	}
}

// hostID gives a host its number. It is a hash of the name, since the module draws by it and all routers
// should draw alike; two names that meet are told apart.
func (b *Broker) hostID(name string) policy.ReplicaID {
	if id, ok := b.hostNames[name]; ok {
		return id
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	id := policy.ReplicaID(h.Sum32())
	for b.hosts[id] != nil {
		id++
	}
	b.hostNames[name] = id
	return id
}

// The broker is the module's policy.Actions.
var _ policy.Actions = (*Broker)(nil)

// Send implements policy.Actions. It enforces what the module may have overlooked: a leg for an authorisation
// that is over or bound, or beyond the most legs, or to an unknown host, is moot.
func (b *Broker) Send(id policy.RequestID, to policy.ReplicaID, timeout time.Duration) {
	a := b.auths[id]
	if a == nil {
		return
	}
	l := &leg{id: LegID{id, len(a.legs)}, host: to, at: b.now}
	a.legs = append(a.legs, l)
	a.running++
	h := b.hosts[to]
	var span *trace.Carried
	if b.journal != nil {
		host := Host{Name: "unknown"}
		if h != nil {
			host = *h
		}
		span = b.journal.Sent(b.now, a.id, a.journey, l.id.N, host.Name, host.Dial)
	}
	until := a.deadline
	if timeout != 0 {
		until = min(until, b.now+timeout)
	}
	if h == nil || a.over || a.bound != nil || len(a.legs) > b.lim.Attempts || until <= b.now {
		if b.journal != nil { // it is never out, so that no word of its line will come
			b.journal.Ended(b.now, a.id, a.journey, l.id.N, policy.Moot, false, nil)
		}
		b.endLater(a, l, policy.Moot)
		return
	}
	b.counts.Legs++
	if until < a.deadline {
		l.key = b.due.Add(until, due{auth: a, leg: l})
	}
	send := SendLeg{Leg: l.id, From: a.from, Host: to, Dial: h.Dial, Wait: until - b.now}
	if b.journal != nil {
		b.do(SendTraced{send, span})
		return
	}
	b.do(send)
}

// Because implements policy.Actions.
func (b *Broker) Because(id policy.RequestID, why policy.Why) {
	if b.journal == nil {
		return
	}
	if a := b.auths[id]; a != nil {
		b.journal.Because(id, a.journey, why)
	}
}

// Refuse implements policy.Actions.
func (b *Broker) Refuse(id policy.RequestID, retryAfter time.Duration) {
	b.answer(id, Refused, retryAfter)
}

// Fail implements policy.Actions.
func (b *Broker) Fail(id policy.RequestID) { b.answer(id, Failed, 0) }

func (b *Broker) answer(id policy.RequestID, why Verdict, retryAfter time.Duration) {
	a := b.auths[id]
	if a == nil || a.over || a.bound != nil {
		return // an answer for what is over is no fault and does nothing
	}
	if why == Failed {
		b.counts.Failed++
	} else {
		b.counts.Refused++
	}
	b.do(Decline{To: a.from, Why: why, RetryAfter: retryAfter})
	b.close(a)
	if why == Failed {
		b.closed(a, trace.Failed, 0)
	} else {
		b.closed(a, trace.Refused, retryAfter)
	}
	for _, l := range a.legs {
		if !l.ended {
			b.drop(a, l, policy.Cancelled)
		}
	}
}

// Cancel implements policy.Actions.
func (b *Broker) Cancel(id policy.RequestID, attempt int) {
	a, l := b.leg(LegID{id, attempt})
	if l == nil || l.ended || a.bound == l && !a.gone {
		return // a begun stream is the acquirer's
	}
	if a.gone {
		b.drop(a, l, b.left(a))
		return
	}
	b.drop(a, l, policy.Cancelled)
}

// Probe implements policy.Actions.
func (b *Broker) Probe(to policy.ReplicaID) {
	if h := b.hosts[to]; h != nil {
		b.counts.Probes++
		b.do(Probe{Host: to, Dial: h.Dial, Sent: b.now})
	}
}

// Watch implements policy.Actions.
func (b *Broker) Watch() { b.do(Watch{}) }

// Wake implements policy.Actions.
func (b *Broker) Wake(after time.Duration, token uint64) {
	b.due.Add(b.now+max(after, 1), due{token: token}) // never within the turn that asks
}

// Log implements policy.Actions.
func (b *Broker) Log(line string) { b.do(Log{line}) }
