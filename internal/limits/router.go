package limits

import "time"

// fleetDescriptors are kept by a machine of the fleet for files (200) and for calls of and to other processes (200).
const fleetDescriptors = 200 + 200

// NewFleetRouter returns the limits of a process that carries the fleet's traffic.
func NewFleetRouter(m Machine) Limits {
	m.Sockets = max(m.Sockets-fleetDescriptors, 128)
	l := New(m, Site{
		ConnectTimeout:    500 * time.Millisecond, // a healthy engine takes milliseconds; leaves time for an attempt at another
		UpstreamIdleClose: time.Minute,            // engines announce their own idle timeout
		MaxAttempts:       8,                      // a route may set fewer
		MaxDeadline:       2 * time.Minute,
	})
	// The bounds until a configuration sets others. A typical head has 400 bytes; the buffer grows for a larger one.
	l.RequestHeadBytes, l.ResponseHeadBytes, l.BodyBytes = 4<<10, 16<<10, 8<<20
	l.RequestReadTimeout, l.ClientIdleTimeout = 3*time.Second, 15*time.Second
	// A pause of an engine does not end a response that has begun: the client's deadline does.
	l.FirstEventTimeout, l.StreamIdleTimeout = l.MaxRequestTimeout, l.MaxRequestTimeout
	l.ClientWriteTimeout = 10 * time.Second
	return l
}

// Connections of fleet routers to engines, and the end of a router.
const (
	// UpstreamUserTimeout is TCP_USER_TIMEOUT towards engines: data unacknowledged for this long will hardly arrive.
	UpstreamUserTimeout = 1200 * time.Millisecond

	// StaleConnAvoidPeriod is how long, after an engine was found to have dropped idle connections without closing them,
	// requests that must not run twice avoid connections idle for more than StaleConnMaxIdle. Others go on trying them:
	// a failure costs them a retry only.
	StaleConnAvoidPeriod = 10 * time.Second
	StaleConnMaxIdle     = 100 * time.Millisecond
	// StaleConnGossipInterval is the shortest interval at which a router tells others of it.
	StaleConnGossipInterval = 2 * time.Second

	// ReadinessDrainDelay is how long a stopping router goes on accepting connections. The platform's load balancer checks
	// readiness once a second and removes a target after two failures.
	ReadinessDrainDelay = 2300 * time.Millisecond
	// ShutdownReserve is the part of grace_period_s that is kept for the exit itself.
	ShutdownReserve = 500 * time.Millisecond

	// MetricsLogInterval is the interval at which traffic counters are logged, at level debug.
	MetricsLogInterval = 5 * time.Second
)

// Shares of the retry budget. The burst of retries that the fleet may send beyond a ratio of its requests (retry_extra) is
// divided among its routers and those restarted within a window.
const (
	// InitialRetryShares is the number of shares a router assumes until the lease holder has reported how many incarnations
	// of routers there are.
	InitialRetryShares = 400
	// RetryShareTTL is how long such a number is valid, from when it was asked for. It is refreshed with every report.
	RetryShareTTL = 2500 * time.Millisecond
	// RouterReportRetention is how long, beyond a window, a router counts after its last report.
	RouterReportRetention = RetryShareTTL + 2*RouterReportInterval
	// RouterReportInterval is the interval at which a router reports usage and load to the replicas.
	RouterReportInterval = 500 * time.Millisecond
)

// RetryShares is the number of shares that the burst of retries is divided into where there are so many incarnations of
// routers: half as many again, so that all routers may restart at once.
func RetryShares(incarnations int) float64 { return 1.5 * float64(max(incarnations, 1)) }

// DrainGrace is how long requests of a known session may still go to a draining engine: a quarter of drain_timeout_ms. The
// rest is for the drain to reach every router and for a request to reach its engine.
func DrainGrace(drain time.Duration) time.Duration { return drain / 4 }
