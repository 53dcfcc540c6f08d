package limits

import "time"

// Failure detection and gossip. That drain acknowledgements, GossipSpreadTime and DrainGrace stay within the platform's drain
// timeout is checked by a test of the dialect.
const (
	// MissedHeartbeats is how many heartbeats, and a half, an engine may miss before it is taken for failed.
	MissedHeartbeats = 3
	// FailureSweepInterval is the interval at which failed engines are looked for.
	FailureSweepInterval = 500 * time.Millisecond
	// DrainAckPeers is how many other processes must know of an engine's drain before it is acknowledged to the engine: with
	// two, one is left if this process and another fail.
	DrainAckPeers = 2
	// GossipSpreadTime is the time within which an update reaches every process.
	GossipSpreadTime = 1200 * time.Millisecond
)
