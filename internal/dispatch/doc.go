// Package dispatch holds the state of all requests between the frontends and the upstreams: the open requests, their attempts and
// deadlines, and the endpoints of each pool. Each pool has a decision module (package policy) that chooses the hosts.
//
// Dispatcher is a reducer: Reduce takes an event, updates the state and returns the effects to carry out. It uses no sockets, no
// HTTP and no clock. Loop reads the clock, orders the events and has the effects carried out. The guarantees:
//
//   - Every RequestReceived ends exactly once: with a response (BindAttempt, then AttemptEnded), a Reject, or ClientLeft.
//   - The upstream reports exactly one AttemptEnded for every StartAttempt, and the module gets exactly one outcome for it.
//   - No attempt starts for a request that is answered, bound to an attempt, or past its deadline, even if the module sends one.
//
// All times are readings of the loop's monotonic clock.
package dispatch
