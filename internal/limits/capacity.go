package limits

// reservedDescriptors is the number of descriptors for everything but client and upstream connections: the standard streams,
// the listener, the poller, the endpoint list, health checks and connections that are being closed.
const reservedDescriptors = 24

// ControlSocketConns is the number of concurrent connections to the control socket.
const ControlSocketConns = 4

// spareEndpointSources is the number of endpoint lists that may be added while the program runs.
const spareEndpointSources = 8

// WithEndpointSources reserves descriptors for n endpoint lists instead of one, for those added while the program runs, and for
// the control socket.
func (l Limits) WithEndpointSources(n int) Limits {
	l.EndpointSources = n + spareEndpointSources
	return l.reserve(l.EndpointSources - 1 + ControlSocketConns)
}

// WithAdmin reserves descriptors for the operators' address: its listener and its connections.
func (l Limits) WithAdmin() Limits {
	l.ClientConns = max(l.ClientConns-AdminConns-1, 1)
	return l
}

// WithBatch reserves descriptors for the batch API: its connections and the given number of open files.
func (l Limits) WithBatch(files int) Limits { return l.reserve(l.BatchConns + files) }

// reserve reduces the client and the upstream connections, each by half of the given number of descriptors.
func (l Limits) reserve(descriptors int) Limits {
	l.ClientConns = max(l.ClientConns-(descriptors+1)/2, 1)
	l.UpstreamConns = max(l.UpstreamConns-descriptors/2, 1)
	l.ConcurrentRequests = min(l.ConcurrentRequests, l.UpstreamConns)
	return l
}

// Capacity is the part of its limits that a process may use at present.
type Capacity struct {
	ClientConns   int
	UpstreamConns int
	HeapBytes     int64 // soft limit of the Go heap
}

// FullCapacity returns the capacity of a process that runs alone.
func (l *Limits) FullCapacity() Capacity {
	return Capacity{l.ClientConns, l.UpstreamConns, l.HeapBytes}
}

// TakeoverCapacity returns the capacity of each of the two processes during a hot restart: half of the full capacity, after the
// descriptors that both processes reserve are subtracted.
func (l *Limits) TakeoverCapacity() Capacity {
	return Capacity{
		ClientConns:   max((l.ClientConns-reservedDescriptors-l.RejectConns-AdminConns-1)/2, 1),
		UpstreamConns: max(l.UpstreamConns/2, 1),
		HeapBytes:     l.HeapBytes / 2,
	}
}
