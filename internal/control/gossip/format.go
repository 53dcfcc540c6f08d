package gossip

import (
	"errors"
	"net/netip"

	"notchhinge/internal/control/encoding"
)

// Peer is how processes know each other.
type Peer struct {
	ID    uint64         // of the name
	Addr  netip.AddrPort // of calls and datagrams alike
	Zone  uint32         // a hash of its name
	Flags uint8
}

// The flags of a peer.
const (
	FlagReplica uint8 = 1 << iota // it holds the state
	FlagRouter                    // it carries traffic
)

// Item is a piece of news that is kept and compared: of one key the higher version stands, and of two bodies of one version
// the greater.
type Item struct {
	Kind    uint8
	Key     string
	Version uint64
	Body    []byte
}

// Heartbeat is a sign of life: a call of what a key names was heard so long ago.
type Heartbeat struct {
	Key      uint64 // a hash of the key
	Sequence uint64
	AgeMS    uint64
}

// packet is what goes over the wire.
type packet struct {
	kind  uint8
	from  Peer
	items []Item
	signs []Heartbeat
	peers []Peer
	// Of a digest: the hash of each bucket of items. Of want: the buckets that differ, with the versions in them.
	buckets []uint64
	root    uint64
	wants   []want
	confirm uint64   // of urgent news: the number that the answer carries
	hears   []uint64 // of signs from a keeper: the keepers that it has heard lately
}

// want is a bucket as its sender has it.
type want struct {
	bucket int
	have   []have
}

type have struct {
	key     uint64 // a hash
	version uint64
}

// The kinds of packets: news; a digest by buckets; the answer to one; peers to shuffle and the answer; news that wants a word back,
// and that word; signs of life; a digest of all at once.
const (
	kindNews uint8 = iota + 1
	kindDigest
	kindWant
	kindShuffle
	kindShuffled
	kindUrgent
	kindConfirm
	kindSigns
	kindRoot
)

const (
	formVersion = 2
	buckets     = 32
	// MaxPacketBytes is the longest datagram: below what any link here splits up.
	MaxPacketBytes = 1400
	mostItems      = 256
	mostSigns      = 512
	mostPeers      = 32
	mostHaves      = 256
	mostKey        = 256
	mostBody       = 1200
)

var errForm = errors.New("gossip: not of this format")

func writePeer(w *encoding.Writer, p *Peer) {
	w.Fixed64(p.ID)
	a := p.Addr.Addr().As4()
	w.Buf = append(w.Buf, a[:]...)
	w.Uvarint(uint64(p.Addr.Port()))
	w.Uvarint(uint64(p.Zone))
	w.Byte(p.Flags)
}

func readPeer(r *encoding.Reader) (p Peer) {
	p.ID = r.Fixed64()
	var a [4]byte
	for i := range a {
		a[i] = r.Byte()
	}
	p.Addr = netip.AddrPortFrom(netip.AddrFrom4(a), uint16(r.Uvarint()))
	p.Zone, p.Flags = uint32(r.Uvarint()), r.Byte()
	return p
}

func writeItem(w *encoding.Writer, i *Item) {
	w.Byte(i.Kind)
	w.String(i.Key)
	w.Uvarint(i.Version)
	w.Bytes(i.Body)
}

func (i *Item) size() int { return len(i.Key) + len(i.Body) + 16 }

func (p *packet) encode() []byte {
	w := encoding.Writer{Buf: make([]byte, 0, 256)}
	w.Buf = append(w.Buf, 'n', 'h', formVersion, p.kind)
	writePeer(&w, &p.from)
	switch p.kind {
	case kindNews, kindUrgent:
		w.Uvarint(p.confirm)
		w.Uvarint(uint64(len(p.items)))
		for i := range p.items {
			writeItem(&w, &p.items[i])
		}
	case kindSigns:
		w.Uvarint(uint64(len(p.hears)))
		for _, id := range p.hears {
			w.Fixed64(id)
		}
		w.Uvarint(uint64(len(p.signs)))
		for _, s := range p.signs {
			w.Fixed64(s.Key)
			w.Uvarint(s.Sequence)
			w.Uvarint(s.AgeMS)
		}
	case kindConfirm:
		w.Uvarint(p.confirm)
	case kindRoot:
		w.Fixed64(p.root)
	case kindDigest:
		for _, b := range p.buckets {
			w.Fixed64(b)
		}
	case kindWant:
		w.Uvarint(uint64(len(p.wants)))
		for _, x := range p.wants {
			w.Byte(byte(x.bucket))
			w.Uvarint(uint64(len(x.have)))
			for _, h := range x.have {
				w.Fixed64(h.key)
				w.Uvarint(h.version)
			}
		}
	case kindShuffle, kindShuffled:
		w.Uvarint(uint64(len(p.peers)))
		for i := range p.peers {
			writePeer(&w, &p.peers[i])
		}
	}
	return w.Buf
}

func decode(b []byte) (*packet, error) {
	if len(b) < 4 || b[0] != 'n' || b[1] != 'h' || b[2] != formVersion {
		return nil, errForm
	}
	p := &packet{kind: b[3]}
	r := encoding.Reader{Buf: b[4:]}
	p.from = readPeer(&r)
	switch p.kind {
	case kindNews, kindUrgent:
		p.confirm = r.Uvarint()
		for range r.Length(mostItems, 4) {
			i := Item{Kind: r.Byte(), Key: r.String(mostKey), Version: r.Uvarint()}
			i.Body = append([]byte(nil), r.Bytes(mostBody)...)
			p.items = append(p.items, i)
		}
	case kindSigns:
		for range r.Length(mostPeers, 8) {
			p.hears = append(p.hears, r.Fixed64())
		}
		for range r.Length(mostSigns, 10) {
			p.signs = append(p.signs, Heartbeat{r.Fixed64(), r.Uvarint(), r.Uvarint()})
		}
	case kindConfirm:
		p.confirm = r.Uvarint()
	case kindRoot:
		p.root = r.Fixed64()
	case kindDigest:
		for range buckets {
			p.buckets = append(p.buckets, r.Fixed64())
		}
	case kindWant:
		for range r.Length(buckets, 2) {
			x := want{bucket: int(r.Byte())}
			if x.bucket >= buckets {
				return nil, errForm
			}
			for range r.Length(mostHaves, 9) {
				x.have = append(x.have, have{r.Fixed64(), r.Uvarint()})
			}
			p.wants = append(p.wants, x)
		}
	case kindShuffle, kindShuffled:
		for range r.Length(mostPeers, 15) {
			p.peers = append(p.peers, readPeer(&r))
		}
	default:
		return nil, errForm
	}
	return p, r.Finish()
}
