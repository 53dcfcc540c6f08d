package gossip

import "time"

// Dissemination. All figures are per node and do not depend on the size of the fleet.
const (
	// Fanout is the number of peers to which a node passes on a new item.
	Fanout = 3
	// BroadcastInterval is the time between two rounds of dissemination.
	BroadcastInterval = 400 * time.Millisecond

	maxQueuedItems = 4096 // new items that wait for the next broadcast
)

// Urgent broadcasts.
const (
	urgentFanout   = Fanout + 2
	urgentAttempts = 2                      // an endpoint waits for one second
	ackTimeout     = 300 * time.Millisecond // before an attempt is repeated at other peers
)

// Anti-entropy. The interval is short because few nodes may lack an item one second after its broadcast.
const (
	compareInterval      = 400 * time.Millisecond // on average; each is drawn between half and one and a half of it
	compareRetryDelay    = 150 * time.Millisecond // after a comparison that found a difference or got no answer: packets of either may be lost
	compareRetries       = 2
	replicaComparePeriod = 8 // one of so many comparisons goes to a replica
)

// Membership.
const (
	viewSize        = 16
	minViewSize     = 2               // with fewer peers the seeds are asked
	shuffleSize     = 6               // peers in one shuffle
	shuffleInterval = 2 * time.Second // on average, as compareInterval
	responseTimeout = 4 * time.Second // after an unanswered request a peer leaves the view

	replicaExpiry           = 3 * time.Minute  // a replica that was not heard for so long is dropped
	replicaAdvertiseTimeout = 30 * time.Second // a replica is advertised to others if it was heard within this time

	maxLostPeers        = 16 // addresses of dropped peers that are remembered
	lostPeerProbePeriod = 4  // one of so many shuffles probes an address beyond the view
)

// Heartbeats.
const (
	// quorumTimeout is the time without heartbeat packets after which two replicas are out of contact.
	quorumTimeout = 4 * BroadcastInterval

	maxQueuedHeartbeats = 4096
	heartbeatsPerPacket = 80
)

// Bounds of the wire format.
const (
	// MaxPacketBytes bounds a datagram, below the MTU of every link here.
	MaxPacketBytes = 1400
	// MaxItemBytes bounds the key and the body of an item together. A larger one is not stored.
	MaxItemBytes = MaxPacketBytes - packetOverhead - itemOverhead

	itemOverhead  = 16 // upper bound of what an item needs beside its key and body
	maxItems      = 256
	maxHeartbeats = 512
	maxPeers      = 32  // also the number of replicas that are known
	maxVersions   = 256 // of a bucket, in a packet of the previous release
	maxKeyBytes   = 256
	maxBodyBytes  = 1200

	maxVersionBuckets = 4 // buckets whose versions go back in answer to versions of the previous release

	rangeHeaderBytes    = 1 + 9 + 2 // of a range: depth, prefix, number of versions
	keyHashBytes        = 8
	maxVersionBytes     = 10
	contentHashBytes    = 4
	contentVersionBytes = keyHashBytes + maxVersionBytes + contentHashBytes
	maxRangeItems       = (MaxPacketBytes - packetOverhead - rangeHeaderBytes) / contentVersionBytes // a range with more is divided
	maxDigestRanges     = (MaxPacketBytes - packetOverhead) / (rangeHeaderBytes + 8*rangeFanout)
	maxVersionRanges    = maxDigestRanges * rangeFanout
	maxRequestedKeys    = (MaxPacketBytes - packetOverhead) / 8
	maxResponsePackets  = 4    // of versions, and of digests, in answer to one packet
	maxRepairItems      = 2048 // in answer to one packet; some 130 datagrams of endpoint records
)
