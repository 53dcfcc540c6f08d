package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"notchhinge/policy"
)

// A Host runs the balancers of many instances. They share nothing but the process.
type Host struct {
	instances map[uint32]*policy.Balancer
	lists     [maxLists][]policy.Replica
	reply     Reply
	current   uint32 // the instance that events pertain to
	selected  bool
	source    uint32 // the instance that the reply names last
	sourced   bool
}

// NewHost returns a host without instances.
func NewHost() *Host { return &Host{instances: map[uint32]*policy.Balancer{}} }

// Run answers batches until the input ends.
func (h *Host) Run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	var buf []byte
	for {
		b, body, err := ReadBatch(r, buf)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		buf = body
		if err := h.Answer(b); err != nil {
			return fmt.Errorf("batch %d: %w", b.Number, err)
		}
		if err := h.reply.WriteTo(w, b.Number); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// Answer carries out the events of a batch; the actions are left in the reply.
func (h *Host) Answer(b *Batch) error {
	h.reply.Reset()
	h.selected, h.sourced = false, false
	now := duration(b.Clock)
	for at := 0; at < len(b.events); at += eventSize {
		if err := h.event(b, now, record(b.events[at:at+eventSize])); err != nil {
			return fmt.Errorf("record %d: %w", at/eventSize, err)
		}
	}
	return nil
}

func (h *Host) event(b *Batch, now policy.Time, r record) error {
	switch r.u8(0) {
	case EvSelect:
		h.current, h.selected = r.u32(1), true
		return nil
	case EvCensus:
		return h.census(b, r)
	case EvLaunch:
		return h.launch(b, r)
	case EvDestroy:
		if !h.selected {
			return errors.New("an event before any Select")
		}
		delete(h.instances, h.current)
		return nil
	}
	code := r.u8(0)
	if code < EvVanished || code > EvKnock {
		return fmt.Errorf("event code %d is unknown", code)
	}
	if !h.selected {
		return errors.New("an event before any Select")
	}
	bal := h.instances[h.current]
	if bal == nil {
		return fmt.Errorf("event code %d for instance %d, which is not running", code, h.current)
	}
	switch code {
	case EvVanished:
		bal.Departed(now, h, policy.RequestID(r.u64(1)))
	case EvRegistry:
		return h.registry(bal, now, r)
	case EvVerdict:
		res, err := result(r.u16(14))
		if err != nil {
			return err
		}
		report, err := r.report(25)
		if err != nil {
			return err
		}
		bal.Finished(now, h, policy.Outcome{
			ID: policy.RequestID(r.u64(1)), Attempt: int(r.u8(9)), Replica: policy.ReplicaID(r.u32(10)), Result: res,
			Elapsed: duration(uint64(r.u32(16))), RequestEnded: r.u8(20) != 0, CachedTokens: float64(r.u32(21)), Report: report,
		})
	case EvStarted:
		bal.Started(now, h, policy.Started{
			ID: policy.RequestID(r.u64(1)), Attempt: int(r.u8(9)), Replica: policy.ReplicaID(r.u32(10)),
			Elapsed: duration(uint64(r.u32(14))),
		})
	case EvAlarm:
		bal.Timer(now, h, r.u64(1))
	case EvSampled:
		res, err := result(r.u16(9))
		if err != nil {
			return err
		}
		report, err := r.report(11)
		if err != nil {
			return err
		}
		bal.Probed(now, h, policy.ProbeResult{
			Replica: policy.ReplicaID(r.u32(1)), Elapsed: duration(uint64(r.u32(5))), Result: res, Report: report,
		})
	case EvWhisper:
		// Gateways share nothing by design: a message is checked and dropped.
		_, err := b.span(r, 3, 1)
		return err
	case EvKnock:
		const hintValid, repeat, resumed = 1, 2, 16
		flags := r.u16(51)
		q := policy.Request{
			ID: policy.RequestID(r.u64(1)), Class: int(r.u16(9)), Tenant: int(r.u32(11)), Session: r.u64(15),
			Timeout: duration(uint64(r.u32(23))), Prefix: r.u64(31),
			PromptTokens: r.f32(39), PrefixTokens: r.f32(43), MaxTokens: r.f32(47),
			IsClientRetry: flags&repeat != 0, IsResumed: flags&resumed != 0,
		}
		if flags&hintValid != 0 {
			q.Work = duration(uint64(r.u32(27)))
		}
		bal.Arrive(now, h, q)
	}
	return nil
}

func (h *Host) launch(b *Batch, r record) error {
	if !h.selected {
		return errors.New("an event before any Select")
	}
	text, err := b.span(r, 9, 1)
	if err != nil {
		return err
	}
	s, err := ParseSettings(text)
	if err != nil {
		return err
	}
	bal, err := policy.New(s, r.u64(1))
	if err != nil {
		return err
	}
	h.instances[h.current] = bal
	return nil
}

func (h *Host) census(b *Batch, r record) error {
	bank := int(r.u16(1))
	if bank >= maxLists {
		return fmt.Errorf("list number %d is out of range", bank)
	}
	data, err := b.span(r, 3, entrySize)
	if err != nil {
		return err
	}
	// A new slice each time: a balancer may not see a list change under it.
	entries := make([]policy.Replica, 0, len(data)/entrySize)
	for at := 0; at < len(data); at += entrySize {
		e := record(data[at : at+entrySize])
		ready := e.u64(14)
		if e.u8(9) > uint8(policy.StateGone) {
			return fmt.Errorf("replica state %d is unknown", e.u8(9))
		}
		if ready > maxMicros {
			return fmt.Errorf("start time %d is out of range", ready)
		}
		entries = append(entries, policy.Replica{
			ID: policy.ReplicaID(e.u32(0)), Zone: int(e.u16(4)), Cell: int(e.u16(7)), State: policy.State(e.u8(9)),
			Weight: e.f32(10), ReadyAt: duration(ready),
		})
	}
	h.lists[bank] = entries
	return nil
}

func (h *Host) registry(bal *policy.Balancer, now policy.Time, r record) error {
	var l policy.List
	switch how := r.u8(11); how {
	case HowFailed:
		bal.Listed(now, h, policy.List{Kind: policy.ListFailed})
		return nil
	case HowDelta:
		l.Kind = policy.ListDelta
	case HowFull:
		l.Kind = policy.ListFull
	case HowCached:
		l.Kind = policy.ListCached
	default:
		return fmt.Errorf("list kind %d is unknown", how)
	}
	bank := int(r.u16(9))
	if bank >= maxLists || h.lists[bank] == nil {
		return fmt.Errorf("list number %d has not been given", bank)
	}
	l.Replicas = h.lists[bank]
	bal.Listed(now, h, l)
	return nil
}

func (r record) report(at int) (policy.Report, error) {
	p := policy.Report{N: int(r.u8(at))}
	if p.N > len(p.Values) {
		return p, fmt.Errorf("a load report of %d values", p.N)
	}
	for i := range p.N {
		p.Values[i] = r.f32(at + 1 + 4*i)
	}
	return p, nil
}

var results = map[uint16]policy.Result{
	100: policy.ResultOK, 301: policy.ResultError, 302: policy.ResultFull, 303: policy.ResultTimedOut,
	304: policy.ResultConnectFailed, 305: policy.ResultReset, 306: policy.ResultCancelled, 307: policy.ResultMoot,
}

func result(code uint16) (policy.Result, error) {
	res, ok := results[code]
	if !ok {
		return 0, fmt.Errorf("result %d is unknown", code)
	}
	return res, nil
}

func duration(us uint64) time.Duration { return time.Duration(us) * time.Microsecond }

// clip turns a wait into microseconds that fit the field. A wait rounds up, so that none becomes 0.
func clip(d time.Duration, most int64) int64 {
	return max(0, min(int64((d+time.Microsecond-1)/time.Microsecond), most))
}

// The host is the policy.Actions of the instance in turn.
var _ policy.Actions = (*Host)(nil)

func (h *Host) act() *Reply {
	if !h.sourced || h.source != h.current {
		h.reply.Source(h.current)
		h.source, h.sourced = h.current, true
	}
	return &h.reply
}

// Send implements policy.Actions.
func (h *Host) Send(id policy.RequestID, to policy.ReplicaID, timeout time.Duration) {
	h.act().Assign(uint64(id), uint32(to), int32(clip(timeout, 1<<31-1)))
}

// Explain implements policy.Actions. The wire has no word for it.
func (h *Host) Explain(policy.RequestID, policy.Reason) {}

// Reject implements policy.Actions.
func (h *Host) Reject(id policy.RequestID, retryAfter time.Duration) {
	h.act().TurnAway(uint64(id), uint32(clip(retryAfter, 1<<32-1)))
}

// Fail implements policy.Actions.
func (h *Host) Fail(id policy.RequestID) { h.act().EndFailed(uint64(id)) }

// Cancel implements policy.Actions.
func (h *Host) Cancel(id policy.RequestID, attempt int) { h.act().CallOff(uint64(id), uint8(attempt)) }

// Probe implements policy.Actions.
func (h *Host) Probe(to policy.ReplicaID) { h.act().Check(uint32(to)) }

// Watch implements policy.Actions.
func (h *Host) Watch() { h.act().Listen(true) }

// SetTimer implements policy.Actions.
func (h *Host) SetTimer(after time.Duration, token uint64) {
	const most = 71 * 60 * 1000000
	h.act().WakeAt(uint32(clip(after, most)), token)
}

// Log implements policy.Actions.
func (h *Host) Log(line string) { h.act().Debug(line) }
