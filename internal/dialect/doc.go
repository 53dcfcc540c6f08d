// Package dialect implements the fleet's HTTP dialect: the format of requests and responses on the platform, and how a fleet
// configuration applies to a request.
//
// Compile compiles a configuration once. The result is immutable, and a request uses the same one until it ends. Frontend
// implements frontend.Dialect: route, tenant, deadline, session, admission, and the responses to clients. Upstream implements
// upstream.Dialect: the requests to engines, the match of a response to its request, and whether a status means that the request
// ran. The package owns no connections, and it leaves the choice of an engine to the decision module (package policy). The
// dialect of the serve command implements the same interfaces in platform.go of the packages frontend and upstream.
package dialect
