// Package reconcile computes a [Plan] from the configuration of a router: the platform's settings and the operator's file, if
// there is one. A plan lists the pools, each with its decision module, endpoint list and quotas, and the routes to them.
// [Plan.ChangesFrom] lists the pools that a new plan adds, keeps and removes.
//
// A plan is immutable. Computing it has no side effects, but reads the settings files of pools; package router applies it.
// A pool keeps its [hoststate.PoolID], and with it its sessions and statistics, from one plan to the next if the settings
// of its module are the same and its name, or its former name, is that of the running pool.
//
// All errors of a configuration are returned together, as tomlfile.Errors with the lines of the operator's file. Quotas are
// numbers of requests, connections and bytes.
package reconcile
