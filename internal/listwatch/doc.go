// Package listwatch keeps one watch on the endpoint list of a discovery service, and gives each pool its selection of it.
//
// A Client makes the calls: after each answer it calls again at once with the sequence of the list that it has, and the service
// answers when the list has changed (a long poll), so that there is one watch however many pools use it. A Feed holds the list and
// converts it for each pool. When to watch is decided by the decision modules (Feed.RequestWatch); a failed call ends the watch.
package listwatch
