// Package upstream sends requests and health checks to the endpoints of the pools and manages the connections to them. Package
// dispatch decides which attempts and health checks run; this package performs them.
//
// A Transport performs effects of dispatch (StartAttempt, BindAttempt, CancelAttempt, SendProbe, CloseIdleConnection) and posts
// events back (AttemptStarted, AttemptEnded, ProbeDone, ConnectionIdle, ClientLeft). Each attempt runs in its own goroutine:
//
//	connect (reuse an idle connection or dial) -> write the request -> read the response head -> wait until dispatch
//	binds the attempt to the client -> forward the body to the Downstream -> keep or close the connection
//
// Guarantees:
//   - Each StartAttempt is followed by exactly one AttemptEnded. Its result distinguishes failures that prove that the request did
//     not run from failures after which it may have run (retrysafety.go). The package never retries; dispatch and the pool's
//     policy do.
//   - A Downstream receives no data before its attempt is bound, and afterwards only the response to its own request. It receives
//     whole events of a stream, and a truncated response is never presented as complete.
//   - A connection is reused only if its last response had explicit framing and was read to the end, and no unread bytes remain.
//   - Memory and file descriptors are bounded by limits.Limits, whatever an endpoint sends.
//
// The protocol is HTTP/1.1 without TLS or pipelining, with one request at a time on a connection. A Dialect defines the format of
// requests and responses beyond that; platform.go contains the default one.
//
// The names follow the reverse proxy of Caddy (upstream, dial, round trip). RFC 9112, section 11, describes attacks with messages
// that two readers frame differently; RFC 9110, section 9.2.2, defines which requests may be sent again.
package upstream
