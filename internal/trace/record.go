// Package trace follows authorisations: where the time of each went, what the decision module decided and why, and
// how each leg ended. It owns the open journeys, the table by which a client's retry finds the tries before it, and
// the choice of what is kept. It does no I/O, reads no clock and knows no wire: the broker tells it what the reducer
// takes in, and gets whole records back, which others send on (internal/trace/export) or show (internal/trace/show).
package trace

import (
	"fmt"
	"time"

	"notchhinge/policy"
)

// Outcome is how a try ended towards its client.
type Outcome uint8

// The outcomes. Gone: the client left before the end of its answer. Broken: the stream ended before its end.
const (
	Unknown Outcome = iota
	Served
	Broken
	Refused
	Failed
	Gone
	Open // the router stopped before it was known
)

var outcomeNames = [...]string{"unknown", "served", "broken", "refused", "failed", "gone", "open"}

func (o Outcome) String() string { return name(outcomeNames[:], int(o)) }

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Outcome) UnmarshalText(b []byte) error { return unname(o, outcomeNames[:], b) }

// ParseOutcome reads the name of an outcome.
func ParseOutcome(s string) (o Outcome, err error) { return o, o.UnmarshalText([]byte(s)) }

// Result is a policy.Result with a name; None stands for a leg whose end is not known.
type Result uint8

// None is the result of a leg that had not ended when its record was closed.
const None Result = 0xff

var resultNames = [...]string{
	policy.ResultOK: "ok", policy.ResultError: "error", policy.ResultFull: "full", policy.ResultTimedOut: "timed_out",
	policy.ResultConnectFailed: "connect_failed", policy.ResultReset: "reset", policy.ResultCancelled: "cancelled", policy.ResultNotSent: "moot",
}

func (r Result) String() string {
	if r == None {
		return "none"
	}
	return name(resultNames[:], int(r))
}

// MarshalText implements encoding.TextMarshaler.
func (r Result) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Result) UnmarshalText(b []byte) error {
	if string(b) == "none" {
		*r = None
		return nil
	}
	return unname(r, resultNames[:], b)
}

// DecisionReason is a policy.DecisionReason with a name, or a reason of the broker's own.
type DecisionReason policy.Reason

// Reasons of the broker's own, beyond those of the decision module.
const (
	RouterFull DecisionReason = iota + 64 // no room for another authorisation
	IDTaken                               // its id is that of another open one
	Unanswered                            // the module held it past its deadline
)

var whyNames = [...]string{
	policy.ReasonNone: "none", policy.ReasonAffinity: "pinned", policy.ReasonSelected: "drawn", policy.ReasonAffinityLost: "orphaned",
	policy.ReasonOtherZone: "spilled", policy.ReasonOverBound: "over_bound", policy.ReasonLastResort: "last_resort",
	policy.ReasonLoadShed: "shedding", policy.ReasonNoReplica: "no_replica", policy.ReasonRetryBudget: "no_retries",
	policy.ReasonMaxAttempts: "no_attempts", policy.ReasonDeadline: "out_of_time", policy.ReasonBadRequest: "bad_request",
	RouterFull: "router_full", IDTaken: "id_taken", Unanswered: "unanswered",
}

func (w DecisionReason) String() string { return name(whyNames[:], int(w)) }

// MarshalText implements encoding.TextMarshaler.
func (w DecisionReason) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (w *DecisionReason) UnmarshalText(b []byte) error { return unname(w, whyNames[:], b) }

func name(names []string, i int) string {
	if i < len(names) && names[i] != "" {
		return names[i]
	}
	return fmt.Sprint(i)
}

func unname[T ~uint8](to *T, names []string, b []byte) error {
	for i, n := range names {
		if n != "" && n == string(b) {
			*to = T(i)
			return nil
		}
	}
	return fmt.Errorf("%q is none of %q", b, names)
}

// Reason is a set of what had a try kept.
type Reason uint16

// The reasons. Linked: another try of the same step was kept. Share: it is of the share of ordinary ones.
const (
	ForFailed Reason = 1 << iota
	ForRefused
	ForBroken
	ForGone
	ForLate
	ForLegs
	ForRetry
	ForLinked
	ForShare
	ForOpen
)

var reasonNames = [...]string{"failed", "refused", "broken", "gone", "late", "legs", "retry", "linked", "share", "open"}

// Names lists the reasons in a set.
func (r Reason) Names() []string {
	var names []string
	for i, n := range reasonNames {
		if r&(1<<i) != 0 {
			names = append(names, n)
		}
	}
	return names
}

// Phase is a part of a try's time. Every moment from the request's last byte to the answer's end is of exactly one.
type Phase uint8

// The phases, in the order in which they usually come.
const (
	Queue   Phase = iota // until the loop took it
	Pending              // no leg was out: the module, or the loop between two legs
	Line                 // a leg waited for an idle line
	Connect              // a leg opened a connection
	Write                // a leg wrote the request
	Wait                 // the host was silent
	Head                 // from the answer's first byte to its first event
	Bind                 // the loop bound the leg to the client
	Stream               // the answer's events came
	Relay                // they were being written to the client
	Close                // the rest of a leg after its last stage
	Answer               // a final answer that serves nothing was being written
	Phases
)

var phaseNames = [Phases]string{
	"queue", "hold", "line", "connect", "write", "wait", "head", "bind", "stream", "relay", "close", "answer",
}

func (p Phase) String() string { return name(phaseNames[:], int(p)) }

// Inside tells whether the time of a phase is the router's own, and not a host's, a network's or the client's.
func (p Phase) Inside() bool {
	return p == Queue || p == Pending || p == Line || p == Bind || p == Close
}

// Times is what the one who runs a leg measured, as readings of the loop's clock; 0 = never came to it.
type Times struct {
	Started       time.Duration // its goroutine ran
	Connected     time.Duration // it had a line
	NewConnection bool          // and that was opened for it
	Written       time.Duration // the request's last byte was written
	FirstByte     time.Duration // the answer's first byte was there
	FirstEvent    time.Duration // and its first whole event
	Bound         time.Duration // the loop had said that the leg is the client's
	Ended         time.Duration
	Relay         time.Duration // total time of writes to the client
	Bytes         int           // passed on
	Tokens        int           // of the answer, by its usage; 0 = not told
}

// AttemptSpan is what a traced leg has with it: the context for its host, and the times that are measured on its way.
type AttemptSpan struct {
	Context
	Times Times
}

// Origin is what a front knows of where an authorisation came from.
type Origin struct {
	Context                 // of the client; a zero Trace begins a new trace, a zero Span has no parent
	Frontend         string // "calls" or "batch"
	Team             string
	CallID           string        // where the authorisation has no name
	Retry            bool          // the front knows that it is a further try
	FirstByte        time.Duration // the message's first byte was there, on the loop's clock; 0 = not known
	ReportsRejection bool          // the front reports with Answered when a declining answer is written
}

// Link points at a span of another trace.
type Link struct {
	Trace TraceID `json:"trace_id"`
	Span  SpanID  `json:"span_id"`
}

// Record is the whole record of one authorisation. Times without a word of their own are counted from At.
type Record struct {
	Trace  TraceID `json:"trace_id"`
	Span   SpanID  `json:"span_id"`
	Parent SpanID  `json:"parent_id,omitzero"`
	State  string  `json:"trace_state,omitempty"`
	Flags  byte    `json:"flags"`
	Previous Link    `json:"before,omitzero"` // the client's try before this one, where that is known
	Number int     `json:"try"`             // 1 for a first try

	Router  string  `json:"router"`
	Frontend   string  `json:"front"`
	Team    string  `json:"team,omitempty"`
	Pool    string  `json:"pool,omitempty"` // "" where there is only one
	CallID  string  `json:"call_id"`
	Class   string  `json:"class"`
	Session uint64  `json:"session,omitzero"`
	PromptTokens  float64 `json:"prompt_tokens"`
	OutputTokens  int     `json:"answer_tokens,omitzero"`
	CachedTokens    float64 `json:"cached_tokens,omitzero"`

	At         time.Duration         `json:"at"`               // its last byte, Unix time in ns
	Reading    time.Duration         `json:"reading"`          // from its first byte to its last
	FirstEvent time.Duration         `json:"first,omitzero"`   // the first event was bound to it
	RejectedAt    time.Duration         `json:"decided,omitzero"` // the final answer that serves nothing was decided
	End        time.Duration         `json:"end"`
	TargetLatency        time.Duration         `json:"aim"` // for First
	Outcome    Outcome               `json:"outcome"`
	Why        DecisionReason        `json:"why,omitzero"` // of a refusal or failure
	RetryAfter time.Duration         `json:"retry_after,omitzero"`
	Late       bool                  `json:"late,omitzero"`
	Reasons    Reason                `json:"reasons"`
	Phases     [Phases]time.Duration `json:"phases"` // they add up to End
	Attempts   []Attempt             `json:"legs"`
}

// Attempt is the record of one attempt. Its times are counted from its try's At; 0 = never came to it.
type Attempt struct {
	Span            SpanID         `json:"span_id"`
	Host            string         `json:"host"`
	Addr            string         `json:"dial"`
	Why             DecisionReason `json:"why"`
	Sent            time.Duration  `json:"sent"`
	Started           time.Duration  `json:"begun,omitzero"`
	Connected           time.Duration  `json:"lined,omitzero"`
	NewConnection           bool           `json:"fresh,omitzero"`
	Written         time.Duration  `json:"written,omitzero"`
	FirstByte       time.Duration  `json:"first,omitzero"`
	FirstEvent           time.Duration  `json:"event,omitzero"`
	Bound           time.Duration  `json:"bound,omitzero"`
	Reported        time.Duration  `json:"told,omitzero"`  // the module heard its result
	Ended           time.Duration  `json:"ended,omitzero"` // and so much later it was over, if it was called off
	Relay           time.Duration  `json:"relay,omitzero"`
	Bytes           int            `json:"bytes,omitzero"`
	Result          Result         `json:"result"` // what the module heard
	TransportResult Result         `json:"said"`   // what the line itself came to, which may be later and another
	StaleConnection           bool           `json:"stale,omitzero"`
}

// Total is the time of a try from its last byte to its answer's end; it equals the sum of its phases.
func (t *Record) Total() time.Duration { return t.End }

// reckon fills the phases in: each moment is the bound leg's while that is out, else that of the leg which was sent
// last among those out, else Hold. taken is when the reducer took the try.
func (t *Record) reckon(taken time.Duration) {
	t.Phases = [Phases]time.Duration{}
	at := min(max(taken, 0), t.End)
	t.Phases[Queue] = at
	until := t.End
	if t.RejectedAt != 0 {
		until = min(max(t.RejectedAt, at), t.End)
		t.Phases[Answer] = t.End - until
	}
	for at < until {
		owner, next := t.owner(at, until)
		if owner == nil {
			t.Phases[Pending] += next - at
		} else {
			owner.split(at, next, &t.Phases)
		}
		at = next
	}
}

// owner tells whose the moment at is, and until when it stays so.
func (t *Record) owner(at, until time.Duration) (owner *Attempt, next time.Duration) {
	next = until
	for i := range t.Attempts {
		l := &t.Attempts[i]
		over := l.over()
		switch {
		case l.Sent > at:
			next = min(next, l.Sent)
		case over <= at:
		default:
			next = min(next, over)
			if owner == nil || owner.Bound == 0 && (l.Bound != 0 || l.Sent >= owner.Sent) {
				owner = l
			}
		}
	}
	return owner, next
}

// over is when the router stopped waiting for a leg. A result that was told before the leg itself ended counts,
// unless the leg is the one whose answer the client got.
func (l *Attempt) over() time.Duration {
	switch {
	case l.Reported == 0 && l.Ended == 0:
		return 1<<63 - 1
	case l.Reported == 0 || l.Bound != 0 && l.Ended != 0:
		return l.Ended
	}
	return l.Reported
}

// split books the time from at to next to the stages of l.
func (l *Attempt) split(at, next time.Duration, to *[Phases]time.Duration) {
	connect := Line
	if l.NewConnection {
		connect = Connect
	}
	from := l.Sent
	// Until the goroutine runs the loop's effects are on their way: that is the router's own time, as a line's is.
	for _, stage := range [...]struct {
		end time.Duration
		is  Phase
	}{{l.Started, Line}, {l.Connected, connect}, {l.Written, Write}, {l.FirstByte, Wait}, {l.FirstEvent, Head}, {l.Bound, Bind}} {
		end := max(stage.end, from)
		if stage.end == 0 { // it ended in this stage
			end = l.over()
		}
		if part := min(end, next) - max(from, at); part > 0 {
			to[stage.is] += part
		}
		if stage.end == 0 {
			return
		}
		from = end
	}
	if part := next - max(from, at); part > 0 { // the stream
		relay := min(l.Relay, part)
		to[Relay] += relay
		to[Stream] += part - relay
	}
}
