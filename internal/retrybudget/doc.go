// Package retrybudget bounds how many requests the routers of a fleet retry, without asking one another for each retry.
//
// The platform allows a ratio of the requests that began in a window, and a number of retries beyond that for all routers
// together. A router's Budget has half of the ratio of its own requests, since traffic may fall while a window slides past it,
// and its Share of the number. The shares add up to no more than the total, whoever is cut off from whom.
//
// The package is pure: times are of one process's monotonic clock, and are given.
package retrybudget
