package trace

import (
	"encoding/binary"
	"math"
	"time"
)

// Sampler chooses among ordinary steps: a share by the trace id, and at most so many a second. It is a pure function
// of what it is asked and when.
type Sampler struct {
	threshold uint64 // of 56 bits; a trace is of the share where its randomness is not below
	none      bool
	rate      float64 // a second
	burst     float64
	saved     float64
	at        time.Duration
}

const randomBits = 56

// NewSampler returns a sampler of a share from 0 to 1 and at most perSecond steps a second; 0 = no such bound.
func NewSampler(share, perSecond float64) Sampler {
	s := Sampler{none: !(share > 0), rate: perSecond, burst: max(perSecond, 1)}
	s.saved = s.burst
	if share < 1 {
		s.threshold = uint64(math.Round((1 - max(share, 0)) * (1 << randomBits)))
	}
	return s
}

// InShare tells whether a trace is of the share. All routers agree on it, and so do those who sample by
// OpenTelemetry's rules: the randomness is the trace id's last 56 bits, or rv in the tracestate.
func (s *Sampler) InShare(id TraceID, state string) bool {
	if s.none {
		return false
	}
	r := binary.BigEndian.Uint64(id[8:]) & (1<<randomBits - 1)
	if state != "" {
		if _, rv, _, ok := otel(state); ok {
			r = rv
		}
	}
	return r >= s.threshold
}

// Allow spends from the rate, or says that nothing is left.
func (s *Sampler) Allow(now time.Duration) bool {
	if s.rate <= 0 {
		return true
	}
	s.saved = min(s.saved+max(now-s.at, 0).Seconds()*s.rate, s.burst)
	s.at = max(s.at, now)
	if s.saved < 1 {
		return false
	}
	s.saved--
	return true
}

// state is the tracestate that a trace of the share goes on with: its threshold, or the higher one it came with.
func (s *Sampler) state(state string, in bool) string {
	t, _, had, _ := otel(state)
	if !in {
		if !had {
			return state
		}
		return withThreshold(state, 0, false) // it will not be kept by a share, if at all
	}
	if had {
		t = max(t, s.threshold)
	} else {
		t = s.threshold
	}
	return withThreshold(state, t, true)
}
