// Package reconcile turns the configuration of a router (the platform's, and the operator's file where there is one) into a
// [Plan]: which pools there are, each with its decision module, endpoint list and quotas, and which requests are routed to
// which pool. [Plan.ChangesFrom] lists what a new plan adds, keeps and removes.
//
// A plan is immutable and made without side effects, except that settings files of pools are read; package router applies it.
// A pool keeps its [hoststate.PoolID], and with it its conversations and statistics, from one plan to the next if its name,
// or the name that it had before, and the settings of its module are the same.
//
// Errors are tomlfile.Errors with the lines of the operator's file, all at once. Durations and bounds are those of the
// settings; quotas are numbers of requests, of connections and of bytes.
package reconcile
