// Package route finds the service of a request by host, path, method, class and headers, and the pool of the service
// that serves it.
//
// It implements the canonical form of hosts and paths, the precedence of routes, and the weighted split of a service over
// pools. It does no I/O. It refers to a pool by its name and by a number that the caller assigns.
//
// If several routes match a request, the most specific one wins, whatever the order of the list. The criteria are, in
// order: the host (exact, then the longest *.suffix, then any), the path (exact, then the longest prefix of whole
// segments, then any), a required method, a required class, and the number of required headers. The first criterion in
// which two routes differ decides. New rejects two routes that can match the same request and are equally specific.
//
// Hosts follow RFC 1035 and RFC 5952; paths are normalized by RFC 3986, section 6.2.2. The split over pools is weighted
// rendezvous hashing (Thaler and Ravishankar, 1998; weights as in Schindelhauer and Schomaker, 2005), so that every
// router that has the same configuration chooses the same pool.
package route
