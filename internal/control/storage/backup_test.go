package storage

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
)

// backedUp returns a data directory, the state that it holds, and a backup of the state.
func backedUp(t *testing.T) (dir string, state replog.State, backup []byte) {
	t.Helper()
	dir = t.TempDir()
	s, _ := open(t, dir, Identity{ID: 7})
	writeLog(t, s, func(_ int, st replog.State, _ paxos.AcceptorState) { state = st })
	closeStore(t, s)
	return dir, state, EncodeBackup(&state)
}

func TestBackupIsReadBackOrRejected(t *testing.T) {
	_, state, b := backedUp(t)
	got, err := DecodeBackup(b)
	if err != nil || !cmp.Equal(got, &state) {
		t.Fatalf("%+v, %v", got, err)
	}
	for name, bad := range map[string][]byte{
		"empty": nil, "half": b[:len(b)/2], "another format": append([]byte("nhstat2\n"), b[8:]...),
		"a flipped bit": append(append([]byte{}, b[:len(b)-1]...), b[len(b)-1]^1),
	} {
		if _, err := DecodeBackup(bad); !errors.Is(err, ErrInvalidBackup) {
			t.Errorf("%s: error %v, want ErrInvalidBackup", name, err)
		}
	}
}

func TestRestoreNeedsAnEmptyDirectory(t *testing.T) {
	dir, state, b := backedUp(t)
	got, err := DecodeBackup(b)
	if err != nil {
		t.Fatal(err)
	}
	self := replog.Member{ID: 99, Name: "a", Addr: "10.0.0.1:1"}
	if err := RestoreBackup(dir, got, self); !errors.Is(err, ErrNotEmpty) {
		t.Errorf("restore to a directory with a state: error %v, want ErrNotEmpty", err)
	}
	empty := t.TempDir()
	if err := RestoreBackup(empty, got, self); err != nil {
		t.Fatal(err)
	}
	_, r := open(t, empty, Identity{ID: 5})
	if r.ID != 99 || r.State.NextIndex != state.NextIndex || len(r.State.Members) != 1 || r.State.Member(99) == nil {
		t.Errorf("%+v", r)
	}
}
