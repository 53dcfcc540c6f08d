package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"

	"notchhinge/internal/control/replog"
)

// A backup consists of backupMagic, which includes the format version; the xxHash64 of the encoded state, 8 bytes, big-endian; and
// the state as encoded by replog.
const (
	backupMagic     = "nhstat1\n"
	backupHeadBytes = len(backupMagic) + 8
)

// Errors returned for backups.
var (
	ErrInvalidBackup = errors.New("not a valid backup")
	ErrNotEmpty      = errors.New("the directory already holds a state")
)

// EncodeBackup returns a backup of a state.
func EncodeBackup(s *replog.State) []byte {
	body := s.Encode()
	b := append([]byte(backupMagic), make([]byte, 8)...)
	binary.BigEndian.PutUint64(b[len(backupMagic):], xxhash.Sum64(body))
	return append(b, body...)
}

// DecodeBackup decodes a backup. Its errors match ErrInvalidBackup.
func DecodeBackup(b []byte) (*replog.State, error) {
	switch {
	case len(b) < backupHeadBytes || string(b[:len(backupMagic)]) != backupMagic:
		return nil, fmt.Errorf("%w: unknown format", ErrInvalidBackup)
	case binary.BigEndian.Uint64(b[len(backupMagic):]) != xxhash.Sum64(b[backupHeadBytes:]):
		return nil, fmt.Errorf("%w: wrong checksum", ErrInvalidBackup)
	}
	s, err := replog.DecodeState(b[backupHeadBytes:])
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidBackup, err)
	}
	return s, nil
}

// RestoreBackup creates a store in an empty data directory. The store has the state of a backup, with self as the only member. The
// error matches ErrNotEmpty if the directory already holds a state.
//
// Use it only after all replicas were lost, and for one replica only: two replicas that are restored from a backup form two
// separate fleets. The other replicas must start with empty directories; the operator must ensure this.
func RestoreBackup(dir string, s *replog.State, self replog.Member) error {
	if _, err := os.Stat(filepath.Join(dir, folder)); err == nil {
		return fmt.Errorf("restore backup to %s: %w", dir, ErrNotEmpty)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("restore backup to %s: %w", dir, err)
	}
	store, _, err := Open(dir, Identity{ID: self.ID})
	if err != nil {
		return err
	}
	restored := *s
	restored.Members = []replog.Member{self}
	return errors.Join(store.SaveSnapshot(&restored), store.Close())
}
