// Package simadapter puts the decision module, package policy, behind the platform simulator's wire format: batches of
// events in, one reply of actions to each out. It decides nothing itself.
//
// It owns the encoding of batches (frame.go) and replies (reply.go), the decoding of events into calls of policy.Balancer
// (event.go), the balancers of all simulated instances (adapter.go), and the decoding of the settings object (settings.go),
// which package platformconfig shares.
//
// It promises one reply to each batch, of the same number, and that instances share nothing but the process and the lists that
// the simulator gives: what one does depends on its own events, its seed and those lists. Malformed input ends Run with an
// error of one line, not with a panic. Reading a batch allocates at most about twice the bytes that have arrived, and 1 MiB.
//
// It assumes that batches come one after the other; an Adapter is not safe for concurrent use. Integers and floats are
// little-endian. Times are in microseconds and at most maxMicros.
//
// Source: the platform's page on the simulator's wire format. The comments at the codes give that page's names.
package simadapter
