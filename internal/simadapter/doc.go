// Package simadapter connects the decision module, package policy, to the platform's simulator. It reads batches of events in
// the simulator's wire format and writes one reply with actions to each batch. It makes no decisions.
//
// Batches are decoded in frame.go, events in event.go and the settings object in settings.go, which package platformconfig
// also uses. Replies are encoded in reply.go. The balancers of all simulated instances are in adapter.go.
//
// Each batch gets one reply with the same number. The actions of an instance depend only on its own events, its seed and the
// lists from the simulator. Malformed input ends Run with a one-line error, never with a panic. Reading a batch allocates at
// most about twice the number of bytes received, plus 1 MiB.
//
// An Adapter is not safe for concurrent use. Integers and floats are little-endian. Times are in microseconds and at most
// maxMicros.
//
// The format is defined by the platform's page on the simulator's wire format. Comments at the codes give that page's names.
package simadapter
