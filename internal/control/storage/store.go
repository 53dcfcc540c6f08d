package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/syndtr/goleveldb/leveldb"
	leveldberrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	leveldbstorage "github.com/syndtr/goleveldb/leveldb/storage"
	"github.com/syndtr/goleveldb/leveldb/util"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/limits"
)

// folder is the subdirectory of the data directory that holds the database.
const folder = "state"

// Identity identifies the replica that a store belongs to. It is written when the store is created.
type Identity struct {
	ID        uint64 // replog.Member.ID; never 0
	IsFounder bool   // the store was created at the first start of the fleet
}

// Recovered is the content of a store when it was opened.
type Recovered struct {
	Identity
	State     replog.State // of all chosen entries
	Acceptor  paxos.AcceptorState
	Endpoints []endpoints.Record // draining and deregistered endpoints
}

// Store is an open store. It is not safe for concurrent use.
type Store struct {
	openFiles func() (leveldbstorage.Storage, error)
	files     leveldbstorage.Storage // files of db
	db        *leveldb.DB            // nil while closed

	snapshotIndex uint64 // NextIndex of the snapshot
	entries       int    // number of entries since the snapshot
	entryBytes    int    // total size of these entries
	hasCompacted  bool   // this process has written a snapshot, so that no entry below snapshotIndex remains
}

// options limits the memory of the database, because it may run on a small machine.
var options = opt.Options{
	WriteBuffer: 512 << 10, BlockCacheCapacity: 256 << 10, OpenFilesCacheCapacity: 16, CompactionTableSize: 1 << 20,
	DisableSeeksCompaction: true, NoSync: false,
}

var errClosed = errors.New("database is closed")

// Open opens the store in a data directory. If the directory or the store does not exist, it creates them with newIdentity.
func Open(dir string, newIdentity Identity) (*Store, *Recovered, error) {
	s, r, err := openDir(dir, newIdentity)
	if err != nil {
		return nil, nil, fmt.Errorf("open store %s: %w", dir, err)
	}
	return s, r, nil
}

func openDir(dir string, newIdentity Identity) (*Store, *Recovered, error) {
	path := filepath.Join(dir, folder)
	_, err := os.Stat(dir)
	isNew := errors.Is(err, os.ErrNotExist)
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, nil, err
	}
	err = syncDir(dir)
	if isNew { // the name of dir must be durable as well
		err = errors.Join(err, syncDir(filepath.Dir(dir)))
	}
	if err != nil {
		return nil, nil, err
	}
	return openWith(func() (leveldbstorage.Storage, error) {
		files, err := leveldbstorage.OpenFile(path, false)
		if err != nil {
			return nil, err
		}
		return SyncNames(files, func() error { return syncDir(path) }), nil
	}, newIdentity)
}

// OpenFiles is like Open, with files from openFiles, such as those of a simulated disk. Reopen calls openFiles again.
func OpenFiles(openFiles func() (leveldbstorage.Storage, error), newIdentity Identity) (*Store, *Recovered, error) {
	s, r, err := openWith(openFiles, newIdentity)
	if err != nil {
		return nil, nil, fmt.Errorf("open store: %w", err)
	}
	return s, r, nil
}

func openWith(openFiles func() (leveldbstorage.Storage, error), newIdentity Identity) (*Store, *Recovered, error) {
	s := &Store{openFiles: openFiles}
	if err := s.openDB(); err != nil {
		return nil, nil, err
	}
	r, err := s.readRecords(newIdentity)
	if err != nil {
		return nil, nil, errors.Join(err, s.Close())
	}
	return s, r, nil
}

func (s *Store) openDB() error {
	files, err := s.openFiles()
	if err != nil {
		return err
	}
	o := options
	db, err := leveldb.Open(files, &o)
	if leveldberrors.IsCorrupted(err) { // corrupt manifest after a power loss; Recover reads the synced journals again
		db, err = leveldb.Recover(files, &o)
	}
	if err != nil {
		return errors.Join(err, files.Close())
	}
	s.db, s.files = db, files
	return nil
}

// Reopen opens the database again after a failed write. Such a write makes the database read-only, even after its cause is
// resolved. Every write that returned nil is preserved; the caller must repeat the failed one.
func (s *Store) Reopen() error {
	_ = s.Close() // may return the error of the failed write again
	if err := s.openDB(); err != nil {
		return fmt.Errorf("reopen store: %w", err)
	}
	return nil
}

// Close closes the store. A second Close does nothing.
func (s *Store) Close() error {
	if s.db == nil {
		return nil
	}
	err := errors.Join(s.db.Close(), s.files.Close())
	s.db = nil
	return err
}

// SaveAcceptor writes the acceptor state. The acceptor must not send its response until SaveAcceptor has returned nil.
func (s *Store) SaveAcceptor(a paxos.AcceptorState) error {
	if err := s.put(keyAcceptor, encodeAcceptor(&a)); err != nil {
		return fmt.Errorf("save acceptor state: %w", err)
	}
	return nil
}

// AppendChosen writes the chosen value of index state.NextIndex-1; state must include it. It writes nothing if the snapshot
// already includes the entry, because a write that is repeated after Reopen may be older than the snapshot.
func (s *Store) AppendChosen(value []byte, state *replog.State) error {
	if state.NextIndex <= s.snapshotIndex && s.db != nil {
		return nil
	}
	s.entries++
	s.entryBytes += len(value)
	if s.entries >= limits.LogTailEntries || s.entryBytes >= limits.LogTailBytes {
		return s.SaveSnapshot(state)
	}
	index := state.NextIndex - 1
	if err := s.put(entryKey(index), value); err != nil {
		return fmt.Errorf("append entry %d: %w", index, err)
	}
	return nil
}

// SaveSnapshot writes state as the snapshot and removes the entries that it includes.
func (s *Store) SaveSnapshot(state *replog.State) error {
	if err := s.saveSnapshot(state); err != nil {
		return fmt.Errorf("save snapshot: %w", err)
	}
	return nil
}

func (s *Store) saveSnapshot(state *replog.State) error {
	if s.db == nil {
		return errClosed
	}
	batch := new(leveldb.Batch)
	batch.Put(keySnapshot, state.Encode())
	entries := util.BytesPrefix(entryPrefix)
	if s.hasCompacted { // skip the tombstones of entries that earlier snapshots removed
		entries.Start = entryKey(s.snapshotIndex)
	}
	it := s.db.NewIterator(entries, nil)
	for it.Next() {
		batch.Delete(append([]byte{}, it.Key()...))
	}
	it.Release()
	if err := it.Error(); err != nil {
		return err
	}
	if err := s.db.Write(batch, &opt.WriteOptions{Sync: true}); err != nil {
		return err
	}
	s.entries, s.entryBytes, s.snapshotIndex, s.hasCompacted = 0, 0, state.NextIndex, true
	return nil
}

// ChosenValue returns the chosen value of an index. It returns false if the snapshot includes the entry, if there is no entry, or
// if it cannot be read.
func (s *Store) ChosenValue(index uint64) ([]byte, bool) {
	if index < s.snapshotIndex {
		return nil, false
	}
	b, err := s.get(entryKey(index))
	return b, err == nil && b != nil
}

// get returns the value of a key, or nil if the key does not exist.
func (s *Store) get(key []byte) ([]byte, error) {
	if s.db == nil {
		return nil, errClosed
	}
	b, err := s.db.Get(key, nil)
	if errors.Is(err, leveldb.ErrNotFound) {
		return nil, nil
	}
	return b, err
}

func (s *Store) put(key, value []byte) error {
	if s.db == nil {
		return errClosed
	}
	return s.db.Put(key, value, &opt.WriteOptions{Sync: true})
}
