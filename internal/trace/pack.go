package trace

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// pack appends the record of an ordinary try to b: one with one leg at the most, in the order of its fields.
func (t *Try) pack(b []byte) []byte {
	b = append(b, t.Trace[:]...)
	b = append(b, t.Span[:]...)
	b = append(b, t.Parent[:]...)
	b = append(b, t.Flags, byte(t.Outcome), byte(t.Why))
	for _, s := range [...]string{t.State, t.Front, t.Team, t.CallID, t.Class} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	b = binary.LittleEndian.AppendUint64(b, t.Session)
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(t.Prompt))
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(t.Kept))
	for _, d := range [...]time.Duration{t.At, t.Reading, t.First, t.Decided, t.End, t.Aim, t.RetryAfter, time.Duration(t.Tokens)} {
		b = binary.AppendVarint(b, int64(d))
	}
	for _, d := range t.Phases {
		b = binary.AppendVarint(b, int64(d))
	}
	b = append(b, byte(len(t.Legs)))
	for i := range t.Legs {
		l := &t.Legs[i]
		b = append(b, l.Span[:]...)
		b = append(b, byte(l.Why), byte(l.Result), byte(l.Said), bit(l.Fresh)|bit(l.Stale)<<1)
		for _, s := range [...]string{l.Host, l.Dial} {
			b = binary.AppendUvarint(b, uint64(len(s)))
			b = append(b, s...)
		}
		for _, d := range [...]time.Duration{l.Sent, l.Begun, l.Lined, l.Written, l.First, l.Event, l.Bound, l.Told, l.Ended, l.Relay,
			time.Duration(l.Bytes)} {
			b = binary.AppendVarint(b, int64(d))
		}
	}
	return b
}

func bit(v bool) byte {
	if v {
		return 1
	}
	return 0
}

var errPacked = errors.New("trace: a packed record is cut off")

// unpacker reads what pack wrote; its first failure sticks.
type unpacker struct {
	b   []byte
	err error
}

func (u *unpacker) take(n int) []byte {
	if u.err != nil || n < 0 || n > len(u.b) {
		u.err = errPacked
		return make([]byte, max(min(n, 16), 0))
	}
	p := u.b[:n]
	u.b = u.b[n:]
	return p
}

func (u *unpacker) text() string {
	n, size := binary.Uvarint(u.b)
	if size <= 0 || n > uint64(len(u.b)) {
		u.err = errPacked
		return ""
	}
	u.b = u.b[size:]
	return string(u.take(int(n)))
}

func (u *unpacker) time() time.Duration {
	d, size := binary.Varint(u.b)
	if size <= 0 {
		u.err = errPacked
		return 0
	}
	u.b = u.b[size:]
	return time.Duration(d)
}

func (u *unpacker) word() uint64 { return binary.LittleEndian.Uint64(u.take(8)) }

// unpack reads a record that pack wrote.
func unpack(b []byte) (*Try, error) {
	u, t := &unpacker{b: b}, &Try{Number: 1}
	copy(t.Trace[:], u.take(16))
	copy(t.Span[:], u.take(8))
	copy(t.Parent[:], u.take(8))
	small := u.take(3)
	t.Flags, t.Outcome, t.Why = small[0], Outcome(small[1]), Why(small[2])
	for _, s := range [...]*string{&t.State, &t.Front, &t.Team, &t.CallID, &t.Class} {
		*s = u.text()
	}
	t.Session, t.Prompt, t.Kept = u.word(), math.Float64frombits(u.word()), math.Float64frombits(u.word())
	for _, d := range [...]*time.Duration{&t.At, &t.Reading, &t.First, &t.Decided, &t.End, &t.Aim, &t.RetryAfter} {
		*d = u.time()
	}
	t.Tokens = int(u.time())
	for i := range t.Phases {
		t.Phases[i] = u.time()
	}
	for range u.take(1)[0] {
		var l Leg
		copy(l.Span[:], u.take(8))
		p := u.take(4)
		l.Why, l.Result, l.Said, l.Fresh, l.Stale = Why(p[0]), Result(p[1]), Result(p[2]), p[3]&1 != 0, p[3]&2 != 0
		l.Host, l.Dial = u.text(), u.text()
		for _, d := range [...]*time.Duration{&l.Sent, &l.Begun, &l.Lined, &l.Written, &l.First, &l.Event, &l.Bound, &l.Told, &l.Ended, &l.Relay} {
			*d = u.time()
		}
		l.Bytes = int(u.time())
		if u.err != nil {
			break
		}
		t.Legs = append(t.Legs, l)
	}
	return t, u.err
}
