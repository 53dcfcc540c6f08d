package upstream

import (
	"bytes"
	"strconv"
)

// inspect extracts the number of cached tokens, a load report and, if the attempt is traced, sizes from forwarded events. It
// searches for names instead of parsing JSON, since most events contain none of them.
func (a *attempt) inspect(part []byte) {
	if usage := afterLast(part, `"usage":`); usage != nil {
		if n, ok := numberAfter(usage, `"cached_tokens":`); ok {
			a.outcome.CachedTokens = float64(n)
		}
		if a.times != nil {
			if n, ok := numberAfter(usage, `"completion_tokens":`); ok {
				a.times.Tokens = n
			}
		}
	}
	if a.times != nil {
		a.times.Bytes += len(part)
	}
	if !a.loadReporting.InResponses {
		return
	}
	if text := afterLast(part, "\n: "+loadHeader+":"); text != nil {
		text, _, _ = bytes.Cut(text, []byte("\n"))
		a.outcome.Report = ParseLoadReport(string(text), a.loadReporting.Columns)
	}
}

// afterLast returns the text after the last occurrence of a name, or nil if there is none. It calls Contains first, which is much
// faster than LastIndex if the name is absent, as it usually is.
func afterLast(part []byte, name string) []byte {
	if !bytes.Contains(part, []byte(name)) {
		return nil
	}
	return part[bytes.LastIndex(part, []byte(name))+len(name):]
}

// numberAfter returns the decimal number after the first occurrence of a name.
func numberAfter(text []byte, name string) (n int, ok bool) {
	const maxDigits = 15
	_, rest, ok := bytes.Cut(text, []byte(name))
	if !ok {
		return 0, false
	}
	digits := bytes.TrimLeft(rest, " ")
	for n < len(digits) && n < maxDigits && digits[n] >= '0' && digits[n] <= '9' {
		n++
	}
	v, err := strconv.Atoi(string(digits[:n]))
	return v, err == nil
}
