// Package api serves the HTTP calls of engines and of the operator: HTTP/1.1, with CBOR bodies on the platform's paths and
// JSON for people on /fleet/. It owns the form of the calls, their bounds and their status codes. What a call means is its
// [Handler]'s; nothing is decided and nothing is kept here.
//
//	POST   /Instances.Heartbeat/{id}    an engine reports itself
//	POST   /Instances.Deregister/{id}   an engine signs off
//	POST   /Configuration.Replace       the operator submits a fleet configuration on top of X-Revision-Match
//	GET    /Configuration.Describe      the newest configuration, its revision in X-Revision
//	GET    /fleet/history               the accepted configurations
//	DELETE /fleet/members/{name}        removes a replica that is gone for good
//	GET    /fleet/status                the state of this process
//	GET    /fleet/engines               the engines that this process knows
//	POST   /fleet/explain               how a request with the head in the body would be routed
//
// Calls that need the control state are redirected (307) from a process without it to one that has it. Every failure is an
// [Error], written as {"error_message": text} with its [Status].
package api
