package gossip

import (
	"errors"
	"net/netip"

	"notchhinge/internal/control/encoding"
)

// A datagram is "nh", the format version, the kind, the sender, and fields that depend on the kind.
const (
	formatVersion  = 2
	prefixBytes    = 4  // before the sender
	packetOverhead = 64 // upper bound of what a packet needs beside its items or versions
)

var errMalformed = errors.New("malformed gossip packet")

// packetKind is the fourth byte of a datagram.
type packetKind uint8

const (
	kindItems         packetKind = iota + 1
	kindBucketDigests            // answer to a root digest that differs
	kindVersions                 // answer to bucket digests that differ, and to versions
	kindShuffle
	kindShuffleReply
	kindUrgentItems // asks for kindAck
	kindAck
	kindHeartbeats
	kindRootDigest
)

// packet is a decoded datagram. Which fields are set depends on its kind.
type packet struct {
	kind packetKind
	from Peer

	items      []Item           // kindItems, kindUrgentItems
	ackID      ackID            // kindUrgentItems, kindAck; 0 = answers a comparison
	heartbeats []Heartbeat      // kindHeartbeats
	audible    []PeerID         // kindHeartbeats of a replica: the replicas that it hears
	peers      []Peer           // kindShuffle, kindShuffleReply
	root       uint64           // kindRootDigest
	digests    []uint64         // kindBucketDigests: one of each bucket
	buckets    []bucketVersions // kindVersions
}

// bucketVersions are the versions of a bucket's items at the sender.
type bucketVersions struct {
	bucket   int
	versions []itemVersion
}

type itemVersion struct {
	key     uint64 // hash
	version uint64
}

func (p *packet) encode() []byte {
	w := encoding.Writer{Buf: make([]byte, 0, 256)}
	w.Buf = append(w.Buf, 'n', 'h', formatVersion, byte(p.kind))
	writePeer(&w, &p.from)
	switch p.kind {
	case kindItems, kindUrgentItems:
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
	case kindShuffle, kindShuffleReply:
		w.Uvarint(uint64(len(p.peers)))
		for i := range p.peers {
			writePeer(&w, &p.peers[i])
		}
	}
	return w.Buf
}

// decode reads a datagram. Only the bodies of items are copied from b; nothing else refers to it.
func decode(b []byte) (*packet, error) {
	if len(b) < prefixBytes || b[0] != 'n' || b[1] != 'h' || b[2] != formatVersion {
		return nil, errMalformed
	}
	p := &packet{kind: packetKind(b[3])}
	r := encoding.Reader{Buf: b[prefixBytes:]}
	p.from = readPeer(&r)
	switch p.kind {
	case kindItems, kindUrgentItems:
		p.ackID = ackID(r.Uvarint())
		p.items = readItems(&r)
	case kindHeartbeats:
		readHeartbeats(&r, p)
	case kindAck:
		p.ackID = ackID(r.Uvarint())
	case kindRootDigest:
		p.root = r.Fixed64()
	case kindBucketDigests:
		p.digests = readDigests(&r)
	case kindVersions:
		var err error
		if p.buckets, err = readVersions(&r); err != nil {
			return nil, err
		}
	case kindShuffle, kindShuffleReply:
		p.peers = readPeers(&r)
	default:
		return nil, errMalformed
	}
	return p, r.Finish()
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
		i := Item{Kind: r.Byte(), Key: r.String(maxKeyBytes), Version: r.Uvarint()}
		i.Body = append([]byte(nil), r.Bytes(maxBodyBytes)...)
		items = append(items, i)
	}
	return items
}

func writeHeartbeats(w *encoding.Writer, p *packet) {
	w.Uvarint(uint64(len(p.audible)))
	for _, id := range p.audible {
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
		p.audible = append(p.audible, PeerID(r.Fixed64()))
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

// Purpose says what a datagram is for.
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
	case kindBucketDigests, kindVersions, kindRootDigest:
		return PurposeAntiEntropy
	case kindShuffle, kindShuffleReply:
		return PurposeShuffle
	}
	return PurposeDissemination
}
