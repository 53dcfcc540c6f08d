package plane

import (
	"time"

	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/control/rpc"
)

// Header sizes of a datagram, and of the frame of a call or its answer.
const (
	datagramHeaderBytes = 28
	frameHeaderBytes    = 16
)

// Cost is the traffic that one process sends for one cause while there are no faults, in bytes per second. Calls are counted
// at the caller, with their answers.
type Cost struct {
	Cause string
	Bytes float64
}

// Costs are the traffic of a mean router and of a mean replica, by cause.
type Costs struct {
	Router, Replica []Cost
	Sent            [2]float64 // bytes per second of a router and of a replica
	Calls           float64    // engine calls per second at a mean replica
	Received        float64    // bytes per second that a mean replica receives
}

// meter counts traffic while it is on.
type meter struct {
	on            bool
	traffic       [2]metrics.Traffic // of routers, of replicas
	engineCalls   int                // at replicas
	receivedBytes int                // at replicas
}

func (w *world) recordTraffic(from, to *machine, cause metrics.Cause, bytes int) {
	if !w.meter.on {
		return
	}
	traffic := &w.meter.traffic[0]
	if from.isReplica {
		traffic = &w.meter.traffic[1]
	}
	traffic.Add(cause, bytes, false)
	if to != nil && to.isReplica {
		w.meter.receivedBytes += bytes
	}
}

func (w *world) recordDatagram(from, to *machine, b []byte) {
	cause := map[gossip.Purpose]metrics.Cause{gossip.PurposeAntiEntropy: metrics.CauseDigests, gossip.PurposeShuffle: metrics.CauseShuffles, gossip.PurposeDissemination: metrics.CauseGossip}
	w.recordTraffic(from, to, cause[gossip.PurposeOf(b)], len(b)+datagramHeaderBytes)
}

func (w *world) recordCall(from, to *machine, kind rpc.Kind, bytes int) {
	cause := metrics.CausePaxos
	switch kind {
	case rpc.KindUsageReport, rpc.KindUsageTable:
		cause = metrics.CauseUsage
	case rpc.KindRenewLease, rpc.KindCheckCandidacy:
		cause = metrics.CauseLeases
	}
	w.recordTraffic(from, to, cause, bytes+frameHeaderBytes)
}

// Measure simulates the scenario and returns the mean traffic of its last part, which must be free of faults.
func (s *Scenario) Measure(last time.Duration) Costs {
	w := newWorld(s, "")
	w.start()
	w.advance(warmUpTime + s.Length - last)
	w.meter.on = true
	w.advance(warmUpTime + s.Length)
	c := Costs{}
	seconds := last.Seconds()
	for i, n := range []int{s.Routers, s.Replicas} {
		var all []Cost
		for _, r := range w.meter.traffic[i].Rows() {
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
	c.Calls = float64(w.meter.engineCalls) / seconds / float64(s.Replicas)
	c.Received = float64(w.meter.receivedBytes) / seconds / float64(s.Replicas)
	return c
}
