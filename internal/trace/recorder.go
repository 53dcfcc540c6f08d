package trace

import (
	"container/list"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"notchhinge/policy"
)

// Class is what the recorder must know of a class to tell whether an answer was late.
type Class struct {
	Name                    string
	TargetLatency           time.Duration // for the first event
	TargetLatencyPerKTokens time.Duration // added for each 1,000 prompt tokens
	TokenLatencyTarget      time.Duration // for each token of the rest, on average; 0 = no such aim
}

// Pool is what a recorder must know of a pool.
type Pool struct {
	Pool    string
	Classes []Class // by their numbers in the pool's requests
}

// Options are fixed for the life of a Recorder.
type Options struct {
	Router          string        // its name, in every record
	Classes         []Class       // of what is of no set
	RetryWindow     time.Duration // a retry is looked for so long after the try before it
	CompletionGrace time.Duration // a try that is over waits so long for the last word of its legs and of its client
	LatencyMargin   time.Duration // an answer that was so near to its aim counts as late: the client sees it later still
	Share           float64       // of ordinary steps, from 0 to 1
	PerSecond       float64       // ordinary steps a second at the most; 0 = no bound
	MarkAllSampled  bool          // issuer hosts are told that every trace is sampled, not just those of the share
	Operations      int           // steps in the table, StepBytes each; the oldest leaves first
	Seed            uint64
}

// Host is the one whose state the recorder is part of.
type Host interface {
	// Wake asks for Recorder.Due at a time.
	Wake(at time.Duration)
	// Keep hands over the record of a try that is to leave. It is the taker's from then on.
	Keep(*Record)
}

// Counters tell what became of tries. Taken = Kept + Dropped + Early + Limited + Held + those under way.
type Counters struct {
	Taken   int // tries that began
	Kept    int // handed over
	Share   int // of these, ordinary ones
	Dropped int // ordinary ones that were not of the share
	Evicted int // ordinary ones that left before their window's end, for want of memory
	Limited int // of the share, but beyond the rate
	Linked  int // tries found to be retries
	Pending int // tries that wait now
	Steps   int // in the table now
}

// Recorder owns the open journeys and the table of steps. It is not safe for concurrent use.
type Recorder struct {
	o       Options
	host    Host
	rnd     *rand.Rand
	sampler Sampler
	state   string                            // a new trace of the share goes on with this tracestate
	late    map[policy.RequestID]*RequestSpan // over, but lacking the last word of a leg
	telling map[any]*RequestSpan              // a declining answer is being written to them
	table   *table
	lingers list.List      // of *Journey that are over and lack a last word, by the time they are closed
	woken   time.Duration  // a Wake is out for then; 0 = none
	all     []*RequestSpan // every one made
	spare   []*RequestSpan // of these, not in use
	counts  Counters
}

// RequestSpan is a try that is under way. Its owner keeps it beside the authorisation's id; it is used again for others, so
// that it does nothing for an id that it is no longer of.
type RequestSpan struct {
	try   Record
	legs  [4]Attempt     // room for try.Legs; the deployment's most attempts
	carry [4]AttemptSpan // likewise, of what they carry
	step  uint32         // slot
	id    policy.RequestID
	from  any
	why   policy.Reason
	taken time.Duration // the reducer took it, from At
	out   int           // legs whose own end has not come
	over  bool          // towards its client
	class *Class        // nil where it is unknown
	tells bool          // and it will be said when the answer is written
	until time.Duration // it is closed then, whatever is missing; 0 = not over
	place *list.Element // among those that linger
}

// New returns a recorder that holds nothing.
func New(o Options, host Host) *Recorder {
	r := &Recorder{
		o: o, host: host, rnd: rand.New(rand.NewPCG(o.Seed, 0x6a09e667f3bcc909)), sampler: NewSampler(o.Share, o.PerSecond),
		late: map[policy.RequestID]*RequestSpan{}, telling: map[any]*RequestSpan{},
		table: newTable(max(o.Operations, 1)),
	}
	r.state = r.sampler.state("", true)
	return r
}

// Counters returns what became of tries so far.
func (r *Recorder) Counters() Counters {
	c := r.counts
	c.Steps, c.Pending = r.table.waiting(), r.table.held
	return c
}

// StartRequest begins the journey of an authorisation. o may be nil: then it has no context and nothing is known of its
// beginning. So may set: then its class is one of the options'.
func (r *Recorder) StartRequest(now time.Duration, id policy.RequestID, from any, callID string, at time.Duration,
	q *policy.Request, o *Origin, set *Pool,
) *RequestSpan {
	r.counts.Taken++
	j := r.journey()
	t := &j.try
	t.Router, t.CallID, t.Session, t.PromptTokens, t.At = r.o.Router, callID, q.Session, q.PromptTokens, min(at, now)
	t.Attempts = j.legs[:0]
	j.id, j.from, j.taken = id, from, now-t.At
	if set != nil {
		t.Pool = set.Pool
	}
	if set != nil && q.Class >= 0 && q.Class < len(set.Classes) {
		c := &set.Classes[q.Class]
		j.class = c
		t.Class, t.TargetLatency = c.Name, c.TargetLatency+time.Duration(float64(c.TargetLatencyPerKTokens)*q.PromptTokens/1000)
	}
	var parent Context
	retry := q.IsClientRetry || q.IsResumed
	if o != nil {
		retry = retry || o.Retry
		if t.CallID == "" {
			t.CallID = o.CallID
		}
		parent, t.Frontend, t.Team, j.tells = o.Context, o.Frontend, o.Team, o.ReportsRejection
		if o.FirstByte != 0 {
			t.Reading = max(t.At-o.FirstByte, 0)
		}
	}
	slot := r.find(now, parent, q, retry)
	t.Trace, t.Parent, t.State = parent.Trace, parent.Span, parent.State
	linked := slot != 0
	if !linked {
		if t.Trace == (TraceID{}) {
			t.Trace = r.newTrace()
		}
		slot = r.table.add(step{
			trace: t.Trace, session: q.Session, prompt: q.PromptTokens, indexed: parent.Trace != (TraceID{}),
			before: r.table.talks[q.Session],
		})
	} else {
		retry = true
		r.counts.Linked++
		s := &r.table.slots[slot]
		t.Previous = s.last
		if t.Trace == (TraceID{}) {
			t.Trace = s.last.Trace // it joins the trace of the try before
		}
		if s.open == 0 {
			r.table.unqueue(slot)
		}
	}
	if q.Session != 0 && !linked { // a retry must not hide the newer questions, which may be tried again too
		r.table.talks[q.Session] = slot
	}
	t.Span = r.newSpan()
	in := r.sampler.InShare(t.Trace, t.State)
	switch {
	case parent.Span != (SpanID{}):
		t.Flags = parent.Flags
	case in:
		t.Flags = Sampled | Random
	default:
		t.Flags = Random
	}
	if r.o.MarkAllSampled {
		t.Flags |= Sampled
	}
	if t.State == "" {
		if in {
			t.State = r.state
		}
	} else {
		t.State = r.sampler.state(t.State, in)
	}
	s := &r.table.slots[slot]
	s.in = in
	s.number++
	s.open++
	t.Number, j.step = int(s.number), slot
	s.last = Link{t.Trace, t.Span}
	if retry {
		t.Reasons |= ForRetry
		r.keepAll(slot)
	}
	return j
}

// journey returns an empty one.
func (r *Recorder) journey() *RequestSpan {
	n := len(r.spare)
	if n == 0 {
		j := &RequestSpan{}
		r.all = append(r.all, j)
		return j
	}
	j := r.spare[n-1]
	r.spare = r.spare[:n-1]
	return j
}

// done puts a journey that has ended back. There are as many as there were ever authorisations open at once.
func (r *Recorder) done(j *RequestSpan) {
	if j.out > 0 {
		// A leg may yet write into what it carries: this one is not used again, and is nobody's from now on.
		r.all = slices.DeleteFunc(r.all, func(other *RequestSpan) bool { return other == j })
		j.id = 0
		return
	}
	clear(j.carry[:min(len(j.try.Attempts), len(j.carry))])
	clear(j.try.Attempts) // a part of j.legs; the rest is clear
	j.try = Record{}
	j.id, j.from, j.why, j.out, j.over, j.tells, j.place, j.class = 0, nil, 0, 0, false, false, nil, nil
	r.spare = append(r.spare, j)
}

// find looks for the step that a try goes on with: by the trace that it carries, else by its conversation. The
// prompt's length tells a retry from the next question; a client that asks for the rest of a stream says so.
func (r *Recorder) find(now time.Duration, parent Context, q *policy.Request, retry bool) uint32 {
	if parent.Trace != (TraceID{}) {
		if slot := r.table.traces[parent.Trace]; slot != 0 {
			// One trace may hold many steps, as that of an agent's whole run does: being marked as a retry makes a try
			// no retry of just any of them. Only where there is no conversation does the mark have to do.
			s := &r.table.slots[slot]
			same := s.session == q.Session && s.prompt == q.PromptTokens
			if s.fresh(now) && same && (retry || q.Session != 0) {
				return slot
			}
		}
	}
	if q.Session != 0 {
		// A client may ask its next question before it tries the last one again.
		slot := r.table.talks[q.Session]
		for n := 0; n < overlaps && slot != 0; n++ {
			s := &r.table.slots[slot]
			if s.session != q.Session || !s.fresh(now) {
				break
			}
			if s.prompt == q.PromptTokens || q.IsResumed {
				return slot
			}
			slot = s.before
		}
	}
	return 0
}

// overlaps is how many steps of a conversation are looked through for the one that a try goes on with.
const overlaps = 4

func (s *step) fresh(now time.Duration) bool { return s.open > 0 || now < s.until }

func (r *Recorder) newTrace() (t TraceID) {
	for t == (TraceID{}) {
		binary.BigEndian.PutUint64(t[:8], r.rnd.Uint64())
		binary.BigEndian.PutUint64(t[8:], r.rnd.Uint64())
	}
	return t
}

func (r *Recorder) newSpan() (s SpanID) {
	for s == (SpanID{}) {
		binary.BigEndian.PutUint64(s[:], r.rnd.Uint64())
	}
	return s
}

// SetReason notes why the module acts next.
func (r *Recorder) SetReason(id policy.RequestID, j *RequestSpan, why policy.Reason) {
	if j.is(id) {
		j.why = why
	}
}

// StartAttempt begins a leg and returns what it carries.
func (r *Recorder) StartAttempt(now time.Duration, id policy.RequestID, j *RequestSpan, n int, host, dial string) *AttemptSpan {
	if !j.is(id) {
		return &AttemptSpan{}
	}
	t := &j.try
	for len(t.Attempts) <= n {
		t.Attempts = append(t.Attempts, Attempt{Span: r.newSpan(), Result: None, TransportResult: None})
	}
	l := &t.Attempts[n]
	l.Host, l.Addr, l.Why, l.Sent = host, dial, DecisionReason(j.why), now-t.At
	j.out++
	c := &AttemptSpan{}
	if n < len(j.carry) {
		c = &j.carry[n]
	}
	c.Context = Context{Trace: t.Trace, Span: l.Span, Flags: t.Flags, State: t.State}
	return c
}

func (j *RequestSpan) is(id policy.RequestID) bool { return j != nil && j.id == id }

func (j *RequestSpan) leg(id policy.RequestID, n int) *Attempt {
	if !j.is(id) || n < 0 || n >= len(j.try.Attempts) {
		return nil
	}
	return &j.try.Attempts[n]
}

// BindAttempt tells that a leg's answer is the client's.
func (r *Recorder) BindAttempt(now time.Duration, id policy.RequestID, j *RequestSpan, n int) {
	if l := j.leg(id, n); l != nil {
		l.Bound = now - j.try.At
		j.try.FirstEvent = l.Bound
	}
}

// RecordResult tells the result of a leg as the module hears it.
func (r *Recorder) RecordResult(now time.Duration, id policy.RequestID, j *RequestSpan, n int, result policy.Result, kept float64) {
	if l := j.leg(id, n); l != nil {
		l.Reported, l.Result = max(now-j.try.At, 1), Result(result)
		if kept > 0 && l.Bound != 0 {
			j.try.CachedTokens = kept
		}
	}
}

// EndAttempt tells what the line of a leg came to, be it long after the module has heard of its result. m may be nil.
func (r *Recorder) EndAttempt(now time.Duration, id policy.RequestID, j *RequestSpan, n int, said policy.Result, stale bool, m *Times) {
	l := j.leg(id, n)
	if l == nil || l.Ended != 0 {
		return
	}
	at := j.try.At
	l.TransportResult, l.StaleConnection, l.Ended = Result(said), stale, max(now-at, 1)
	if m != nil {
		since := func(t time.Duration) time.Duration {
			if t == 0 {
				return 0
			}
			return max(t-at, l.Sent, 1)
		}
		l.Started, l.Connected, l.NewConnection, l.Written = since(m.Started), since(m.Connected), m.NewConnection, since(m.Written)
		l.FirstByte, l.FirstEvent, l.Relay, l.Bytes = since(m.FirstByte), since(m.FirstEvent), m.Relay, m.Bytes
		if b := since(m.Bound); b != 0 && l.Bound != 0 {
			l.Bound, j.try.FirstEvent = b, b // when the leg could go on with it
		}
		if e := since(m.Ended); e != 0 {
			l.Ended = e
		}
		if l.Bound != 0 && m.Tokens > 0 {
			j.try.OutputTokens = m.Tokens
		}
	}
	j.out--
	if j.over && l.Bound != 0 && j.try.Outcome != Gone {
		j.try.End = max(j.try.End, l.Ended)
	}
	r.finish(now, j, false)
}

// EndLateAttempt is Ended for a leg whose authorisation its owner has forgotten.
func (r *Recorder) EndLateAttempt(now time.Duration, id policy.RequestID, n int, said policy.Result, stale bool, m *Times) {
	if j := r.late[id]; j != nil {
		r.EndAttempt(now, id, j, n, said, stale, m)
	}
}

// EndRequest ends a try towards its client. For a bound leg, Ended follows or has come.
func (r *Recorder) EndRequest(now time.Duration, id policy.RequestID, j *RequestSpan, o Outcome, retryAfter time.Duration) {
	if !j.is(id) || j.over {
		return
	}
	t := &j.try
	j.over, t.Outcome, t.RetryAfter = true, o, retryAfter
	t.End = now - t.At
	switch o {
	case Refused, Failed:
		t.RejectedAt, t.Why = max(t.End, 1), DecisionReason(j.why)
		if j.tells {
			r.telling[j.from] = j
		}
	case Gone:
		j.tells = false
	default:
		j.tells = false
		for i := range t.Attempts {
			if l := &t.Attempts[i]; l.Bound != 0 && l.Ended != 0 {
				t.End = l.Ended
			}
		}
	}
	j.until = now + r.o.CompletionGrace
	r.finish(now, j, false)
}

// RejectionWritten tells that the declining answer to a client was written, or that this failed.
func (r *Recorder) RejectionWritten(now time.Duration, from any, at time.Duration) {
	j := r.telling[from]
	if j == nil {
		return
	}
	delete(r.telling, from)
	j.tells = false
	j.try.End = max(min(at, now)-j.try.At, j.try.RejectedAt)
	r.finish(now, j, false)
}

// finish closes the record of a try once nothing is missing, or if it must.
func (r *Recorder) finish(now time.Duration, j *RequestSpan, must bool) {
	if !j.over {
		return
	}
	if !must && (j.out > 0 || j.tells) {
		if j.place == nil {
			j.place = r.lingers.PushBack(j)
			r.late[j.id] = j
			r.wake(j.until)
		}
		return
	}
	if j.place != nil {
		r.lingers.Remove(j.place)
		delete(r.late, j.id)
	}
	if j.tells {
		delete(r.telling, j.from)
	}
	t := &j.try
	t.Late, t.Reasons = r.slow(t, j.class), t.Reasons|reasons(t)
	if t.Late {
		t.Reasons |= ForLate
	}
	s := &r.table.slots[j.step]
	s.open--
	s.until = now + r.o.RetryWindow
	if t.Reasons != 0 || s.kept {
		r.keepAll(j.step)
		t.reckon(j.taken)
		r.keep(t)
	} else if !r.table.hold(j.step, t, j.taken) {
		t.reckon(j.taken)
		r.decide(now, s.in, true, func() *Record { return t })
	}
	slot := j.step
	r.done(j)
	if s = &r.table.slots[slot]; s.open > 0 {
		return
	}
	for r.table.waiting() > r.o.Operations || !r.table.queue(slot) {
		first := r.table.next()
		if first == 0 {
			r.table.queue(slot) // all others have a try under way
			break
		}
		r.settle(now, first, true)
	}
	if r.o.RetryWindow == 0 {
		r.settle(now, slot, false)
		return
	}
	r.wake(s.until)
}

// reasons tells what has a try kept whatever the share.
func reasons(t *Record) Reason {
	var why Reason
	switch t.Outcome {
	case Failed:
		why = ForFailed
	case Refused:
		why = ForRefused
	case Broken:
		why = ForBroken
	case Gone:
		why = ForGone
	case Open, Unknown:
		why = ForOpen
	}
	if len(t.Attempts) > 1 {
		why |= ForLegs
	}
	return why
}

// slow tells whether an answer came later than its class wants: its first event, or the pace of the rest.
func (r *Recorder) slow(t *Record, c *Class) bool {
	if t.FirstEvent == 0 || t.TargetLatency == 0 {
		return false
	}
	if t.FirstEvent > t.TargetLatency-r.o.LatencyMargin {
		return true
	}
	if c != nil && c.TokenLatencyTarget > 0 && t.OutputTokens > 0 {
		return t.End-t.FirstEvent > time.Duration(t.OutputTokens)*c.TokenLatencyTarget-r.o.LatencyMargin
	}
	return false
}

// keepAll has a step kept: the try that has ended leaves now, those under way at their end.
func (r *Recorder) keepAll(slot uint32) {
	r.table.slots[slot].kept = true
	if t := r.waiting(slot); t != nil {
		t.Reasons = ForLinked
		r.keep(t)
	}
}

// waiting takes a step's try out of the table; nil = there is none.
func (r *Recorder) waiting(slot uint32) *Record {
	t := r.table.take(slot)
	if t != nil {
		t.Router = r.o.Router
	}
	return t
}

// keep hands a copy of a record over.
func (r *Recorder) keep(t *Record) {
	if t.Reasons == 0 {
		t.Reasons = ForLinked
	}
	r.counts.Kept++
	if t.Reasons == ForShare {
		r.counts.Share++
	}
	kept := *t
	kept.Attempts = append([]Attempt(nil), t.Attempts...)
	r.host.Keep(&kept)
}

// settle decides about what is left of a step and forgets it.
func (r *Recorder) settle(now time.Duration, slot uint32, early bool) {
	s := &r.table.slots[slot]
	if s.size != 0 {
		r.decide(now, s.in, early, func() *Record { return r.waiting(slot) })
	}
	r.table.remove(slot)
}

// decide keeps an ordinary try, or counts why not. take returns it, if it is kept.
func (r *Recorder) decide(now time.Duration, in, early bool, take func() *Record) {
	switch {
	case in && r.sampler.Allow(now):
		if t := take(); t != nil {
			t.Reasons = ForShare
			r.keep(t)
		}
	case in:
		r.counts.Limited++
	case early:
		r.counts.Evicted++
	default:
		r.counts.Dropped++
	}
}

// wake has Due called at a time, unless it is called sooner anyway.
func (r *Recorder) wake(at time.Duration) {
	if r.woken == 0 || at < r.woken {
		r.woken = at
		r.host.Wake(at)
	}
}

// Due closes what has waited long enough.
func (r *Recorder) Due(now time.Duration) {
	if r.woken == 0 || now < r.woken {
		return // a later one is out
	}
	r.woken = 0
	var next time.Duration
	for first := r.lingers.Front(); first != nil; first = r.lingers.Front() {
		j := first.Value.(*RequestSpan)
		if now < j.until {
			next = j.until
			break
		}
		r.finish(now, j, true)
	}
	for slot := r.table.next(); slot != 0; slot = r.table.next() {
		if until := r.table.slots[slot].until; now < until {
			if next == 0 || until < next {
				next = until
			}
			break
		}
		r.settle(now, slot, false)
	}
	if next != 0 {
		r.wake(next)
	}
}

// Drain has finished tries leave from now on without waiting for a retry: the router takes nothing new, and may be
// killed before the last stream has ended.
func (r *Recorder) Drain(now time.Duration) {
	r.o.RetryWindow = 0
	r.settleAll(now)
}

func (r *Recorder) settleAll(now time.Duration) {
	for slot := r.table.next(); slot != 0; slot = r.table.next() {
		r.settle(now, slot, false)
	}
}

// Flush closes everything, at the router's end: tries that are under way are kept as Open.
func (r *Recorder) Flush(now time.Duration) {
	for _, j := range slices.Clone(r.all) {
		if j.id == 0 {
			continue
		}
		if !j.over {
			j.over, j.try.Outcome, j.try.End = true, Open, now-j.try.At
		}
		r.finish(now, j, true)
	}
	r.settleAll(now)
}
