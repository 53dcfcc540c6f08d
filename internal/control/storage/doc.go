// Package storage persists the state of a replica: its identity, its acceptor state and the log.
//
// # Records
//
// A store is a LevelDB database in the subdirectory "state" of the data directory. It has these records:
//
//	identity        Identity, written when the store is created
//	vote            paxos.AcceptorState, overwritten by SaveAcceptor
//	state           snapshot, the replog.State of all entries below its NextIndex
//	place/<index>   chosen value of an index that is not in the snapshot; the index is 8 bytes, big-endian
//	endpoint/<id>   endpoints.Record of an endpoint that drains or has deregistered; earlier releases ignore it
//
// AppendChosen replaces the entries by a new snapshot once they reach limits.LogTailEntries or limits.LogTailBytes. The keys "vote"
// and "place/" differ from the terms of the code, and stay because they are on disk.
//
// # Durability
//
// Each write is synced before its method returns. A snapshot and the removal of its entries are one atomic batch. A replica may
// therefore send a response that depends on a write as soon as the method has returned nil. After a crash of the process or a
// power loss, Open recovers every write that returned nil. A write that was in progress is either complete or absent.
//
// After a failed write the database rejects further writes, and it is unknown whether the failed write was persisted. The replica
// must not respond as an acceptor until Reopen has succeeded and the write has been repeated.
//
// A backup (EncodeBackup) is a state in a file. RestoreBackup creates a store from it after all replicas were lost.
package storage
