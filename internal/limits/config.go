package limits

import "time"

// Distribution of fleet configurations.
const (
	// CachedConfigs is the number of configurations that are cached as bases for deltas.
	CachedConfigs = 4
	// CachedConfigBytes bounds their total size. The newest configuration is always cached.
	CachedConfigBytes = 16 << 20
	// ConfigYieldPause is the length of the pauses in the compilation of a configuration, which let streams proceed.
	ConfigYieldPause = 100 * time.Microsecond
)

// Readiness of a router after its start. It becomes ready once a replica with a quorum has confirmed the newest configuration, or
// after one of these times. The platform's rules on configurations apply only to a machine that has run without a fault, and in
// contact with a quorum, for contact_ms (5 s).
const (
	// ReadyWithoutQuorumAfter is when a router starts to serve with the configuration of a replica that has no quorum.
	ReadyWithoutQuorumAfter = 3 * time.Second
	// ReadyWithoutReplicaAfter is when a router starts to serve although no replica has answered.
	ReadyWithoutReplicaAfter = 10 * time.Second
)
