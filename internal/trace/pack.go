package trace

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// pack appends an ordinary record to b. Numbers have a fixed width, which is faster than a varint. The phases are left
// out: unpack computes them again, for which it needs queueTime.
func (r *Record) pack(b []byte, queueTime time.Duration) []byte {
	b = append(b, r.Trace[:]...)
	b = append(b, r.Span[:]...)
	b = append(b, r.Parent[:]...)
	b = append(b, r.Flags, byte(r.Outcome), byte(r.Why), byte(len(r.Attempts)))
	b = appendWords(b, r.Session, math.Float64bits(r.PromptTokens), math.Float64bits(r.CachedTokens),
		uint64(r.At), uint64(r.Reading), uint64(r.FirstEvent),
		uint64(r.RejectedAt), uint64(r.End), uint64(r.TargetLatency), uint64(r.RetryAfter), uint64(r.OutputTokens), uint64(queueTime))
	for _, s := range [...]string{r.State, r.Pool, r.Frontend, r.Team, r.CallID, r.Class} {
		b = append(binary.LittleEndian.AppendUint16(b, uint16(len(s))), s...)
	}
	for i := range r.Attempts {
		a := &r.Attempts[i]
		b = append(b, a.Span[:]...)
		b = append(b, byte(a.Why), byte(a.Result), byte(a.TransportResult), boolBit(a.NewConnection)|boolBit(a.StaleConnection)<<1)
		b = appendWords(b, uint64(a.Sent), uint64(a.Started), uint64(a.Connected), uint64(a.Written), uint64(a.FirstByte), uint64(a.FirstEvent),
			uint64(a.Bound), uint64(a.Reported), uint64(a.Ended), uint64(a.Relay), uint64(a.Bytes))
		for _, s := range [...]string{a.Host, a.Addr} {
			b = append(binary.LittleEndian.AppendUint16(b, uint16(len(s))), s...)
		}
	}
	return b
}

func appendWords(b []byte, all ...uint64) []byte {
	for _, w := range all {
		b = binary.LittleEndian.AppendUint64(b, w)
	}
	return b
}

func boolBit(v bool) byte {
	if v {
		return 1
	}
	return 0
}

var errPacked = errors.New("trace: packed record is truncated")

// unpacker decodes what pack wrote. After an error, reads return zero values.
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

// unpack decodes a record that pack wrote.
func unpack(b []byte) (*Record, error) {
	u, r := &unpacker{b: b}, &Record{Number: 1}
	copy(r.Trace[:], u.take(16))
	copy(r.Span[:], u.take(8))
	copy(r.Parent[:], u.take(8))
	bytes4 := u.take(4)
	r.Flags, r.Outcome, r.Why = bytes4[0], Outcome(bytes4[1]), DecisionReason(bytes4[2])
	attempts := int(bytes4[3])
	r.Session, r.PromptTokens, r.CachedTokens = u.word(), math.Float64frombits(u.word()), math.Float64frombits(u.word())
	var tokens, queueTime, bytes time.Duration
	u.times(&r.At, &r.Reading, &r.FirstEvent, &r.RejectedAt, &r.End, &r.TargetLatency, &r.RetryAfter, &tokens, &queueTime)
	r.OutputTokens = int(tokens)
	for _, s := range [...]*string{&r.State, &r.Pool, &r.Frontend, &r.Team, &r.CallID, &r.Class} {
		*s = u.text()
	}
	for range attempts {
		var a Attempt
		copy(a.Span[:], u.take(8))
		p := u.take(4)
		a.Why, a.Result, a.TransportResult, a.NewConnection, a.StaleConnection =
			DecisionReason(p[0]), Result(p[1]), Result(p[2]), p[3]&1 != 0, p[3]&2 != 0
		u.times(&a.Sent, &a.Started, &a.Connected, &a.Written, &a.FirstByte, &a.FirstEvent, &a.Bound, &a.Reported,
			&a.Ended, &a.Relay, &bytes)
		a.Bytes = int(bytes)
		a.Host, a.Addr = u.text(), u.text()
		if u.err != nil {
			return nil, u.err
		}
		r.Attempts = append(r.Attempts, a)
	}
	if u.err != nil {
		return nil, u.err
	}
	r.computePhases(queueTime)
	return r, nil
}
