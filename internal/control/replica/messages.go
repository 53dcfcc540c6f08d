package replica

import (
	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
)

// The bodies of calls between replicas. Their bytes must not change: replicas of two releases call each other.

const (
	// maxValueBytes is the maximum size of a log entry: a configuration and its envelope.
	maxValueBytes = fleetconfig.MaxBytes + 4096
	// maxNameBytes is the maximum length of a replica's name or address.
	maxNameBytes = 256
	// joinGroupFull is the answer to an rpc.KindJoin if the group is complete and no voter has failed.
	joinGroupFull byte = 1
)

func writeProposalNumber(w *encoding.Writer, n paxos.ProposalNumber) {
	w.Uvarint(n.Term)
	w.Fixed64(n.Proposer)
}

func readProposalNumber(r *encoding.Reader) paxos.ProposalNumber {
	return paxos.ProposalNumber{Term: r.Uvarint(), Proposer: r.Fixed64()}
}

// readValue reads a value. It returns nil for an empty one.
func readValue(r *encoding.Reader) []byte {
	if b := r.Bytes(maxValueBytes); len(b) > 0 {
		return b
	}
	return nil
}

func encodePaxosRequest(req *paxos.Request) []byte {
	w := encoding.Writer{}
	w.Byte(byte(req.Kind))
	w.Uvarint(req.Index)
	writeProposalNumber(&w, req.Number)
	w.Bytes(req.Value)
	return w.Buf
}

func decodePaxosRequest(b []byte) (req paxos.Request, err error) {
	r := encoding.Reader{Buf: b}
	req = paxos.Request{Kind: paxos.RequestKind(r.Byte()), Index: r.Uvarint(), Number: readProposalNumber(&r)}
	req.Value = readValue(&r)
	return req, r.Finish()
}

func encodePaxosResponse(resp *paxos.Response) []byte {
	w := encoding.Writer{}
	w.Byte(byte(resp.Verdict))
	w.Uvarint(resp.NextIndex)
	writeProposalNumber(&w, resp.Promised)
	writeProposalNumber(&w, resp.Accepted)
	w.Bytes(resp.Value)
	return w.Buf
}

func decodePaxosResponse(b []byte) (resp paxos.Response, err error) {
	r := encoding.Reader{Buf: b}
	resp = paxos.Response{Verdict: paxos.Verdict(r.Byte()), NextIndex: r.Uvarint()}
	resp.Promised = readProposalNumber(&r)
	resp.Accepted = readProposalNumber(&r)
	resp.Value = readValue(&r)
	return resp, r.Finish()
}

func encodeCommit(index uint64, number paxos.ProposalNumber) []byte {
	w := encoding.Writer{}
	w.Uvarint(index)
	writeProposalNumber(&w, number)
	return w.Buf
}

func decodeCommit(b []byte) (index uint64, number paxos.ProposalNumber, err error) {
	r := encoding.Reader{Buf: b}
	index, number = r.Uvarint(), readProposalNumber(&r)
	return index, number, r.Finish()
}

// EncodeIndexed encodes a log index and the bytes that belong to it.
func EncodeIndexed(index uint64, value []byte) []byte {
	w := encoding.Writer{}
	w.Uvarint(index)
	w.Bytes(value)
	return w.Buf
}

// DecodeIndexed decodes the output of EncodeIndexed. The returned value is a slice of b.
func DecodeIndexed(b []byte) (index uint64, value []byte, err error) {
	r := encoding.Reader{Buf: b}
	index, value = r.Uvarint(), r.Bytes(maxValueBytes)
	return index, value, r.Finish()
}

// identity describes a replica and its progress in the log.
type identity struct {
	replog.Member
	nextIndex uint64
	isFounder bool
}

func (i identity) encode() []byte {
	w := encoding.Writer{}
	w.Fixed64(i.ID)
	w.String(i.Name)
	w.String(i.Addr)
	w.Uvarint(i.nextIndex)
	if i.isFounder {
		w.Byte(1)
	} else {
		w.Byte(0)
	}
	return w.Buf
}

func decodeIdentity(b []byte) (i identity, err error) {
	r := encoding.Reader{Buf: b}
	i.Member = replog.Member{ID: r.Fixed64(), Name: r.String(maxNameBytes), Addr: r.String(maxNameBytes)}
	i.nextIndex, i.isFounder = r.Uvarint(), r.Byte() == 1
	return i, r.Finish()
}
