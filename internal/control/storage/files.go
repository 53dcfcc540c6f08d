package storage

import (
	"errors"
	"os"

	leveldbstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// SyncNames returns files whose journals and tables have durable names as soon as they are created, and whose removal never fails.
// syncFolder syncs the folder of the files.
//
// The database syncs the bytes of a journal, but its folder only together with the next manifest. What is written to a new
// journal before that would be lost with the journal's name in a loss of power
// (docs/incidents/2026-12-01-a-journal-without-a-name.md). The bytes of a manifest may reach the disk before the folder is synced,
// since the cache is written back at any time. If it then names a table that is lost, the database recovers without the table,
// and drops the older journal from which the table was written.
func SyncNames(files leveldbstorage.Storage, syncFolder func() error) leveldbstorage.Storage {
	return syncedFiles{files, syncFolder}
}

type syncedFiles struct {
	leveldbstorage.Storage
	syncFolder func() error
}

// Create implements leveldbstorage.Storage. The name of a manifest is synced by the database.
func (f syncedFiles) Create(fd leveldbstorage.FileDesc) (leveldbstorage.Writer, error) {
	w, err := f.Storage.Create(fd)
	if err != nil || fd.Type&(leveldbstorage.TypeJournal|leveldbstorage.TypeTable) == 0 {
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
