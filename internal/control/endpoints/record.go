package endpoints

import (
	"cmp"
	"time"

	"notchhinge/internal/control/encoding"
)

// State is the state that an endpoint reports. Of two states reported by one heartbeat the greater wins.
type State uint8

// States of an endpoint.
const (
	StateReady State = iota
	StateDraining
	StateGone
)

// Record is what an endpoint says about itself.
type Record struct {
	ID        string
	Service   string
	Addr      string
	Zone      string
	Revision  string
	Slots     uint64 // requests that it serves at one time
	State     State
	CallCount uint64 // number of the heartbeat that first said this
	WarmAtMS  int64  // wall time at which its slow start ends; 0 = it has none. With StateGone: since when it is gone
}

const (
	maxFieldBytes = 256
	maxSlots      = 1 << 20

	// deregistered is the CallCount of an endpoint that has deregistered, above that of any heartbeat. Discovery needs some
	// bits above it.
	deregistered = 1 << 60

	expiry = 60 * time.Second // a record that is gone is kept for so long, far beyond any late heartbeat
	// staleAfter is the age from which a record that is gone is not taken over from others: it would circulate for ever.
	staleAfter = expiry / 2
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

// Decode reads the binary form of a record. Slots above the bound are capped.
func Decode(b []byte) (Record, error) {
	x := encoding.Reader{Buf: b}
	r := Record{
		ID: x.String(maxFieldBytes), Service: x.String(maxFieldBytes), Addr: x.String(maxFieldBytes), Zone: x.String(maxFieldBytes),
		Revision: x.String(maxFieldBytes), Slots: min(x.Uvarint(), maxSlots), State: State(x.Byte()), CallCount: x.Uvarint(),
		WarmAtMS: int64(x.Uvarint() &^ (1 << 63)),
	}
	if (r.State > StateGone || r.CallCount > deregistered) && x.Err == nil {
		return r, encoding.ErrTooLong
	}
	return r, x.Finish()
}

// IsStale reports whether the record is of an endpoint that has been gone for so long that no process needs it.
func (r *Record) IsStale(wallMS int64) bool {
	return r.State == StateGone && wallMS-r.WarmAtMS > staleAfter.Milliseconds()
}

// supersedes reports whether the record is newer than another of the same endpoint. The order is total: by heartbeat, then by
// state, then by the other fields.
func (r *Record) supersedes(old *Record) bool {
	return cmp.Or(cmp.Compare(r.CallCount, old.CallCount), cmp.Compare(r.State, old.State), cmp.Compare(r.Service, old.Service),
		cmp.Compare(r.Addr, old.Addr), cmp.Compare(r.Zone, old.Zone), cmp.Compare(r.Revision, old.Revision),
		cmp.Compare(r.Slots, old.Slots), cmp.Compare(r.WarmAtMS, old.WarmAtMS)) > 0
}

// saysTheSame reports whether two records agree in all but the times.
func (r *Record) saysTheSame(old *Record) bool {
	x, y := *r, *old
	x.CallCount, y.CallCount, x.WarmAtMS, y.WarmAtMS = 0, 0, 0, 0
	return x == y
}
