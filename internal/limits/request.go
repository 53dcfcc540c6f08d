package limits

import "time"

// RequestBounds are the size and time limits of client requests. In a fleet they come from its configuration.
type RequestBounds struct {
	HeadBytes   int           // request head, including the request line
	HeaderBytes int           // request head without the request line; 0 = only HeadBytes applies
	BodyBytes   int           // request body
	ReadTimeout time.Duration // to read a head from its first byte; also to read a body that has no timeout of its own
	IdleTimeout time.Duration // of a connection without a request in flight
}

// DefaultBounds returns the bounds that apply unless a configuration sets others.
func (l *Limits) DefaultBounds() RequestBounds {
	return RequestBounds{
		HeadBytes: l.RequestHeadBytes, BodyBytes: l.BodyBytes, ReadTimeout: l.RequestReadTimeout, IdleTimeout: l.ClientIdleTimeout,
	}
}

// Upper bounds of the settings in a fleet configuration.
const (
	MaxHeaderBytes   = 256 << 10
	RequestLineBytes = 8 << 10 // added to max_header_bytes, which counts the headers only
	MaxHeaderTimeout = 2 * time.Minute
	MaxIdleTimeout   = time.Hour
)

// defaultHeaderBytes is used if a fleet configuration does not set max_header_bytes.
const defaultHeaderBytes = 16 << 10

// ConfiguredBounds returns the bounds that a fleet configuration sets, capped at those that the machine allows. A value of 0
// selects the default. capped reports whether a value was reduced.
func (l *Limits) ConfiguredBounds(headerBytes, bodyBytes int, head, idle time.Duration) (b RequestBounds, capped bool) {
	b = l.DefaultBounds()
	b.HeaderBytes = defaultHeaderBytes
	if headerBytes > 0 {
		b.HeaderBytes = min(headerBytes, MaxHeaderBytes)
	}
	if bodyBytes > 0 {
		b.BodyBytes = min(bodyBytes, int(l.TotalBodyBytes/2)) // one body must leave memory for others
	}
	if head > 0 {
		b.ReadTimeout = min(head, MaxHeaderTimeout)
	}
	if idle > 0 {
		b.IdleTimeout = min(idle, MaxIdleTimeout)
	}
	b.HeadBytes = b.HeaderBytes + RequestLineBytes
	return b, headerBytes > b.HeaderBytes || bodyBytes > b.BodyBytes || head > b.ReadTimeout || idle > b.IdleTimeout
}
