package node

import (
	"context"
	"log/slog"
	"net/netip"

	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/metrics"
)

// countTraffic keeps the account of what goes to other processes.
func (n *Node) countTraffic(to netip.AddrPort, kind uint8, bytes int, datagram []byte) {
	const headers = 28 // of a datagram
	if kind == 0 {
		// The lock of the news is held: datagrams are sent by its turn only.
		zone, known := n.discovery.reducer.Gossip.ZoneOf(to.Addr())
		cause := map[gossip.Purpose]metrics.Cause{gossip.PurposeAntiEntropy: metrics.CauseDigests, gossip.PurposeShuffle: metrics.CauseShuffles, gossip.PurposeDissemination: metrics.CauseGossip}
		n.traffic.Add(cause[gossip.PurposeOf(datagram)], bytes+headers, known && zone != hash32(n.cfg.Zone))
		return
	}
	n.discovery.mu.Lock()
	zone, known := n.discovery.reducer.Gossip.ZoneOf(to.Addr())
	n.discovery.mu.Unlock()
	n.traffic.Add(causeOf(kind), bytes, known && zone != hash32(n.cfg.Zone))
}

// logTraffic writes down what the process has cost.
func (n *Node) logTraffic(level slog.Level) {
	ctx := context.Background()
	if !n.log.Enabled(ctx, level) {
		return
	}
	for _, r := range n.traffic.Rows() {
		n.log.Log(ctx, level, "account", "cause", r.Cause, "count", r.Count, "bytes", r.Bytes, "between_zones", r.CrossZone, "connections", r.Connections)
	}
	m := metrics.ReadProcess()
	n.log.Log(ctx, level, "account of the machine", "processor_s", m.CPUSeconds, "memory_most_mb", m.MemoryMB, "wake_ups", m.WakeUps)
}
