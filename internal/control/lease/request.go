package lease

import (
	"encoding/binary"
	"hash/fnv"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/replog"
)

// Renewal is the holder's request for a grant.
type Renewal struct {
	FencingToken uint64 // the holder's
	Holder       uint64
	VotersHash   uint64 // VoterSet of the members that the holder counts its majority among
}

// Encode returns the request as it stands on the wire.
func (q Renewal) Encode() []byte {
	w := encoding.Writer{}
	w.Uvarint(q.FencingToken)
	w.Fixed64(q.Holder)
	w.Fixed64(q.VotersHash)
	return w.Buf
}

// DecodeRenewal reads a renewal. Programs of earlier releases send no Voters: known stands in for it there.
func DecodeRenewal(b []byte, known uint64) (Renewal, error) {
	r := encoding.Reader{Buf: b}
	q := Renewal{FencingToken: r.Uvarint(), Holder: r.Fixed64(), VotersHash: known}
	if len(r.Buf) > 0 {
		q.VotersHash = r.Fixed64()
	}
	return q, r.Finish()
}

// Candidacy asks whether another's lease would be in the way of a candidate.
type Candidacy struct {
	FencingToken uint64 // of the newest holder that the candidate knows of
	Candidate    uint64
}

// Encode returns the request as it stands on the wire.
func (q Candidacy) Encode() []byte {
	w := encoding.Writer{}
	w.Uvarint(q.FencingToken)
	w.Fixed64(q.Candidate)
	return w.Buf
}

// DecodeCandidacy reads a candidacy.
func DecodeCandidacy(b []byte) (Candidacy, error) {
	r := encoding.Reader{Buf: b}
	q := Candidacy{FencingToken: r.Uvarint(), Candidate: r.Fixed64()}
	return q, r.Finish()
}

// EncodeResponse returns the answer to a Renewal or a Candidacy.
func EncodeResponse(granted bool) []byte {
	if granted {
		return []byte{1}
	}
	return []byte{0}
}

// IsGranted reports whether an answer grants what was asked.
func IsGranted(answer []byte) bool { return len(answer) == 1 && answer[0] == 1 }

// HashVoters returns a hash of who the voters are, in the order of the log's state.
func HashVoters(members []replog.Member) uint64 {
	h := fnv.New64a()
	for _, m := range members {
		h.Write(binary.BigEndian.AppendUint64(nil, m.ID))
	}
	return h.Sum64()
}
