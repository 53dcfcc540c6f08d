package storage

import (
	"encoding/binary"
	"fmt"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
)

// Keys of the records. The package comment describes the records.
var (
	keyIdentity    = []byte("identity")
	keyAcceptor    = []byte("vote")
	keySnapshot    = []byte("state")
	entryPrefix    = []byte("place/")
	endpointPrefix = []byte("endpoint/")
)

// recordVersion is the first byte of the identity and of the acceptor state.
const recordVersion = 1

// maxValueBytes limits the size of the accepted value when an acceptor state is decoded.
const maxValueBytes = 1 << 30

// entryKey returns the key of an entry. Keys are in the same order as indexes.
func entryKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(append([]byte{}, entryPrefix...), index)
}

// readRecords reads all records. If the store is empty, it writes newIdentity.
func (s *Store) readRecords(newIdentity Identity) (*Recovered, error) {
	b, err := s.get(keyIdentity)
	if err != nil {
		return nil, err
	}
	if b == nil {
		return &Recovered{Identity: newIdentity}, s.put(keyIdentity, encodeIdentity(newIdentity))
	}
	r := &Recovered{}
	if r.Identity, err = decodeIdentity(b); err != nil {
		return nil, fmt.Errorf("identity: %w", err)
	}
	if err := s.readState(&r.State); err != nil {
		return nil, err
	}
	if r.Endpoints, err = s.readEndpoints(); err != nil {
		return nil, err
	}
	if b, err = s.get(keyAcceptor); err != nil {
		return nil, err
	}
	if b != nil {
		if r.Acceptor, err = decodeAcceptor(b); err != nil {
			return nil, fmt.Errorf("acceptor state: %w", err)
		}
	}
	return r, nil
}

// readState reads the snapshot and applies the entries after it.
func (s *Store) readState(state *replog.State) error {
	b, err := s.get(keySnapshot)
	if err != nil {
		return err
	}
	if b != nil {
		snapshot, err := replog.DecodeState(b)
		if err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
		*state = *snapshot
	}
	s.snapshotIndex = state.NextIndex
	for {
		value, err := s.get(entryKey(state.NextIndex))
		if err != nil {
			return err
		}
		if value == nil {
			return nil
		}
		state.Apply(value)
		s.entries++
		s.entryBytes += len(value)
	}
}

func encodeIdentity(i Identity) []byte {
	w := encoding.Writer{}
	w.Byte(recordVersion)
	w.Fixed64(i.ID)
	founder := byte(0)
	if i.IsFounder {
		founder = 1
	}
	w.Byte(founder)
	return w.Buf
}

func decodeIdentity(b []byte) (i Identity, err error) {
	r := encoding.Reader{Buf: b}
	if r.Byte() != recordVersion {
		return i, replog.ErrUnknownVersion
	}
	i = Identity{ID: r.Fixed64(), IsFounder: r.Byte() == 1}
	return i, r.Finish()
}

func encodeAcceptor(a *paxos.AcceptorState) []byte {
	w := encoding.Writer{}
	w.Byte(recordVersion)
	w.Uvarint(a.Index)
	for _, n := range []paxos.ProposalNumber{a.Promised, a.Accepted} {
		w.Uvarint(n.Term)
		w.Fixed64(n.Proposer)
	}
	w.Bytes(a.Value)
	return w.Buf
}

func decodeAcceptor(b []byte) (a paxos.AcceptorState, err error) {
	r := encoding.Reader{Buf: b}
	if r.Byte() != recordVersion {
		return a, replog.ErrUnknownVersion
	}
	a.Index = r.Uvarint()
	a.Promised = paxos.ProposalNumber{Term: r.Uvarint(), Proposer: r.Fixed64()}
	a.Accepted = paxos.ProposalNumber{Term: r.Uvarint(), Proposer: r.Fixed64()}
	if a.Value = r.Bytes(maxValueBytes); len(a.Value) == 0 {
		a.Value = nil
	}
	return a, r.Finish()
}
