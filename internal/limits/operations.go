package limits

import "time"

// The operators' address.
const (
	AdminConns         = 16                    // concurrent connections
	AdminHeadBytes     = 4 << 10               // head of one request
	AdminTimeout       = 5 * time.Second       // for one request; some clients send it up to 4 s after they connect
	AdminAcceptBackoff = 10 * time.Millisecond // delay after a failed accept
)

// Hot restart: the successor takes the listening address over from the running process.
const (
	// TakeoverPollInterval is the interval at which each process checks whether the other one is running. A check is one
	// non-blocking system call.
	TakeoverPollInterval = 250 * time.Millisecond
	// TakeoverListTimeout is how long the successor waits for the endpoint list, which is not sent if it has not changed.
	TakeoverListTimeout = 300 * time.Millisecond
	// TakeoverStateTimeout is how long the successor then waits for the state of the running process before it starts without it.
	TakeoverStateTimeout = time.Second
	// TakeoverReadyTimeout is how long after its start the successor may report that it is not ready, to let the running process
	// finish. The platform requires readiness within 6 s.
	TakeoverReadyTimeout = 4700 * time.Millisecond
	// AcceptQueueDrainTime is how long a listener that is being closed still accepts queued connections.
	AcceptQueueDrainTime = 20 * time.Millisecond
)

// DrainSweepInterval is the interval at which a draining router closes connections that have become idle.
const DrainSweepInterval = 100 * time.Millisecond
