package limits

import "time"

// The operators' address.
const (
	AdminConns         = 16                    // concurrent callers
	AdminHeadBytes     = 4 << 10               // head of one call
	AdminTimeout       = 5 * time.Second       // for one call; some callers keep a connection for 4 s before they write, and must not get an error
	AdminAcceptBackoff = 10 * time.Millisecond // after a failed accept
)

// Hot restart: the successor takes the listening address over from the running process.
const (
	// TakeoverPollInterval is the interval at which a process checks whether the other one has come or gone: one system
	// call, which holds nothing up.
	TakeoverPollInterval = 250 * time.Millisecond
	// TakeoverListTimeout is how long the successor waits for the endpoint list; one without a change is not sent again.
	TakeoverListTimeout = 300 * time.Millisecond
	// TakeoverStateTimeout is how long it then waits for the state of the running process before it does without.
	TakeoverStateTimeout = time.Second
	// TakeoverReadyTimeout is how long after its start the successor may report not ready so that the running process can
	// finish. The platform wants readiness within 6 s.
	TakeoverReadyTimeout = 4700 * time.Millisecond
	// AcceptQueueDrainTime is how long a listener that closes goes on accepting what is in its queue.
	AcceptQueueDrainTime = 20 * time.Millisecond
)

// DrainSweepInterval is the interval at which a draining router closes connections that have become idle.
const DrainSweepInterval = 100 * time.Millisecond
