// Package storage keeps a member's state on its disk: who it is, what it has voted, what was chosen. Every write is synced
// before it returns, so that what a member says is on its disk. It decides nothing. Its errors are the disk's; after one
// the store must not be used to vote.
package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/syndtr/goleveldb/leveldb"
	lerrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/storage"
	"github.com/syndtr/goleveldb/leveldb/util"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/limits"
)

// Identity is who a disk belongs to.
type Identity struct {
	ID        uint64 // never 0; drawn when the disk was first used
	IsFounder bool   // the disk was empty at the system's very first start
}

// Store is an open one. It is not safe for concurrent use.
type Store struct {
	files func() (storage.Storage, error)
	under storage.Storage // that db is on
	db    *leveldb.DB
	since int    // places written since the state was
	bytes int    // of them
	kept  uint64 // the first place that is not in the state
	swept bool   // no place that is in the state is left in the database
}

// Recovered is what a store holds.
type Recovered struct {
	Identity
	State    replog.State
	Acceptor paxos.AcceptorState
}

// The keys. Places follow theirs in big-endian order.
var (
	keyIdentity = []byte("identity")
	keyVote     = []byte("vote")
	keyState    = []byte("state")
	keyPlace    = []byte("place/")
)

const version = 1

// memory is what the database may hold: the state is small, and so is a keeper's machine.
var memory = opt.Options{
	WriteBuffer: 512 << 10, BlockCacheCapacity: 256 << 10, OpenFilesCacheCapacity: 16, CompactionTableSize: 1 << 20,
	DisableSeeksCompaction: true, NoSync: false,
}

// Open opens the store in a folder, or makes one there; fresh tells of who it is to belong to then.
func Open(dir string, fresh Identity) (*Store, *Recovered, error) {
	path := filepath.Join(dir, "state")
	_, err := os.Stat(dir)
	made := errors.Is(err, os.ErrNotExist)
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, nil, fmt.Errorf("store: %w", err)
	}
	err = syncDir(dir)
	if made { // its own name is to be durable, too
		err = errors.Join(err, syncDir(filepath.Dir(dir)))
	}
	if err != nil {
		return nil, nil, fmt.Errorf("store: %w", err)
	}
	return OpenFiles(func() (storage.Storage, error) {
		files, err := storage.OpenFile(path, false)
		if err != nil {
			return nil, err
		}
		return SyncNames(files, func() error { return syncDir(path) }), nil
	}, fresh)
}

// OpenFiles opens a store on files, which may be a disk of one's own.
func OpenFiles(files func() (storage.Storage, error), fresh Identity) (*Store, *Recovered, error) {
	s := &Store{files: files}
	if err := s.open(); err != nil {
		return nil, nil, err
	}
	k, err := s.load(fresh)
	if err != nil {
		s.Close()
		return nil, nil, err
	}
	return s, k, nil
}

// SyncNames returns files whose journals' names are durable as they are made, and which the database never fails to remove; sync is of
// the folder. The database syncs a journal's bytes, and its folder only with the
// next manifest: what is written to a new journal before that would be gone with its name if the power were lost.
func SyncNames(files storage.Storage, sync func() error) storage.Storage { return named{files, sync} }

type named struct {
	storage.Storage
	sync func() error // of the folder
}

// Create implements storage.Storage.
func (n named) Create(fd storage.FileDesc) (storage.Writer, error) {
	w, err := n.Storage.Create(fd)
	if err != nil || fd.Type != storage.TypeJournal { // others are named by a manifest, which syncs the folder
		return w, err
	}
	if err := n.sync(); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// Remove implements storage.Storage. A file that the disk does not remove is left for the next opening, which removes what no
// manifest names: a compaction that fails twice, to write a table and to remove it, goes on with it at its next try, a second
// later, and ends the process (docs/incidents, a table that was given up).
func (n named) Remove(fd storage.FileDesc) error {
	_ = n.Storage.Remove(fd)
	return nil
}

func (s *Store) open() error {
	under, err := s.files()
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	o := memory
	db, err := leveldb.Open(under, &o)
	if lerrors.IsCorrupted(err) { // a manifest torn by a power loss; synced journals are read again
		db, err = leveldb.Recover(under, &o)
	}
	if err != nil {
		under.Close()
		return fmt.Errorf("store: %w", err)
	}
	s.db, s.under = db, under
	return nil
}

// Reopen opens the database anew: once a write has failed it takes no more, though the disk may have room again. What was
// written without an error is there; everything else must be written again.
func (s *Store) Reopen() error {
	s.Close()
	return s.open()
}

var errShut = errors.New("store: it could not be opened again yet")

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// get reads a value; nil is none.
func (s *Store) get(key []byte) ([]byte, error) {
	if s.db == nil {
		return nil, errShut
	}
	b, err := s.db.Get(key, nil)
	if err == leveldb.ErrNotFound {
		return nil, nil
	}
	return b, err
}

func (s *Store) load(fresh Identity) (*Recovered, error) {
	k := &Recovered{}
	b, err := s.get(keyIdentity)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if b == nil {
		w := encoding.Writer{}
		w.Byte(version)
		w.Fixed64(fresh.ID)
		if w.Byte(0); fresh.IsFounder {
			w.Buf[len(w.Buf)-1] = 1
		}
		k.Identity = fresh
		return k, s.put(keyIdentity, w.Buf)
	}
	r := encoding.Reader{Buf: b}
	if v := r.Byte(); v != version {
		return nil, fmt.Errorf("store: %w", replog.ErrUnknownVersion)
	}
	k.ID, k.IsFounder = r.Fixed64(), r.Byte() == 1
	if err := r.Finish(); err != nil {
		return nil, fmt.Errorf("store: identity: %w", err)
	}
	if b, err = s.get(keyState); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if b != nil {
		state, err := replog.DecodeState(b)
		if err != nil {
			return nil, fmt.Errorf("store: state: %w", err)
		}
		k.State = *state
	}
	s.kept = k.State.NextIndex
	for {
		v, err := s.get(place(k.State.NextIndex))
		if err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
		if v == nil {
			break
		}
		k.State.Apply(v)
		s.since++
		s.bytes += len(v)
	}
	if b, err = s.get(keyVote); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if b != nil {
		if k.Acceptor, err = decodeVote(b); err != nil {
			return nil, fmt.Errorf("store: vote: %w", err)
		}
	}
	return k, nil
}

func place(n uint64) []byte { return binary.BigEndian.AppendUint64(append([]byte{}, keyPlace...), n) }

func (s *Store) put(key, value []byte) error {
	if s.db == nil {
		return errShut
	}
	if err := s.db.Put(key, value, &opt.WriteOptions{Sync: true}); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// SaveAcceptor writes what was promised or accepted.
func (s *Store) SaveAcceptor(v paxos.AcceptorState) error {
	w := encoding.Writer{}
	w.Byte(version)
	w.Uvarint(v.Index)
	for _, n := range []paxos.ProposalNumber{v.Promised, v.Accepted} {
		w.Uvarint(n.Term)
		w.Fixed64(n.Proposer)
	}
	w.Bytes(v.Value)
	return s.put(keyVote, w.Buf)
}

func decodeVote(b []byte) (v paxos.AcceptorState, err error) {
	r := encoding.Reader{Buf: b}
	if r.Byte() != version {
		return v, replog.ErrUnknownVersion
	}
	v.Index = r.Uvarint()
	v.Promised = paxos.ProposalNumber{Term: r.Uvarint(), Proposer: r.Fixed64()}
	v.Accepted = paxos.ProposalNumber{Term: r.Uvarint(), Proposer: r.Fixed64()}
	if v.Value = r.Bytes(1 << 30); len(v.Value) == 0 {
		v.Value = nil
	}
	return v, r.Finish()
}

// AppendChosen writes what was chosen for the place before state.Next; state is what it has led to. What the state has already that was
// written last is not written again.
func (s *Store) AppendChosen(value []byte, state *replog.State) error {
	if state.NextIndex <= s.kept && s.db != nil {
		return nil
	}
	s.since++
	if s.bytes += len(value); s.since < limits.LogTailEntries && s.bytes < limits.LogTailBytes {
		return s.put(place(state.NextIndex-1), value)
	}
	return s.SaveSnapshot(state)
}

// SaveSnapshot writes a state in place of all places in it.
func (s *Store) SaveSnapshot(state *replog.State) error {
	if s.db == nil {
		return errShut
	}
	b := new(leveldb.Batch)
	b.Put(keyState, state.Encode())
	places := util.BytesPrefix(keyPlace)
	if s.swept { // what was deleted before is there as long as the database keeps it, and would be passed over each time
		places.Start = place(s.kept)
	}
	it := s.db.NewIterator(places, nil)
	for it.Next() {
		b.Delete(append([]byte{}, it.Key()...))
	}
	it.Release()
	if err := it.Error(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := s.db.Write(b, &opt.WriteOptions{Sync: true}); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	s.since, s.bytes, s.kept, s.swept = 0, 0, state.NextIndex, true
	return nil
}

// ChosenValue returns the value that was chosen for a place, if it is still kept.
func (s *Store) ChosenValue(n uint64) ([]byte, bool) {
	if n < s.kept {
		return nil, false
	}
	b, err := s.get(place(n))
	return b, err == nil && b != nil
}

// Close closes the store.
func (s *Store) Close() error {
	if s.db == nil {
		return nil
	}
	err := errors.Join(s.db.Close(), s.under.Close())
	s.db = nil
	return err
}
