// Package frontend owns the connections of clients: it accepts them, reads their requests within bounds, hands each complete
// request to the dispatcher, and writes its response. It speaks HTTP/1.1 only, one request of a connection at a time: what a
// client sends ahead is read once the response before it is at its end.
//
// What it promises:
//
//   - Heads, bodies, read times, idle times, connections and the bytes of all bodies together are bounded (package limits). A
//     request beyond a bound is rejected with a status, and with a time to come back where it may succeed later.
//   - A head that two parsers could read in two ways is rejected before it is parsed (package framing; request smuggling, RFC
//     9112, section 11.2).
//   - Every request handed over (dispatch.RequestReceived) is answered once: by the attempt that the dispatcher binds, through
//     upstream.Downstream, or by a rejection. A client that leaves earlier is reported with dispatch.ClientLeft.
//   - A response that breaks off closes its connection without the last chunk, so that no client takes it for complete.
//   - A connection that is draining, or handed over to another process, ends with its next response.
//
// What requests look like is the Dialect's; a Server without one speaks the platform's (platform.go, requestheaders.go).
//
// Sizes are in bytes. Deadlines of connections are of the wall clock; times in events are of the loop's monotonic clock.
//
// Files: server.go (connections as a set), conn.go (one connection), readrequest.go and readbody.go (a request comes in),
// quota.go (its bytes are reserved), openrequest.go (its response goes out), rejection.go (a response of the frontend's own),
// dialect.go (the interface of a dialect).
package frontend
