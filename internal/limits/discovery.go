package limits

import "time"

// Failure detection and gossip. A test of package dialect checks that drain acknowledgements, GossipSpreadTime and DrainGrace fit
// into the platform's drain timeout.
const (
	// MissedHeartbeats is the number of heartbeats that an engine may miss. It is considered failed half an interval later.
	MissedHeartbeats = 3
	// FailureSweepInterval is the interval at which engines are checked for missed heartbeats.
	FailureSweepInterval = 500 * time.Millisecond
	// DrainAckPeers is the number of other processes that must have received an engine's drain before it is acknowledged to the
	// engine. With two, the drain survives the failure of this process and of one other.
	DrainAckPeers = 2
	// EndpointStoreQueue is the number of requests to store a drain that wait for the disk of a replica. Further ones fail, and the engines
	// call again. A restart of all engines (docs/CAPACITY.md) fits twice.
	EndpointStoreQueue = 4096
	// GossipSpreadTime is the time within which gossip delivers an update to every process.
	GossipSpreadTime = 1200 * time.Millisecond
)
