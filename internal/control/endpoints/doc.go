// Package endpoints owns the registry of the fleet's endpoints (inference engines) as a state-based CRDT: records of one
// endpoint are totally ordered and the greatest wins, so that processes that have received the same records hold the same
// registry, in whatever order and however often the records came. Compare Shapiro et al., Conflict-free Replicated Data Types
// (2011).
//
// A [Record] is what an endpoint says about itself, ordered by the number of the heartbeat that first said so (call_count in
// the platform's protocol). The time of the latest heartbeat stands beside the record and is not replicated with it, since it
// changes all the time. Every start of an engine has an id of its own: an endpoint that has deregistered never comes back.
//
// An endpoint goes through these states:
//
//   - live, ready or draining;
//   - suspect: its heartbeats have stopped. It gets no traffic. A newer heartbeat refutes the suspicion, as in SWIM (Das, Gupta,
//     Motivala, 2002);
//   - failed: without a heartbeat for over a minute, and recorded as gone. A newer heartbeat brings it back;
//   - gone: it has deregistered, or another endpoint has its address. Its record is dropped after a minute.
//
// The package is pure. Times are durations on the caller's steady clock; wall times are in ms since the Unix epoch.
package endpoints
