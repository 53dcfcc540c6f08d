package gossip

import (
	"errors"
	"net/netip"

	"notchhinge/internal/control/encoding"
)

// Layout of a datagram: "nh", the format version, the kind, the sender, and the fields of the kind.
const (
	formatVersion  = 2
	prefixBytes    = 4  // before the sender
	packetOverhead = 64 // upper bound of the encoded size of a packet without its items or versions
)

var errMalformed = errors.New("malformed gossip packet")

// packetKind is the fourth byte of a datagram.
type packetKind uint8

const (
	kindItems         packetKind = iota + 1
	kindBucketDigests            // response to a root digest that differs; exchanged with the previous release
	kindVersions                 // response to bucket digests that differ, or to kindVersions; exchanged with the previous release
	kindShuffle
	kindShuffleReply
	kindUrgentItems // answered by kindAck
	kindAck
	kindHeartbeats
	kindRootDigest
	kindRangeDigests  // response to a root digest, or range digests, that differ
	kindRangeVersions // response to range digests that differ
	kindItemRequest   // response to newer versions; answered by kindItems
	kindDurableItems  // sent to peers with FlagStoresItems; answered by kindAck once the items are on the disk
)

// packet is a decoded datagram. The comments list the kinds that use a field.
type packet struct {
	kind packetKind
	from Peer

	items         []Item           // kindItems, kindUrgentItems, kindDurableItems
	ackID         ackID            // kindUrgentItems, kindDurableItems, kindAck; 0 = acknowledges a comparison
	heartbeats    []Heartbeat      // kindHeartbeats
	heardReplicas []PeerID         // kindHeartbeats of a replica: replicas whose heartbeat packets it receives
	peers         []Peer           // kindShuffle, kindShuffleReply
	root          uint64           // kindRootDigest
	digests       []uint64         // kindBucketDigests: by bucket
	buckets       []bucketVersions // kindVersions
	ranges        []rangeDigests   // kindRangeDigests
	versions      []rangeVersions  // kindRangeVersions
	requestedKeys []uint64         // kindItemRequest: key hashes
}

func (p *packet) encode() []byte {
	w := encoding.Writer{Buf: make([]byte, 0, 256)}
	w.Buf = append(w.Buf, 'n', 'h', formatVersion, byte(p.kind))
	writePeer(&w, &p.from)
	switch p.kind {
	case kindItems, kindUrgentItems, kindDurableItems:
		w.Uvarint(uint64(p.ackID))
		writeItems(&w, p.items)
	case kindHeartbeats:
		writeHeartbeats(&w, p)
	case kindAck:
		w.Uvarint(uint64(p.ackID))
	case kindRootDigest:
		w.Fixed64(p.root)
	case kindBucketDigests:
		for _, d := range p.digests {
			w.Fixed64(d)
		}
	case kindVersions:
		writeVersions(&w, p.buckets)
	case kindRangeDigests:
		writeRangeDigests(&w, p.ranges)
	case kindRangeVersions:
		writeRangeVersions(&w, p.versions)
	case kindItemRequest:
		w.Uvarint(uint64(len(p.requestedKeys)))
		for _, hash := range p.requestedKeys {
			w.Fixed64(hash)
		}
	case kindShuffle, kindShuffleReply:
		w.Uvarint(uint64(len(p.peers)))
		for i := range p.peers {
			writePeer(&w, &p.peers[i])
		}
	}
	return w.Buf
}

// decode decodes a datagram. The packet does not refer to b.
func decode(b []byte) (*packet, error) {
	if len(b) < prefixBytes || b[0] != 'n' || b[1] != 'h' || b[2] != formatVersion {
		return nil, errMalformed
	}
	p := &packet{kind: packetKind(b[3])}
	r := encoding.Reader{Buf: b[prefixBytes:]}
	p.from = readPeer(&r)
	switch p.kind {
	case kindItems, kindUrgentItems, kindDurableItems:
		p.ackID = ackID(r.Uvarint())
		p.items = readItems(&r)
	case kindHeartbeats:
		readHeartbeats(&r, p)
	case kindAck:
		p.ackID = ackID(r.Uvarint())
	case kindShuffle, kindShuffleReply:
		p.peers = readPeers(&r)
	default:
		if err := readComparison(&r, p); err != nil {
			return nil, err
		}
	}
	return p, r.Finish()
}

// readComparison reads the fields of a packet that belongs to a comparison.
func readComparison(r *encoding.Reader, p *packet) (err error) {
	switch p.kind {
	case kindRootDigest:
		p.root = r.Fixed64()
	case kindBucketDigests:
		p.digests = readDigests(r)
	case kindVersions:
		p.buckets, err = readVersions(r)
	case kindRangeDigests:
		p.ranges = readRangeDigests(r)
	case kindRangeVersions:
		p.versions = readRangeVersions(r)
	case kindItemRequest:
		for range r.Length(maxRequestedKeys, 8) {
			p.requestedKeys = append(p.requestedKeys, r.Fixed64())
		}
	default:
		err = errMalformed
	}
	if !p.hasValidRanges() {
		err = errMalformed
	}
	return err
}

// hasValidRanges reports whether all ranges of the packet belong to the tree, and those with digests have children.
func (p *packet) hasValidRanges() bool {
	for i := range p.ranges {
		if r := p.ranges[i].keyRange; !r.isValid() || r.depth >= maxRangeDepth {
			return false
		}
	}
	for i := range p.versions {
		if r := p.versions[i].keyRange; !r.isValid() || r.depth == 0 {
			return false
		}
	}
	return true
}

func writeRange(w *encoding.Writer, r keyRange) {
	w.Byte(r.depth)
	w.Uvarint(r.prefix)
}

func readRange(r *encoding.Reader) keyRange { return keyRange{depth: r.Byte(), prefix: r.Uvarint()} }

func writeRangeDigests(w *encoding.Writer, ranges []rangeDigests) {
	w.Uvarint(uint64(len(ranges)))
	for i := range ranges {
		writeRange(w, ranges[i].keyRange)
		for _, d := range ranges[i].digests {
			w.Fixed64(d)
		}
	}
}

func readRangeDigests(r *encoding.Reader) (ranges []rangeDigests) {
	for range r.Length(maxDigestRanges, 2+8*rangeFanout) {
		x := rangeDigests{keyRange: readRange(r)}
		for i := range x.digests {
			x.digests[i] = r.Fixed64()
		}
		ranges = append(ranges, x)
	}
	return ranges
}

func writeRangeVersions(w *encoding.Writer, ranges []rangeVersions) {
	w.Uvarint(uint64(len(ranges)))
	for i := range ranges {
		writeRange(w, ranges[i].keyRange)
		w.Uvarint(uint64(len(ranges[i].versions)))
		for _, v := range ranges[i].versions {
			w.Fixed64(v.keyHash)
			w.Uvarint(v.version)
			w.Fixed32(v.content)
		}
	}
}

func readRangeVersions(r *encoding.Reader) (ranges []rangeVersions) {
	for range r.Length(maxVersionRanges, 3) {
		x := rangeVersions{keyRange: readRange(r)}
		for range r.Length(maxVersions, 13) {
			x.versions = append(x.versions, contentVersion{keyHash: r.Fixed64(), version: r.Uvarint(), content: r.Fixed32()})
		}
		ranges = append(ranges, x)
	}
	return ranges
}

func writePeer(w *encoding.Writer, p *Peer) {
	w.Fixed64(uint64(p.ID))
	a := p.Addr.Addr().As4()
	w.Buf = append(w.Buf, a[:]...)
	w.Uvarint(uint64(p.Addr.Port()))
	w.Uvarint(uint64(p.Zone))
	w.Byte(p.Flags)
}

func readPeer(r *encoding.Reader) (p Peer) {
	p.ID = PeerID(r.Fixed64())
	var a [4]byte
	for i := range a {
		a[i] = r.Byte()
	}
	p.Addr = netip.AddrPortFrom(netip.AddrFrom4(a), uint16(r.Uvarint()))
	p.Zone, p.Flags = uint32(r.Uvarint()), r.Byte()
	return p
}

func readPeers(r *encoding.Reader) (peers []Peer) {
	for range r.Length(maxPeers, 15) {
		peers = append(peers, readPeer(r))
	}
	return peers
}

func readDigests(r *encoding.Reader) (digests []uint64) {
	for range bucketCount {
		digests = append(digests, r.Fixed64())
	}
	return digests
}

func writeItems(w *encoding.Writer, items []Item) {
	w.Uvarint(uint64(len(items)))
	for i := range items {
		w.Byte(items[i].Kind)
		w.String(items[i].Key)
		w.Uvarint(items[i].Version)
		w.Bytes(items[i].Body)
	}
}

func readItems(r *encoding.Reader) (items []Item) {
	for range r.Length(maxItems, 4) {
		item := Item{Kind: r.Byte(), Key: r.String(maxKeyBytes), Version: r.Uvarint()}
		item.Body = append([]byte(nil), r.Bytes(maxBodyBytes)...)
		items = append(items, item)
	}
	return items
}

func writeHeartbeats(w *encoding.Writer, p *packet) {
	w.Uvarint(uint64(len(p.heardReplicas)))
	for _, id := range p.heardReplicas {
		w.Fixed64(uint64(id))
	}
	w.Uvarint(uint64(len(p.heartbeats)))
	for _, h := range p.heartbeats {
		w.Fixed64(h.Key)
		w.Uvarint(h.Sequence)
		w.Uvarint(h.AgeMS)
	}
}

func readHeartbeats(r *encoding.Reader, p *packet) {
	for range r.Length(maxPeers, 8) {
		p.heardReplicas = append(p.heardReplicas, PeerID(r.Fixed64()))
	}
	for range r.Length(maxHeartbeats, 10) {
		p.heartbeats = append(p.heartbeats, Heartbeat{Key: r.Fixed64(), Sequence: r.Uvarint(), AgeMS: r.Uvarint()})
	}
}

func writeVersions(w *encoding.Writer, buckets []bucketVersions) {
	w.Uvarint(uint64(len(buckets)))
	for _, b := range buckets {
		w.Byte(byte(b.bucket))
		w.Uvarint(uint64(len(b.versions)))
		for _, v := range b.versions {
			w.Fixed64(v.key)
			w.Uvarint(v.version)
		}
	}
}

func readVersions(r *encoding.Reader) (buckets []bucketVersions, err error) {
	for range r.Length(bucketCount, 2) {
		b := bucketVersions{bucket: int(r.Byte())}
		if b.bucket >= bucketCount {
			return nil, errMalformed
		}
		for range r.Length(maxVersions, 9) {
			b.versions = append(b.versions, itemVersion{key: r.Fixed64(), version: r.Uvarint()})
		}
		buckets = append(buckets, b)
	}
	return buckets, nil
}

// Purpose classifies datagrams.
type Purpose uint8

const (
	// PurposeDissemination covers items, heartbeats and acknowledgements.
	PurposeDissemination Purpose = iota
	// PurposeAntiEntropy covers digests and versions.
	PurposeAntiEntropy
	// PurposeShuffle covers shuffles and their answers.
	PurposeShuffle
)

// PurposeOf returns the purpose of an encoded datagram.
func PurposeOf(b []byte) Purpose {
	if len(b) < prefixBytes {
		return PurposeDissemination
	}
	switch packetKind(b[3]) {
	case kindBucketDigests, kindVersions, kindRootDigest, kindRangeDigests, kindRangeVersions, kindItemRequest:
		return PurposeAntiEntropy
	case kindShuffle, kindShuffleReply:
		return PurposeShuffle
	}
	return PurposeDissemination
}
