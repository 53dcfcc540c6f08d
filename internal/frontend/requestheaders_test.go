package frontend

import (
	"testing"
	"time"
)

func TestParseBudget(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"4800m": 4800 * time.Millisecond, "1500u": 1500 * time.Microsecond, "0.5m": 500 * time.Microsecond,
		"99999999999m": time.Hour, // limited to the maximum
		"0m":           0, "-5m": 0, "5": 0, "5s": 0, "m": 0, "": 0, "1e3m": 0, "NaNm": 0, "+5m": 0, "\x205m": 0, "1.2.3m": 0,
	} {
		if got, ok := parseBudget(text, time.Hour); got != want || ok != (want != 0) {
			t.Errorf("parseBudget(%q) = %v, %v", text, got, ok)
		}
	}
}
