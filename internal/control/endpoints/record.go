package endpoints

import (
	"cmp"
	"time"

	"notchhinge/internal/control/encoding"
)

// State is the state that an endpoint reports. If two records have the same CallCount, the greater state wins.
type State uint8

// States of an endpoint.
const (
	StateReady State = iota
	StateDraining
	StateGone
)

// Record contains what an endpoint reports about itself.
type Record struct {
	ID        string
	Service   string
	Addr      string
	Zone      string
	Revision  string
	Slots     uint64 // maximum number of concurrent requests
	State     State
	CallCount uint64 // number of the heartbeat that first reported this record
	WarmAtMS  int64  // wall time at which slow start ends; 0 = no slow start. In StateGone: wall time at which the endpoint ended
}

const (
	maxFieldBytes = 256
	maxSlots      = 1 << 20

	// deregisteredCallCount is the CallCount of a deregistered endpoint, above that of any heartbeat. Package discovery shifts
	// it left to make room for flags, so the upper bits must be free.
	deregisteredCallCount = 1 << 60
	// replacedCallCount is the CallCount of an endpoint that counts as gone because another one has come at its address. No heartbeat has
	// it, and the endpoint's own deregistration supersedes it.
	replacedCallCount = deregisteredCallCount - 1

	// expiryTimeout is the time without a heartbeat after which an endpoint counts as failed, and the time for which a gone record
	// is kept. It is far above the delay of any heartbeat.
	expiryTimeout = 60 * time.Second
	// staleAfter is the age of a gone record above which other processes do not accept it. Without this limit it would circulate forever.
	staleAfter = expiryTimeout / 2
)

// Encode returns the binary form of the record.
func (r *Record) Encode() []byte {
	w := encoding.Writer{}
	w.String(r.ID)
	w.String(r.Service)
	w.String(r.Addr)
	w.String(r.Zone)
	w.String(r.Revision)
	w.Uvarint(r.Slots)
	w.Byte(byte(r.State))
	w.Uvarint(r.CallCount)
	w.Uvarint(uint64(max(r.WarmAtMS, 0)))
	return w.Buf
}

// Decode decodes the binary form of a record. It caps Slots at maxSlots.
func Decode(b []byte) (Record, error) {
	reader := encoding.Reader{Buf: b}
	r := Record{
		ID: reader.String(maxFieldBytes), Service: reader.String(maxFieldBytes), Addr: reader.String(maxFieldBytes), Zone: reader.String(maxFieldBytes),
		Revision: reader.String(maxFieldBytes), Slots: min(reader.Uvarint(), maxSlots), State: State(reader.Byte()), CallCount: reader.Uvarint(),
		WarmAtMS: int64(reader.Uvarint() &^ (1 << 63)),
	}
	if (r.State > StateGone || r.CallCount > deregisteredCallCount) && reader.Err == nil {
		return r, encoding.ErrTooLong
	}
	return r, reader.Finish()
}

// IsSignedOff reports whether the endpoint itself has announced its end, by draining or deregistering.
func (r *Record) IsSignedOff() bool {
	return r.State == StateDraining || r.State == StateGone && r.CallCount == deregisteredCallCount
}

// IsStale reports whether the endpoint has been gone for so long that no process needs the record.
func (r *Record) IsStale(wallMS int64) bool {
	return r.State == StateGone && wallMS-r.WarmAtMS > staleAfter.Milliseconds()
}

// supersedes reports whether the record is greater than another record of the same endpoint. The order is total: by CallCount,
// then by state, then by the other fields.
func (r *Record) supersedes(old *Record) bool {
	return cmp.Or(cmp.Compare(r.CallCount, old.CallCount), cmp.Compare(r.State, old.State), cmp.Compare(r.Service, old.Service),
		cmp.Compare(r.Addr, old.Addr), cmp.Compare(r.Zone, old.Zone), cmp.Compare(r.Revision, old.Revision),
		cmp.Compare(r.Slots, old.Slots), cmp.Compare(r.WarmAtMS, old.WarmAtMS)) > 0
}

// hasSameContent reports whether two records are equal apart from CallCount and WarmAtMS.
func (r *Record) hasSameContent(old *Record) bool {
	x, y := *r, *old
	x.CallCount, y.CallCount, x.WarmAtMS, y.WarmAtMS = 0, 0, 0, 0
	return x == y
}
