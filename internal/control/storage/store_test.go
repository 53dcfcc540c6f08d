package storage

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/syndtr/goleveldb/leveldb/storage"
	"github.com/syndtr/goleveldb/leveldb/util"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/limits"
)

func open(t *testing.T, dir string, fresh Identity) (*Store, *Recovered) {
	t.Helper()
	s, k, err := Open(dir, fresh)
	if err != nil {
		t.Fatal(err)
	}
	return s, k
}

// life writes a scripted life and returns what must be there after each write.
func life(t *testing.T, s *Store, after func(n int, state replog.State, vote paxos.AcceptorState)) {
	t.Helper()
	state := replog.State{}
	vote := paxos.AcceptorState{}
	n := 0
	for place := range uint64(80) {
		e := replog.Entry{Nonce: place, Payload: replog.UsageReport{Window: place, Counts: []replog.TenantCount{{Tenant: "k", Requests: place}}}}
		if place == 0 {
			e = replog.Entry{Payload: replog.MembersChange{Members: []replog.Member{{ID: 7, Name: "a", Addr: "x"}}}}
		}
		vote = paxos.AcceptorState{Index: place, Promised: paxos.ProposalNumber{Term: place + 1, Proposer: 3}}
		for _, accepted := range []bool{false, true} {
			if accepted {
				vote.Accepted, vote.Value = vote.Promised, e.Encode()
			}
			if err := s.SaveAcceptor(vote); err != nil {
				t.Fatal(err)
			}
			after(n, state, vote)
			n++
		}
		state.Apply(e.Encode())
		if err := s.AppendChosen(e.Encode(), &state); err != nil {
			t.Fatal(err)
		}
		after(n, state, vote)
		n++
	}
}

func TestWhatWasWrittenIsThere(t *testing.T) {
	dir := t.TempDir()
	s, k := open(t, dir, Identity{ID: 7, IsFounder: true})
	if k.ID != 7 || !k.IsFounder || k.State.NextIndex != 0 {
		t.Fatalf("%+v", k)
	}
	var state replog.State
	var vote paxos.AcceptorState
	life(t, s, func(_ int, st replog.State, v paxos.AcceptorState) { state, vote = st, v })
	if _, ok := s.ChosenValue(3); ok {
		t.Error("places that are in the state are still kept")
	}
	if v, ok := s.ChosenValue(79); !ok || len(v) == 0 {
		t.Error("the last place is not kept")
	}
	s.Close()
	s, k = open(t, dir, Identity{ID: 99})
	defer s.Close()
	if diff := cmp.Diff(&Recovered{Identity{7, true}, state, vote}, k); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestStoppedAnywhere copies the folder after each write of a life, as a process that is killed there leaves it, and looks
// what a start finds: no less than what was written.
func TestStoppedAnywhere(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir, Identity{ID: 7})
	defer s.Close()
	life(t, s, func(n int, state replog.State, vote paxos.AcceptorState) {
		if n%7 != 0 {
			return // every write is alike; these meet all kinds, and the state's rewriting
		}
		at := t.TempDir()
		copyDir(t, filepath.Join(dir, "state"), filepath.Join(at, "state"))
		c, k, err := Open(at, Identity{ID: 99})
		if err != nil {
			t.Fatalf("write %d: %v", n, err)
		}
		defer c.Close()
		if k.ID != 7 || !cmp.Equal(k.State, state) || !cmp.Equal(k.Acceptor, vote) {
			t.Errorf("write %d: next place %d, vote %+v; want %d, %+v", n, k.State.NextIndex, k.Acceptor, state.NextIndex, vote)
		}
	})
}

func TestTornTail(t *testing.T) {
	// What a power loss leaves of a write that was not synced: half of it, at the journal's end.
	dir := t.TempDir()
	s, _ := open(t, dir, Identity{ID: 7})
	for round := range uint64(5) {
		if err := s.SaveAcceptor(paxos.AcceptorState{Index: 1, Promised: paxos.ProposalNumber{Term: round + 1}}); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	logs, _ := filepath.Glob(filepath.Join(dir, "state", "*.log"))
	if len(logs) != 1 {
		t.Fatal(logs)
	}
	f, err := os.OpenFile(logs[0], os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	f.Write([]byte{1, 2, 3, 4, 200, 0, 1, 9, 9, 9})
	f.Close()
	s, k := open(t, dir, Identity{ID: 99})
	defer s.Close()
	if k.ID != 7 || k.Acceptor.Promised.Term != 5 {
		t.Errorf("%+v", k)
	}
}

func copyDir(t *testing.T, from, to string) {
	t.Helper()
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
}

func TestBackup(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir, Identity{ID: 7})
	var state replog.State
	life(t, s, func(_ int, st replog.State, _ paxos.AcceptorState) { state = st })
	s.Close()
	b := EncodeBackup(&state)
	got, err := DecodeBackup(b)
	if err != nil || !cmp.Equal(got, &state) {
		t.Fatalf("%+v, %v", got, err)
	}
	for name, bad := range map[string][]byte{
		"nothing": nil, "half": b[:len(b)/2], "another form": append([]byte("nhstat2\n"), b[8:]...),
		"a flipped bit": append(append([]byte{}, b[:len(b)-1]...), b[len(b)-1]^1),
	} {
		if _, err := DecodeBackup(bad); !errors.Is(err, ErrInvalidBackup) {
			t.Errorf("%s: %v", name, err)
		}
	}
	self := replog.Member{ID: 99, Name: "a", Addr: "10.0.0.1:1"}
	if err := RestoreBackup(dir, got, self); !errors.Is(err, ErrNotEmpty) {
		t.Errorf("over a state that is there: %v", err)
	}
	fresh := t.TempDir()
	if err := RestoreBackup(fresh, got, self); err != nil {
		t.Fatal(err)
	}
	s, k := open(t, fresh, Identity{ID: 5})
	defer s.Close()
	if k.ID != 99 || k.State.NextIndex != state.NextIndex || len(k.State.Members) != 1 || k.State.Member(99) == nil {
		t.Errorf("%+v", k)
	}
}

// TestPlacesAreBounded: of large values fewer places are kept, and a place that the state has is not written again, as it would
// be after a refused write, where nothing would ever remove it.
func TestPlacesAreBounded(t *testing.T) {
	s, _ := open(t, t.TempDir(), Identity{ID: 7})
	defer s.Close()
	large := make([]byte, limits.LogTailBytes/4)
	for next := range uint64(6) {
		if err := s.AppendChosen(large, &replog.State{NextIndex: next + 1}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.AppendChosen(large, &replog.State{NextIndex: 2}); err != nil {
		t.Fatal(err)
	}
	it := s.db.NewIterator(util.BytesPrefix(keyPlace), nil)
	defer it.Release()
	left := 0
	for it.Next() {
		left++
	}
	if _, ok := s.ChosenValue(5); left != 2 || !ok {
		t.Errorf("%d places are left of 6, of which 4 are in the state", left)
	}
}

// BenchmarkChanges is a life of a keeper's disk with configurations of a size: a promise, a vote and what was chosen, each synced.
func BenchmarkChanges(b *testing.B) {
	for name, size := range map[string]int{"100": 100, "262kB": 262_000, "8MiB": 8 << 20} {
		b.Run(name, func(b *testing.B) {
			dir := b.TempDir()
			s, _, err := Open(dir, Identity{ID: 7})
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			value := make([]byte, size)
			rand.NewChaCha8([32]byte{}).Read(value) // which the database makes no smaller
			peak := int64(0)
			for next := uint64(0); b.Loop(); next++ {
				v := paxos.AcceptorState{Index: next, Promised: paxos.ProposalNumber{Term: next + 1}}
				err := s.SaveAcceptor(v)
				v.Accepted, v.Value = v.Promised, value
				if err = errors.Join(err, s.SaveAcceptor(v), s.AppendChosen(value, &replog.State{NextIndex: next + 1, Config: value})); err != nil {
					b.Fatal(err)
				}
				files, _ := os.ReadDir(filepath.Join(dir, "state"))
				used := int64(0)
				for _, f := range files {
					if i, err := f.Info(); err == nil {
						used += i.Size()
					}
				}
				peak = max(peak, used)
			}
			b.ReportMetric(float64(peak), "bytes-at-most")
		})
	}
}

// refusing is a disk that removes nothing for a while.
type refusing struct {
	storage.Storage
	on *bool
}

func (r refusing) Remove(fd storage.FileDesc) error {
	if *r.on {
		return syscall.EIO
	}
	return r.Storage.Remove(fd)
}

// TestWhatCannotBeRemovedIsLeft: the database is not told that a table which it has given up cannot be removed, since it would go
// on with it and end the process; the next opening removes it.
func TestWhatCannotBeRemovedIsLeft(t *testing.T) {
	on := true
	files := refusing{storage.NewMemStorage(), &on}
	table := storage.FileDesc{Type: storage.TypeTable, Num: 99}
	w, err := files.Create(table)
	if err != nil {
		t.Fatal(err)
	}
	w.Close()
	left := func() int { all, _ := files.List(storage.TypeTable); return len(all) }
	disk := SyncNames(files, func() error { return nil })
	if err := disk.Remove(table); err != nil || left() != 1 {
		t.Errorf("%v, %d tables", err, left())
	}
	on = false
	s, _, err := OpenFiles(func() (storage.Storage, error) { return disk, nil }, Identity{ID: 7})
	if err != nil || left() != 0 {
		t.Fatalf("%v, %d tables after it was opened", err, left())
	}
	s.Close()
}
