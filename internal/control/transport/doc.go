// Package transport connects the processes of the fleet: UDP datagrams for gossip, and calls with a response over TCP. It
// manages the sockets, the frames and their size limits, and the connections that are reused. It does not interpret the kind
// and body of a call.
//
// A call ends with one response or one error. After an error other than a [RemoteError] it is unknown whether the peer has
// executed the call, so all calls must be idempotent. A datagram may be lost, duplicated or reordered.
//
// TCP and UDP use the same port number. A frame on TCP is an 8-byte header and a body:
//
//	offset  bytes
//	0       2      magic "nh"
//	2       1      version, 1
//	3       1      kind of the call; in a response the same kind, or 0 if the body is the text of an error
//	4       4      length of the body, big endian, at most MaxFrameBytes
package transport
