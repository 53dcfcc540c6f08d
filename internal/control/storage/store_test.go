package storage

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/syndtr/goleveldb/leveldb/util"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/limits"
)

// open opens a store and closes it at the end of the test.
func open(t *testing.T, dir string, newIdentity Identity) (*Store, *Recovered) {
	t.Helper()
	s, r, err := Open(dir, newIdentity)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeStore(t, s) })
	return s, r
}

func closeStore(t *testing.T, s *Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// writeLog writes 80 entries like an acceptor: a promise, an accepted value and the chosen value for each. After each write it
// calls after with the number of the write and the expected content of the store.
func writeLog(t *testing.T, s *Store, after func(write int, state replog.State, acceptor paxos.AcceptorState)) {
	t.Helper()
	state := replog.State{}
	write := 0
	check := func(err error, a paxos.AcceptorState) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		after(write, state, a)
		write++
	}
	for index := range uint64(80) {
		e := replog.Entry{Nonce: index, Payload: replog.UsageReport{Window: index, Counts: []replog.TenantCount{{Tenant: "k", Requests: index}}}}
		if index == 0 {
			e = replog.Entry{Payload: replog.MembersChange{Members: []replog.Member{{ID: 7, Name: "a", Addr: "x"}}}}
		}
		a := paxos.AcceptorState{Index: index, Promised: paxos.ProposalNumber{Term: index + 1, Proposer: 3}}
		check(s.SaveAcceptor(a), a)
		a.Accepted, a.Value = a.Promised, e.Encode()
		check(s.SaveAcceptor(a), a)
		state.Apply(e.Encode())
		check(s.AppendChosen(e.Encode(), &state), a)
	}
}

func TestWritesAreRecovered(t *testing.T) {
	dir := t.TempDir()
	s, r := open(t, dir, Identity{ID: 7, IsFounder: true})
	if r.ID != 7 || !r.IsFounder || r.State.NextIndex != 0 {
		t.Fatalf("%+v", r)
	}
	var state replog.State
	var acceptor paxos.AcceptorState
	writeLog(t, s, func(_ int, st replog.State, a paxos.AcceptorState) { state, acceptor = st, a })
	if _, ok := s.ChosenValue(3); ok {
		t.Error("an entry that the snapshot includes is still stored")
	}
	if v, ok := s.ChosenValue(79); !ok || len(v) == 0 {
		t.Error("the last entry is not stored")
	}
	closeStore(t, s)
	_, r = open(t, dir, Identity{ID: 99})
	if diff := cmp.Diff(&Recovered{Identity: Identity{7, true}, State: state, Acceptor: acceptor}, r); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestCrashAfterAnyWriteLosesNothing copies the database after a write, as if the process had crashed there, and checks that the
// copy recovers everything that was written.
func TestCrashAfterAnyWriteLosesNothing(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir, Identity{ID: 7})
	writeLog(t, s, func(write int, state replog.State, acceptor paxos.AcceptorState) {
		if write%7 != 0 {
			return // every seventh write covers all kinds of writes and a snapshot
		}
		crashed := t.TempDir()
		copyDir(t, filepath.Join(dir, folder), filepath.Join(crashed, folder))
		c, r, err := Open(crashed, Identity{ID: 99})
		if err != nil {
			t.Fatalf("write %d: %v", write, err)
		}
		defer closeStore(t, c)
		if r.ID != 7 || !cmp.Equal(r.State, state) || !cmp.Equal(r.Acceptor, acceptor) {
			t.Errorf("write %d: next index %d, acceptor %+v; want %d, %+v", write, r.State.NextIndex, r.Acceptor, state.NextIndex, acceptor)
		}
	})
}

func copyDir(t *testing.T, from, to string) {
	t.Helper()
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
}

// TestTornWriteIsDropped checks that Open ignores an incomplete write at the end of the journal, as left by a power loss.
func TestTornWriteIsDropped(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir, Identity{ID: 7})
	for term := range uint64(5) {
		if err := s.SaveAcceptor(paxos.AcceptorState{Index: 1, Promised: paxos.ProposalNumber{Term: term + 1}}); err != nil {
			t.Fatal(err)
		}
	}
	closeStore(t, s)
	journals, _ := filepath.Glob(filepath.Join(dir, folder, "*.log"))
	if len(journals) != 1 {
		t.Fatal(journals)
	}
	f, err := os.OpenFile(journals[0], os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, err = f.Write([]byte{1, 2, 3, 4, 200, 0, 1, 9, 9, 9})
	if err := errors.Join(err, f.Close()); err != nil {
		t.Fatal(err)
	}
	_, r := open(t, dir, Identity{ID: 99})
	if r.ID != 7 || r.Acceptor.Promised.Term != 5 {
		t.Errorf("%+v", r)
	}
}

// TestEntriesAreBounded checks that large values cause earlier snapshots, and that a repeated write of an entry that the snapshot
// includes is ignored, because nothing would remove that entry.
func TestEntriesAreBounded(t *testing.T) {
	s, _ := open(t, t.TempDir(), Identity{ID: 7})
	large := make([]byte, limits.LogTailBytes/4)
	for index := range uint64(6) {
		if err := s.AppendChosen(large, &replog.State{NextIndex: index + 1}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.AppendChosen(large, &replog.State{NextIndex: 2}); err != nil {
		t.Fatal(err)
	}
	it := s.db.NewIterator(util.BytesPrefix(entryPrefix), nil)
	defer it.Release()
	left := 0
	for it.Next() {
		left++
	}
	if _, ok := s.ChosenValue(5); left != 2 || !ok {
		t.Errorf("%d of 6 entries are stored, want the 2 that the snapshot does not include", left)
	}
}

// BenchmarkChanges measures the synced writes for one configuration: a promise, an accepted value and the chosen value.
func BenchmarkChanges(b *testing.B) {
	for name, size := range map[string]int{"100": 100, "262kB": 262_000, "8MiB": 8 << 20} {
		b.Run(name, func(b *testing.B) {
			dir := b.TempDir()
			s, _, err := Open(dir, Identity{ID: 7})
			if err != nil {
				b.Fatal(err)
			}
			defer func() {
				if err := s.Close(); err != nil {
					b.Error(err)
				}
			}()
			value := make([]byte, size)
			_, _ = rand.NewChaCha8([32]byte{}).Read(value) // random bytes, which the database cannot compress
			peak := int64(0)
			for index := uint64(0); b.Loop(); index++ {
				a := paxos.AcceptorState{Index: index, Promised: paxos.ProposalNumber{Term: index + 1}}
				err := s.SaveAcceptor(a)
				a.Accepted, a.Value = a.Promised, value
				if err = errors.Join(err, s.SaveAcceptor(a), s.AppendChosen(value, &replog.State{NextIndex: index + 1, Config: value})); err != nil {
					b.Fatal(err)
				}
				peak = max(peak, folderBytes(dir))
			}
			b.ReportMetric(float64(peak), "bytes-at-most")
		})
	}
}

// folderBytes returns the total file size of the database in a data directory.
func folderBytes(dir string) (used int64) {
	files, _ := os.ReadDir(filepath.Join(dir, folder))
	for _, f := range files {
		if i, err := f.Info(); err == nil {
			used += i.Size()
		}
	}
	return used
}
