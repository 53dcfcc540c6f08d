package limits

// reservedDescriptors are kept for what is neither a client's nor an upstream's: the standard streams, the listener, the
// poller, the endpoint list, health checks and connections that are being closed.
const reservedDescriptors = 24

// ControlSocketConns is how many connections the control socket takes at once.
const ControlSocketConns = 4

// spareEndpointSources is how many endpoint lists may be added while the program runs.
const spareEndpointSources = 8

// WithEndpointSources sets descriptors aside for n endpoint lists instead of one, for those added while the program runs,
// and for the control socket.
func (l Limits) WithEndpointSources(n int) Limits {
	l.EndpointSources = n + spareEndpointSources
	return l.reserve(l.EndpointSources - 1 + ControlSocketConns)
}

// WithAdmin sets descriptors aside for the operators' address: its listener and its callers.
func (l Limits) WithAdmin() Limits {
	l.ClientConns = max(l.ClientConns-AdminConns-1, 1)
	return l
}

// WithBatch sets descriptors aside for the batch API: its connections and the files that its items keep open.
func (l Limits) WithBatch(files int) Limits { return l.reserve(l.BatchConns + files) }

// reserve takes descriptors off the connections of clients and of upstreams, in equal parts.
func (l Limits) reserve(descriptors int) Limits {
	l.ClientConns = max(l.ClientConns-(descriptors+1)/2, 1)
	l.UpstreamConns = max(l.UpstreamConns-descriptors/2, 1)
	l.ConcurrentRequests = min(l.ConcurrentRequests, l.UpstreamConns)
	return l
}

// Capacity is the part of its limits that a process may use at a time.
type Capacity struct {
	ClientConns   int
	UpstreamConns int
	HeapBytes     int64 // soft limit of the Go heap
}

// FullCapacity is the capacity of a process that runs alone.
func (l *Limits) FullCapacity() Capacity {
	return Capacity{l.ClientConns, l.UpstreamConns, l.HeapBytes}
}

// TakeoverCapacity is the capacity of each of two processes during a hot restart: half of what is used, less what both keep
// in reserve.
func (l *Limits) TakeoverCapacity() Capacity {
	return Capacity{
		ClientConns:   max((l.ClientConns-reservedDescriptors-l.RejectConns-AdminConns-1)/2, 1),
		UpstreamConns: max(l.UpstreamConns/2, 1),
		HeapBytes:     l.HeapBytes / 2,
	}
}
