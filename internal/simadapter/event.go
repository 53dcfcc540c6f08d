package simadapter

import (
	"errors"
	"fmt"

	"notchhinge/policy"
)

// Codes of events. The comments give the format's names.
const (
	eventClientGone      = 1  // Vanished
	eventList            = 2  // Registry
	eventAttemptFinished = 3  // Verdict
	eventListEntries     = 4  // Census
	eventSelectInstance  = 5  // Select
	eventAttemptStarted  = 6  // Started
	eventTimer           = 7  // Alarm
	eventProbed          = 8  // Sampled
	eventPeerMessage     = 9  // Whisper
	eventStopInstance    = 10 // Destroy
	eventStartInstance   = 11 // Launch
	eventRequest         = 12 // Knock
)

// Kinds of list in an eventList: how it relates to the previous list.
const (
	listDelta  = 0
	listFailed = 1
	listFull   = 2
	listCached = 3
)

// Flags of an eventRequest.
const (
	flagHasWork       = 1
	flagIsClientRetry = 2
	flagIsResumed     = 16
)

// errNoInstance reports an event that needs an instance, in a batch that has not selected one.
var errNoInstance = errors.New("event without a preceding Select")

// resultCodes maps the codes of the format to results of attempts and probes.
var resultCodes = map[uint16]policy.Result{
	100: policy.ResultOK, 301: policy.ResultError, 302: policy.ResultFull, 303: policy.ResultTimedOut,
	304: policy.ResultConnectFailed, 305: policy.ResultReset, 306: policy.ResultCancelled, 307: policy.ResultNotSent,
}

// handleEvent handles one event of a batch.
func (a *Adapter) handleEvent(b *batch, now policy.Time, r record) error {
	code := r.u8(0)
	switch code {
	case eventSelectInstance:
		a.current, a.hasCurrent = r.u32(1), true
		return nil
	case eventListEntries:
		return a.storeList(b, r)
	case eventStartInstance:
		return a.startInstance(b, r)
	}
	if code < eventClientGone || code > eventRequest {
		return fmt.Errorf("unknown event code %d", code)
	}
	if !a.hasCurrent {
		return errNoInstance
	}
	if code == eventStopInstance {
		delete(a.balancers, a.current)
		return nil
	}
	balancer := a.balancers[a.current]
	if balancer == nil {
		return fmt.Errorf("event code %d for instance %d, which is not running", code, a.current)
	}
	if code == eventPeerMessage {
		// Balancers do not exchange messages, so the message is validated and dropped.
		_, err := b.tailBytes(r, 3, 1)
		return err
	}
	return a.deliver(balancer, now, r)
}

// deliver passes an event on to the balancer of the current instance.
func (a *Adapter) deliver(balancer *policy.Balancer, now policy.Time, r record) error {
	switch r.u8(0) {
	case eventClientGone:
		balancer.ClientDisconnected(now, a, policy.RequestID(r.u64(1)))
	case eventList:
		list, err := a.list(r)
		if err != nil {
			return err
		}
		balancer.ListUpdated(now, a, list)
	case eventAttemptFinished:
		outcome, err := r.outcome()
		if err != nil {
			return err
		}
		balancer.AttemptFinished(now, a, outcome)
	case eventAttemptStarted:
		balancer.ResponseStarted(now, a, policy.ResponseStarted{
			ID: policy.RequestID(r.u64(1)), Attempt: int(r.u8(9)), Replica: policy.ReplicaID(r.u32(10)),
			Elapsed: duration(uint64(r.u32(14))),
		})
	case eventTimer:
		balancer.TimerFired(now, a, r.u64(1))
	case eventProbed:
		probe, err := r.probeResult()
		if err != nil {
			return err
		}
		balancer.ProbeFinished(now, a, probe)
	case eventRequest:
		balancer.RequestArrived(now, a, r.request())
	}
	return nil
}

// startInstance starts the current instance and replaces one that is running.
func (a *Adapter) startInstance(b *batch, r record) error {
	if !a.hasCurrent {
		return errNoInstance
	}
	text, err := b.tailBytes(r, 9, 1)
	if err != nil {
		return err
	}
	settings, err := ParseSettings(text)
	if err != nil {
		return err
	}
	balancer, err := policy.New(settings, r.u64(1))
	if err != nil {
		return err
	}
	a.balancers[a.current] = balancer
	return nil
}

// storeList stores the entries of a list under its number, to which eventList refers.
func (a *Adapter) storeList(b *batch, r record) error {
	number := int(r.u16(1))
	if number >= maxLists {
		return fmt.Errorf("list number %d is out of range", number)
	}
	data, err := b.tailBytes(r, 3, listEntrySize)
	if err != nil {
		return err
	}
	// Balancers retain the slice that they receive, so each list gets a new one.
	replicas := make([]policy.Replica, 0, len(data)/listEntrySize)
	for at := 0; at < len(data); at += listEntrySize {
		replica, err := record(data[at : at+listEntrySize]).listEntry()
		if err != nil {
			return err
		}
		replicas = append(replicas, replica)
	}
	a.lists[number] = replicas
	return nil
}

// listEntry decodes an entry of an eventListEntries.
func (r record) listEntry() (policy.Replica, error) {
	readyAt := r.u64(14)
	if r.u8(9) > uint8(policy.StateGone) {
		return policy.Replica{}, fmt.Errorf("unknown replica state %d", r.u8(9))
	}
	if readyAt > maxMicros {
		return policy.Replica{}, fmt.Errorf("start time %d is out of range", readyAt)
	}
	return policy.Replica{
		ID: policy.ReplicaID(r.u32(0)), Zone: int(r.u16(4)), Cell: int(r.u16(7)), State: policy.State(r.u8(9)),
		Weight: r.f32(10), ReadyAt: duration(readyAt),
	}, nil
}

// list returns the list that was stored last under the number in an eventList.
func (a *Adapter) list(r record) (policy.List, error) {
	var list policy.List
	switch kind := r.u8(11); kind {
	case listFailed:
		return policy.List{Kind: policy.ListFailed}, nil
	case listDelta:
		list.Kind = policy.ListDelta
	case listFull:
		list.Kind = policy.ListFull
	case listCached:
		list.Kind = policy.ListCached
	default:
		return list, fmt.Errorf("unknown list kind %d", kind)
	}
	number := int(r.u16(9))
	if number >= maxLists || a.lists[number] == nil {
		return list, fmt.Errorf("list number %d has no entries yet", number)
	}
	list.Replicas = a.lists[number]
	return list, nil
}

// outcome decodes an eventAttemptFinished.
func (r record) outcome() (policy.Outcome, error) {
	result, err := resultOf(r.u16(14))
	if err != nil {
		return policy.Outcome{}, err
	}
	report, err := r.loadReport(25)
	if err != nil {
		return policy.Outcome{}, err
	}
	return policy.Outcome{
		ID: policy.RequestID(r.u64(1)), Attempt: int(r.u8(9)), Replica: policy.ReplicaID(r.u32(10)), Result: result,
		Elapsed: duration(uint64(r.u32(16))), RequestEnded: r.u8(20) != 0, CachedTokens: float64(r.u32(21)), Report: report,
	}, nil
}

// probeResult decodes an eventProbed.
func (r record) probeResult() (policy.ProbeResult, error) {
	result, err := resultOf(r.u16(9))
	if err != nil {
		return policy.ProbeResult{}, err
	}
	report, err := r.loadReport(11)
	if err != nil {
		return policy.ProbeResult{}, err
	}
	return policy.ProbeResult{
		Replica: policy.ReplicaID(r.u32(1)), Elapsed: duration(uint64(r.u32(5))), Result: result, Report: report,
	}, nil
}

// request decodes an eventRequest.
func (r record) request() policy.Request {
	flags := r.u16(51)
	request := policy.Request{
		ID: policy.RequestID(r.u64(1)), Class: int(r.u16(9)), Tenant: int(r.u32(11)), Session: r.u64(15),
		Timeout: duration(uint64(r.u32(23))), Prefix: r.u64(31),
		PromptTokens: r.f32(39), PrefixTokens: r.f32(43), MaxTokens: r.f32(47),
		IsClientRetry: flags&flagIsClientRetry != 0, IsResumed: flags&flagIsResumed != 0,
	}
	if flags&flagHasWork != 0 {
		request.Work = duration(uint64(r.u32(27)))
	}
	return request
}

// loadReport decodes the load report at the given offset of the record.
func (r record) loadReport(at int) (policy.Report, error) {
	report := policy.Report{N: int(r.u8(at))}
	if report.N > len(report.Values) {
		return report, fmt.Errorf("load report with %d values is too long", report.N)
	}
	for i := range report.N {
		report.Values[i] = r.f32(at + 1 + 4*i)
	}
	return report, nil
}

// resultOf returns the result that a code stands for.
func resultOf(code uint16) (policy.Result, error) {
	result, ok := resultCodes[code]
	if !ok {
		return 0, fmt.Errorf("unknown result code %d", code)
	}
	return result, nil
}
