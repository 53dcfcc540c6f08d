package limits

import "time"

// fleetDescriptors is the number of descriptors reserved on a machine of the fleet for files (200) and for calls between processes
// (200).
const fleetDescriptors = 200 + 200

// NewFleetRouter returns the limits of a router process of a fleet.
func NewFleetRouter(m Machine) Limits {
	m.Sockets = max(m.Sockets-fleetDescriptors, 128)
	l := New(m, Site{
		ConnectTimeout:    500 * time.Millisecond, // a healthy engine takes milliseconds; leaves time for an attempt at another engine
		UpstreamIdleClose: time.Minute,            // engines announce their own idle timeout
		MaxAttempts:       8,                      // a route may set fewer
		MaxDeadline:       2 * time.Minute,
	})
	// These bounds apply until a configuration sets others. The read buffer grows for a head larger than the typical 400 bytes.
	l.RequestHeadBytes, l.ResponseHeadBytes, l.BodyBytes = 4<<10, 16<<10, 8<<20
	l.RequestReadTimeout, l.ClientIdleTimeout = 3*time.Second, 15*time.Second
	// A response that has begun ends at the client's deadline, not because its engine pauses.
	l.FirstEventTimeout, l.StreamIdleTimeout = l.MaxRequestTimeout, l.MaxRequestTimeout
	l.ClientWriteTimeout = 10 * time.Second
	return l
}

// Connections of fleet routers to engines, and the graceful shutdown of a router.
const (
	// UpstreamUserTimeout is the TCP_USER_TIMEOUT of connections to engines. Data that is unacknowledged for this long will hardly
	// arrive.
	UpstreamUserTimeout = 1200 * time.Millisecond

	// StaleConnAvoidPeriod is how long, after an engine was found to have dropped idle connections without closing them,
	// requests that must not run twice avoid connections idle for more than StaleConnMaxIdle. Other requests still use them,
	// since a failure only costs a retry.
	StaleConnAvoidPeriod = 10 * time.Second
	// StaleConnMaxIdle is the idle time up to which a connection to such an engine is used for any request.
	StaleConnMaxIdle = 100 * time.Millisecond
	// StaleConnGossipInterval is the minimum interval between a router's gossip updates about such an engine.
	StaleConnGossipInterval = 2 * time.Second

	// ReadinessDrainDelay is how long a stopping router still accepts connections. The platform's load balancer checks readiness
	// once a second and removes a target after two failures.
	ReadinessDrainDelay = 2300 * time.Millisecond
	// ShutdownReserve is the part of grace_period_s that is reserved for the exit of the process.
	ShutdownReserve = 500 * time.Millisecond

	// MetricsLogInterval is the interval at which traffic counters are logged, at level debug.
	MetricsLogInterval = 5 * time.Second
)

// Shares of the retry budget. The retries that the fleet may send beyond a ratio of its requests (retry_extra) are divided among
// its routers, including those that were restarted within a window.
const (
	// InitialRetryShares is the number of shares a router assumes until the lease holder has reported how many incarnations
	// of routers there are.
	InitialRetryShares = 400
	// RetryShareTTL is how long a reported number of incarnations is valid, counted from the request for it. Every report of the
	// router to the replicas renews the number.
	RetryShareTTL = 2500 * time.Millisecond
	// RouterReportRetention is how long, in addition to a window, replicas count a router after its last report.
	RouterReportRetention = RetryShareTTL + 2*RouterReportInterval
	// RouterReportInterval is the interval at which a router reports usage and load to the replicas.
	RouterReportInterval = 500 * time.Millisecond
)

// RetryShares returns the number of shares that retry_extra is divided into: 1.5 for each incarnation of a router, so that all
// routers may restart at once.
func RetryShares(incarnations int) float64 { return 1.5 * float64(max(incarnations, 1)) }

// DrainGrace returns how long requests of a known session may still be sent to a draining engine: a quarter of drain_timeout_ms.
// The rest is left for the drain to reach every router, and for a request to reach its engine.
func DrainGrace(drain time.Duration) time.Duration { return drain / 4 }
