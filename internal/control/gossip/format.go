package gossip

import (
	"errors"
	"net/netip"

	"notchhinge/internal/control/form"
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
	Keeper uint8 = 1 << iota // it holds the state
	Edge                     // it carries traffic
)

// Item is a piece of news that is kept and compared: of one key the higher version stands, and of two bodies of one version
// the greater.
type Item struct {
	Kind    uint8
	Key     string
	Version uint64
	Body    []byte
}

// Sign is a sign of life: a call of what a key names was heard so long ago.
type Sign struct {
	Key   uint64 // a hash of the key
	Count uint64
	AgeMS uint64
}

// packet is what goes over the wire.
type packet struct {
	kind  uint8
	from  Peer
	items []Item
	signs []Sign
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
	// MostPacket is the longest datagram: below what any link here splits up.
	MostPacket = 1400
	mostItems  = 256
	mostSigns  = 512
	mostPeers  = 32
	mostHaves  = 256
	mostKey    = 256
	mostBody   = 1200
)

var errForm = errors.New("gossip: not of this format")

func writePeer(w *form.Writer, p *Peer) {
	w.Word(p.ID)
	a := p.Addr.Addr().As4()
	w.B = append(w.B, a[:]...)
	w.Uint(uint64(p.Addr.Port()))
	w.Uint(uint64(p.Zone))
	w.Byte(p.Flags)
}

func readPeer(r *form.Reader) (p Peer) {
	p.ID = r.Word()
	var a [4]byte
	for i := range a {
		a[i] = r.Byte()
	}
	p.Addr = netip.AddrPortFrom(netip.AddrFrom4(a), uint16(r.Uint()))
	p.Zone, p.Flags = uint32(r.Uint()), r.Byte()
	return p
}

func writeItem(w *form.Writer, i *Item) {
	w.Byte(i.Kind)
	w.String(i.Key)
	w.Uint(i.Version)
	w.Bytes(i.Body)
}

func (i *Item) size() int { return len(i.Key) + len(i.Body) + 16 }

func (p *packet) encode() []byte {
	w := form.Writer{B: make([]byte, 0, 256)}
	w.B = append(w.B, 'n', 'h', formVersion, p.kind)
	writePeer(&w, &p.from)
	switch p.kind {
	case kindNews, kindUrgent:
		w.Uint(p.confirm)
		w.Uint(uint64(len(p.items)))
		for i := range p.items {
			writeItem(&w, &p.items[i])
		}
	case kindSigns:
		w.Uint(uint64(len(p.hears)))
		for _, id := range p.hears {
			w.Word(id)
		}
		w.Uint(uint64(len(p.signs)))
		for _, s := range p.signs {
			w.Word(s.Key)
			w.Uint(s.Count)
			w.Uint(s.AgeMS)
		}
	case kindConfirm:
		w.Uint(p.confirm)
	case kindRoot:
		w.Word(p.root)
	case kindDigest:
		for _, b := range p.buckets {
			w.Word(b)
		}
	case kindWant:
		w.Uint(uint64(len(p.wants)))
		for _, x := range p.wants {
			w.Byte(byte(x.bucket))
			w.Uint(uint64(len(x.have)))
			for _, h := range x.have {
				w.Word(h.key)
				w.Uint(h.version)
			}
		}
	case kindShuffle, kindShuffled:
		w.Uint(uint64(len(p.peers)))
		for i := range p.peers {
			writePeer(&w, &p.peers[i])
		}
	}
	return w.B
}

func decode(b []byte) (*packet, error) {
	if len(b) < 4 || b[0] != 'n' || b[1] != 'h' || b[2] != formVersion {
		return nil, errForm
	}
	p := &packet{kind: b[3]}
	r := form.Reader{B: b[4:]}
	p.from = readPeer(&r)
	switch p.kind {
	case kindNews, kindUrgent:
		p.confirm = r.Uint()
		for range r.Count(mostItems, 4) {
			i := Item{Kind: r.Byte(), Key: r.String(mostKey), Version: r.Uint()}
			i.Body = append([]byte(nil), r.Bytes(mostBody)...)
			p.items = append(p.items, i)
		}
	case kindSigns:
		for range r.Count(mostPeers, 8) {
			p.hears = append(p.hears, r.Word())
		}
		for range r.Count(mostSigns, 10) {
			p.signs = append(p.signs, Sign{r.Word(), r.Uint(), r.Uint()})
		}
	case kindConfirm:
		p.confirm = r.Uint()
	case kindRoot:
		p.root = r.Word()
	case kindDigest:
		for range buckets {
			p.buckets = append(p.buckets, r.Word())
		}
	case kindWant:
		for range r.Count(buckets, 2) {
			x := want{bucket: int(r.Byte())}
			if x.bucket >= buckets {
				return nil, errForm
			}
			for range r.Count(mostHaves, 9) {
				x.have = append(x.have, have{r.Word(), r.Uint()})
			}
			p.wants = append(p.wants, x)
		}
	case kindShuffle, kindShuffled:
		for range r.Count(mostPeers, 15) {
			p.peers = append(p.peers, readPeer(&r))
		}
	default:
		return nil, errForm
	}
	return p, r.End()
}
