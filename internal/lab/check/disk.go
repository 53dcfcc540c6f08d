package check

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"

	leveldbstorage "github.com/syndtr/goleveldb/leveldb/storage"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/storage"
)

// disk is a disk of our own under the database: what is written is in a cache until it is synced, a file's bytes and its
// name in the folder each by itself. Every step is counted; from a step on it refuses, or the power is lost there. What a
// power loss leaves of the cache is drawn: nothing, all, a torn end, or later blocks without earlier ones.
type disk struct {
	mu      sync.Mutex
	files   map[leveldbstorage.FileDesc]*file
	named   map[leveldbstorage.FileDesc]*file // names that are durable
	meta    leveldbstorage.FileDesc
	steps   int
	failAt  int // from this step on; 0 = never
	fails   int // so many steps fail
	err     error
	noNames bool // the folder is not synced after a journal is made: must be found out
	held    int  // bytes of all files
	peak    int  // the most that they were
	room    int  // bytes that it has; 0 = no bound
}

type file struct {
	data   []byte
	synced int
}

func newDisk() *disk {
	return &disk{files: map[leveldbstorage.FileDesc]*file{}, named: map[leveldbstorage.FileDesc]*file{}}
}

var errPower = errors.New("the power is gone")

// step counts a step and says whether it fails. The lock is held.
func (d *disk) step() error {
	d.steps++
	if d.failAt > 0 && d.steps >= d.failAt && (d.fails == 0 || d.steps < d.failAt+d.fails) {
		return d.err
	}
	return nil
}

// empty is another disk of the same size.
func (d *disk) empty() *disk {
	next := newDisk()
	next.room, next.peak = d.room, d.peak
	return next
}

// used is how many bytes there are, and how many there were at the most.
func (d *disk) used() (held, peak int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held, d.peak
}

// struck tells whether a step has failed, and dead whether that was since the power is lost.
func (d *disk) struck() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failAt > 0 && d.steps >= d.failAt
}

// strike has so many steps fail, from the one that is so many steps ahead; 0 = all from there on. The database works on by itself.
func (d *disk) strike(ahead, fails int, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failAt, d.fails, d.err = d.steps+ahead, fails, err
}

// ahead tells whether no step has failed yet of those that are to.
func (d *disk) ahead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.steps < d.failAt
}

// fault is what the steps that fail fail with.
func (d *disk) fault() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.err
}

func (d *disk) dead() bool { return errors.Is(d.fault(), errPower) && d.struck() }

func (d *disk) open() (leveldbstorage.Storage, error) {
	if d.noNames {
		return storage.SyncNames(diskFiles{d}, func() error { return nil }), nil
	}
	return storage.SyncNames(diskFiles{d}, d.syncNames), nil
}

func (d *disk) syncNames() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	d.named = maps.Clone(d.files)
	return nil
}

// diskFiles is a disk as the database has it.
type diskFiles struct{ d *disk }

type unlocked struct{}

func (unlocked) Unlock() {}

func (diskFiles) Lock() (leveldbstorage.Locker, error) { return unlocked{}, nil }
func (diskFiles) Log(string)                           {}
func (diskFiles) Close() error                         { return nil }

// SetMeta is a file written beside, synced, renamed, and the folder synced.
func (x diskFiles) SetMeta(fd leveldbstorage.FileDesc) error {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	for range 3 {
		if err := x.d.step(); err != nil {
			return err
		}
	}
	x.d.meta = fd
	x.d.named = maps.Clone(x.d.files)
	return nil
}

func (x diskFiles) GetMeta() (leveldbstorage.FileDesc, error) {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	if x.d.meta.Zero() {
		return x.d.meta, os.ErrNotExist
	}
	return x.d.meta, nil
}

func (x diskFiles) List(t leveldbstorage.FileType) (all []leveldbstorage.FileDesc, err error) {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	for fd := range x.d.files {
		if fd.Type&t != 0 {
			all = append(all, fd)
		}
	}
	return all, nil
}

type reader struct{ *bytes.Reader }

func (reader) Close() error { return nil }

func (x diskFiles) Open(fd leveldbstorage.FileDesc) (leveldbstorage.Reader, error) {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	f := x.d.files[fd]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return reader{bytes.NewReader(f.data)}, nil // what is added later is behind it
}

func (x diskFiles) Create(fd leveldbstorage.FileDesc) (leveldbstorage.Writer, error) {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	if err := x.d.step(); err != nil {
		return nil, err
	}
	f := &file{}
	x.d.files[fd] = f
	return &writer{x.d, f, fd}, nil
}

func (x diskFiles) Remove(fd leveldbstorage.FileDesc) error {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	if err := x.d.step(); err != nil {
		return err
	}
	if f := x.d.files[fd]; f != nil {
		x.d.held -= len(f.data)
	}
	delete(x.d.files, fd)
	return nil
}

func (x diskFiles) Rename(from, to leveldbstorage.FileDesc) error {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	if err := x.d.step(); err != nil {
		return err
	}
	x.d.files[to] = x.d.files[from]
	delete(x.d.files, from)
	return nil
}

type writer struct {
	d  *disk
	f  *file
	fd leveldbstorage.FileDesc
}

func (w *writer) Write(b []byte) (int, error) {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	err := w.d.step()
	if w.d.room > 0 && w.d.held+len(b) > w.d.room && err == nil {
		err = syscall.ENOSPC
	}
	if err != nil {
		b = b[:len(b)/2] // a disk that is full takes a part
	}
	w.f.data = append(w.f.data, b...)
	w.d.held += len(b)
	w.d.peak = max(w.d.peak, w.d.held)
	return len(b), err
}

func (w *writer) Sync() error {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	if err := w.d.step(); err != nil {
		return err
	}
	w.f.synced = len(w.f.data)
	if w.fd.Type == leveldbstorage.TypeManifest { // as the database's own files do
		w.d.named = maps.Clone(w.d.files)
	}
	return nil
}

func (w *writer) Close() error { return nil }

// What a power loss leaves of what is not durable.
const (
	leavesNothing = iota
	leavesAll
	leavesTorn
	leavesLater
	kinds
)

// after is the disk that is found when the power is back.
func (d *disk) after(kind int, seed uint64) *disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	rnd := rand.New(rand.NewPCG(seed, uint64(kind)))
	next := newDisk()
	next.meta = d.meta
	for fd, f := range d.files {
		if _, durable := d.named[fd]; !durable && (kind == leavesNothing || kind != leavesAll && rnd.IntN(2) == 0) {
			continue
		}
		data := bytes.Clone(f.data)
		loose := data[min(f.synced, len(data)):]
		switch kind {
		case leavesNothing:
			data = data[:f.synced]
		case leavesTorn:
			if len(loose) > 0 {
				data = data[:f.synced+rnd.IntN(len(loose))]
			}
		case leavesLater: // blocks of a file are written in any order: the first is missing, or one in the midst
			if n := len(loose); n > 0 {
				from := rnd.IntN(n)
				clear(loose[from:min(from+512, n)])
			}
		}
		next.files[fd] = &file{data, len(data)}
	}
	for fd, f := range d.named { // removed, and the folder not synced since
		if next.files[fd] == nil && d.files[fd] == nil && kind != leavesAll {
			next.files[fd] = &file{bytes.Clone(f.data[:f.synced]), f.synced}
		}
	}
	next.named = maps.Clone(next.files)
	for _, f := range next.files {
		next.held += len(f.data)
	}
	next.room, next.peak = d.room, max(d.peak, next.held)
	return next
}

// moment is what a store has been told.
type moment struct {
	state replog.State
	vote  paxos.AcceptorState
}

// is tells whether a start has found just that.
func (m moment) is(k *storage.Recovered) bool {
	return bytes.Equal(m.state.Encode(), k.State.Encode()) && m.vote.Index == k.Acceptor.Index && m.vote.Promised == k.Acceptor.Promised &&
		m.vote.Accepted == k.Acceptor.Accepted && bytes.Equal(m.vote.Value, k.Acceptor.Value)
}

// script is a life with values so long that journals are rotated; each write is one step of it.
func script() (all []moment, values [][]byte) {
	var m moment
	for place := range uint64(36) {
		e := replog.Entry{Nonce: place, Payload: replog.ConfigChange{BaseRevision: place, Config: bytes.Repeat([]byte{byte(place)}, 30_000)}} // read by nobody
		if place%4 == 0 {
			e = replog.Entry{Nonce: place, Payload: replog.UsageReport{Window: place, Counts: []replog.TenantCount{{Tenant: "k", Requests: place}}}}
		}
		if place == 0 {
			e = replog.Entry{Payload: replog.MembersChange{Members: []replog.Member{{ID: 7, Name: "a", Addr: "x"}}}}
		}
		m.vote = paxos.AcceptorState{Index: place, Promised: paxos.ProposalNumber{Term: place + 1, Proposer: 3}}
		all, values = append(all, m), append(values, nil)
		m.vote.Accepted, m.vote.Value = m.vote.Promised, e.Encode()
		all, values = append(all, m), append(values, nil)
		m.state.Apply(e.Encode())
		all, values = append(all, m), append(values, e.Encode())
	}
	return all, values
}

// play plays the script on a disk until a write fails, and returns how many were acknowledged. With mend, the store is
// opened anew then and told all that stands, as a keeper does, and goes on.
func play(d *disk, all []moment, values [][]byte, mend bool) (acknowledged int, err error) {
	s, _, err := storage.OpenFiles(d.open, storage.Identity{ID: 7, IsFounder: true})
	for try := 0; mend && err != nil && try < 50; try++ {
		s, _, err = storage.OpenFiles(d.open, storage.Identity{ID: 7, IsFounder: true})
	}
	if err != nil {
		return 0, err
	}
	defer s.Close()
	for i, m := range all {
		write := func() error {
			if values[i] != nil {
				return s.AppendChosen(values[i], &m.state)
			}
			return s.SaveAcceptor(m.vote)
		}
		err := write()
		for try := 0; mend && err != nil && try < 50; try++ {
			if err = s.Reopen(); err == nil {
				err = s.SaveSnapshot(&m.state)
			}
			if err == nil {
				err = s.SaveAcceptor(m.vote)
			}
		}
		if err != nil {
			return i, err
		}
	}
	return len(all), nil
}

// check looks at what a start finds: no less than what was acknowledged, and nothing that was never written.
func check(d *disk, all []moment, acknowledged int) error {
	s, k, err := storage.OpenFiles(d.open, storage.Identity{ID: 99})
	if err != nil {
		return fmt.Errorf("it does not open: %w", err)
	}
	defer s.Close()
	at := func(i int) moment {
		if i < 1 {
			return moment{}
		}
		return all[i-1]
	}
	switch {
	case acknowledged > 0 && k.ID != 7:
		return fmt.Errorf("it belongs to %d", k.ID)
	case at(acknowledged).is(k):
		return nil
	case acknowledged < len(all) && at(acknowledged+1).is(k): // written, not acknowledged
		return nil
	}
	return fmt.Errorf("next place %d, vote of place %d, promised %d, accepted %v; acknowledged were %d and %+v", k.State.NextIndex, k.Acceptor.Index,
		k.Acceptor.Promised.Term, k.Acceptor.Value != nil, at(acknowledged).state.NextIndex, at(acknowledged).vote.Promised)
}

// powerLost loses the power at every step of the script, and returns what was found wrong.
func powerLost(noNames bool, stride int) (faults []error, points int) {
	all, values := script()
	for at := 1; ; at += stride {
		d := newDisk()
		d.noNames, d.failAt, d.err = noNames, at, errPower
		n, err := play(d, all, values, false)
		if err == nil && d.steps < at {
			return faults, points
		}
		for kind := range kinds {
			points++
			if err := check(d.after(kind, uint64(at)), all, n); err != nil {
				faults = append(faults, fmt.Errorf("power lost at step %d, kind %d, after %d writes: %w", at, kind, n, err))
			}
		}
	}
}

// refused has the disk refuse writes for a while from steps on, and returns what was found wrong.
func refused(stride int) (faults []error) {
	all, values := script()
	for at, done := 1, false; !done; at += stride {
		for _, fails := range []int{1, 4} {
			d := newDisk()
			d.failAt, d.fails, d.err = at, fails, syscall.ENOSPC
			if at%2 == 0 {
				d.err = syscall.EIO
			}
			n, err := play(d, all, values, true)
			done = d.steps < at
			if n != len(all) || err != nil {
				faults = append(faults, fmt.Errorf("refused %d times from step %d: it ends after %d writes: %w", fails, at, n, err))
				continue
			}
			if err := check(d.after(leavesNothing, uint64(at)), all, n); err != nil {
				faults = append(faults, fmt.Errorf("refused %d times from step %d: %w", fails, at, err))
			}
		}
	}
	return faults
}
