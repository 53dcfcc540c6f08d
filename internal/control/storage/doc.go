// Package storage keeps a replica's state on its disk: its identity, its acceptor state, and the log. It decides nothing.
//
// # Records
//
// A store is a LevelDB database in the folder "state" of the data directory. It has these records:
//
//	identity        Identity, written once
//	vote            paxos.AcceptorState, overwritten by SaveAcceptor
//	state           snapshot: the replog.State of all entries below its NextIndex
//	place/<index>   value that was chosen for an index, from the snapshot's NextIndex on; the index is 8 bytes, big-endian
//
// AppendChosen replaces the entries by a new snapshot once limits.LogTailEntries of them, or limits.LogTailBytes, have
// accumulated. The names of the records are older than the terms used here, and stay: they are on disk.
//
// # Durability
//
// Each write is synced before its method returns, and a snapshot and the removal of its entries are one atomic batch. A
// replica may therefore send a response that depends on a write as soon as the method has returned nil. After a crash of the
// process or a loss of power, Open finds every write that returned nil. A write that was under way is there whole or not at
// all.
//
// After a failed write the database takes no more of them. What it holds of the failed one is unknown, and the replica must
// not answer as an acceptor, until Reopen has succeeded and the write has been repeated.
//
// A backup (EncodeBackup) is a state in a file, from which RestoreBackup makes a store after all replicas were lost.
package storage
