package dialect

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"notchhinge/internal/admission"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/directory"
	"notchhinge/internal/hoststate"
	"notchhinge/policy"
)

// Service is a pool of engines with its own decision module. It keeps its ID, pool and classes while consecutive configurations
// contain it.
type Service struct {
	Name    string
	ID      hoststate.PoolID
	Classes []policy.Class  // append-only, so that indexes stay valid
	Pool    *directory.Pool // used by the frontend
	gate    *serviceGate
}

// serviceGate is the admission.Gate of a service, with a lock for use by all connections.
type serviceGate struct {
	mu   sync.Mutex
	gate admission.Gate
}

func (g *serviceGate) admit(now time.Duration, priority int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Admit(now, priority)
}

// update calls f with the gate while the lock is held.
func (g *serviceGate) update(f func(*admission.Gate)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.gate)
}

// classOf returns the index of the class of a route and appends the class if it is new. Classes are never removed, since requests
// of earlier configurations may still run.
func (s *Service) classOf(r *fleetconfig.Route) int {
	class := ClassOf(r)
	if i := slices.Index(s.Classes, class); i >= 0 {
		return i
	}
	s.Classes = append(s.Classes, class)
	return len(s.Classes) - 1
}

// lowestPriority is the route priority beyond which a request's value does not decrease. Each step up to it halves the value.
const lowestPriority = 8

// ClassOf returns the class that the requests of a route have in the decision module.
func ClassOf(r *fleetconfig.Route) policy.Class {
	class := policy.Class{
		Name:          fmt.Sprintf("%s/%v/%d/%d", r.Type, r.TargetLatencyMS, r.Priority, r.MaxAttempts),
		TargetLatency: max(fleetconfig.Milliseconds(cmp.Or(r.TargetLatencyMS, r.TimeoutMS)), 0),
		Deadline:      max(fleetconfig.Milliseconds(r.TimeoutMS), time.Nanosecond),
		Value:         math.Exp2(-float64(min(max(r.Priority, 0), lowestPriority))),
		LateValue:     1,
		Effect:        policy.EffectUnsafe,
		IsStreaming:   r.Type == fleetconfig.RouteStreaming,
		MaxAttempts:   max(r.MaxAttempts, 1),
	}
	if r.Type == fleetconfig.RouteIdempotent {
		class.Effect = policy.EffectSafe
	}
	return class
}

// Slow start of an engine. A longer remaining warm-up in a heartbeat counts as SlowStart.
const (
	SlowStart        = 4 * time.Second // duration
	SlowStartInitial = 0.4             // share of the capacity that is used at first
)

// maxRetryAfter is the longest Retry-After of the decision module.
const maxRetryAfter = time.Second

// PolicySettings returns the settings of a service's decision module. drainGrace is how long the requests of a known session may still
// go to a draining engine.
func PolicySettings(classes []policy.Class, drainGrace time.Duration, maxAttempts int) policy.Settings {
	return policy.Settings{
		Routers: 1, Zones: 1, Classes: classes, WeightMeaning: policy.WeightUnused, DrainGrace: drainGrace,
		SlowStartInitial: SlowStartInitial, SlowStart: SlowStart,
		Limits: policy.Limits{CanCancel: true, SendsRetryAfter: true, MaxAttempts: maxAttempts, MaxRetryAfter: maxRetryAfter},
	}
}

// maxSilence returns how long the platform's clients wait for the first event of a stream, and for each further one: two seconds
// or four times the target latency, whichever is longer. For other responses there is no such limit.
func maxSilence(r *fleetconfig.Route) time.Duration {
	if r.Type != fleetconfig.RouteStreaming {
		return math.MaxInt64
	}
	return max(2*time.Second, fleetconfig.Milliseconds(4*r.TargetLatencyMS))
}
