// Package dispatch owns the life of every request between the frontends and the upstreams: which requests are open, their
// attempts, their deadlines, and the endpoints of each pool. It drives a decision module (package policy) for each pool.
//
// Dispatcher is a reducer: events come in, effects go out, and nothing else changes it. It knows no socket, no HTTP and no
// clock; Loop owns the clock and the order of events, and has the effects carried out. What it promises:
//
//   - Every RequestReceived gets exactly one end: an answer (BindAttempt, then AttemptEnded), a Reject, or ClientLeft.
//   - Every StartAttempt is followed by exactly one AttemptEnded of the upstream, and the module hears of exactly one outcome.
//   - Nothing is sent for a request that is answered, bound to an attempt, or past its deadline, whatever the module says.
//
// Times are of the loop's monotonic clock.
package dispatch
