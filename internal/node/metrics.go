package node

import (
	"context"
	"log/slog"
	"net/netip"

	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/control/rpc"
)

// datagramHeaderBytes is the size of the IPv4 and UDP headers of a datagram.
const datagramHeaderBytes = 28

// countTraffic counts an exchange with another process: a call with the bytes of both directions, or a datagram (kind 0).
func (n *Node) countTraffic(to netip.AddrPort, kind rpc.Kind, bytes int, datagram []byte) {
	if kind == 0 {
		// n.discovery.mu is held: only discoveryHost.step sends datagrams.
		zone, ok := n.discovery.reducer.Gossip.ZoneOf(to.Addr())
		n.traffic.Add(causeOfDatagram(datagram), bytes+datagramHeaderBytes, ok && zone != zoneHash(n.cfg.Zone))
		return
	}
	zone, ok := n.discovery.zoneOf(to.Addr())
	n.traffic.Add(rpc.Lookup(kind).Cause, bytes, ok && zone != zoneHash(n.cfg.Zone))
}

// causeOfDatagram returns the cause under which the metrics count a datagram.
func causeOfDatagram(datagram []byte) metrics.Cause {
	switch gossip.PurposeOf(datagram) {
	case gossip.PurposeAntiEntropy:
		return metrics.CauseDigests
	case gossip.PurposeShuffle:
		return metrics.CauseShuffles
	default:
		return metrics.CauseGossip
	}
}

// logMetrics logs the traffic of the process by cause, and the resources that it has used.
func (n *Node) logMetrics(ctx context.Context, level slog.Level) {
	if !n.log.Enabled(ctx, level) {
		return
	}
	for _, r := range n.traffic.Rows() {
		n.log.Log(ctx, level, "traffic", "cause", r.Cause, "count", r.Count, "bytes", r.Bytes, "cross_zone", r.CrossZone, "connections", r.Connections)
	}
	p := metrics.ReadProcess()
	n.log.Log(ctx, level, "process resources", "cpu_s", p.CPUSeconds, "max_memory_mb", p.MemoryMB, "wake_ups", p.WakeUps)
}
