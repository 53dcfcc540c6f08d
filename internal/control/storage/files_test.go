package storage

import (
	"syscall"
	"testing"

	leveldbstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// undeletableFiles are files whose removal fails while failRemove is set.
type undeletableFiles struct {
	leveldbstorage.Storage
	failRemove *bool
}

func (f undeletableFiles) Remove(fd leveldbstorage.FileDesc) error {
	if *f.failRemove {
		return syscall.EIO
	}
	return f.Storage.Remove(fd)
}

// TestFailedRemovalIsLeftToTheNextOpening checks that the error of a failed removal is not returned to the database, and that the
// table is removed when the database is opened again.
func TestFailedRemovalIsLeftToTheNextOpening(t *testing.T) {
	failRemove := true
	files := undeletableFiles{leveldbstorage.NewMemStorage(), &failRemove}
	table := leveldbstorage.FileDesc{Type: leveldbstorage.TypeTable, Num: 99}
	w, err := files.Create(table)
	if err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	tables := func() int { all, _ := files.List(leveldbstorage.TypeTable); return len(all) }
	synced := SyncNames(files, func() error { return nil })
	if err := synced.Remove(table); err != nil || tables() != 1 {
		t.Errorf("error %v, %d tables, want no error and 1 table", err, tables())
	}
	failRemove = false
	s, _, err := OpenFiles(func() (leveldbstorage.Storage, error) { return synced, nil }, Identity{ID: 7})
	if err != nil || tables() != 0 {
		t.Fatalf("error %v, %d tables after the database was opened", err, tables())
	}
	closeStore(t, s)
}

func TestNamesAreDurableOnceCreated(t *testing.T) {
	for name, c := range map[string]struct {
		fd   leveldbstorage.FileDesc
		want int
	}{
		"journal":  {leveldbstorage.FileDesc{Type: leveldbstorage.TypeJournal, Num: 1}, 1},
		"table":    {leveldbstorage.FileDesc{Type: leveldbstorage.TypeTable, Num: 2}, 1},
		"manifest": {leveldbstorage.FileDesc{Type: leveldbstorage.TypeManifest, Num: 3}, 0}, // the database syncs the directory itself
	} {
		t.Run(name, func(t *testing.T) {
			syncs := 0
			w, err := SyncNames(leveldbstorage.NewMemStorage(), func() error { syncs++; return nil }).Create(c.fd)
			if err != nil {
				t.Fatal(err)
			}
			if err := w.Close(); err != nil || syncs != c.want {
				t.Errorf("%d syncs of the directory, want %d; error %v", syncs, c.want, err)
			}
		})
	}
}
