// Package endpoints implements the registry of the fleet's endpoints (inference engines) as a state-based CRDT. The records of one
// endpoint are totally ordered, and the greatest wins. Processes that have received the same records therefore hold the same
// registry, in whatever order and however often they received them. Compare Shapiro et al., Conflict-free Replicated Data Types
// (2011).
//
// A [Record] contains what an endpoint reports about itself. It is ordered by the number of the heartbeat that first reported it
// (call_count in the platform's protocol). The time of the latest heartbeat changes all the time, so it is kept beside the record
// and not replicated with it. An engine gets a new id at every start: an endpoint that has deregistered never returns.
//
// An endpoint is in one of these states:
//
//   - live: ready or draining;
//   - suspect: its heartbeats have stopped. It gets no traffic. A newer heartbeat refutes the suspicion, as in SWIM (Das, Gupta,
//     Motivala, 2002);
//   - failed: it has sent no heartbeat for over a minute, and is recorded as gone. A newer heartbeat makes it live again;
//   - gone: it has deregistered, or another endpoint has its address. Its record is dropped after a minute.
//
// The package does no I/O and reads no clock. Times are durations on the caller's monotonic clock; wall times are in ms since the
// Unix epoch.
package endpoints
