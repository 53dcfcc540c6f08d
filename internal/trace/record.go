// Package trace records a trace of each request: where its time went, what the decision module decided and why, and how
// each attempt ended. It holds the open spans, links a client's retry to the requests before it, and samples the
// finished records. It does no I/O and reads no clock: the dispatcher calls it for each event, and receives finished
// records, which internal/trace/export exports and internal/trace/show displays.
package trace

import (
	"fmt"
	"time"

	"notchhinge/policy"
)

// Outcome is how a request ended from its client's point of view.
type Outcome uint8

// The outcomes of a request.
const (
	Unknown Outcome = iota
	Served
	Broken  // the response was cut off
	Refused // rejected; a retry is safe
	Failed  // an attempt may have run
	Gone    // the client disconnected before the end of the response
	Open    // the router stopped before the request ended
)

var outcomeNames = [...]string{"unknown", "served", "broken", "refused", "failed", "gone", "open"}

func (o Outcome) String() string { return nameOf(outcomeNames[:], int(o)) }

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Outcome) UnmarshalText(b []byte) error { return parseName(o, outcomeNames[:], b) }

// ParseOutcome parses the name of an outcome.
func ParseOutcome(s string) (o Outcome, err error) { return o, o.UnmarshalText([]byte(s)) }

// Result is a policy.Result that is encoded by its name, or None.
type Result uint8

// None is the result of an attempt that had not ended when the record of its request was closed.
const None Result = 0xff

var resultNames = [...]string{
	policy.ResultOK: "ok", policy.ResultError: "error", policy.ResultFull: "full", policy.ResultTimedOut: "timed_out",
	policy.ResultConnectFailed: "connect_failed", policy.ResultReset: "reset", policy.ResultCancelled: "cancelled",
	policy.ResultNotSent: "moot",
}

func (r Result) String() string {
	if r == None {
		return "none"
	}
	return nameOf(resultNames[:], int(r))
}

// MarshalText implements encoding.TextMarshaler.
func (r Result) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Result) UnmarshalText(b []byte) error {
	if string(b) == "none" {
		*r = None
		return nil
	}
	return parseName(r, resultNames[:], b)
}

// DecisionReason is a policy.Reason that is encoded by its name, or a reason of the dispatcher.
type DecisionReason policy.Reason

// Reasons of the dispatcher, for requests that the decision module did not decide.
const (
	RouterFull DecisionReason = iota + 64 // the router's limit of concurrent requests is reached
	IDTaken                               // another open request has the same ID
	Unanswered                            // the decision module did not answer before the deadline
)

var decisionReasonNames = [...]string{
	policy.ReasonNone: "none", policy.ReasonAffinity: "pinned", policy.ReasonSelected: "drawn", policy.ReasonAffinityLost: "orphaned",
	policy.ReasonOtherZone: "spilled", policy.ReasonOverBound: "over_bound", policy.ReasonLastResort: "last_resort",
	policy.ReasonLoadShed: "shedding", policy.ReasonNoReplica: "no_replica", policy.ReasonRetryBudget: "no_retries",
	policy.ReasonMaxAttempts: "no_attempts", policy.ReasonDeadline: "out_of_time", policy.ReasonBadRequest: "bad_request",
	RouterFull: "router_full", IDTaken: "id_taken", Unanswered: "unanswered",
}

func (r DecisionReason) String() string { return nameOf(decisionReasonNames[:], int(r)) }

// MarshalText implements encoding.TextMarshaler.
func (r DecisionReason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *DecisionReason) UnmarshalText(b []byte) error {
	return parseName(r, decisionReasonNames[:], b)
}

func nameOf(names []string, i int) string {
	if i < len(names) && names[i] != "" {
		return names[i]
	}
	return fmt.Sprint(i)
}

func parseName[T ~uint8](value *T, names []string, text []byte) error {
	for i, n := range names {
		if n != "" && n == string(text) {
			*value = T(i)
			return nil
		}
	}
	return fmt.Errorf("%q is not one of %q", text, names)
}

// KeepReason is a set of the reasons for which a record is exported. An ordinary record has none of the reasons other than
// ForShare: it is exported only if it is sampled.
type KeepReason uint16

// The reasons for which a record is exported.
const (
	ForFailed KeepReason = 1 << iota
	ForRefused
	ForBroken
	ForGone
	ForLate
	ForAttempts // more than one attempt was made
	ForRetry    // the request is a client's retry
	ForLinked   // another request of the same operation is exported
	ForShare    // an ordinary request that was sampled
	ForOpen
)

var keepReasonNames = [...]string{"failed", "refused", "broken", "gone", "late", "legs", "retry", "linked", "share", "open"}

// Names returns the names of the reasons in the set.
func (r KeepReason) Names() []string {
	var names []string
	for i, n := range keepReasonNames {
		if r&(1<<i) != 0 {
			names = append(names, n)
		}
	}
	return names
}

// Phase is a phase of a request. The phases divide the time from the request's last byte to the end of the response.
type Phase uint8

// The phases, in the order in which they usually come.
const (
	Queue   Phase = iota // until the dispatcher received the request
	Pending              // no attempt was open: the module or the dispatcher had yet to act
	Acquire              // an attempt waited for an idle connection
	Connect              // an attempt opened a connection
	Write                // an attempt wrote the request
	Wait                 // an attempt waited for the first byte of the response
	Head                 // from the first byte of the response to its first event
	Bind                 // the dispatcher bound the attempt to the client
	Stream               // the response was streamed
	Relay                // the response was being written to the client
	Close                // not charged; records store the phases by index, so that it cannot be removed
	Answer               // a rejection was being written to the client
	NumPhases
)

var phaseNames = [NumPhases]string{
	"queue", "hold", "line", "connect", "write", "wait", "head", "bind", "stream", "relay", "close", "answer",
}

func (p Phase) String() string { return nameOf(phaseNames[:], int(p)) }

// InRouter reports whether a phase is spent in the router itself, not at an upstream, on the network or at the client.
func (p Phase) InRouter() bool {
	return p == Queue || p == Pending || p == Acquire || p == Bind || p == Close
}

// Times are the times that the transport measured for an attempt, on the dispatcher's clock; 0 = not reached.
type Times struct {
	Started       time.Duration // the goroutine of the attempt ran
	Connected     time.Duration // it had a connection
	NewConnection bool          // the connection was opened for this attempt
	Written       time.Duration // the last byte of the request was written
	FirstByte     time.Duration // the first byte of the response was received
	FirstEvent    time.Duration // the first event of the response was received
	Bound         time.Duration // the transport learned that the attempt is bound to the client
	Ended         time.Duration
	Relay         time.Duration // total time of writes to the client
	Bytes         int           // forwarded to the client
	Tokens        int           // of the response, by its usage field; 0 = not reported
}

// AttemptSpan is the open span of an attempt: the trace context to propagate, and the times that the transport measures.
type AttemptSpan struct {
	Context
	Times Times
}

// Origin is what a frontend knows about the source of a request.
type Origin struct {
	Context                 // of the client; a zero Trace starts a new trace, a zero Span has no parent
	Frontend         string // "calls" or "batch"
	Team             string
	CallID           string        // used if the request has no client request ID
	Retry            bool          // the frontend knows that the request is a retry
	FirstByte        time.Duration // the first byte of the message was received, on the dispatcher's clock; 0 = unknown
	ReportsRejection bool          // the frontend reports when a rejection is written
}

// Link identifies a span of this or another trace.
type Link struct {
	Trace TraceID `json:"trace_id"`
	Span  SpanID  `json:"span_id"`
}

// Record is the trace record of one request. Its times are relative to At, unless noted otherwise.
type Record struct {
	Trace    TraceID `json:"trace_id"`
	Span     SpanID  `json:"span_id"`
	Parent   SpanID  `json:"parent_id,omitzero"`
	State    string  `json:"trace_state,omitempty"`
	Flags    byte    `json:"flags"`
	Previous Link    `json:"before,omitzero"` // the client's request that this one retries, if known
	Number   int     `json:"try"`             // 1 for the first request of an operation

	Router       string  `json:"router"`
	Frontend     string  `json:"front"`
	Team         string  `json:"team,omitempty"`
	Pool         string  `json:"pool,omitempty"` // "" if there is only one
	CallID       string  `json:"call_id"`
	Class        string  `json:"class"`
	Session      uint64  `json:"session,omitzero"`
	PromptTokens float64 `json:"prompt_tokens"`
	OutputTokens int     `json:"answer_tokens,omitzero"`
	CachedTokens float64 `json:"cached_tokens,omitzero"`

	At            time.Duration            `json:"at"`               // when its last byte was received, Unix time
	Reading       time.Duration            `json:"reading"`          // between its first byte and its last
	FirstEvent    time.Duration            `json:"first,omitzero"`   // when the first event of the response was bound to it
	RejectedAt    time.Duration            `json:"decided,omitzero"` // when its rejection was decided
	End           time.Duration            `json:"end"`              // end of the response or of the rejection
	TargetLatency time.Duration            `json:"aim"`              // latency target of FirstEvent
	Outcome       Outcome                  `json:"outcome"`
	Why           DecisionReason           `json:"why,omitzero"` // of a rejection or failure
	RetryAfter    time.Duration            `json:"retry_after,omitzero"`
	Late          bool                     `json:"late,omitzero"` // a latency target of the class was missed
	Reasons       KeepReason               `json:"reasons"`       // why the record is exported
	Phases        [NumPhases]time.Duration `json:"phases"`        // their sum is End
	Attempts      []Attempt                `json:"legs"`
}

// Attempt is the trace record of one attempt. Its times are relative to the At of its request; 0 = not reached.
type Attempt struct {
	Span            SpanID         `json:"span_id"`
	Host            string         `json:"host"` // name of the host it was sent to
	Addr            string         `json:"dial"`
	Why             DecisionReason `json:"why"` // reason of the decision to send it
	Sent            time.Duration  `json:"sent"`
	Started         time.Duration  `json:"begun,omitzero"` // its goroutine ran; see Times for the others
	Connected       time.Duration  `json:"lined,omitzero"`
	NewConnection   bool           `json:"fresh,omitzero"`
	Written         time.Duration  `json:"written,omitzero"`
	FirstByte       time.Duration  `json:"first,omitzero"`
	FirstEvent      time.Duration  `json:"event,omitzero"`
	Bound           time.Duration  `json:"bound,omitzero"`
	Reported        time.Duration  `json:"told,omitzero"`  // the module received its result
	Ended           time.Duration  `json:"ended,omitzero"` // the transport was done, which is later if it was cancelled
	Relay           time.Duration  `json:"relay,omitzero"` // total time of writes to the client
	Bytes           int            `json:"bytes,omitzero"` // forwarded to the client
	Result          Result         `json:"result"`         // as reported to the module
	TransportResult Result         `json:"said"`           // as the transport ended, which may differ after a cancellation
	StaleConnection bool           `json:"stale,omitzero"` // a reused connection was closed before the first byte of a response
}

// Total returns the time from the last byte of the request to the end of the response. It is the sum of the phases.
func (r *Record) Total() time.Duration { return r.End }

// computePhases sets Phases. While attempts are open, time is charged to the bound one, or else to the latest; otherwise
// it is Pending. queueTime is the time until the dispatcher received the request.
func (r *Record) computePhases(queueTime time.Duration) {
	r.Phases = [NumPhases]time.Duration{}
	at := min(max(queueTime, 0), r.End)
	r.Phases[Queue] = at
	until := r.End
	if r.RejectedAt != 0 {
		until = min(max(r.RejectedAt, at), r.End)
		r.Phases[Answer] = r.End - until
	}
	for at < until {
		owner, next := r.owner(at, until)
		if owner == nil {
			r.Phases[Pending] += next - at
		} else {
			owner.addPhases(at, next, &r.Phases)
		}
		at = next
	}
}

// owner returns the attempt to which time is charged from at until next, or nil if no attempt is open. next is at most until.
func (r *Record) owner(at, until time.Duration) (owner *Attempt, next time.Duration) {
	next = until
	for i := range r.Attempts {
		a := &r.Attempts[i]
		endedAt := a.endedAt()
		switch {
		case a.Sent > at:
			next = min(next, a.Sent)
		case endedAt <= at:
		default:
			next = min(next, endedAt)
			if owner == nil || owner.Bound == 0 && (a.Bound != 0 || a.Sent >= owner.Sent) {
				owner = a
			}
		}
	}
	return owner, next
}

// endedAt returns when the router stopped waiting for the attempt: when its result was reported to the module, or, if it
// was bound to the client, when the transport was done.
func (a *Attempt) endedAt() time.Duration {
	switch {
	case a.Reported == 0 && a.Ended == 0:
		return 1<<63 - 1
	case a.Reported == 0 || a.Bound != 0 && a.Ended != 0:
		return a.Ended
	}
	return a.Reported
}

// addPhases adds the time from at to next to the phases of the stages that the attempt was in.
func (a *Attempt) addPhases(at, next time.Duration, phases *[NumPhases]time.Duration) {
	connect := Acquire
	if a.NewConnection {
		connect = Connect
	}
	from := a.Sent
	// The time until the goroutine runs is spent in the router, as is waiting for a connection.
	for _, stage := range [...]struct {
		end   time.Duration
		phase Phase
	}{
		{a.Started, Acquire}, {a.Connected, connect}, {a.Written, Write}, {a.FirstByte, Wait}, {a.FirstEvent, Head}, {a.Bound, Bind},
	} {
		end := max(stage.end, from)
		if stage.end == 0 { // the attempt ended in this stage
			end = a.endedAt()
		}
		if part := min(end, next) - max(from, at); part > 0 {
			phases[stage.phase] += part
		}
		if stage.end == 0 {
			return
		}
		from = end
	}
	if part := next - max(from, at); part > 0 { // the rest is the stream
		relay := min(a.Relay, part)
		phases[Relay] += relay
		phases[Stream] += part - relay
	}
}
