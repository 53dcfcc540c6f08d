// Package quota divides limited resources of a process among its pools: file descriptors, bytes of request bodies and open requests
// (Quota), and turns of the event loop (FairQueue). It only does the accounting; the resources belong to the callers. Its types are
// not safe for concurrent use.
package quota
