package limits

import "time"

// RequestBounds bound the requests of clients. In a fleet they change with its configuration.
type RequestBounds struct {
	HeadBytes   int           // a head, its request line included
	HeaderBytes int           // a head without its request line; 0 = HeadBytes alone counts
	BodyBytes   int           // a body
	ReadTimeout time.Duration // a head from its first byte; its body too where that has no timeout of its own
	IdleTimeout time.Duration // a connection without a request in flight
}

// DefaultBounds are the bounds of a program whose configuration does not set any.
func (l *Limits) DefaultBounds() RequestBounds {
	return RequestBounds{
		HeadBytes: l.RequestHeadBytes, BodyBytes: l.BodyBytes, ReadTimeout: l.RequestReadTimeout, IdleTimeout: l.ClientIdleTimeout,
	}
}

// The most that a fleet configuration may ask of a machine.
const (
	MaxHeaderBytes   = 256 << 10
	RequestLineBytes = 8 << 10 // on top of the headers, which max_header_bytes counts alone
	MaxHeaderTimeout = 2 * time.Minute
	MaxIdleTimeout   = time.Hour
)

// defaultHeaderBytes holds where a fleet configuration does not set max_header_bytes.
const defaultHeaderBytes = 16 << 10

// ConfiguredBounds are the bounds that a fleet configuration asks for, as far as the machine allows; 0 leaves a default.
// capped reports that the machine allows less than was asked for.
func (l *Limits) ConfiguredBounds(headerBytes, bodyBytes int, head, idle time.Duration) (b RequestBounds, capped bool) {
	b = l.DefaultBounds()
	b.HeaderBytes = defaultHeaderBytes
	if headerBytes > 0 {
		b.HeaderBytes = min(headerBytes, MaxHeaderBytes)
	}
	if bodyBytes > 0 {
		b.BodyBytes = min(bodyBytes, int(l.TotalBodyBytes/2)) // one body must not take the memory of all others
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
