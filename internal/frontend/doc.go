// Package frontend accepts the connections of clients, reads their requests within bounds, passes each complete request to the
// dispatcher, and writes the response. It supports only HTTP/1.1, with one request at a time on a connection: it does not read a
// pipelined request before the previous response is complete.
//
// Guarantees:
//
//   - Heads, bodies, read times, idle times, connections and the total size of all bodies are bounded (package limits). A request
//     that exceeds a bound is rejected with a status code, and with a Retry-After header if it may succeed later.
//   - A head that two parsers could interpret differently is rejected before it is parsed (package framing; request smuggling, RFC
//     9112, section 11.2).
//   - Every request passed to the dispatcher (dispatch.RequestReceived) gets one response: from the attempt that the dispatcher
//     binds, through upstream.Downstream, or a rejection. If the client disconnects earlier, dispatch.ClientLeft reports it.
//   - After a truncated response, the connection is closed without the last chunk, so that the response does not look complete.
//   - During a drain or a handover to another process, each connection closes after its next response.
//
// A Dialect defines the format of requests and responses. The default is the dialect of the platform (platform.go,
// requestheaders.go).
//
// Sizes are in bytes. Deadlines of connections use the wall clock; times in events use the monotonic clock of the event loop.
//
// Files: server.go (the set of connections), conn.go (one connection), readrequest.go and readbody.go (reading a request),
// quota.go (reserving its bytes), openrequest.go (writing its response), rejection.go (responses of the frontend itself),
// dialect.go (the interface of dialects).
package frontend
