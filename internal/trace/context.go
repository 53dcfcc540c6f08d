package trace

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

type (
	// TraceID is the ID of a trace. The zero value is invalid and stands for none.
	TraceID [16]byte //nolint:revive // ID would be ambiguous beside SpanID
	// SpanID is the ID of a span. The zero value is invalid and stands for none.
	SpanID [8]byte
)

func (t TraceID) String() string { return hex.EncodeToString(t[:]) }
func (s SpanID) String() string  { return hex.EncodeToString(s[:]) }

// MarshalText implements encoding.TextMarshaler.
func (t TraceID) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, t[:]), nil }

// MarshalText implements encoding.TextMarshaler.
func (s SpanID) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, s[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *TraceID) UnmarshalText(b []byte) error { return decodeHex(t[:], b) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *SpanID) UnmarshalText(b []byte) error { return decodeHex(s[:], b) }

func decodeHex(dst, src []byte) error {
	if len(src) != 2*len(dst) {
		return fmt.Errorf("ID has %d hexadecimal digits, want %d", len(src), 2*len(dst))
	}
	_, err := hex.Decode(dst, src)
	return err
}

// Trace flags of a Context, as defined for traceparent.
const (
	Sampled byte = 1 << iota // the caller may have recorded the trace
	Random                   // the last 7 bytes of the trace ID are random
)

// Context is a trace context as W3C Trace Context propagates it.
type Context struct {
	Trace TraceID
	Span  SpanID
	Flags byte
	State string // valid tracestate; "" = none
}

// Limits of tracestate, from the W3C recommendation.
const (
	maxState   = 512 // characters that are propagated
	maxMembers = 32
	maxMember  = 128 // characters; longer members are removed first
)

// ParseParent parses a traceparent header. Of a later version it parses the fields that version 00 has.
func ParseParent(s string) (c Context, ok bool) {
	const size = 55 // 2 + 1 + 32 + 1 + 16 + 1 + 2
	if len(s) < size || s[2] != '-' || s[35] != '-' || s[52] != '-' || s[:2] == "ff" {
		return Context{}, false
	}
	if len(s) > size && (s[:2] == "00" || s[size] != '-') {
		return Context{}, false
	}
	var version, flags [1]byte
	for _, f := range []struct {
		to   []byte
		from string
	}{{version[:], s[:2]}, {c.Trace[:], s[3:35]}, {c.Span[:], s[36:52]}, {flags[:], s[53:55]}} {
		if !decodeLowerHex(f.to, f.from) {
			return Context{}, false
		}
	}
	if c.Trace == (TraceID{}) || c.Span == (SpanID{}) {
		return Context{}, false
	}
	c.Flags = flags[0] & (Sampled | Random)
	return c, true
}

func decodeLowerHex(dst []byte, src string) bool {
	for i := range dst {
		hi, lo := digit(src[2*i]), digit(src[2*i+1])
		if hi > 15 || lo > 15 {
			return false
		}
		dst[i] = hi<<4 | lo
	}
	return true
}

func digit(b byte) byte {
	switch {
	case b >= '0' && b <= '9':
		return b - '0'
	case b >= 'a' && b <= 'f':
		return b - 'a' + 10
	}
	return 0xff
}

// AppendParent appends the traceparent header of c to b.
func (c Context) AppendParent(b []byte) []byte {
	b = append(b, "00-"...)
	b = hex.AppendEncode(b, c.Trace[:])
	b = append(b, '-')
	b = hex.AppendEncode(b, c.Span[:])
	return append(b, '-', '0', '0'+c.Flags&(Sampled|Random))
}

// ParseState joins the values of tracestate headers. As W3C requires, an invalid tracestate is discarded as a whole.
// From a tracestate that is too long, the members longer than maxMember are removed first, then the last ones.
func ParseState(values ...string) (state string, ok bool) {
	if len(values) == 0 {
		return "", true
	}
	var members []string
	keys := map[string]bool{}
	length := 0
	for _, v := range values {
		for m := range strings.SplitSeq(v, ",") {
			m = strings.Trim(m, " \t")
			if m == "" {
				continue
			}
			key, value, found := strings.Cut(m, "=")
			if !found || !stateKey(key) || !stateValue(value) || keys[key] || len(members) == maxMembers {
				return "", false
			}
			keys[key] = true
			members = append(members, m)
			length += len(m) + 1
		}
	}
	kept := members[:0]
	for _, m := range members {
		if length-1 > maxState && len(m) > maxMember {
			length -= len(m) + 1
			continue
		}
		kept = append(kept, m)
	}
	for length-1 > maxState {
		length -= len(kept[len(kept)-1]) + 1
		kept = kept[:len(kept)-1]
	}
	return strings.Join(kept, ","), true
}

func stateKey(k string) bool {
	tenant, system, multi := strings.Cut(k, "@")
	if !multi {
		return len(k) <= 256 && len(k) > 0 && k[0] >= 'a' && k[0] <= 'z' && keyChars(k)
	}
	return len(tenant) > 0 && len(tenant) <= 241 && keyChars(tenant) &&
		len(system) > 0 && len(system) <= 14 && system[0] >= 'a' && system[0] <= 'z' && keyChars(system)
}

func keyChars(s string) bool {
	for _, b := range []byte(s) {
		if (b < 'a' || b > 'z') && (b < '0' || b > '9') && b != '_' && b != '-' && b != '*' && b != '/' {
			return false
		}
	}
	return true
}

func stateValue(v string) bool {
	for _, b := range []byte(v) {
		if b < ' ' || b > '~' || b == '=' {
			return false
		}
	}
	return len(v) > 0 && len(v) <= 256
}

// otelSampling parses the ot member of a tracestate, which OpenTelemetry defines: the rejection threshold (th) and the
// explicit randomness (rv), both of 56 bits.
func otelSampling(state string) (threshold, random uint64, hasThreshold, hasRandom bool) {
	for m := range strings.SplitSeq(state, ",") {
		fields, ok := strings.CutPrefix(m, "ot=")
		if !ok {
			continue
		}
		for f := range strings.SplitSeq(fields, ";") {
			if v, ok := strings.CutPrefix(f, "th:"); ok && len(v) > 0 && len(v) <= 14 {
				t, err := strconv.ParseUint(v, 16, 64)
				if hasThreshold = err == nil; hasThreshold {
					threshold = t << (4 * (14 - len(v)))
				}
			}
			if v, ok := strings.CutPrefix(f, "rv:"); ok && len(v) == 14 {
				r, err := strconv.ParseUint(v, 16, 64)
				random, hasRandom = r, err == nil
			}
		}
	}
	return threshold, random, hasThreshold, hasRandom
}

// withThreshold sets the rejection threshold in a tracestate, or removes it if ok is false. The ot member moves to the
// front, as W3C requires of a modified member.
func withThreshold(state string, threshold uint64, ok bool) string {
	var fields, others []string
	if ok {
		th := strings.TrimRight(fmt.Sprintf("%014x", threshold), "0")
		if th == "" {
			th = "0"
		}
		fields = append(fields, "th:"+th)
	}
	for m := range strings.SplitSeq(state, ",") {
		if otel, found := strings.CutPrefix(m, "ot="); found {
			for f := range strings.SplitSeq(otel, ";") {
				if !strings.HasPrefix(f, "th:") {
					fields = append(fields, f)
				}
			}
		} else if m != "" {
			others = append(others, m)
		}
	}
	if len(fields) > 0 {
		others = append([]string{"ot=" + strings.Join(fields, ";")}, others...)
	}
	joined, ok := ParseState(strings.Join(others, ","))
	if !ok {
		return state
	}
	return joined
}
