// Package retrybudget limits the retries of all routers of a fleet without communication for each retry.
//
// In each sliding window, the platform allows retries up to a ratio of the requests, plus a fixed number for all routers together.
// A router's Budget allows half of the ratio for its own requests, because traffic may fall while the window slides, and its Share
// of the fixed number. The shares never add up to more than the total, even during a network partition.
//
// The package does no I/O and reads no clock: times are readings of the process's monotonic clock, passed in by the caller.
package retrybudget
