package storage

import (
	"errors"
	"os"

	leveldbstorage "github.com/syndtr/goleveldb/leveldb/storage"
)

// SyncNames wraps the files of a database. It makes the names of new journals and tables durable when they are created, and it
// ignores errors of removals. syncFolder syncs the directory of the files.
//
// The database syncs the content of a journal, but syncs the directory only together with the next manifest. A power loss before
// that would remove the name of a new journal, and its content with it (docs/incidents/2026-12-01-a-journal-without-a-name.md).
// The operating system may write back the content of a manifest before the directory is synced. If the manifest then refers to a
// table whose name is lost, the database recovers without the table and drops the older journal from which the table was written.
func SyncNames(files leveldbstorage.Storage, syncFolder func() error) leveldbstorage.Storage {
	return syncedFiles{files, syncFolder}
}

type syncedFiles struct {
	leveldbstorage.Storage
	syncFolder func() error
}

// Create implements leveldbstorage.Storage. The database itself syncs the name of a manifest.
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

// Remove implements leveldbstorage.Storage and never returns an error. A file that cannot be removed stays until the database is
// opened again, which removes all files that the manifest does not list. If a compaction received errors from both the write and
// the removal of a table, it would use that table in its next attempt and terminate the process
// (docs/incidents/2026-12-02-a-table-that-was-given-up.md).
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
