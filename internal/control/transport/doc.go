// Package transport carries bytes between the fleet's processes: datagrams for gossip, and calls with a response over TCP.
// It owns the sockets, the frames and their bounds, and the connections kept for further calls. It does not know what the
// bytes mean: a call's kind and body are its caller's and its handler's.
//
// A call ends with one response or one error. After an error other than a [RemoteError] it is unknown whether the peer has
// executed the call; callers make their calls idempotent. A datagram may be lost, duplicated or reordered.
//
// Both transports share one port number. A frame on TCP is an 8-byte header and a body:
//
//	offset  bytes
//	0       2      magic "nh"
//	2       1      version, 1
//	3       1      kind of the call; in a response the same, or 0 for an error whose text is the body
//	4       4      length of the body, big endian, at most MaxFrameBytes
package transport
