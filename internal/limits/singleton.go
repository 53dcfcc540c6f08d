package limits

import "time"

// Tasks of the holder of the singleton lease: usage reports and autoscaling.
const (
	// SingletonTickInterval is the interval at which the lease is renewed or requested, and the tasks of its holder run.
	SingletonTickInterval = 500 * time.Millisecond
	// LeaseMargin is how long before the expiry of its lease the holder stops its tasks, since timers may fire late.
	LeaseMargin = 300 * time.Millisecond
	// LeaseCallReserve is the remaining time of a lease below which the holder starts no call, which might arrive too late.
	LeaseCallReserve = 300 * time.Millisecond
	// AutoscaleInterval is the interval at which the desired number of engines is computed.
	AutoscaleInterval = time.Second
	// UsageRetention is the maximum age of a usage window whose counts a router still reports.
	UsageRetention = 20 * time.Second
)

// AutoscaleTuning holds the parameters of the autoscaler. docs/design/scaling.md describes the effect of each.
type AutoscaleTuning struct {
	TargetUtilization      float64       // target share of an engine's slots in use, 0 to 1
	TargetRunningPerEngine float64       // target number of running requests of an engine whose slots are unknown
	MinObservation         time.Duration // time for which traffic is observed before the first decision
	ScaleDownDelay         time.Duration // time for which fewer engines must have sufficed before they are reduced
	SmoothingTime          time.Duration // time constant of the moving average
}

// DefaultAutoscaleTuning returns the parameters that the fleet uses.
func DefaultAutoscaleTuning() AutoscaleTuning {
	return AutoscaleTuning{
		TargetUtilization: 0.31, TargetRunningPerEngine: 4,
		MinObservation: 8 * time.Second, ScaleDownDelay: 5 * time.Second, SmoothingTime: 2 * time.Second,
	}
}
