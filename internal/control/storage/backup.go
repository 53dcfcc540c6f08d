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

// A backup is a state in a file: a word with the form's version, a checksum of the rest, and the state.
const backupForm = "nhstat1\n"

// ErrInvalidBackup is a file that is no whole backup.
var ErrInvalidBackup = errors.New("store: this is no whole backup")

// EncodeBackup makes a backup of a state.
func EncodeBackup(s *replog.State) []byte {
	body := s.Encode()
	b := append([]byte(backupForm), make([]byte, 8)...)
	binary.BigEndian.PutUint64(b[len(backupForm):], xxhash.Sum64(body))
	return append(b, body...)
}

// DecodeBackup reads a backup.
func DecodeBackup(b []byte) (*replog.State, error) {
	const head = len(backupForm) + 8
	switch {
	case len(b) < head || string(b[:len(backupForm)]) != backupForm:
		return nil, fmt.Errorf("%w: it has another form", ErrInvalidBackup)
	case binary.BigEndian.Uint64(b[len(backupForm):]) != xxhash.Sum64(b[head:]):
		return nil, fmt.Errorf("%w: its checksum is wrong", ErrInvalidBackup)
	}
	s, err := replog.DecodeState(b[head:])
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidBackup, err)
	}
	return s, nil
}

// ErrNotEmpty is a folder that holds a state already.
var ErrNotEmpty = errors.New("store: the folder holds a state already")

// RestoreBackup makes a store in an empty folder that goes on from a backup with itself as the only member: all other keepers are
// lost, and must come back with empty folders. That is the operator's to know: two who are founded so are two cores.
func RestoreBackup(dir string, s *replog.State, self replog.Member) error {
	if _, err := os.Stat(filepath.Join(dir, "state")); err == nil {
		return fmt.Errorf("%w: %s", ErrNotEmpty, dir)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	st, _, err := Open(dir, Identity{ID: self.ID})
	if err != nil {
		return err
	}
	defer st.Close()
	next := *s
	next.Members = []replog.Member{self}
	return st.SaveSnapshot(&next)
}
