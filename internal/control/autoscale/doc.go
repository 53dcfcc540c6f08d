// Package autoscale computes how many engines each service needs, from what routers report of its traffic.
//
// A Scaler holds the estimate of one service: the exponentially weighted mean of running requests, over the requests that one
// engine is meant to run. It scales up at once and down only after a lower number has been enough for a while, since an engine
// that is missing costs until another has booted. A Planner keeps the scalers of all services and returns the targets that the
// platform has not accepted yet. The figures are those of limits.AutoscaleTuning; docs/design/scaling.md says what each one costs.
//
// The package is pure: the steady clock is given. It assumes that it is asked about once a second. Nothing in it is safe for
// concurrent use.
package autoscale
