package limits

import "time"

// Calls between replicas, and calls of the operator.
const (
	// ReplicaCallTimeout bounds one call to a replica, such as a Paxos prepare. Calls that carry a snapshot get twice that.
	ReplicaCallTimeout = 400 * time.Millisecond
	// OperatorCallTimeout bounds a call of the operator, who waits for a second.
	OperatorCallTimeout = 900 * time.Millisecond
	// ReplicaFailoverTimeout bounds a call of a process without state to a replica before it turns to the next one.
	ReplicaFailoverTimeout = 450 * time.Millisecond
	// CatchUpInterval is the interval at which a replica asks another one for newer log entries.
	CatchUpInterval = 2 * time.Second
	// ReplicaLeaveTimeout bounds the removal of a stopping replica from the membership: most of what grace_period_s leaves
	// beside the data plane's own shutdown.
	ReplicaLeaveTimeout = 2500 * time.Millisecond
)

// Founding, and joining of an existing group.
const (
	// FoundingInterval is the interval between two attempts to found the group.
	FoundingInterval = 150 * time.Millisecond
	// FoundingQuietPeriod is how long no further founder may have appeared before the group is founded.
	FoundingQuietPeriod = 500 * time.Millisecond
	// JoinRetryInterval is the interval between two attempts to be admitted as a voter.
	JoinRetryInterval = 300 * time.Millisecond
	// LearnerRetryInterval is the interval between two attempts of a learner for which there is no free voter's place.
	LearnerRetryInterval = time.Second
	// MaxJoinLag is the number of log entries that a joining replica may lack; the next proposal brings it up to date.
	MaxJoinLag = 16
	// JoinRequestTTL is how long a request to join is valid: a replica that made an older one may be gone itself.
	JoinRequestTTL = 3 * time.Second
	// MaxJoinRequests is how many requests to join are remembered.
	MaxJoinRequests = 8
)

// Replacement of voters that have failed.
const (
	// VoterReplaceDelay is how long a voter must have been unresponsive before a learner may replace it: three missed calls.
	VoterReplaceDelay = 1200 * time.Millisecond
	// SurplusVoterRemovalDelay is the same for a voter above the desired number, which no learner replaces: as long as a
	// machine takes to restart.
	SurplusVoterRemovalDelay = 10 * time.Second
	// UnreachableReportTTL is how long another replica's report that it cannot reach a voter either is valid.
	UnreachableReportTTL = 2 * time.Second
	// VoterCheckInterval is the interval at which unresponsive voters are looked for while a learner waits.
	VoterCheckInterval = 200 * time.Millisecond
	// MaxUnresponsiveReplicas is how many unresponsive replicas are tracked.
	MaxUnresponsiveReplicas = 128
)

// Storage of a replica.
const (
	// DiskReopenInterval is the interval between two attempts to reopen a disk after a failed write.
	DiskReopenInterval = 300 * time.Millisecond
	// LogTailEntries is the number of log entries kept on disk beside a snapshot. A replica that lacks no more is sent
	// these instead of the snapshot.
	LogTailEntries = 32
	// LogTailBytes bounds their size: a disk of 256 MB holds a multiple of that while it is compacted.
	LogTailBytes = 16 << 20
	// ConfigHistoryEntries is the number of accepted configurations that a late retry of an operator's call may name, beside
	// the newest 64. At the 14 a second of eight concurrent operators these are 4.8 minutes, where an operator retries for
	// one; at 8,500 a day they are eleven hours. An entry takes 17 to 18 bytes, in a replica's state (70 kB in all) and in
	// what is sent to one that catches up.
	ConfigHistoryEntries = 4096
	// RemovalRetryEntries is the number of log entries for which a call to remove a member that has lost its vote and has one
	// again is taken for the retry of one that was acknowledged. At 14 changes a second and the entries of singleton roles these are some five minutes, where an operator
	// retries for one.
	RemovalRetryEntries = 4096
	// UsageBytes bounds the counts of one usage window, and of all that a state keeps once one of them has more than 4,096
	// tenants. With names of 13 bytes these are nine windows of 14,000 tenants, or two of 65,536. A state is sent as one message,
	// with a configuration of 8 MiB beside.
	UsageBytes = 2 << 20
)
