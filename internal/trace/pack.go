package trace

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// pack appends the record of an ordinary try to b, in the order of its fields and at their full width, which is faster
// than fewer bytes. The phases are not in it: unpack reckons them again, from when the try was taken.
func (t *Record) pack(b []byte, taken time.Duration) []byte {
	b = append(b, t.Trace[:]...)
	b = append(b, t.Span[:]...)
	b = append(b, t.Parent[:]...)
	b = append(b, t.Flags, byte(t.Outcome), byte(t.Why), byte(len(t.Attempts)))
	b = words(b, t.Session, math.Float64bits(t.PromptTokens), math.Float64bits(t.CachedTokens), uint64(t.At), uint64(t.Reading), uint64(t.FirstEvent),
		uint64(t.RejectedAt), uint64(t.End), uint64(t.TargetLatency), uint64(t.RetryAfter), uint64(t.OutputTokens), uint64(taken))
	for _, s := range [...]string{t.State, t.Pool, t.Frontend, t.Team, t.CallID, t.Class} {
		b = append(binary.LittleEndian.AppendUint16(b, uint16(len(s))), s...)
	}
	for i := range t.Attempts {
		l := &t.Attempts[i]
		b = append(b, l.Span[:]...)
		b = append(b, byte(l.Why), byte(l.Result), byte(l.TransportResult), bit(l.NewConnection)|bit(l.StaleConnection)<<1)
		b = words(b, uint64(l.Sent), uint64(l.Started), uint64(l.Connected), uint64(l.Written), uint64(l.FirstByte), uint64(l.FirstEvent),
			uint64(l.Bound), uint64(l.Reported), uint64(l.Ended), uint64(l.Relay), uint64(l.Bytes))
		for _, s := range [...]string{l.Host, l.Addr} {
			b = append(binary.LittleEndian.AppendUint16(b, uint16(len(s))), s...)
		}
	}
	return b
}

func words(b []byte, all ...uint64) []byte {
	for _, w := range all {
		b = binary.LittleEndian.AppendUint64(b, w)
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
	p := u.take(2)
	return string(u.take(int(p[0]) | int(p[1])<<8))
}

func (u *unpacker) times(to ...*time.Duration) {
	for _, d := range to {
		*d = time.Duration(u.word())
	}
}

func (u *unpacker) word() uint64 { return binary.LittleEndian.Uint64(u.take(8)) }

// unpack reads a record that pack wrote.
func unpack(b []byte) (*Record, error) {
	u, t := &unpacker{b: b}, &Record{Number: 1}
	copy(t.Trace[:], u.take(16))
	copy(t.Span[:], u.take(8))
	copy(t.Parent[:], u.take(8))
	small := u.take(4)
	t.Flags, t.Outcome, t.Why = small[0], Outcome(small[1]), DecisionReason(small[2])
	legs := int(small[3])
	t.Session, t.PromptTokens, t.CachedTokens = u.word(), math.Float64frombits(u.word()), math.Float64frombits(u.word())
	var tokens, taken, bytes time.Duration
	u.times(&t.At, &t.Reading, &t.FirstEvent, &t.RejectedAt, &t.End, &t.TargetLatency, &t.RetryAfter, &tokens, &taken)
	t.OutputTokens = int(tokens)
	for _, s := range [...]*string{&t.State, &t.Pool, &t.Frontend, &t.Team, &t.CallID, &t.Class} {
		*s = u.text()
	}
	for range legs {
		var l Attempt
		copy(l.Span[:], u.take(8))
		p := u.take(4)
		l.Why, l.Result, l.TransportResult, l.NewConnection, l.StaleConnection = DecisionReason(p[0]), Result(p[1]), Result(p[2]), p[3]&1 != 0, p[3]&2 != 0
		u.times(&l.Sent, &l.Started, &l.Connected, &l.Written, &l.FirstByte, &l.FirstEvent, &l.Bound, &l.Reported, &l.Ended, &l.Relay, &bytes)
		l.Bytes = int(bytes)
		l.Host, l.Addr = u.text(), u.text()
		if u.err != nil {
			return nil, u.err
		}
		t.Attempts = append(t.Attempts, l)
	}
	if u.err != nil {
		return nil, u.err
	}
	t.reckon(taken)
	return t, nil
}
