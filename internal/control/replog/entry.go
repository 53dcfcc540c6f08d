package replog

// Entry is the decoded value of one log index.
type Entry struct {
	Nonce   uint64 // random, so that no two proposals have equal values
	Payload Payload
}

// Payload is the operation of an entry: Noop, MembersChange, ConfigChange, LeaseGrant or UsageReport.
type Payload interface {
	kind() entryKind
	apply(s *State, index uint64)
}

// Noop changes nothing. A replica proposes it to learn the value that was chosen for an index.
type Noop struct{}

// MembersChange replaces the voters. It has no effect if Members is empty.
type MembersChange struct{ Members []Member }

// ConfigChange replaces the configuration of the fleet. It has no effect unless BaseRevision is the current revision and
// Config can be decoded and has a higher revision.
type ConfigChange struct {
	BaseRevision uint64
	Config       []byte // as the operator sent it
}

// LeaseGrant makes a replica the holder of the lease of the singleton roles. The index of the entry is the fencing token.
type LeaseGrant struct {
	HolderID   uint64 // Member.ID
	HolderName string
}

// UsageReport records the requests of all tenants in a usage window. Later reports of the same window have no effect.
type UsageReport struct {
	Window uint64 // number of the window
	Counts []TenantCount
}

// Member is a replica of the log. Its ID identifies its name together with its disk. A machine that restarts with another disk
// is a different member, because the promises that it made as an acceptor are lost.
type Member struct {
	ID   uint64
	Name string
	Addr string // IP address and port on which it serves calls
}

// TenantCount is the number of requests of a tenant in a usage window.
type TenantCount struct {
	Tenant   string
	Requests uint64
}
