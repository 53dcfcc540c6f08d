package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/syndtr/goleveldb/leveldb"
	lerrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	leveldbstorage "github.com/syndtr/goleveldb/leveldb/storage"
	"github.com/syndtr/goleveldb/leveldb/util"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/limits"
)

// folder is the name of the database's folder in the data directory.
const folder = "state"

// Identity is whom a disk belongs to. It is written when the disk is first used.
type Identity struct {
	ID        uint64 // replog.Member.ID; never 0
	IsFounder bool   // the disk was empty at the very first start of the fleet
}

// Recovered is what Open has found on the disk.
type Recovered struct {
	Identity
	State    replog.State // of all chosen entries
	Acceptor paxos.AcceptorState
}

// Store is an open store. It is not safe for concurrent use.
type Store struct {
	openFiles func() (leveldbstorage.Storage, error)
	files     leveldbstorage.Storage // that db is on
	db        *leveldb.DB            // nil while closed

	snapshotIndex uint64 // NextIndex of the snapshot
	entries       int    // appended since the snapshot
	entryBytes    int    // of them
	hasCompacted  bool   // this process has written a snapshot: no entry below snapshotIndex is left
}

// options bounds the database's memory: the state is small, and so may be the machine.
var options = opt.Options{
	WriteBuffer: 512 << 10, BlockCacheCapacity: 256 << 10, OpenFilesCacheCapacity: 16, CompactionTableSize: 1 << 20,
	DisableSeeksCompaction: true, NoSync: false,
}

var errClosed = errors.New("the database is closed: it could not be opened again yet")

// Open opens the store in a data directory, or creates both; a new store gets the identity newIdentity.
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
	return openOn(func() (leveldbstorage.Storage, error) {
		files, err := leveldbstorage.OpenFile(path, false)
		if err != nil {
			return nil, err
		}
		return SyncNames(files, func() error { return syncDir(path) }), nil
	}, newIdentity)
}

// OpenFiles is Open for a database on other files, such as a simulated disk. openFiles is called again by Reopen.
func OpenFiles(openFiles func() (leveldbstorage.Storage, error), newIdentity Identity) (*Store, *Recovered, error) {
	s, r, err := openOn(openFiles, newIdentity)
	if err != nil {
		return nil, nil, fmt.Errorf("open store: %w", err)
	}
	return s, r, nil
}

func openOn(openFiles func() (leveldbstorage.Storage, error), newIdentity Identity) (*Store, *Recovered, error) {
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
	if lerrors.IsCorrupted(err) { // a manifest torn by a loss of power; Recover reads the synced journals again
		db, err = leveldb.Recover(files, &o)
	}
	if err != nil {
		return errors.Join(err, files.Close())
	}
	s.db, s.files = db, files
	return nil
}

// Reopen opens the database again after a failed write, which has made it read-only even if the disk has room again. Every
// write that returned nil is there; the failed one must be repeated.
func (s *Store) Reopen() error {
	_ = s.Close() // it has failed before, and may say so again
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

// SaveAcceptor writes the acceptor's state. It must have returned nil before the acceptor's response leaves.
func (s *Store) SaveAcceptor(a paxos.AcceptorState) error {
	if err := s.put(keyAcceptor, encodeAcceptor(&a)); err != nil {
		return fmt.Errorf("save acceptor state: %w", err)
	}
	return nil
}

// AppendChosen writes the value that was chosen for the index before state.NextIndex, where state includes it. It writes
// nothing if the snapshot includes the entry already: a write that is repeated after Reopen may be older than the snapshot.
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

// SaveSnapshot writes a state and removes all entries in it.
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
	if s.hasCompacted { // the database keeps tombstones of removed entries for a while; they need not be read each time
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

// ChosenValue returns the value that was chosen for an index, or false if a snapshot has replaced it or it cannot be read.
func (s *Store) ChosenValue(index uint64) ([]byte, bool) {
	if index < s.snapshotIndex {
		return nil, false
	}
	b, err := s.get(entryKey(index))
	return b, err == nil && b != nil
}

// get returns the value of a key; nil = there is none.
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
