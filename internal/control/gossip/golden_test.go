package gossip

import (
	"encoding/binary"
	"net/netip"
	"testing"

	"notchhinge/internal/testutil/golden"
)

// TestGoldenPackets checks that the encoding of each kind of datagram does not change: processes of two releases exchange them.
func TestGoldenPackets(t *testing.T) {
	from := Peer{ID: 0x0102030405060708, Addr: netip.MustParseAddrPort("10.1.2.3:7001"), Zone: 0x89abcdef, Flags: FlagReplica}
	others := []Peer{
		{ID: 7, Addr: netip.MustParseAddrPort("192.168.0.255:65535"), Zone: 1, Flags: FlagRouter},
		{ID: 1 << 63, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Flags: FlagReplica | FlagRouter},
		{ID: 9, Addr: netip.MustParseAddrPort("10.0.0.9:7000"), Zone: 2},
	}
	items := []Item{
		{Kind: 1, Key: "e/engine-1", Version: 300, Body: []byte("a record")}, {Kind: 4, Key: "q/engine-1", Version: 1<<60 | 1},
	}
	digests := make([]uint64, bucketCount)
	for i := range digests {
		digests[i] = uint64(i) * 0x0101010101010101
	}
	for name, p := range map[string]*packet{
		"updates":              {kind: kindItems, from: from, items: items},
		"updates-acknowledged": {kind: kindUrgentItems, from: from, items: items[:1], ackID: 300},
		"updates-durable":      {kind: kindDurableItems, from: from, items: items[:1], ackID: 300},
		"acknowledgement":      {kind: kindAck, from: from, ackID: 300},
		"heartbeats": {kind: kindHeartbeats, from: from, heardReplicas: []PeerID{7, 1 << 63}, heartbeats: []Heartbeat{
			{Key: 0x1122334455667788, Sequence: 12, AgeMS: 400}, {Key: 1, Sequence: 1 << 40},
		}},
		"digest":               {kind: kindRootDigest, from: from, root: 0xfedcba9876543210},
		"digest-buckets":       {kind: kindBucketDigests, from: from, digests: digests},
		"repair-request":       {kind: kindVersions, from: from, buckets: []bucketVersions{{bucket: 31, versions: []itemVersion{{1, 2}, {1 << 63, 300}}}, {bucket: 0}}},
		"range-digests":        {kind: kindRangeDigests, from: from, ranges: []rangeDigests{{rootRange, [rangeFanout]uint64(digests)}, {keyRange{2, 1023}, [rangeFanout]uint64{1}}}},
		"range-versions":       {kind: kindRangeVersions, from: from, versions: []rangeVersions{{keyRange{1, 31}, []contentVersion{{1, 2, 3}, {1 << 63, 300, 1 << 31}}}, {keyRange{3, 0}, nil}}},
		"item-request":         {kind: kindItemRequest, from: from, requestedKeys: []uint64{1, 1 << 63}},
		"peer-exchange":        {kind: kindShuffle, from: from, peers: others},
		"peer-exchange-answer": {kind: kindShuffleReply, from: from, peers: others[:1]},
	} {
		t.Run(name, func(t *testing.T) {
			golden.RoundTrip(t, name+".hex", p, (*packet).encode, decode)
		})
	}
}

// TestGoldenDigests checks that digests do not change. Two releases with different digests would exchange all items in each comparison.
func TestGoldenDigests(t *testing.T) {
	n := New(Peer{ID: 1, Addr: netip.MustParseAddrPort("10.0.0.1:7000")}, 1)
	for _, i := range []Item{
		{Kind: 1, Key: "e/engine-1", Version: 300, Body: []byte("a record")},
		{Kind: 2, Key: "configuration", Version: 7},
		{Kind: 3, Key: "forgets", Version: 1 << 40},
		{Kind: 4, Key: "q/engine-1", Version: 1<<60 | 1},
	} {
		n.items.merge(i)
	}
	content := binary.BigEndian.AppendUint64(nil, n.items.rootDigest(true))
	for _, d := range n.items.digests {
		content = binary.BigEndian.AppendUint64(content, d)
	}
	golden.Check(t, "digests-of-contents.hex", content)
	b := binary.BigEndian.AppendUint64(nil, n.items.rootDigest(false))
	for _, d := range n.items.legacyDigests {
		b = binary.BigEndian.AppendUint64(b, d)
	}
	b = binary.BigEndian.AppendUint64(b, Hash("e/engine-1"))
	b = binary.BigEndian.AppendUint64(b, CombineHashes(1, 2))
	golden.Check(t, "digests-of-items.hex", b)
}
