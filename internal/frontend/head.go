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

const (
	idHeader      = "X-Call-Id"
	classHeader   = "X-Call-Class"
	sessionHeader = "X-Route-Hash"
	budgetHeader  = "X-Budget"
	infoHeader    = "X-Call-Info"
	attemptHeader = "X-Again"
)

// parseRequest reads what the module wants to know of an authorisation, or says what is wrong with it.
func parseRequest(h http.Header, classes func(string) (int, bool), most time.Duration) (q policy.Request, reason string) {
	for _, name := range []string{idHeader, classHeader, budgetHeader, infoHeader} {
		switch len(h.Values(name)) {
		case 0:
			return q, name + " is missing"
		case 1:
		default:
			return q, name + " is given more than once"
		}
	}
	if !validID(h.Get(idHeader)) {
		return q, idHeader + " is bad"
	}
	class, ok := classes(h.Get(classHeader))
	if !ok {
		return q, classHeader + " names no class"
	}
	q.Class = class
	if q.Timeout, ok = parseBudget(h.Get(budgetHeader), most); !ok {
		return q, budgetHeader + " is bad"
	}
	if !parseInfo(h.Get(infoHeader), &q) {
		return q, infoHeader + " is bad"
	}
	if s := h.Get(sessionHeader); s != "" {
		q.Session = parseHash(s)
	}
	switch h.Get(attemptHeader) {
	case "1":
		q.IsClientRetry = true
	case "again":
		q.IsResumed = true
	}
	return q, ""
}

func validID(id string) bool {
	const most = 128
	for _, r := range []byte(id) {
		if r <= ' ' || r > '~' {
			return false
		}
	}
	return id != "" && len(id) <= most
}

// parseBudget reads a number and its unit: m for milliseconds, u for microseconds.
func parseBudget(s string, most time.Duration) (time.Duration, bool) {
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
	return time.Duration(min(d, float64(most))), true
}

// parseDecimal reads a plain decimal that is not negative.
func parseDecimal(s string) (float64, bool) {
	for _, r := range []byte(s) {
		if (r < '0' || r > '9') && r != '.' {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && !math.IsInf(v, 0)
}

// parseInfo reads name=value pairs. Names that are not known are passed over; all lengths are needed.
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
		if to, known := lengths[name]; known {
			if to == nil {
				return false // given twice
			}
			if *to, ok = parseDecimal(value); !ok || *to > math.MaxFloat32 {
				return false
			}
			lengths[name] = nil
			missing--
		}
	}
	return missing == 0
}

// parseHash reads a hexadecimal word; anything else is hashed to one. 0 means none.
func parseHash(s string) uint64 {
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		h := fnv.New64a()
		h.Write([]byte(s))
		v = h.Sum64()
	}
	return v
}
