package dispatch

import (
	"maps"
	"slices"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/quota"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// Counters count what a router received, sent and answered since its start.
type Counters struct {
	Received           int
	RejectedByFrontend int                   // before the module heard of them
	Attempts           int                   // sent
	Outcomes           map[policy.Result]int // of attempts
	Served             int
	Broken             int // streams that broke after their first event
	Rejected           int
	Failed             int
	ClientsLeft        int // before their answer
	Probes             int
	Lists              int // answers of discovery
	ListEntries        int // entries in them
	Open               int // requests now
	Traces             *trace.Counters
}

// PoolCounters are the counters of one pool.
type PoolCounters struct {
	Counters
	Pool         hoststate.PoolID
	Name         string
	Hosts        int
	Ready        int // of the hosts
	Unfinished   int // requests with an attempt running, those included that have their answer
	IsEnding     bool
	RequestQuota quota.Claim
}

// add adds another pool's counters.
func (c *Counters) add(o *Counters) {
	c.Received += o.Received
	c.RejectedByFrontend += o.RejectedByFrontend
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

// countersReport answers GetCounters. Another goroutine may read what it returns.
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
