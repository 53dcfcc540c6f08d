package storage

import (
	"syscall"
	"testing"

	leveldbstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// stubbornFiles are files that cannot be removed while refuse is set.
type stubbornFiles struct {
	leveldbstorage.Storage
	refuse *bool
}

func (f stubbornFiles) Remove(fd leveldbstorage.FileDesc) error {
	if *f.refuse {
		return syscall.EIO
	}
	return f.Storage.Remove(fd)
}

// TestFailedRemovalIsLeftToTheNextOpening: the database does not learn that a table which it has given up cannot be removed,
// since it would use it and end the process; the next opening removes the table.
func TestFailedRemovalIsLeftToTheNextOpening(t *testing.T) {
	refuse := true
	files := stubbornFiles{leveldbstorage.NewMemStorage(), &refuse}
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
		t.Errorf("%v, %d tables", err, tables())
	}
	refuse = false
	s, _, err := OpenFiles(func() (leveldbstorage.Storage, error) { return synced, nil }, Identity{ID: 7})
	if err != nil || tables() != 0 {
		t.Fatalf("%v, %d tables after the opening", err, tables())
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
		"manifest": {leveldbstorage.FileDesc{Type: leveldbstorage.TypeManifest, Num: 3}, 0}, // the database syncs the folder itself
	} {
		t.Run(name, func(t *testing.T) {
			syncs := 0
			w, err := SyncNames(leveldbstorage.NewMemStorage(), func() error { syncs++; return nil }).Create(c.fd)
			if err != nil {
				t.Fatal(err)
			}
			if err := w.Close(); err != nil || syncs != c.want {
				t.Errorf("%d syncs of the folder, want %d; %v", syncs, c.want, err)
			}
		})
	}
}
