// Package api serves the HTTP/1.1 calls of engines and operators, with CBOR bodies on the platform's paths and JSON bodies
// on /fleet/. It defines the format of the calls, their size limits and their status codes. A [Handler] executes the calls;
// this package holds no state.
//
//	POST   /Instances.Heartbeat/{id}    reports the state of an engine
//	POST   /Instances.Deregister/{id}   deregisters an engine
//	POST   /Configuration.Replace       submits a fleet configuration that replaces revision X-Revision-Match
//	GET    /Configuration.Describe      returns the newest configuration, with its revision in X-Revision
//	GET    /fleet/history               lists the accepted configurations
//	DELETE /fleet/members/{name}        removes a permanently failed replica
//	GET    /fleet/status                returns the state of this process
//	GET    /fleet/engines               lists the engines that this process knows
//	POST   /fleet/explain               returns how a request with the head in the body would be routed
//
// A process without the control state redirects (307) calls that need it to a process that has it. Every failure is an
// [Error], written as {"error_message": text} with its [Status].
package api
