package frontend

import (
	"hash/fnv"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"notchhinge/policy"
)

// Request headers of the platform, in canonical form.
const (
	idHeader          = "X-Call-Id"
	classHeader       = "X-Call-Class"
	sessionHeader     = "X-Route-Hash"
	budgetHeader      = "X-Budget"
	infoHeader        = "X-Call-Info"
	clientRetryHeader = "X-Again"
)

// parseRequest parses the headers into the input of the decision module, or returns the reason for a rejection. classIndex returns
// the index of a class with a given name. The timeout of the request is limited to maxBudget.
func parseRequest(h http.Header, classIndex func(string) (int, bool), maxBudget time.Duration) (q policy.Request, reason string) {
	for _, name := range []string{idHeader, classHeader, budgetHeader, infoHeader} {
		switch len(h.Values(name)) {
		case 0:
			return q, name + " is missing"
		case 1:
		default:
			return q, name + " is given more than once"
		}
	}
	if !isValidID(h.Get(idHeader)) {
		return q, idHeader + " is bad"
	}
	class, ok := classIndex(h.Get(classHeader))
	if !ok {
		return q, classHeader + " names no class"
	}
	q.Class = class
	if q.Timeout, ok = parseBudget(h.Get(budgetHeader), maxBudget); !ok {
		return q, budgetHeader + " is bad"
	}
	if !parseInfo(h.Get(infoHeader), &q) {
		return q, infoHeader + " is bad"
	}
	if session := h.Get(sessionHeader); session != "" {
		q.Session = parseHash(session)
	}
	switch h.Get(clientRetryHeader) {
	case "1":
		q.IsClientRetry = true
	case "again":
		q.IsResumed = true
	}
	return q, ""
}

// isValidID reports whether an ID consists of 1 to 128 visible ASCII characters.
func isValidID(id string) bool {
	const maxIDBytes = 128
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return id != "" && len(id) <= maxIDBytes
}

// parseBudget parses a decimal number with the unit m (milliseconds) or u (microseconds). The result is at most maxBudget.
func parseBudget(s string, maxBudget time.Duration) (time.Duration, bool) {
	var unit time.Duration
	if n, ok := strings.CutSuffix(s, "m"); ok {
		s, unit = n, time.Millisecond
	} else if n, ok := strings.CutSuffix(s, "u"); ok {
		s, unit = n, time.Microsecond
	} else {
		return 0, false
	}
	v, ok := parseDecimal(s)
	d := v * float64(unit)
	if !ok || d < 1 {
		return 0, false
	}
	return time.Duration(min(d, float64(maxBudget))), true
}

// parseDecimal parses a non-negative decimal number without an exponent.
func parseDecimal(s string) (float64, bool) {
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && !math.IsInf(v, 0)
}

// parseInfo parses name=value pairs into q. It ignores unknown names. Each of the three lengths must occur exactly once.
func parseInfo(s string, q *policy.Request) bool {
	lengths := map[string]*float64{"prompt_len": &q.PromptTokens, "prefix_len": &q.PrefixTokens, "max_out": &q.MaxTokens}
	missing := len(lengths)
	for pair := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			return false
		}
		if name == "prefix" {
			if q.Prefix = parseHash(value); value == "" {
				return false
			}
		}
		if length, known := lengths[name]; known {
			if length == nil {
				return false // duplicate
			}
			if *length, ok = parseDecimal(value); !ok || *length > math.MaxFloat32 {
				return false
			}
			lengths[name] = nil
			missing--
		}
	}
	return missing == 0
}

// parseHash parses a 64-bit hexadecimal number, or returns the FNV-1a hash of any other text. A result of 0 counts as no hash.
func parseHash(s string) uint64 {
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		h := fnv.New64a()
		h.Write([]byte(s))
		v = h.Sum64()
	}
	return v
}
