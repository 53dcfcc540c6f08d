// Package gossip disseminates versioned items and heartbeats among the processes of a fleet. No process holds the full
// membership list. The package is a pure state machine: given a clock and a seed, events go in through [Node.Reduce] and
// effects come out. The caller owns the socket and the timer.
//
// # State of a node
//
//   - A partial view of up to 16 peers (view.go). The node refreshes it by shuffles with the peer whose last packet is the
//     oldest (shuffle.go), after Cyclon (Voulgaris, Gavidia, van Steen, 2005). A peer that leaves a request unanswered for 4 s is
//     dropped. The node remembers the addresses of dropped peers and probes them, so that partitions merge again even if
//     neither side has a peer of the other left in its view.
//   - The replicas of the control plane's state. They are kept in addition to the view, because they are few and every process
//     needs them (replicas.go).
//   - Items, each with a key, a version and a body. For one key the higher version wins; for equal versions, the greater body.
//     The package that defines a kind of item interprets it.
//
// # How items spread
//
// Every [BroadcastInterval] a node sends new items to [Fanout] random peers of its view, which pass on the items that are new to
// them (rumor mongering, broadcast.go). Urgent items are sent at once to peers of different roles and zones, which acknowledge
// them (urgent.go), the replicas after the items are on their disks where the broadcast asks for it (durable.go). Anti-entropy
// repairs gaps (antientropy.go): two nodes compare a root digest, then descend a tree of digests of key-hash ranges, as in a
// Merkle tree (ranges.go). For ranges with few items they compare versions, and each sends the items that the other lacks. A
// digest covers an item's key, kind, version and body. Both parts follow Demers et al., Epidemic Algorithms for Replicated
// Database Maintenance (1987). With nodes of the previous release the tree has one level and digests do not cover bodies
// (legacy.go).
//
// # Heartbeats
//
// Heartbeats of endpoints are sent once, to the replicas only, and are not reconciled: their volume grows with the number of
// endpoints, and only the replicas use them (heartbeats.go). If two replicas do not receive each other's packets, a third one relays
// between them. The same packets show a replica whether it is in contact with a majority of the voters, in both directions
// (quorum.go).
//
// # Guarantees and assumptions
//
// The traffic of an idle node does not depend on the size of the fleet. No datagram exceeds [MaxPacketBytes].
// Datagrams may be lost, duplicated, delayed and reordered. Malformed datagrams are ignored; otherwise peers are trusted.
// Peer ids are unique and not zero. Times are durations on the caller's monotonic clock.
package gossip
