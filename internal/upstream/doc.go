// Package upstream talks to the endpoints of a pool: it runs the attempts and health checks that package dispatch decides on,
// and owns the connections that they use.
//
// A Transport performs effects of dispatch (StartAttempt, BindAttempt, CancelAttempt, SendProbe, CloseIdleConnection) and posts
// events back (AttemptStarted, AttemptEnded, ProbeDone, ConnectionIdle, ClientLeft). Each attempt runs in a goroutine of its own:
//
//	connect (an idle connection or a new one) -> write the request -> read the response's head -> wait until dispatch
//	binds the attempt to the client -> forward the body to the Downstream -> keep or close the connection
//
// The package promises:
//   - Each StartAttempt is followed by exactly one AttemptEnded, whose result says what is known of the request: results that
//     prove that it never ran are distinguished from those after which it may have run (retrysafety.go). The package never retries
//     by itself; dispatch and the pool's policy do.
//   - A Downstream gets nothing before its attempt is bound, and then only the response to its own request: whole events of a
//     stream, never the rest of a broken one as if it were complete.
//   - A connection serves again only after a response that was framed and read to its end, and with nothing left to read.
//   - Memory and descriptors are bounded by limits.Limits, whatever an endpoint sends.
//
// It assumes HTTP/1.1 without TLS and without pipelining: one request at a time on a connection. How requests and responses look
// beyond that is a Dialect; platform.go has the default one.
//
// Names follow the reverse proxy of Caddy (upstream, dial, round trip). On messages
// that two readers could frame differently see RFC 9112, section 11; on requests that may be sent again, RFC 9110, section 9.2.2.
package upstream
