package gossip

import "time"

// Limits of dissemination, per node and independent of the size of the fleet.
const (
	// Fanout is the number of peers to which a node forwards a new item.
	Fanout = 3
	// BroadcastInterval is the time between two broadcast rounds.
	BroadcastInterval = 400 * time.Millisecond

	maxQueuedItems = 4096 // new items that wait for the next round
)

// Limits of urgent broadcasts.
const (
	urgentFanout   = Fanout + 2
	urgentAttempts = 2                      // both must end within the second for which an endpoint waits
	ackTimeout     = 300 * time.Millisecond // before the next attempt, which goes to other peers
)

// Limits of anti-entropy. The interval is short so that few nodes lack an item one second after its broadcast.
const (
	compareInterval      = 400 * time.Millisecond // mean; the actual interval is drawn by jitter
	compareRetryDelay    = 150 * time.Millisecond // after a comparison that found a difference or got no response, since packets may be lost
	compareRetries       = 2
	replicaComparePeriod = 8 // one in so many comparisons goes to a replica
)

// Limits of membership.
const (
	viewSize        = 16
	minViewSize     = 2               // below it, the node sends shuffles to the seeds
	shuffleSize     = 6               // peers in one shuffle
	shuffleInterval = 2 * time.Second // mean, as for compareInterval
	responseTimeout = 4 * time.Second // a peer that leaves a request unanswered for longer is dropped

	replicaExpiry           = 3 * time.Minute  // a replica without a packet for longer is dropped
	replicaAdvertiseTimeout = 30 * time.Second // a replica without a packet for longer is not advertised to others

	maxLostPeers        = 16 // remembered addresses of dropped peers
	lostPeerProbePeriod = 4  // one in so many shuffle rounds probes an address outside the view
)

// Limits of heartbeats.
const (
	// quorumTimeout is the time without heartbeat packets after which two replicas count as out of contact.
	quorumTimeout = 4 * BroadcastInterval

	maxQueuedHeartbeats = 4096
	heartbeatsPerPacket = 80
)

// Bounds of the wire format.
const (
	// MaxPacketBytes bounds a datagram. It is below the usual Ethernet MTU, so that datagrams are not fragmented.
	MaxPacketBytes = 1400
	// MaxItemBytes bounds the total size of an item's key and body. Larger items are not stored.
	MaxItemBytes = MaxPacketBytes - packetOverhead - itemOverhead

	itemOverhead  = 16 // upper bound of the encoded size of an item without its key and body
	maxItems      = 256
	maxHeartbeats = 512
	maxPeers      = 32  // in a packet; also the maximum number of known replicas
	maxVersions   = 256 // of a range, or of a bucket, in one packet
	maxKeyBytes   = 256
	maxBodyBytes  = 1200

	maxVersionBuckets = 4 // buckets in the response to kindVersions

	rangeHeaderBytes    = 1 + 9 + 2 // depth, prefix and number of versions of a range
	keyHashBytes        = 8
	maxVersionBytes     = 10
	contentHashBytes    = 4
	contentVersionBytes = keyHashBytes + maxVersionBytes + contentHashBytes
	maxRangeItems       = (MaxPacketBytes - packetOverhead - rangeHeaderBytes) / contentVersionBytes // a range with more items is divided
	maxDigestRanges     = (MaxPacketBytes - packetOverhead) / (rangeHeaderBytes + 8*rangeFanout)
	maxVersionRanges    = maxDigestRanges * rangeFanout
	maxRequestedKeys    = (MaxPacketBytes - packetOverhead) / 8
	maxResponsePackets  = 4    // of each kind, in response to one packet
	maxRepairItems      = 2048 // in response to one packet; some 130 datagrams of endpoint records
)
