package check

import (
	"bytes"
	"errors"
	"maps"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"

	leveldbstorage "github.com/syndtr/goleveldb/leveldb/storage"

	"notchhinge/internal/control/storage"
)

// disk is a simulated disk under the database of a store. Written data stays in a cache until it is synced: the bytes of a file
// by a sync of the file, its name by a sync of the directory. Every operation that writes counts as a step. Writes fail, or the
// power is lost, from a given step on; afterPowerLoss returns the disk that remains.
type disk struct {
	mu            sync.Mutex
	cached        map[leveldbstorage.FileDesc]*file // files as the process sees them
	durableNames  map[leveldbstorage.FileDesc]*file // files whose names are synced
	meta          leveldbstorage.FileDesc           // the current manifest
	steps         int
	failAt        int   // first step that fails; 0 = none does
	failures      int   // number of steps that fail; 0 = all from failAt
	err           error // that the failing steps return
	skipsNameSync bool  // breaks a rule: the directory is not synced after a journal is created
	usedBytes     int
	peakBytes     int
	capacity      int // bytes; 0 = unlimited
}

type file struct {
	data   []byte
	synced int // bytes that are durable
}

func newDisk() *disk {
	return &disk{cached: map[leveldbstorage.FileDesc]*file{}, durableNames: map[leveldbstorage.FileDesc]*file{}}
}

var errPowerLost = errors.New("power lost")

// step counts a step and returns its error. The caller holds the lock.
func (d *disk) step() error {
	d.steps++
	if d.failAt > 0 && d.steps >= d.failAt && (d.failures == 0 || d.steps < d.failAt+d.failures) {
		return d.err
	}
	return nil
}

// emptied returns an empty disk of the same capacity.
func (d *disk) emptied() *disk {
	next := newDisk()
	next.capacity, next.peakBytes = d.capacity, d.peakBytes
	return next
}

// usage returns the current and the highest total size of all files in bytes.
func (d *disk) usage() (used, peak int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.usedBytes, d.peakBytes
}

// hasFailed reports whether a step has failed.
func (d *disk) hasFailed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failAt > 0 && d.steps >= d.failAt
}

// failFrom makes a number of steps fail, beginning with the one that is ahead steps from now; 0 failures = all from that step.
// Background work of the database also takes steps.
func (d *disk) failFrom(ahead, failures int, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failAt, d.failures, d.err = d.steps+ahead, failures, err
}

// isFailurePending reports whether no step has failed yet and one will.
func (d *disk) isFailurePending() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.steps < d.failAt
}

// fault returns the error of the failing steps.
func (d *disk) fault() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.err
}

// hasLostPower reports whether the failing steps simulate a loss of power, and one has failed.
func (d *disk) hasLostPower() bool { return errors.Is(d.fault(), errPowerLost) && d.hasFailed() }

// open opens the disk's files; it is the argument openFiles of storage.OpenFiles.
func (d *disk) open() (leveldbstorage.Storage, error) {
	if d.skipsNameSync {
		return storage.SyncNames(simulatedFiles{d}, func() error { return nil }), nil
	}
	return storage.SyncNames(simulatedFiles{d}, d.syncNames), nil
}

func (d *disk) syncNames() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	d.durableNames = maps.Clone(d.cached)
	return nil
}

// simulatedFiles implements leveldbstorage.Storage on a disk.
type simulatedFiles struct{ d *disk }

type noLock struct{}

func (noLock) Unlock() {}

func (simulatedFiles) Lock() (leveldbstorage.Locker, error) { return noLock{}, nil }
func (simulatedFiles) Log(string)                           {}
func (simulatedFiles) Close() error                         { return nil }

// SetMeta takes three steps: it writes and syncs a file, renames it, and syncs the directory.
func (x simulatedFiles) SetMeta(fd leveldbstorage.FileDesc) error {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	for range 3 {
		if err := x.d.step(); err != nil {
			return err
		}
	}
	x.d.meta = fd
	x.d.durableNames = maps.Clone(x.d.cached)
	return nil
}

func (x simulatedFiles) GetMeta() (leveldbstorage.FileDesc, error) {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	if x.d.meta.Zero() {
		return x.d.meta, os.ErrNotExist
	}
	return x.d.meta, nil
}

func (x simulatedFiles) List(t leveldbstorage.FileType) (all []leveldbstorage.FileDesc, err error) {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	for fd := range x.d.cached {
		if fd.Type&t != 0 {
			all = append(all, fd)
		}
	}
	return all, nil
}

type reader struct{ *bytes.Reader }

func (reader) Close() error { return nil }

func (x simulatedFiles) Open(fd leveldbstorage.FileDesc) (leveldbstorage.Reader, error) {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	f := x.d.cached[fd]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return reader{bytes.NewReader(f.data)}, nil // a copy of the slice header: later writes are not visible
}

func (x simulatedFiles) Create(fd leveldbstorage.FileDesc) (leveldbstorage.Writer, error) {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	if err := x.d.step(); err != nil {
		return nil, err
	}
	f := &file{}
	x.d.cached[fd] = f
	return &writer{x.d, f, fd}, nil
}

func (x simulatedFiles) Remove(fd leveldbstorage.FileDesc) error {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	if err := x.d.step(); err != nil {
		return err
	}
	if f := x.d.cached[fd]; f != nil {
		x.d.usedBytes -= len(f.data)
	}
	delete(x.d.cached, fd)
	return nil
}

func (x simulatedFiles) Rename(from, to leveldbstorage.FileDesc) error {
	x.d.mu.Lock()
	defer x.d.mu.Unlock()
	if err := x.d.step(); err != nil {
		return err
	}
	x.d.cached[to] = x.d.cached[from]
	delete(x.d.cached, from)
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
	if w.d.capacity > 0 && w.d.usedBytes+len(b) > w.d.capacity && err == nil {
		err = syscall.ENOSPC
	}
	if err != nil {
		b = b[:len(b)/2] // a failed write may be partial
	}
	w.f.data = append(w.f.data, b...)
	w.d.usedBytes += len(b)
	w.d.peakBytes = max(w.d.peakBytes, w.d.usedBytes)
	return len(b), err
}

func (w *writer) Sync() error {
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	if err := w.d.step(); err != nil {
		return err
	}
	w.f.synced = len(w.f.data)
	if w.fd.Type == leveldbstorage.TypeManifest { // as the file storage of the database does
		w.d.durableNames = maps.Clone(w.d.cached)
	}
	return nil
}

func (w *writer) Close() error { return nil }

// Kinds of power loss: what remains of data and names that were not synced.
const (
	keepNothing  = iota
	keepAll      // the whole cache was written back
	keepTornTail // a prefix of each file's data, and some names
	keepWithHole // data with a zeroed block, as blocks are written back in any order, and some names
	lossKinds
)

// afterPowerLoss returns the disk that a restart finds after a loss of power; kind is one of the constants above.
func (d *disk) afterPowerLoss(kind int, seed uint64) *disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	rnd := rand.New(rand.NewPCG(seed, uint64(kind)))
	next := newDisk()
	next.meta = d.meta
	for fd, f := range d.cached {
		if _, durable := d.durableNames[fd]; !durable && (kind == keepNothing || kind != keepAll && rnd.IntN(2) == 0) {
			continue
		}
		data := f.afterPowerLoss(kind, rnd)
		next.cached[fd] = &file{data, len(data)}
	}
	for fd, f := range d.durableNames { // removed, but the directory has not been synced since
		if next.cached[fd] == nil && d.cached[fd] == nil && kind != keepAll {
			next.cached[fd] = &file{bytes.Clone(f.data[:f.synced]), f.synced}
		}
	}
	next.durableNames = maps.Clone(next.cached)
	for _, f := range next.cached {
		next.usedBytes += len(f.data)
	}
	next.capacity, next.peakBytes = d.capacity, max(d.peakBytes, next.usedBytes)
	return next
}

// afterPowerLoss returns the data of a file that remains.
func (f *file) afterPowerLoss(kind int, rnd *rand.Rand) []byte {
	data := bytes.Clone(f.data)
	unsynced := data[min(f.synced, len(data)):]
	switch {
	case kind == keepNothing:
		return data[:f.synced]
	case kind == keepTornTail && len(unsynced) > 0:
		return data[:f.synced+rnd.IntN(len(unsynced))]
	case kind == keepWithHole && len(unsynced) > 0:
		from := rnd.IntN(len(unsynced))
		clear(unsynced[from:min(from+512, len(unsynced))])
	}
	return data
}
