// Package batch is the batch service: teams upload files of requests and fetch one outcome per request.
//
// A Service owns the jobs of all teams. A job is made of one uploaded file; each line of the file is an item. The scheduler submits
// items to package dispatch, where they are requests like those of the frontend: an attempt is one such request and implements
// upstream.Downstream. A rejected attempt is retried after its Retry-After until the item's deadline. Each team has a concurrency
// window, in attempts: an attempt that is served widens it by 1/window up to Contract.MaxConcurrent, a rejected one halves it
// (additive increase, multiplicative decrease).
//
// The package promises that each item has exactly one outcome, across restarts as well, and that the same content uploaded by the
// same team is the same job. An item that was in flight when the process died has no outcome and is run again; what has an outcome is
// not. A job whose spool cannot be read or written is suspended until the next start.
//
// The spool directory (see spool.go) belongs to one process at a time. Service.mu guards all jobs, items and attempts; the methods of
// job and item assume that it is held. Times are durations of the dispatcher's clock, except in the spool and in the API.
//
// The HTTP API follows OpenAI's Files and Batch APIs as far as openapi.yaml describes; asyncapi.yaml describes the event stream.
package batch
