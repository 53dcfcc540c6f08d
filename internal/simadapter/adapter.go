package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"notchhinge/policy"
)

// Adapter runs the balancers of many simulated router instances, which share only the stored replica lists.
type Adapter struct {
	balancers      map[uint32]*policy.Balancer // by instance
	lists          [maxLists][]policy.Replica  // by list number; nil = not received yet
	reply          reply
	current        uint32 // the instance selected for the next events
	hasCurrent     bool
	replySource    uint32 // the instance selected last in the reply
	hasReplySource bool
}

// Adapter implements policy.Actions for the current instance.
var _ policy.Actions = (*Adapter)(nil)

// New returns an adapter without instances.
func New() *Adapter { return &Adapter{balancers: map[uint32]*policy.Balancer{}} }

// Run reads batches and writes a reply to each. It returns nil at the end of the input.
func (a *Adapter) Run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	var buf []byte
	for {
		b, body, err := readBatch(r, buf)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		buf = body
		if err := a.handleBatch(b); err != nil {
			return fmt.Errorf("batch %d: %w", b.number, err)
		}
		if err := a.reply.writeTo(w, b.number); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// handleBatch handles the events of a batch and collects the resulting actions in a.reply.
func (a *Adapter) handleBatch(b *batch) error {
	a.reply.reset()
	a.hasCurrent, a.hasReplySource = false, false
	now := duration(b.clockMicros)
	for at := 0; at < len(b.events); at += eventSize {
		if err := a.handleEvent(b, now, record(b.events[at:at+eventSize])); err != nil {
			return fmt.Errorf("record %d: %w", at/eventSize, err)
		}
	}
	return nil
}

// replyAsCurrent returns the reply with the current instance selected for the next action.
func (a *Adapter) replyAsCurrent() *reply {
	if !a.hasReplySource || a.replySource != a.current {
		a.reply.selectInstance(a.current)
		a.replySource, a.hasReplySource = a.current, true
	}
	return &a.reply
}

// Send implements policy.Actions.
func (a *Adapter) Send(id policy.RequestID, to policy.ReplicaID, timeout time.Duration) {
	a.replyAsCurrent().startAttempt(uint64(id), uint32(to), int32(clampMicros(timeout, 1<<31-1)))
}

// Explain implements policy.Actions. It does nothing, because the format has no action for reasons.
func (a *Adapter) Explain(policy.RequestID, policy.Reason) {}

// Reject implements policy.Actions.
func (a *Adapter) Reject(id policy.RequestID, retryAfter time.Duration) {
	a.replyAsCurrent().rejectRequest(uint64(id), uint32(clampMicros(retryAfter, 1<<32-1)))
}

// Fail implements policy.Actions.
func (a *Adapter) Fail(id policy.RequestID) { a.replyAsCurrent().failRequest(uint64(id)) }

// Cancel implements policy.Actions.
func (a *Adapter) Cancel(id policy.RequestID, attempt int) {
	a.replyAsCurrent().cancelAttempt(uint64(id), uint8(attempt))
}

// Probe implements policy.Actions.
func (a *Adapter) Probe(to policy.ReplicaID) { a.replyAsCurrent().probe(uint32(to)) }

// Watch implements policy.Actions.
func (a *Adapter) Watch() { a.replyAsCurrent().setWatch(true) }

// SetTimer implements policy.Actions. Delays are limited to 71 minutes, because the field has 32 bits of microseconds.
func (a *Adapter) SetTimer(after time.Duration, token uint64) {
	const maxDelayMicros = 71 * 60 * 1000000
	a.replyAsCurrent().setTimer(uint32(clampMicros(after, maxDelayMicros)), token)
}

// Log implements policy.Actions.
func (a *Adapter) Log(line string) { a.replyAsCurrent().log(line) }

func duration(us uint64) time.Duration { return time.Duration(us) * time.Microsecond }

// clampMicros converts a duration to microseconds between 0 and maximum. It rounds up, so that a positive duration does not
// become 0.
func clampMicros(d time.Duration, maximum int64) int64 {
	return max(0, min(int64((d+time.Microsecond-1)/time.Microsecond), maximum))
}
