package limits

import "time"

// Calls between replicas, and operators' calls.
const (
	// ReplicaCallTimeout bounds one call to a replica, such as a Paxos prepare. Calls that carry a snapshot get twice that.
	ReplicaCallTimeout = 400 * time.Millisecond
	// OperatorCallTimeout bounds the handling of an operator's call. The operator's client times out after 1 s.
	OperatorCallTimeout = 900 * time.Millisecond
	// ReplicaFailoverTimeout is how long a process that is not a replica waits for one replica before it calls the next one.
	ReplicaFailoverTimeout = 450 * time.Millisecond
	// CatchUpInterval is the interval at which a replica requests newer log entries from another one.
	CatchUpInterval = 2 * time.Second
	// ReplicaLeaveTimeout bounds the removal of a stopping replica from the membership. The removal runs concurrently with the
	// graceful shutdown of the data plane and may take most of grace_period_s.
	ReplicaLeaveTimeout = 2500 * time.Millisecond
)

// Bootstrap of a group of replicas, and joining of an existing one.
const (
	// FoundingInterval is the interval between two attempts to bootstrap the group.
	FoundingInterval = 150 * time.Millisecond
	// FoundingQuietPeriod is how long no further founding member may have appeared before the group is bootstrapped.
	FoundingQuietPeriod = 500 * time.Millisecond
	// JoinRetryInterval is the interval between two attempts to join as a voter.
	JoinRetryInterval = 300 * time.Millisecond
	// LearnerRetryInterval is the interval between two attempts of a learner to become a voter while there are enough voters.
	LearnerRetryInterval = time.Second
	// MaxJoinLag is the number of log entries that a joining replica may lack. It catches up with the next proposal.
	MaxJoinLag = 16
	// JoinRequestTTL is how long a request to join is valid. The sender of an older one may have failed.
	JoinRequestTTL = 3 * time.Second
	// MaxJoinRequests is the number of pending requests to join.
	MaxJoinRequests = 8
)

// Replacement of voters that have failed.
const (
	// VoterReplaceDelay is how long a voter must be unresponsive before a learner may replace it, which is three missed calls.
	VoterReplaceDelay = 1200 * time.Millisecond
	// SurplusVoterRemovalDelay is how long a voter beyond the desired number must be unresponsive before it is removed without a
	// replacement. A machine can restart within this time.
	SurplusVoterRemovalDelay = 10 * time.Second
	// UnreachableReportTTL is how long another replica's report that a voter is unreachable is valid.
	UnreachableReportTTL = 2 * time.Second
	// VoterCheckInterval is the interval at which voters are checked while a learner waits to replace one.
	VoterCheckInterval = 200 * time.Millisecond
	// MaxUnresponsiveReplicas is the number of unresponsive replicas that are tracked.
	MaxUnresponsiveReplicas = 128
)

// Storage of a replica.
const (
	// DiskReopenInterval is the interval between two attempts to reopen a disk after a failed write.
	DiskReopenInterval = 300 * time.Millisecond
	// LogTailEntries is the number of log entries kept on disk beside a snapshot. A replica that lacks only these is sent the
	// entries instead of the snapshot.
	LogTailEntries = 32
	// LogTailBytes bounds the size of these entries. During compaction, a disk of 256 MB must hold several times this size.
	LogTailBytes = 16 << 20
	// ConfigHistoryEntries is the number of accepted configurations, beside the newest 64, for which the late retry of an
	// operator's call is recognized. Operators retry for one minute. Eight concurrent operators make 14 changes a second, for which
	// the entries last 4.8 minutes; at 8,500 changes a day they last eleven hours. An entry takes about 18 bytes of a replica's state
	// (70 kB in all), and of what is sent to a replica that catches up.
	ConfigHistoryEntries = 4096
	// RemovalRetryEntries is how many log entries after the removal of a member another call to remove it counts as a retry, even if
	// the member has become a voter again. At 14 changes a second and the entries of the lease holder's tasks they last some five
	// minutes; operators retry for one minute.
	RemovalRetryEntries = 4096
	// UsageBytes bounds the counts of one usage window. It also bounds those of all windows in a replica's state once one of them
	// has more than 4,096 tenants. With names of 13 bytes these are nine windows of 14,000 tenants, or two of 65,536. The state is
	// sent as one message, together with a configuration of up to 8 MiB.
	UsageBytes = 2 << 20
)
