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
	limits      limits.Limits
	pools       map[hoststate.PoolID]*pool
	poolsEnding bool               // at least one
	sharedHosts *hoststate.Tracker // nil as long as there is one pool

	requests       map[policy.RequestID]*request
	byClient       map[Client]*request
	clientRequests map[clientRequestKey]bool // of open requests
	requestQuota   *quota.Quota              // of open requests, by pool
	lastRequestID  policy.RequestID

	now      time.Duration
	timers   *timerqueue.Queue[timer]
	effects  []Effect
	deferred []func() // outcomes that a module hears of once it has returned from the present call

	counters Counters        // of requests for pools that have ended
	traces   *trace.Recorder // nil where nothing is traced
}

// timer says what is due: the end of an attempt or of a request, an idle connection, a reminder or a timer of a module.
type timer struct {
	request    *request
	attempt    *attempt
	connection uint64 // never 0
	reminder   any
	pool       *pool
	token      uint64
}

// New returns a dispatcher without pools.
func New(lim limits.Limits) *Dispatcher {
	return &Dispatcher{
		limits: lim, timers: timerqueue.New[timer](), pools: map[hoststate.PoolID]*pool{},
		requestQuota: quota.New(int64(lim.ConcurrentRequests)),
		requests:     map[policy.RequestID]*request{}, byClient: map[Client]*request{}, clientRequests: map[clientRequestKey]bool{},
		counters: Counters{Outcomes: map[policy.Result]int{}},
	}
}

// Trace has all further requests traced. It is called before the first event.
func (d *Dispatcher) Trace(o trace.Options) { d.traces = trace.New(o, traceOwner{d}) }

// traceOwner is the dispatcher as the trace recorder sees it.
type traceOwner struct{ d *Dispatcher }

func (o traceOwner) Wake(at time.Duration) {
	o.d.timers.Add(max(at, o.d.now+1), timer{reminder: o.d.traces})
}
func (o traceOwner) Keep(t *trace.Try) { o.d.emit(ExportTrace{t}) }

// NextDue returns the time at which the dispatcher wants a Tick.
func (d *Dispatcher) NextDue() (at time.Duration, ok bool) { return d.timers.NextDue() }

// OpenRequests returns the number of requests that wait for the end of their answer.
func (d *Dispatcher) OpenRequests() int { return len(d.byClient) }

// Reduce takes in an event and returns what is to be done. Everything that is due by now comes first. The effects are valid
// until the next call.
func (d *Dispatcher) Reduce(now time.Duration, e Event) []Effect {
	d.now = max(d.now, now) // the modules' clock never goes back
	clear(d.effects)
	d.effects = d.effects[:0]
	for t, ok := d.timers.PopDue(d.now); ok; t, ok = d.timers.PopDue(d.now) {
		d.timerFired(t)
		d.runDeferred()
	}
	d.handle(e)
	d.runDeferred()
	if d.poolsEnding {
		d.endPools()
	}
	return d.effects
}

// runDeferred reports to the modules what their own actions have caused.
func (d *Dispatcher) runDeferred() {
	for len(d.deferred) > 0 {
		next := d.deferred[0]
		d.deferred = d.deferred[1:]
		next()
	}
	d.deferred = nil
}

func (d *Dispatcher) emit(e Effect) { d.effects = append(d.effects, e) }

// handle takes in an event of a request or of an attempt, and passes others on.
func (d *Dispatcher) handle(e Event) {
	switch e := e.(type) {
	case RequestReceived:
		d.requestReceived(e)
	case RejectedByFrontend:
		d.counters.RejectedByFrontend++
	case ClientLeft:
		d.clientLeft(e.Client)
	case AttemptStarted:
		d.attemptStarted(e.Attempt)
	case AttemptEnded:
		d.attemptEnded(&e)
	case ConnectionIdle:
		d.timers.Add(d.now+e.Idle, timer{connection: e.Connection})
	case SetReminder:
		d.timers.Add(e.At, timer{reminder: e.Token})
	case LogLine:
		d.emit(Log{Message: string(e)})
	case GetCounters:
		d.emit(d.countersReport(e.ReplyTo))
	case RejectionWritten, StartDrain, FlushTraces:
		d.handleTraceEvent(e)
	default:
		d.handlePoolEvent(e)
	}
}

// handlePoolEvent takes in an event of a pool, or of all of them.
func (d *Dispatcher) handlePoolEvent(e Event) {
	switch e := e.(type) {
	case ProbeDone:
		d.probeDone(e)
	case EndpointsListed:
		if p := d.pools[e.Pool]; p != nil {
			p.endpointsListed(e)
		}
	case ConfigurePool:
		d.configurePool(e)
	case AddClasses:
		d.addClasses(e)
	case EndPool:
		if p := d.pools[e.Pool]; p != nil {
			p.ending, d.poolsEnding = true, true
		}
	case RetryAllowance:
		d.setRetryAllowance(float64(e))
	case GetSnapshots:
		all := map[string]*policy.Snapshot{}
		for _, p := range d.pools {
			all[p.name] = p.module.Snapshot()
		}
		d.emit(Snapshots{e.ReplyTo, all})
	case RestoreSnapshot:
		if p := d.pools[e.Pool]; p != nil && e.Snapshot != nil {
			p.module.Restore(d.now, e.Snapshot)
		}
	}
}

// probeDone passes the result of a probe on to the module that asked for it.
func (d *Dispatcher) probeDone(e ProbeDone) {
	p := d.pools[e.Pool]
	if p == nil {
		return
	}
	p.module.Probed(d.now, p, policy.ProbeResult{
		Replica: e.Host, Result: e.Result, Elapsed: d.now - e.Sent, Report: e.Report,
	})
}

// setRetryAllowance changes what each pool's retry budget allows beyond its ratio.
func (d *Dispatcher) setRetryAllowance(allowance float64) {
	for _, p := range d.pools {
		if p.retryBudget != nil {
			p.retryBudget.Allowance = allowance
		}
	}
}

// timerFired does what is due.
func (d *Dispatcher) timerFired(t timer) {
	switch {
	case t.attempt != nil:
		d.attemptTimedOut(t.request, t.attempt)
	case t.request != nil:
		d.requestTimedOut(t.request)
	case t.reminder != nil:
		if t.reminder == any(d.traces) {
			d.traces.Due(d.now)
			return
		}
		d.emit(ReminderDue{t.reminder})
	case t.connection != 0:
		d.emit(CloseIdleConnection{t.connection})
	case !t.pool.ended:
		t.pool.module.Timer(d.now, t.pool, t.token)
	}
}
