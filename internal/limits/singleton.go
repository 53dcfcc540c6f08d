package limits

import "time"

// The roles of the lease holder: usage reports and autoscaling.
const (
	// SingletonTickInterval is the interval at which the lease and the roles under it are looked after.
	SingletonTickInterval = 500 * time.Millisecond
	// LeaseMargin is how long before its lease could pass to another the holder stops, for timers that fire late.
	LeaseMargin = 300 * time.Millisecond
	// LeaseCallReserve is the time left of a lease below which the holder begins no call, which could arrive too late.
	LeaseCallReserve = 300 * time.Millisecond
	// AutoscaleInterval is the interval at which the desired number of engines is computed.
	AutoscaleInterval = time.Second
	// UsageRetention is how old a window's counts may be for a router to still send them.
	UsageRetention = 20 * time.Second
)

// AutoscaleTuning holds the parameters of the autoscaler. docs/design/scaling.md has the cost of each.
type AutoscaleTuning struct {
	TargetUtilization      float64       // desired share of an engine's slots in use, 0 to 1
	TargetRunningPerEngine float64       // desired running requests of an engine whose slots are unknown
	MinObservation         time.Duration // traffic observed before anything is ordered
	ScaleDownDelay         time.Duration // a lower number must have sufficed for this long
	SmoothingTime          time.Duration // time constant of the moving average
}

// DefaultAutoscaleTuning returns the fleet's parameters.
func DefaultAutoscaleTuning() AutoscaleTuning {
	return AutoscaleTuning{
		TargetUtilization: 0.31, TargetRunningPerEngine: 4,
		MinObservation: 8 * time.Second, ScaleDownDelay: 5 * time.Second, SmoothingTime: 2 * time.Second,
	}
}
