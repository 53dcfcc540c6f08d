package limits

import "time"

// Distribution of fleet configurations.
const (
	// CachedConfigs is the number of configurations that are cached as bases for deltas.
	CachedConfigs = 4
	// CachedConfigBytes bounds their size. The newest is cached whatever its size.
	CachedConfigBytes = 16 << 20
	// ConfigYieldPause is how long a router pauses now and then while it compiles a configuration, so that streams go on.
	ConfigYieldPause = 100 * time.Microsecond
)

// Readiness of a router after its start. It is not ready before a replica with a quorum has confirmed which configuration is
// the newest, or one of these times has passed. The platform's rules on configurations bind a machine only once it has run
// undisturbed for contact_ms (5 s), and in contact with a quorum.
const (
	// ReadyWithoutQuorumAfter is when a router serves with what a replica without a quorum has.
	ReadyWithoutQuorumAfter = 3 * time.Second
	// ReadyWithoutReplicaAfter is when a router serves though no replica has answered.
	ReadyWithoutReplicaAfter = 10 * time.Second
)
