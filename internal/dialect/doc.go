// Package dialect is the fleet's HTTP dialect: what requests and responses look like on the platform, and how a fleet configuration
// applies to a request.
//
// A configuration is compiled once (Compile) and does not change; a request keeps the one that it began with. Frontend implements
// the frontend's side: route, tenant, deadline, session, admission, and what a client is answered. Upstream implements the upstream's
// side: what engines are sent, which response belongs to a request, and what a status says about whether it ran. The package owns no
// connection and decides nothing that the decision module (policy) decides. The platform's other dialect, that of serve, stands in
// platform.go of the frontend and upstream packages, behind the same interfaces.
package dialect
