package upstream

import (
	"bytes"
	"strconv"
)

// inspect reads from events that are forwarded what dispatch wants to know: cached tokens, a load report, and sizes where the
// attempt is traced. It looks for names in the text without parsing it: the events are the client's, and most say nothing.
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

// afterLast returns what follows the last occurrence of a name, or nil. Mostly there is none, which Contains finds out many
// times as fast as LastIndex.
func afterLast(part []byte, name string) []byte {
	if !bytes.Contains(part, []byte(name)) {
		return nil
	}
	return part[bytes.LastIndex(part, []byte(name))+len(name):]
}

// numberAfter returns the number that follows the first occurrence of a name.
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
