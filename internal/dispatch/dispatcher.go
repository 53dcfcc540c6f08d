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

// Dispatcher is the reducer: its state changes only in Reduce. It is not safe for concurrent use.
type Dispatcher struct {
	limits      limits.Limits
	pools       map[hoststate.PoolID]*pool
	poolsEnding bool               // at least one pool is ending
	sharedHosts *hoststate.Tracker // nil until a second pool is added

	requests       map[policy.RequestID]*request
	byClient       map[Client]*request
	clientRequests map[clientRequestKey]bool // client request IDs of open requests
	requestQuota   *quota.Quota              // limits the open requests of each pool
	lastRequestID  policy.RequestID

	now      time.Duration
	timers   *timerqueue.Queue[timer]
	effects  []Effect
	deferred []func() // reports of outcomes, run after a module has returned from its current call

	counters Counters        // of pools that have ended, and of rejections that belong to no pool
	traces   *trace.Recorder // nil if tracing is off
}

// timer is a timer queue entry: the timeout of an attempt or of a request, the closing of an idle connection, a reminder, or a
// timer of a pool's module.
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

// Trace turns tracing on. It must be called before the first event.
func (d *Dispatcher) Trace(o trace.Options) { d.traces = trace.New(o, traceOwner{d}) }

// traceOwner gives the trace recorder its timers and exports the traces that it keeps.
type traceOwner struct{ d *Dispatcher }

func (o traceOwner) Wake(at time.Duration) {
	o.d.timers.Add(max(at, o.d.now+1), timer{reminder: o.d.traces})
}
func (o traceOwner) Keep(t *trace.Record) { o.d.emit(ExportTrace{t}) }

// NextDue returns the time at which the next timer is due; ok is false if there is none. The caller reduces a Tick at that time.
func (d *Dispatcher) NextDue() (at time.Duration, ok bool) { return d.timers.NextDue() }

// OpenRequests returns the number of requests whose response has not ended.
func (d *Dispatcher) OpenRequests() int { return len(d.byClient) }

// Reduce handles an event and returns the effects to carry out. Timers that are due by now fire before the event is handled. The
// returned slice is valid until the next call.
func (d *Dispatcher) Reduce(now time.Duration, e Event) []Effect {
	d.now = max(d.now, now) // the modules need a clock that never goes back
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

// runDeferred reports the outcomes that were deferred while a module was running.
func (d *Dispatcher) runDeferred() {
	for len(d.deferred) > 0 {
		next := d.deferred[0]
		d.deferred = d.deferred[1:]
		next()
	}
	d.deferred = nil
}

func (d *Dispatcher) emit(e Effect) { d.effects = append(d.effects, e) }

// handle handles the events of requests, attempts and the process; those of pools and traces have handlers of their own.
func (d *Dispatcher) handle(e Event) {
	switch e := e.(type) {
	case RequestReceived:
		d.requestReceived(e)
	case RejectedByFrontend:
		d.counters.RejectedBeforeModule++
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

// handlePoolEvent handles an event that concerns one pool or all pools.
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

// probeDone passes the result of a probe to the module of its pool.
func (d *Dispatcher) probeDone(e ProbeDone) {
	p := d.pools[e.Pool]
	if p == nil {
		return
	}
	p.module.ProbeFinished(d.now, p, policy.ProbeResult{
		Replica: e.Host, Result: e.Result, Elapsed: d.now - e.Sent, Report: e.Report,
	})
}

// setRetryAllowance sets the number of retries that each pool's retry budget allows beyond its ratio.
func (d *Dispatcher) setRetryAllowance(allowance float64) {
	for _, p := range d.pools {
		if p.retryBudget != nil {
			p.retryBudget.Allowance = allowance
		}
	}
}

// timerFired handles a timer that is due.
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
		t.pool.module.TimerFired(d.now, t.pool, t.token)
	}
}
