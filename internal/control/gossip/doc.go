// Package gossip disseminates versioned items and heartbeats between the processes of a fleet without a full membership list
// at any of them. It is a reducer: pure, given a clock and a seed. Events go in through [Node.Reduce], effects come out; the
// caller owns the socket and the timer.
//
// # What a node owns
//
//   - A partial view of up to 16 peers (view.go), refreshed by shuffles with the peer that was heard longest ago (shuffle.go),
//     after Cyclon (Voulgaris, Gavidia, van Steen, 2005). A peer that leaves a request unanswered for 4 s is dropped. Addresses
//     of dropped peers are remembered and probed, so that partitions that have forgotten each other merge again.
//   - The replicas of the control plane's state, beside the view: they are few, and every process needs them (replicas.go).
//   - Items, each with a key, a version and a body. Of one key the higher version wins, then the greater body. What an item
//     means is up to the owner of its kind.
//
// # How items spread
//
// New items go to [Fanout] random peers of the view every [BroadcastInterval], which pass on what is new to them (rumor
// mongering, broadcast.go). Urgent items go out at once, to peers of different roles and zones, and are acknowledged (urgent.go).
// Gaps close by anti-entropy (antientropy.go): two nodes compare a root digest, then digests of ranges of key hashes down a tree
// (ranges.go), as in a Merkle tree, to ranges of few items whose versions they compare, and send what the other lacks. Digests
// cover all of an item. Both parts follow Demers et al., Epidemic Algorithms for Replicated Database Maintenance (1987). With nodes
// of the previous release the tree has one level and digests do not cover bodies (legacy.go).
//
// # Heartbeats
//
// Heartbeats of endpoints go to the replicas alone, once, and are not reconciled: there are as many as endpoints, and few
// nodes need them (heartbeats.go). A replica that hears two others that do not hear each other relays between them. The same
// packets tell a replica whether it is in contact with a majority of the voters, in both directions (quorum.go).
//
// # Promises and assumptions
//
// The traffic of an idle node does not depend on the size of the fleet. No datagram exceeds [MaxPacketBytes].
// Datagrams may be lost, duplicated, delayed and reordered. Malformed datagrams are ignored; peers are trusted otherwise.
// Peer ids are unique, and never zero. Times are durations on the caller's steady clock.
package gossip
