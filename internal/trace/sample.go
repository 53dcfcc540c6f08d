package trace

import (
	"encoding/binary"
	"math"
	"time"
)

// Sampler samples ordinary operations: a share of them by the trace ID, and at most a number per second. It reads no
// clock and is deterministic.
type Sampler struct {
	threshold  uint64  // 56 bits; a trace is in the share if its randomness is at least this
	none       bool    // the share is 0
	rate       float64 // operations per second; 0 = unlimited
	burst      float64
	tokens     float64
	refilledAt time.Duration
}

const randomnessBits = 56

// NewSampler returns a sampler of a share from 0 to 1 and at most perSecond operations per second; 0 = unlimited.
func NewSampler(share, perSecond float64) Sampler {
	s := Sampler{none: !(share > 0), rate: perSecond, burst: max(perSecond, 1)}
	s.tokens = s.burst
	if share < 1 {
		s.threshold = uint64(math.Round((1 - max(share, 0)) * (1 << randomnessBits)))
	}
	return s
}

// InShare reports whether a trace is in the share. All routers agree on it, as do other samplers that follow
// OpenTelemetry's rules: the randomness is the last 56 bits of the trace ID, or rv in the tracestate.
func (s *Sampler) InShare(id TraceID, state string) bool {
	if s.none {
		return false
	}
	r := binary.BigEndian.Uint64(id[8:]) & (1<<randomnessBits - 1)
	if state != "" {
		if _, random, _, ok := otelSampling(state); ok {
			r = random
		}
	}
	return r >= s.threshold
}

// Allow takes a token of the rate limit and reports whether there was one.
func (s *Sampler) Allow(now time.Duration) bool {
	if s.rate <= 0 {
		return true
	}
	s.tokens = min(s.tokens+max(now-s.refilledAt, 0).Seconds()*s.rate, s.burst)
	s.refilledAt = max(s.refilledAt, now)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// state returns the tracestate to propagate. In the share, it has the sampler's threshold or the higher one of the
// incoming tracestate; outside the share, it has none.
func (s *Sampler) state(state string, inShare bool) string {
	t, _, hasThreshold, _ := otelSampling(state)
	if !inShare {
		if !hasThreshold {
			return state
		}
		return withThreshold(state, 0, false) // the trace is not sampled by its threshold here
	}
	if hasThreshold {
		t = max(t, s.threshold)
	} else {
		t = s.threshold
	}
	return withThreshold(state, t, true)
}
