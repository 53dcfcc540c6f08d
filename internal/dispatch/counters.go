package dispatch

import (
	"maps"
	"slices"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/quota"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// Counters count the requests, attempts, probes and list updates of a router since its start.
type Counters struct {
	Received             int
	RejectedBeforeModule int                   // rejected before they reached the module
	Attempts             int                   // sent
	Outcomes             map[policy.Result]int // of attempts
	Served               int
	Broken               int // responses that ended early after their first event
	Rejected             int
	Failed               int
	ClientsLeft          int // clients that disconnected before the end of their response
	Probes               int
	Lists                int // endpoint list updates from discovery
	ListEntries          int // entries in these updates
	Open                 int // requests open now
	Traces               *trace.Counters
}

// PoolCounters are the counters of one pool, and its present size and state.
type PoolCounters struct {
	Counters
	Pool         hoststate.PoolID
	Name         string
	Hosts        int
	Ready        int // hosts that are ready
	Unfinished   int // open requests, and answered ones that still have a running attempt
	IsEnding     bool
	RequestQuota quota.Claim
}

// add adds the counters of a pool.
func (c *Counters) add(o *Counters) {
	c.Received += o.Received
	c.RejectedBeforeModule += o.RejectedBeforeModule
	c.Attempts += o.Attempts
	for r, n := range o.Outcomes {
		c.Outcomes[r] += n
	}
	c.Served += o.Served
	c.Broken += o.Broken
	c.Rejected += o.Rejected
	c.Failed += o.Failed
	c.ClientsLeft += o.ClientsLeft
	c.Probes += o.Probes
	c.Lists += o.Lists
	c.ListEntries += o.ListEntries
}

// countersReport answers GetCounters. The report shares no memory with the dispatcher, so other goroutines may read it.
func (d *Dispatcher) countersReport(replyTo any) CountersReport {
	all := d.counters
	all.Outcomes = maps.Clone(all.Outcomes)
	var pools []PoolCounters
	for _, id := range slices.Sorted(maps.Keys(d.pools)) {
		p := d.pools[id]
		all.add(&p.counters)
		c := p.counters
		c.Outcomes, c.Open = maps.Clone(c.Outcomes), int(d.requestQuota.Reserved(int(id)))
		pools = append(pools, PoolCounters{
			Counters: c, Pool: id, Name: p.name, Hosts: len(p.hosts), Ready: p.readyHosts, Unfinished: p.unfinished,
			IsEnding: p.ending, RequestQuota: d.requestQuota.Claim(int(id)),
		})
	}
	all.Open = d.OpenRequests()
	if d.traces != nil {
		t := d.traces.Counters()
		all.Traces = &t
	}
	return CountersReport{ReplyTo: replyTo, Counters: all, Pools: pools}
}
