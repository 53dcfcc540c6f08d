package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"

	"notchhinge/internal/control/chain"
)

// A backup is a state in a file: a word with the form's version, a checksum of the rest, and the state.
const backupForm = "nhstat1\n"

// ErrBackup is a file that is no whole backup.
var ErrBackup = errors.New("store: this is no whole backup")

// Export makes a backup of a state.
func Export(s *chain.State) []byte {
	body := s.Encode()
	b := append([]byte(backupForm), make([]byte, 8)...)
	binary.BigEndian.PutUint64(b[len(backupForm):], xxhash.Sum64(body))
	return append(b, body...)
}

// ReadBackup reads a backup.
func ReadBackup(b []byte) (*chain.State, error) {
	const head = len(backupForm) + 8
	switch {
	case len(b) < head || string(b[:len(backupForm)]) != backupForm:
		return nil, fmt.Errorf("%w: it has another form", ErrBackup)
	case binary.BigEndian.Uint64(b[len(backupForm):]) != xxhash.Sum64(b[head:]):
		return nil, fmt.Errorf("%w: its checksum is wrong", ErrBackup)
	}
	s, err := chain.DecodeState(b[head:])
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBackup, err)
	}
	return s, nil
}

// ErrUsed is a folder that holds a state already.
var ErrUsed = errors.New("store: the folder holds a state already")

// Import makes a store in an empty folder that goes on from a backup with itself as the only member: all other keepers are
// lost, and must come back with empty folders. That is the operator's to know: two who are founded so are two cores.
func Import(dir string, s *chain.State, self chain.Member) error {
	if _, err := os.Stat(filepath.Join(dir, "state")); err == nil {
		return fmt.Errorf("%w: %s", ErrUsed, dir)
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
	next.Members = []chain.Member{self}
	return st.Whole(&next)
}
