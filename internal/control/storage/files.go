package storage

import (
	"errors"
	"os"

	leveldbstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// SyncNames returns files whose journals have durable names as soon as they are created, and whose removal never fails.
// syncFolder syncs the folder of the files.
//
// The database syncs the bytes of a journal, but its folder only together with the next manifest. What is written to a new
// journal before that would be lost with the journal's name in a loss of power
// (docs/incidents/2026-12-01-a-journal-without-a-name.md).
func SyncNames(files leveldbstorage.Storage, syncFolder func() error) leveldbstorage.Storage {
	return syncedFiles{files, syncFolder}
}

type syncedFiles struct {
	leveldbstorage.Storage
	syncFolder func() error
}

// Create implements leveldbstorage.Storage. Files other than journals are named by a manifest, with which the database syncs the
// folder.
func (f syncedFiles) Create(fd leveldbstorage.FileDesc) (leveldbstorage.Writer, error) {
	w, err := f.Storage.Create(fd)
	if err != nil || fd.Type != leveldbstorage.TypeJournal {
		return w, err
	}
	if err := f.syncFolder(); err != nil {
		return nil, errors.Join(err, w.Close())
	}
	return w, nil
}

// Remove implements leveldbstorage.Storage. A file that cannot be removed stays until the next opening, which removes what no
// manifest names. The database must not learn of the failure: a compaction that fails to write a table and then to remove it
// would use that table in its next attempt a second later, and end the process (docs/incidents/2026-12-02-a-table-that-was-given-up.md).
func (f syncedFiles) Remove(fd leveldbstorage.FileDesc) error {
	_ = f.Storage.Remove(fd)
	return nil
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
