// Package hoststate keeps what the pools of one process owe each other where they share hosts (engines): a drain that one pool's
// endpoint list announces is made known to the other pools, and a host in slow start is sent its share by all pools together.
//
// It owns no decision module, no connection and no endpoint list: it is given what each pool's list says of a host, and returns
// what the other pools' modules must be notified of. It does no I/O; times are of the caller's monotonic clock, and are given.
//
// Two entries are of one host where name and address agree: two teams may call a host alike, and two hosts may follow each other
// at one address. Of one host, processes that follow each other are distinguished by the time of their start (BornAt).
package hoststate
