package lease

import (
	"encoding/binary"
	"hash/fnv"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/replog"
)

// Renewal is the holder's request for a new or extended lease.
type Renewal struct {
	FencingToken uint64 // the holder's
	Holder       uint64
	VotersHash   uint64 // HashVoters of the members among which the holder counts its majority
}

// Encode returns the encoded request.
func (r Renewal) Encode() []byte {
	w := encoding.Writer{}
	w.Uvarint(r.FencingToken)
	w.Fixed64(r.Holder)
	w.Fixed64(r.VotersHash)
	return w.Buf
}

// DecodeRenewal decodes a Renewal. Earlier releases send no VotersHash; it is then set to defaultHash.
func DecodeRenewal(b []byte, defaultHash uint64) (Renewal, error) {
	r := encoding.Reader{Buf: b}
	request := Renewal{FencingToken: r.Uvarint(), Holder: r.Fixed64(), VotersHash: defaultHash}
	if len(r.Buf) > 0 {
		request.VotersHash = r.Fixed64()
	}
	return request, r.Finish()
}

// Candidacy is a candidate's request for permission to be proposed as the holder. A voter rejects it while the lease of another
// holder may still be valid.
type Candidacy struct {
	FencingToken uint64 // of the newest holder that the candidate knows
	Candidate    uint64
}

// Encode returns the encoded request.
func (r Candidacy) Encode() []byte {
	w := encoding.Writer{}
	w.Uvarint(r.FencingToken)
	w.Fixed64(r.Candidate)
	return w.Buf
}

// DecodeCandidacy decodes a Candidacy.
func DecodeCandidacy(b []byte) (Candidacy, error) {
	r := encoding.Reader{Buf: b}
	request := Candidacy{FencingToken: r.Uvarint(), Candidate: r.Fixed64()}
	return request, r.Finish()
}

// EncodeResponse returns the encoded response to a Renewal or a Candidacy.
func EncodeResponse(granted bool) []byte {
	if granted {
		return []byte{1}
	}
	return []byte{0}
}

// IsGranted reports whether an encoded response grants the request.
func IsGranted(response []byte) bool { return len(response) == 1 && response[0] == 1 }

// HashVoters returns a hash of the IDs of the voters, in their order in the log's state.
func HashVoters(members []replog.Member) uint64 {
	h := fnv.New64a()
	for _, m := range members {
		h.Write(binary.BigEndian.AppendUint64(nil, m.ID))
	}
	return h.Sum64()
}
