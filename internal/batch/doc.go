// Package batch is the batch service: teams upload files of requests and fetch one outcome per request.
//
// A Service owns the jobs of all teams. A job is created from one uploaded file; each line of the file is an item. The scheduler
// submits items to package dispatch, which handles them like requests of the frontend: an attempt is one such request and implements
// upstream.Downstream. A rejected attempt is retried after its Retry-After until the item's deadline. Each team has a concurrency
// window, in attempts: a served attempt increases it by 1/window up to Contract.MaxConcurrent, and a rejected one halves it (additive
// increase, multiplicative decrease).
//
// The package guarantees that each item has exactly one outcome, also across restarts, and that the same content uploaded by the same
// team is the same job. An item that was in flight when the process died has no outcome and is run again; an item with an outcome is
// not. A job whose spool cannot be read or written is suspended until the next start.
//
// Only one process at a time may use a spool directory (see spool.go). Service.mu guards all jobs, items and attempts; the methods of
// job and item assume that it is held. Times are durations of the dispatcher's clock, except in the spool and in the API.
//
// The HTTP API implements the parts of OpenAI's Files and Batch APIs that openapi.yaml describes; asyncapi.yaml describes the event
// stream.
package batch
