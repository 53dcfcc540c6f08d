// Package hoststate coordinates the pools of one process that share hosts (engines). A drain in one pool's endpoint list is passed
// on to the other pools, and all pools together send a host in slow start no more than its share.
//
// The caller passes in the updates of each pool's list and gets back the notifications for the other pools' decision modules. The
// package does no I/O and reads no clock: times are readings of the caller's monotonic clock.
//
// Two list entries are the same host if both name and address agree: two teams may use the same name, and an address may be reused.
// Successive processes of one host are distinguished by the time of their start (StartedAt).
package hoststate
