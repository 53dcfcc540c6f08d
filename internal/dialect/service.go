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

// Service is a pool of engines with a decision module of its own, for as long as configurations name it.
type Service struct {
	Name    string
	ID      hoststate.PoolID
	Classes []policy.Class  // only ever appended to
	Pool    *directory.Pool // as the frontend sees it
	gate    *serviceGate
}

// serviceGate is a service's admission.Gate, shared by all connections.
type serviceGate struct {
	mu   sync.Mutex
	gate admission.Gate
}

func (g *serviceGate) admit(now time.Duration, priority int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Admit(now, priority)
}

func (g *serviceGate) note(f func(*admission.Gate)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.gate)
}

// classOf returns the index of a route's class, which it appends if there is none. Classes stay, since requests of earlier
// configurations may still run.
func (s *Service) classOf(r *fleetconfig.Route) int {
	c := ClassOf(r)
	if i := slices.Index(s.Classes, c); i >= 0 {
		return i
	}
	s.Classes = append(s.Classes, c)
	return len(s.Classes) - 1
}

// lowestPriority is the route priority from which a request's value falls no more; each priority below the highest halves it.
const lowestPriority = 8

// ClassOf returns what a decision module knows of a route.
func ClassOf(r *fleetconfig.Route) policy.Class {
	c := policy.Class{
		Name:          fmt.Sprintf("%s/%v/%d/%d", r.Type, r.TargetLatencyMS, r.Priority, r.MaxAttempts),
		TargetLatency: fleetconfig.Milliseconds(cmp.Or(r.TargetLatencyMS, r.TimeoutMS)),
		Deadline:      fleetconfig.Milliseconds(r.TimeoutMS),
		Value:         math.Exp2(-float64(min(max(r.Priority, 0), lowestPriority))),
		LateValue:     1,
		Effect:        policy.EffectUnsafe,
		IsStreaming:   r.Type == fleetconfig.RouteStreaming,
		MaxAttempts:   max(r.MaxAttempts, 1),
	}
	if r.Type == fleetconfig.RouteIdempotent {
		c.Effect = policy.EffectSafe
	}
	return c
}

// Slow start of an engine. What a heartbeat says beyond SlowStart counts as SlowStart.
const (
	SlowStart        = 4 * time.Second
	SlowStartInitial = 0.4 // share of its capacity at its start
)

// maxRetryAfter is the longest time that a decision module tells a client to wait before a retry.
const maxRetryAfter = time.Second

// PolicySettings returns the settings of a service's decision module. drainGrace is for how long a known session may go to an engine
// that drains.
func PolicySettings(classes []policy.Class, drainGrace time.Duration, maxAttempts int) policy.Settings {
	return policy.Settings{
		Routers: 1, Zones: 1, Classes: classes, WeightMeaning: policy.WeightUnused, DrainGrace: drainGrace,
		SlowStartInitial: SlowStartInitial, SlowStart: SlowStart,
		Limits: policy.Limits{CanCancel: true, SendsRetryAfter: true, MaxAttempts: maxAttempts, MaxRetryAfter: maxRetryAfter},
	}
}

// maxSilence returns for how long the platform's clients wait for the next event of a stream: two seconds, or four times the target
// latency if that is longer.
func maxSilence(r *fleetconfig.Route) time.Duration {
	if r.Type != fleetconfig.RouteStreaming {
		return math.MaxInt64
	}
	return max(2*time.Second, 4*fleetconfig.Milliseconds(r.TargetLatencyMS))
}
