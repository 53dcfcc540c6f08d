package replog

// Entry is the value of one index of the log.
type Entry struct {
	Nonce   uint64 // random, so that two proposals never have equal values
	Payload Payload
}

// Payload is what an entry does to the state: Noop, MembersChange, ConfigChange, LeaseGrant or UsageReport.
type Payload interface {
	kind() entryKind
	apply(s *State, index uint64)
}

// Noop changes nothing. A replica proposes it to learn what was chosen for an index.
type Noop struct{}

// MembersChange replaces the voters. One without members changes nothing.
type MembersChange struct{ Members []Member }

// ConfigChange replaces the configuration of the fleet. It has no effect unless BaseRevision is the current revision and
// Config can be decoded and has a higher one.
type ConfigChange struct {
	BaseRevision uint64
	Config       []byte // as the operator sent it
}

// LeaseGrant makes a replica the holder of the lease of the singleton roles. Its index is the fencing token.
type LeaseGrant struct {
	HolderID   uint64 // Member.ID
	HolderName string
}

// UsageReport records the requests of all tenants in a usage window. The first report of a window stands.
type UsageReport struct {
	Window uint64 // number of the window
	Counts []TenantCount
}

// Member is a replica of the log. Its ID belongs to its name and its disk: a machine that comes back with another disk is
// another member, since it has forgotten what it promised as an acceptor.
type Member struct {
	ID   uint64
	Name string
	Addr string // IP address and port that it serves calls on
}

// TenantCount is the number of requests of a tenant in a usage window.
type TenantCount struct {
	Tenant   string
	Requests uint64
}
