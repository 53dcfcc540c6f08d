// Package route finds the service of a request by host, path, method, class and headers, and the pool of the service
// that serves it.
//
// It owns the canonical form of hosts and paths, the precedence of routes, and the weighted split of a service over
// pools. It does no I/O. Of a pool it knows only the name and the number that the caller gives it.
//
// Of the routes that match a request the most specific one wins, in whatever order the routes are listed. These are
// compared in turn, and the first difference decides: the host (exact, then the longest *.suffix, then any), the path
// (exact, then the longest prefix of whole segments, then any), a named method, a named class, and the number of
// required headers. Two routes that can match the same request and differ in none of these are an error of the table.
//
// Hosts follow RFC 1035 and RFC 5952; paths are normalized by RFC 3986, section 6.2.2. The split over pools is weighted
// rendezvous hashing (Thaler and Ravishankar, 1998; weights as in Schindelhauer and Schomaker, 2005), so that every
// router that has the same configuration chooses the same pool.
package route
