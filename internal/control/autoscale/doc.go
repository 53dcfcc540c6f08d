// Package autoscale computes how many engines each service needs from the loads that routers report.
//
// A Scaler estimates the demand of one service: the exponentially weighted mean of its running requests, divided by the target
// number of running requests per engine. It scales up immediately. It scales down only after a lower number has been sufficient for
// a while, because a missing engine costs requests until another has booted. A Planner holds the scalers of all services and
// returns the targets that the platform has not accepted yet. The parameters are in limits.AutoscaleTuning;
// docs/design/scaling.md describes their costs.
//
// The package performs no I/O and reads no clock; callers pass the steady clock and plan about once a second. Its types are not safe
// for concurrent use.
package autoscale
