package gossip

import (
	"net/netip"
	"testing"
	"time"
)

func FuzzPacket(f *testing.F) {
	n := New(Peer{ID: 1, Addr: netip.MustParseAddrPort("10.0.0.1:7000")}, 1)
	p := packet{kind: kindItems, from: n.self, items: []Item{{Kind: 1, Key: "k", Version: 2, Body: []byte("x")}}}
	f.Add(p.encode())
	p = packet{kind: kindHeartbeats, from: n.self, heardReplicas: []PeerID{4}, heartbeats: []Heartbeat{{Key: 1, Sequence: 2, AgeMS: 3}}}
	f.Add(p.encode())
	for kind := kindItems; kind <= kindItemRequest; kind++ {
		p := packet{
			kind: kind, from: Peer{ID: 2, Addr: netip.MustParseAddrPort("10.0.0.2:7000")}, peers: []Peer{n.self},
			digests: make([]uint64, bucketCount), buckets: []bucketVersions{{3, []itemVersion{{1, 2}}}},
			ranges:   []rangeDigests{{keyRange{1, 3}, [rangeFanout]uint64{1}}},
			versions: []rangeVersions{{keyRange{2, 70}, []contentVersion{{1, 2, 3}}}}, requestedKeys: []uint64{5},
		}
		f.Add(p.encode())
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := decode(b)
		if err != nil {
			return
		}
		if _, err := decode(p.encode()); err != nil {
			t.Errorf("cannot decode a packet that was decoded and encoded again: %v", err)
		}
		n := New(Peer{ID: 1, Addr: netip.MustParseAddrPort("10.0.0.1:7000")}, 1)
		n.Reduce(time.Second, PacketReceived{b})
		n.Reduce(time.Minute, Tick{})
	})
}
