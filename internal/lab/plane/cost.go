package plane

import (
	"time"

	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/control/rpc"
)

// What goes over the wire beside what is said: the headers of a datagram, and of a call's frame and its answer's.
const (
	datagramBytes = 28
	frameBytes    = 16
)

// Cost is what one process of a kind sends for a cause in calm, in bytes a second: calls are counted at who makes them, both
// ways.
type Cost struct {
	Cause string
	Bytes float64
}

// Costs are those of a mean router and of a mean keeper, by cause, and what keepers take in.
type Costs struct {
	Router, Replica []Cost
	Sent            [2]float64 // bytes a second, of a router and of a keeper
	Calls           float64    // of engines, a second at a mean keeper
	Received        float64    // bytes a second that come to a mean keeper
}

// meter counts while it is on.
type meter struct {
	on    bool
	books [2]metrics.Traffic // of routers, of keepers
	calls int                // of engines, at keepers
	taken int                // bytes, at keepers
}

func (w *world) spend(from, to *machine, cause metrics.Cause, bytes int) {
	if !w.meter.on {
		return
	}
	book := &w.meter.books[0]
	if from.keeper {
		book = &w.meter.books[1]
	}
	book.Add(cause, bytes, false)
	if to != nil && to.keeper {
		w.meter.taken += bytes
	}
}

func (w *world) spendDatagram(from, to *machine, b []byte) {
	cause := map[gossip.Purpose]metrics.Cause{gossip.PurposeAntiEntropy: metrics.CauseDigests, gossip.PurposeShuffle: metrics.CauseShuffles, gossip.PurposeDissemination: metrics.CauseGossip}
	w.spend(from, to, cause[gossip.PurposeOf(b)], len(b)+datagramBytes)
}

func (w *world) spendCall(from, to *machine, kind rpc.Kind, bytes int) {
	cause := metrics.CausePaxos
	switch kind {
	case rpc.KindUsageReport, rpc.KindUsageTable:
		cause = metrics.CauseUsage
	case rpc.KindRenewLease, rpc.KindCheckCandidacy:
		cause = metrics.CauseLeases
	}
	w.spend(from, to, cause, bytes+frameBytes)
}

// Measure plays a day and tells what its processes send in its last part, of so long, which ought to be calm.
func (d *Scenario) Measure(last time.Duration) Costs {
	w := newWorld(d, "")
	w.begin()
	w.run(lead + d.Length - last)
	w.meter.on = true
	w.run(lead + d.Length)
	c := Costs{}
	seconds := last.Seconds()
	for i, n := range []int{d.Routers, d.Replicas} {
		var all []Cost
		for _, r := range w.meter.books[i].Rows() {
			x := Cost{r.Cause, float64(r.Bytes) / seconds / float64(n)}
			c.Sent[i] += x.Bytes
			all = append(all, x)
		}
		if i == 0 {
			c.Router = all
		} else {
			c.Replica = all
		}
	}
	c.Calls = float64(w.meter.calls) / seconds / float64(d.Replicas)
	c.Received = float64(w.meter.taken) / seconds / float64(d.Replicas)
	return c
}
