package trace

import (
	"container/list"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"notchhinge/policy"
)

// Class is a request class with its latency targets, by which the recorder decides whether a response was late.
type Class struct {
	Name                    string
	TargetLatency           time.Duration // of the first event
	TargetLatencyPerKTokens time.Duration // added per 1,000 prompt tokens
	TokenLatencyTarget      time.Duration // average of each further token; 0 = no target
}

// Pool is a pool with its request classes.
type Pool struct {
	Name    string
	Classes []Class // indexed by policy.Request.Class
}

// Options configure a Recorder.
type Options struct {
	Router          string        // name of the router, set in each record
	Classes         []Class       // unused
	RetryWindow     time.Duration // a later request counts as a retry within this time
	CompletionGrace time.Duration // an ended request waits at most this long for the end of its attempts and of its rejection
	LatencyMargin   time.Duration // a response within this of its target counts as late, since the client receives it later still
	Share           float64       // of ordinary operations that are sampled, from 0 to 1
	PerSecond       float64       // limit of sampled ordinary operations per second; 0 = unlimited
	MarkAllSampled  bool          // engines get the sampled flag for every trace, not just for those in the share
	Operations      int           // limit of operations in the table, of OperationBytes each; the oldest is evicted first
	Seed            uint64
}

// Owner is the state machine that a Recorder is part of.
type Owner interface {
	// Wake schedules a call of Recorder.Due.
	Wake(at time.Duration)
	// Keep exports a record, which the recorder does not use afterwards.
	Keep(*Record)
}

// Counters count requests by what became of their records.
// Started = Exported + Dropped + Evicted + RateLimited + Pending + open requests.
type Counters struct {
	Started     int // requests started
	Exported    int // exported
	Sampled     int // of Exported, the ordinary ones
	Dropped     int // ordinary ones outside the share
	Evicted     int // ordinary ones dropped before the end of their retry window, for lack of memory
	RateLimited int // in the share, but above the rate limit
	Retries     int // requests recognized as retries
	Pending     int // records that are pending now
	Operations  int // operations in the table now
}

// Recorder holds the open spans and the table of operations. It is not safe for concurrent use.
type Recorder struct {
	options         Options
	owner           Owner
	rnd             *rand.Rand
	sampler         Sampler
	sampledState    string                            // tracestate of a new trace in the share
	incomplete      map[policy.RequestID]*RequestSpan // ended, but with open attempts or an unwritten rejection
	rejections      map[any]*RequestSpan              // by client: its rejection is being written
	table           *table
	incompleteOrder list.List      // the *RequestSpan of incomplete, by their closeAt
	wakeAt          time.Duration  // time of the scheduled call of Due; 0 = none
	spans           []*RequestSpan // allocated spans
	unused          []*RequestSpan // those of spans that are free for reuse
	counters        Counters
}

// RequestSpan is the open span of a request. The dispatcher keeps it with the request. Spans are reused, so each method of
// Recorder checks the request ID and ignores a span that is used for another request by now.
type RequestSpan struct {
	record          Record
	attempts        [4]Attempt     // backing array of record.Attempts; further attempts are allocated
	attemptSpans    [4]AttemptSpan // spans of these attempts
	operation       uint32         // slot in the table
	id              policy.RequestID
	client          any
	reason          policy.Reason
	queueTime       time.Duration // from record.At until the dispatcher received it
	openAttempts    int           // attempts that the transport has not ended
	ended           bool          // from the client's point of view
	class           *Class        // nil if unknown
	awaitsRejection bool          // the frontend will report the end of the rejection
	closeAt         time.Duration // the record is closed then, complete or not
	element         *list.Element // in incompleteOrder
}

// New returns an empty recorder.
func New(options Options, owner Owner) *Recorder {
	r := &Recorder{
		options: options, owner: owner, rnd: rand.New(rand.NewPCG(options.Seed, 0x6a09e667f3bcc909)),
		sampler:    NewSampler(options.Share, options.PerSecond),
		incomplete: map[policy.RequestID]*RequestSpan{}, rejections: map[any]*RequestSpan{},
		table: newTable(max(options.Operations, 1)),
	}
	r.sampledState = r.sampler.state("", true)
	return r
}

// Counters returns the counters since the start.
func (r *Recorder) Counters() Counters {
	c := r.counters
	c.Operations, c.Pending = r.table.size(), r.table.pending
	return c
}

// StartRequest starts the span of a request. origin may be nil: the request then has no trace context. pool may be nil:
// the class is then unknown.
func (r *Recorder) StartRequest(now time.Duration, id policy.RequestID, client any, callID string, receivedAt time.Duration,
	request *policy.Request, origin *Origin, pool *Pool,
) *RequestSpan {
	r.counters.Started++
	span := r.acquireSpan()
	record := &span.record
	record.Router, record.CallID, record.Session, record.PromptTokens, record.At =
		r.options.Router, callID, request.Session, request.PromptTokens, min(receivedAt, now)
	record.Attempts = span.attempts[:0]
	span.id, span.client, span.queueTime = id, client, now-record.At
	if pool != nil {
		record.Pool = pool.Name
	}
	if pool != nil && request.Class >= 0 && request.Class < len(pool.Classes) {
		c := &pool.Classes[request.Class]
		span.class = c
		record.Class, record.TargetLatency =
			c.Name, c.TargetLatency+time.Duration(float64(c.TargetLatencyPerKTokens)*request.PromptTokens/1000)
	}
	var parent Context
	retry := request.IsClientRetry || request.IsResumed
	if origin != nil {
		retry = retry || origin.Retry
		if record.CallID == "" {
			record.CallID = origin.CallID
		}
		parent, record.Frontend, record.Team, span.awaitsRejection =
			origin.Context, origin.Frontend, origin.Team, origin.ReportsRejection
		if origin.FirstByte != 0 {
			record.Reading = max(record.At-origin.FirstByte, 0)
		}
	}
	slot := r.findOperation(now, parent, request, retry)
	record.Trace, record.Parent, record.State = parent.Trace, parent.Span, parent.State
	linked := slot != 0
	if !linked {
		if record.Trace == (TraceID{}) {
			record.Trace = r.newTraceID()
		}
		slot = r.table.add(operation{
			trace: record.Trace, session: request.Session, promptTokens: request.PromptTokens, indexed: parent.Trace != (TraceID{}),
			previous: r.table.bySession[request.Session],
		})
	} else {
		retry = true
		r.counters.Retries++
		op := &r.table.slots[slot]
		record.Previous = op.last
		if record.Trace == (TraceID{}) {
			record.Trace = op.last.Trace // a retry without a context joins the trace of the previous request
		}
		if op.open == 0 {
			r.table.dequeue(slot)
		}
	}
	if request.Session != 0 && !linked { // a retry must not replace a later operation, which may be retried as well
		r.table.bySession[request.Session] = slot
	}
	record.Span = r.newSpanID()
	sampled := r.sampler.InShare(record.Trace, record.State)
	switch {
	case parent.Span != (SpanID{}):
		record.Flags = parent.Flags
	case sampled:
		record.Flags = Sampled | Random
	default:
		record.Flags = Random
	}
	if r.options.MarkAllSampled {
		record.Flags |= Sampled
	}
	if record.State == "" {
		if sampled {
			record.State = r.sampledState
		}
	} else {
		record.State = r.sampler.state(record.State, sampled)
	}
	op := &r.table.slots[slot]
	op.sampled = sampled
	op.requests++
	op.open++
	record.Number, span.operation = int(op.requests), slot
	op.last = Link{record.Trace, record.Span}
	if retry {
		record.Reasons |= ForRetry
		r.keepAll(slot)
	}
	return span
}

// acquireSpan returns an empty span.
func (r *Recorder) acquireSpan() *RequestSpan {
	n := len(r.unused)
	if n == 0 {
		span := &RequestSpan{}
		r.spans = append(r.spans, span)
		return span
	}
	span := r.unused[n-1]
	r.unused = r.unused[:n-1]
	return span
}

// release makes a closed span available for reuse.
func (r *Recorder) release(span *RequestSpan) {
	if span.openAttempts > 0 {
		// The transport may still write to the span of an open attempt, so this span is not reused.
		r.spans = slices.DeleteFunc(r.spans, func(other *RequestSpan) bool { return other == span })
		span.id = 0
		return
	}
	clear(span.attemptSpans[:min(len(span.record.Attempts), len(span.attemptSpans))])
	clear(span.record.Attempts) // a prefix of span.attempts, whose rest is clear, unless there were more attempts
	span.record = Record{}
	span.id, span.client, span.reason, span.openAttempts, span.ended, span.awaitsRejection, span.element, span.class =
		0, nil, 0, 0, false, false, nil, nil
	r.unused = append(r.unused, span)
}

// findOperation returns the slot of the operation that a request retries, or 0. It looks by the trace ID, then by the
// session. A retry has the same prompt length; a request that resumes a stream is marked as such.
func (r *Recorder) findOperation(now time.Duration, parent Context, request *policy.Request, retry bool) uint32 {
	if parent.Trace != (TraceID{}) {
		if slot := r.table.byTrace[parent.Trace]; slot != 0 {
			// A trace may contain many operations, for example those of an agent's run, so a retry mark does not identify the
			// operation. It is required only if the request has no session.
			op := &r.table.slots[slot]
			same := op.session == request.Session && op.promptTokens == request.PromptTokens
			if op.isActive(now) && same && (retry || request.Session != 0) {
				return slot
			}
		}
	}
	if request.Session != 0 {
		// A client may send its next request before it retries the last one.
		slot := r.table.bySession[request.Session]
		for n := 0; n < maxOverlapping && slot != 0; n++ {
			op := &r.table.slots[slot]
			if op.session != request.Session || !op.isActive(now) {
				break
			}
			if op.promptTokens == request.PromptTokens || request.IsResumed {
				return slot
			}
			slot = op.previous
		}
	}
	return 0
}

// maxOverlapping is the number of latest operations of a session that findOperation examines.
const maxOverlapping = 4

func (op *operation) isActive(now time.Duration) bool { return op.open > 0 || now < op.windowEnd }

func (r *Recorder) newTraceID() (t TraceID) {
	for t == (TraceID{}) {
		binary.BigEndian.PutUint64(t[:8], r.rnd.Uint64())
		binary.BigEndian.PutUint64(t[8:], r.rnd.Uint64())
	}
	return t
}

func (r *Recorder) newSpanID() (s SpanID) {
	for s == (SpanID{}) {
		binary.BigEndian.PutUint64(s[:], r.rnd.Uint64())
	}
	return s
}

// SetReason sets the reason of the decision that the module makes next.
func (r *Recorder) SetReason(id policy.RequestID, span *RequestSpan, reason policy.Reason) {
	if span.isFor(id) {
		span.reason = reason
	}
}

// StartAttempt starts the span of attempt n and returns it.
func (r *Recorder) StartAttempt(now time.Duration, id policy.RequestID, span *RequestSpan, n int,
	host, addr string,
) *AttemptSpan {
	if !span.isFor(id) {
		return &AttemptSpan{}
	}
	record := &span.record
	for len(record.Attempts) <= n {
		record.Attempts = append(record.Attempts, Attempt{Span: r.newSpanID(), Result: None, TransportResult: None})
	}
	a := &record.Attempts[n]
	a.Host, a.Addr, a.Why, a.Sent = host, addr, DecisionReason(span.reason), now-record.At
	span.openAttempts++
	attemptSpan := &AttemptSpan{}
	if n < len(span.attemptSpans) {
		attemptSpan = &span.attemptSpans[n]
	}
	attemptSpan.Context = Context{Trace: record.Trace, Span: a.Span, Flags: record.Flags, State: record.State}
	return attemptSpan
}

func (span *RequestSpan) isFor(id policy.RequestID) bool { return span != nil && span.id == id }

func (span *RequestSpan) attempt(id policy.RequestID, n int) *Attempt {
	if !span.isFor(id) || n < 0 || n >= len(span.record.Attempts) {
		return nil
	}
	return &span.record.Attempts[n]
}

// BindAttempt records that attempt n is bound to the client.
func (r *Recorder) BindAttempt(now time.Duration, id policy.RequestID, span *RequestSpan, n int) {
	if a := span.attempt(id, n); a != nil {
		a.Bound = now - span.record.At
		span.record.FirstEvent = a.Bound
	}
}

// RecordResult records the result of attempt n as it is reported to the module.
func (r *Recorder) RecordResult(now time.Duration, id policy.RequestID, span *RequestSpan, n int,
	result policy.Result, cachedTokens float64,
) {
	if a := span.attempt(id, n); a != nil {
		a.Reported, a.Result = max(now-span.record.At, 1), Result(result)
		if cachedTokens > 0 && a.Bound != 0 {
			span.record.CachedTokens = cachedTokens
		}
	}
}

// EndAttempt ends the span of attempt n with the result of the transport, which may come long after RecordResult. times
// may be nil.
func (r *Recorder) EndAttempt(now time.Duration, id policy.RequestID, span *RequestSpan, n int,
	result policy.Result, stale bool, times *Times,
) {
	a := span.attempt(id, n)
	if a == nil || a.Ended != 0 {
		return
	}
	at := span.record.At
	a.TransportResult, a.StaleConnection, a.Ended = Result(result), stale, max(now-at, 1)
	if times != nil {
		since := func(t time.Duration) time.Duration {
			if t == 0 {
				return 0
			}
			return max(t-at, a.Sent, 1)
		}
		a.Started, a.Connected, a.NewConnection, a.Written =
			since(times.Started), since(times.Connected), times.NewConnection, since(times.Written)
		a.FirstByte, a.FirstEvent, a.Relay, a.Bytes = since(times.FirstByte), since(times.FirstEvent), times.Relay, times.Bytes
		if b := since(times.Bound); b != 0 && a.Bound != 0 {
			a.Bound, span.record.FirstEvent = b, b // when the transport learned that the attempt is bound
		}
		if e := since(times.Ended); e != 0 {
			a.Ended = e
		}
		if a.Bound != 0 && times.Tokens > 0 {
			span.record.OutputTokens = times.Tokens
		}
	}
	span.openAttempts--
	if span.ended && a.Bound != 0 && span.record.Outcome != Gone {
		span.record.End = max(span.record.End, a.Ended)
	}
	r.finish(now, span, false)
}

// EndLateAttempt is EndAttempt for a request that the dispatcher has removed.
func (r *Recorder) EndLateAttempt(now time.Duration, id policy.RequestID, n int, result policy.Result, stale bool, times *Times) {
	if span := r.incomplete[id]; span != nil {
		r.EndAttempt(now, id, span, n, result, stale, times)
	}
}

// EndRequest ends a request from its client's point of view. EndAttempt of open attempts may follow.
func (r *Recorder) EndRequest(now time.Duration, id policy.RequestID, span *RequestSpan,
	outcome Outcome, retryAfter time.Duration,
) {
	if !span.isFor(id) || span.ended {
		return
	}
	record := &span.record
	span.ended, record.Outcome, record.RetryAfter = true, outcome, retryAfter
	record.End = now - record.At
	switch outcome {
	case Refused, Failed:
		record.RejectedAt, record.Why = max(record.End, 1), DecisionReason(span.reason)
		if span.awaitsRejection {
			r.rejections[span.client] = span
		}
	case Gone:
		span.awaitsRejection = false
	default:
		span.awaitsRejection = false
		for i := range record.Attempts {
			if a := &record.Attempts[i]; a.Bound != 0 && a.Ended != 0 {
				record.End = a.Ended
			}
		}
	}
	span.closeAt = now + r.options.CompletionGrace
	r.finish(now, span, false)
}

// RejectionWritten records that the rejection was written to the client, or could not be.
func (r *Recorder) RejectionWritten(now time.Duration, client any, at time.Duration) {
	span := r.rejections[client]
	if span == nil {
		return
	}
	delete(r.rejections, client)
	span.awaitsRejection = false
	span.record.End = max(min(at, now)-span.record.At, span.record.RejectedAt)
	r.finish(now, span, false)
}

// finish closes the record of an ended request once it is complete, or in any case if force is set.
func (r *Recorder) finish(now time.Duration, span *RequestSpan, force bool) {
	if !span.ended {
		return
	}
	if !force && (span.openAttempts > 0 || span.awaitsRejection) {
		if span.element == nil {
			span.element = r.incompleteOrder.PushBack(span)
			r.incomplete[span.id] = span
			r.wake(span.closeAt)
		}
		return
	}
	if span.element != nil {
		r.incompleteOrder.Remove(span.element)
		delete(r.incomplete, span.id)
	}
	if span.awaitsRejection {
		delete(r.rejections, span.client)
	}
	record := &span.record
	record.Late, record.Reasons = r.isLate(record, span.class), record.Reasons|keepReasons(record)
	if record.Late {
		record.Reasons |= ForLate
	}
	op := &r.table.slots[span.operation]
	op.open--
	op.windowEnd = now + r.options.RetryWindow
	if record.Reasons != 0 || op.kept {
		r.keepAll(span.operation)
		record.computePhases(span.queueTime)
		r.keep(record)
	} else if !r.table.store(span.operation, record, span.queueTime) {
		record.computePhases(span.queueTime)
		r.sample(now, op.sampled, true, func() *Record { return record })
	}
	slot := span.operation
	r.release(span)
	if op = &r.table.slots[slot]; op.open > 0 {
		return
	}
	for r.table.size() > r.options.Operations || !r.table.enqueue(slot) {
		first := r.table.next()
		if first == 0 {
			r.table.enqueue(slot) // all other operations have an open request
			break
		}
		r.expire(now, first, true)
	}
	if r.options.RetryWindow == 0 {
		r.expire(now, slot, false)
		return
	}
	r.wake(op.windowEnd)
}

// keepReasons returns the reasons for which a record is exported regardless of sampling.
func keepReasons(record *Record) KeepReason {
	var reasons KeepReason
	switch record.Outcome {
	case Failed:
		reasons = ForFailed
	case Refused:
		reasons = ForRefused
	case Broken:
		reasons = ForBroken
	case Gone:
		reasons = ForGone
	case Open, Unknown:
		reasons = ForOpen
	}
	if len(record.Attempts) > 1 {
		reasons |= ForAttempts
	}
	return reasons
}

// isLate reports whether a response missed a latency target of its class: for the first event, or for the further tokens.
func (r *Recorder) isLate(record *Record, c *Class) bool {
	if record.FirstEvent == 0 || record.TargetLatency == 0 {
		return false
	}
	if record.FirstEvent > record.TargetLatency-r.options.LatencyMargin {
		return true
	}
	if c != nil && c.TokenLatencyTarget > 0 && record.OutputTokens > 0 {
		return record.End-record.FirstEvent > time.Duration(record.OutputTokens)*c.TokenLatencyTarget-r.options.LatencyMargin
	}
	return false
}

// keepAll ensures that all records of an operation are exported: the pending one now, those of open requests when they end.
func (r *Recorder) keepAll(slot uint32) {
	r.table.slots[slot].kept = true
	if record := r.takePending(slot); record != nil {
		record.Reasons = ForLinked
		r.keep(record)
	}
}

// takePending removes and returns the pending record of an operation, or nil.
func (r *Recorder) takePending(slot uint32) *Record {
	record := r.table.take(slot)
	if record != nil {
		record.Router = r.options.Router
	}
	return record
}

// keep exports a copy of a record.
func (r *Recorder) keep(record *Record) {
	if record.Reasons == 0 {
		record.Reasons = ForLinked
	}
	r.counters.Exported++
	if record.Reasons == ForShare {
		r.counters.Sampled++
	}
	kept := *record
	kept.Attempts = append([]Attempt(nil), record.Attempts...)
	r.owner.Keep(&kept)
}

// expire samples the pending record of an operation and removes the operation.
func (r *Recorder) expire(now time.Duration, slot uint32, evicted bool) {
	op := &r.table.slots[slot]
	if op.size != 0 {
		r.sample(now, op.sampled, evicted, func() *Record { return r.takePending(slot) })
	}
	r.table.remove(slot)
}

// sample exports an ordinary record, or counts why not. take returns the record.
func (r *Recorder) sample(now time.Duration, sampled, evicted bool, take func() *Record) {
	switch {
	case sampled && r.sampler.Allow(now):
		if record := take(); record != nil {
			record.Reasons = ForShare
			r.keep(record)
		}
	case sampled:
		r.counters.RateLimited++
	case evicted:
		r.counters.Evicted++
	default:
		r.counters.Dropped++
	}
}

// wake schedules a call of Due, unless an earlier one is scheduled.
func (r *Recorder) wake(at time.Duration) {
	if r.wakeAt == 0 || at < r.wakeAt {
		r.wakeAt = at
		r.owner.Wake(at)
	}
}

// Due closes incomplete spans whose closeAt has come, and operations whose retry window has ended.
func (r *Recorder) Due(now time.Duration) {
	if r.wakeAt == 0 || now < r.wakeAt {
		return // another call is scheduled for later
	}
	r.wakeAt = 0
	var next time.Duration
	for first := r.incompleteOrder.Front(); first != nil; first = r.incompleteOrder.Front() {
		span := first.Value.(*RequestSpan)
		if now < span.closeAt {
			next = span.closeAt
			break
		}
		r.finish(now, span, true)
	}
	for slot := r.table.next(); slot != 0; slot = r.table.next() {
		if windowEnd := r.table.slots[slot].windowEnd; now < windowEnd {
			if next == 0 || windowEnd < next {
				next = windowEnd
			}
			break
		}
		r.expire(now, slot, false)
	}
	if next != 0 {
		r.wake(next)
	}
}

// Drain decides on finished records at once from now on, without waiting for a retry: the router accepts no more requests
// and may be killed before its last stream ends.
func (r *Recorder) Drain(now time.Duration) {
	r.options.RetryWindow = 0
	r.expireAll(now)
}

func (r *Recorder) expireAll(now time.Duration) {
	for slot := r.table.next(); slot != 0; slot = r.table.next() {
		r.expire(now, slot, false)
	}
}

// Flush closes all spans at the end of the router. Open requests are exported with the outcome Open.
func (r *Recorder) Flush(now time.Duration) {
	for _, span := range slices.Clone(r.spans) {
		if span.id == 0 {
			continue
		}
		if !span.ended {
			span.ended, span.record.Outcome, span.record.End = true, Open, now-span.record.At
		}
		r.finish(now, span, true)
	}
	r.expireAll(now)
}
