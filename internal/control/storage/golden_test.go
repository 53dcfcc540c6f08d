package storage

import (
	"bytes"
	"fmt"
	"testing"

	leveldbstorage "github.com/syndtr/goleveldb/leveldb/storage"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/testutil/golden"
)

// goldenEntries returns the entries of a log, in order.
func goldenEntries() []replog.Entry {
	return []replog.Entry{
		{Nonce: 1, Payload: replog.MembersChange{Members: []replog.Member{{ID: 7, Name: "k-1", Addr: "10.0.0.1:7000"}, {ID: 8, Name: "k-2", Addr: "10.0.0.2:7000"}}}},
		{Nonce: 2, Payload: replog.ConfigChange{Config: []byte("\xa3\x68revision\x05\x66routes\x80\x68services\x80")}},
		{Nonce: 3, Payload: replog.LeaseGrant{HolderID: 8, HolderName: "k-2"}},
		{Nonce: 4, Payload: replog.UsageReport{Window: 352_800_000, Counts: []replog.TenantCount{{Tenant: "lab", Requests: 300}}}},
		{Nonce: 5, Payload: replog.MembersChange{Members: []replog.Member{{ID: 7, Name: "k-1", Addr: "10.0.0.1:7000"}}}},
	}
}

// goldenState returns the state after the first n of goldenEntries.
func goldenState(n int) *replog.State {
	s := &replog.State{}
	for _, e := range goldenEntries()[:n] {
		s.Apply(e.Encode())
	}
	return s
}

var goldenAcceptor = paxos.AcceptorState{
	Index: 5, Promised: paxos.ProposalNumber{Term: 300, Proposer: 0x0102030405060708}, Accepted: paxos.ProposalNumber{Term: 7, Proposer: 2}, Value: []byte("a value"),
}

// writeGolden writes a snapshot of the first entries, then each of the others, and the acceptor state.
func writeGolden(t *testing.T, s *Store, entriesInSnapshot int) {
	t.Helper()
	state := goldenState(entriesInSnapshot)
	if entriesInSnapshot > 0 {
		if err := s.SaveSnapshot(state); err != nil {
			t.Fatal(err)
		}
	}
	for _, e := range goldenEntries()[entriesInSnapshot:] {
		state.Apply(e.Encode())
		if err := s.AppendChosen(e.Encode(), state); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.SaveAcceptor(goldenAcceptor); err != nil {
		t.Fatal(err)
	}
}

// TestGoldenRecords checks the keys and values of the records.
func TestGoldenRecords(t *testing.T) {
	for _, entriesInSnapshot := range []int{0, 3, 5} {
		files := leveldbstorage.NewMemStorage()
		s, _, err := OpenFiles(func() (leveldbstorage.Storage, error) { return files, nil }, Identity{ID: 7, IsFounder: true})
		if err != nil {
			t.Fatal(err)
		}
		writeGolden(t, s, entriesInSnapshot)
		var records bytes.Buffer
		it := s.db.NewIterator(nil, nil)
		for it.Next() {
			fmt.Fprintf(&records, "%q %x\n", it.Key(), it.Value())
		}
		it.Release()
		closeStore(t, s)
		golden.Check(t, fmt.Sprintf("records-state-of-%d.txt", entriesInSnapshot), records.Bytes())
	}
}

// TestGoldenFolder opens databases from the golden files, one with only a journal and one that was reopened. It checks that their
// content is recovered and that an entry can be appended.
func TestGoldenFolder(t *testing.T) {
	if golden.Updating() {
		for _, entriesInSnapshot := range []int{0, 3} {
			dir := t.TempDir()
			s, _ := open(t, dir, Identity{ID: 7, IsFounder: true})
			writeGolden(t, s, entriesInSnapshot)
			closeStore(t, s)
			if entriesInSnapshot > 0 {
				s, _ = open(t, dir, Identity{})
				if err := s.SaveAcceptor(goldenAcceptor); err != nil {
					t.Fatal(err)
				}
				closeStore(t, s)
			}
			golden.SaveFolder(t, fmt.Sprintf("folder-state-of-%d", entriesInSnapshot), dir, "state/LOG", "state/LOCK")
		}
	}
	for _, entriesInSnapshot := range []int{0, 3} {
		dir := golden.CopyFolder(t, fmt.Sprintf("folder-state-of-%d", entriesInSnapshot))
		s, recovered := open(t, dir, Identity{ID: 99})
		golden.Equal(t, dir, &Recovered{Identity: Identity{ID: 7, IsFounder: true}, State: *goldenState(5), Acceptor: goldenAcceptor}, recovered)
		if v, ok := s.ChosenValue(4); !ok || !bytes.Equal(v, goldenEntries()[4].Encode()) {
			t.Errorf("%s: the last entry is %x, found %v", dir, v, ok)
		}
		if _, ok := s.ChosenValue(0); ok != (entriesInSnapshot == 0) {
			t.Errorf("%s: the first entry is found: %v", dir, ok)
		}
		next := *goldenState(5)
		value := replog.Entry{Nonce: 6, Payload: replog.Noop{}}.Encode()
		next.Apply(value)
		if err := s.AppendChosen(value, &next); err != nil {
			t.Fatal(err)
		}
		closeStore(t, s)
		s, recovered = open(t, dir, Identity{ID: 99})
		golden.Equal(t, dir+" after another entry", next, recovered.State)
		closeStore(t, s)
	}
}

// withoutVoteLosses returns the state after all goldenEntries in a release that does not support format 3.
func withoutVoteLosses() *replog.State {
	s := goldenState(5)
	s.VoteLosses = nil
	return s
}

// TestGoldenRecordsOfTheSecondFormat checks that a database of a release without format 3 is recovered.
func TestGoldenRecordsOfTheSecondFormat(t *testing.T) {
	files := leveldbstorage.NewMemStorage()
	openFiles := func() (leveldbstorage.Storage, error) { return files, nil }
	s, _, err := OpenFiles(openFiles, Identity{ID: 99})
	if err != nil {
		t.Fatal(err)
	}
	for line := range bytes.Lines(golden.Read(t, "records-state-of-5-format-2.txt")) {
		var key string
		var value []byte
		if _, err := fmt.Sscanf(string(line), "%q %x\n", &key, &value); err != nil {
			t.Fatal(err)
		}
		if err := s.db.Put([]byte(key), value, nil); err != nil {
			t.Fatal(err)
		}
	}
	closeStore(t, s)
	s, recovered, err := OpenFiles(openFiles, Identity{ID: 99})
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "recovered", &Recovered{Identity: Identity{ID: 7, IsFounder: true}, State: *withoutVoteLosses(), Acceptor: goldenAcceptor}, recovered)
	closeStore(t, s)
}

// TestGoldenBackup checks the encoding and decoding of backups in each state format.
func TestGoldenBackup(t *testing.T) {
	golden.RoundTrip(t, "backup-format-1.hex", goldenState(4), EncodeBackup, DecodeBackup)
	golden.RoundTrip(t, "backup-format-2.hex", withoutVoteLosses(), EncodeBackup, DecodeBackup)
	golden.RoundTrip(t, "backup-format-3.hex", goldenState(5), EncodeBackup, DecodeBackup)
}
