// Package quota divides what a process has only so much of between its pools: file descriptors, bytes of bodies, open requests
// (Quota), and turns of its event loop (FairQueue). It owns the arithmetic and its guarantees and does no I/O; the resources
// themselves belong to its users. Nothing here is safe for concurrent use.
package quota
