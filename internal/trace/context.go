package trace

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

type (
	// TraceID names a trace. The zero value names none.
	TraceID [16]byte //nolint:revive // beside SpanID, ID would not say of what
	// SpanID names a span of a trace. The zero value names none.
	SpanID [8]byte
)

func (t TraceID) String() string { return hex.EncodeToString(t[:]) }
func (s SpanID) String() string  { return hex.EncodeToString(s[:]) }

// MarshalText implements encoding.TextMarshaler.
func (t TraceID) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, t[:]), nil }

// MarshalText implements encoding.TextMarshaler.
func (s SpanID) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, s[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *TraceID) UnmarshalText(b []byte) error { return unhex(t[:], b) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *SpanID) UnmarshalText(b []byte) error { return unhex(s[:], b) }

func unhex(to, from []byte) error {
	if len(from) != 2*len(to) {
		return fmt.Errorf("an id of %d hexadecimal digits, not %d", len(from), 2*len(to))
	}
	_, err := hex.Decode(to, from)
	return err
}

// Flags of a Context, as traceparent has them.
const (
	Sampled byte = 1 << iota // the caller may have recorded it
	Random                   // the last 7 bytes of the trace id are random
)

// Context is what W3C Trace Context carries from one party to the next.
type Context struct {
	Trace TraceID
	Span  SpanID
	Flags byte
	State string // tracestate, checked; "" = none
}

// bounds of tracestate, from the W3C recommendation.
const (
	maxState   = 512 // characters that are passed on
	maxMembers = 32
	maxMember  = 128 // longer members go first where the whole is too long
)

// ParseParent reads a traceparent header. A later version is read as far as this one goes.
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
		if !lowerHex(f.to, f.from) {
			return Context{}, false
		}
	}
	if c.Trace == (TraceID{}) || c.Span == (SpanID{}) {
		return Context{}, false
	}
	c.Flags = flags[0] & (Sampled | Random)
	return c, true
}

func lowerHex(to []byte, from string) bool {
	for i := range to {
		hi, lo := digit(from[2*i]), digit(from[2*i+1])
		if hi > 15 || lo > 15 {
			return false
		}
		to[i] = hi<<4 | lo
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

// AppendParent writes the traceparent of c.
func (c Context) AppendParent(b []byte) []byte {
	b = append(b, "00-"...)
	b = hex.AppendEncode(b, c.Trace[:])
	b = append(b, '-')
	b = hex.AppendEncode(b, c.Span[:])
	return append(b, '-', '0', '0'+c.Flags&(Sampled|Random))
}

// ParseState joins the values of the tracestate headers. One that breaks the rules is dropped whole, which W3C asks
// for; one that is too long loses its longest members, then its last.
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

// otel reads what OpenTelemetry's own member of a tracestate says: the threshold under which the trace was sampled
// and its randomness, both of 56 bits.
func otel(state string) (threshold, random uint64, hasThreshold, hasRandom bool) {
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

// withThreshold puts a threshold into a tracestate, first as the member that changed last. ok is false where there
// is to be none.
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
		if own, is := strings.CutPrefix(m, "ot="); is {
			for f := range strings.SplitSeq(own, ";") {
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
