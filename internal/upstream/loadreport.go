package upstream

import (
	"bytes"
	"math"
	"strconv"
	"strings"

	"notchhinge/policy"
)

// loadHeader is the name of the response header, or of the comment in an event stream, that carries a load report.
const loadHeader = "X-Load-Report"

// ParseLoadReport parses a load report such as "x1=1.5,concurrent=7". Missing columns are 0. Names that are not columns and values
// that are not finite numbers are ignored. The result is empty if no valid value remains.
func ParseLoadReport(text string, columns []string) policy.Report {
	var r policy.Report
	found := false
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			continue
		}
		for i, c := range columns {
			if c == name && i < len(r.Values) {
				r.Values[i], found = v, true
			}
		}
	}
	if found {
		r.N = min(len(columns), len(r.Values))
	}
	return r
}

// sanitizeLoadReport replaces control characters in the load report of a response head with spaces, because net/http would reject
// the whole response.
func sanitizeLoadReport(head []byte) {
	for line := range bytes.Lines(head) {
		if name, value, ok := bytes.Cut(line, []byte(":")); ok && bytes.EqualFold(name, []byte(loadHeader)) {
			for i, b := range value {
				if b < ' ' && b != '\r' && b != '\n' || b == 0x7f {
					value[i] = ' '
				}
			}
		}
	}
}
