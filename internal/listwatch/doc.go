// Package listwatch watches the endpoint list of a discovery service and delivers to each pool its selection of the list.
//
// A [Client] makes long-poll calls: each call carries the sequence number of the last list, and the service responds when the list
// has changed. A [Feed] holds the list and converts it for each pool, so that any number of pools share one watch. A watch ends
// with the first failed call; the decision modules decide when to start the next one ([Feed.RequestWatch]).
package listwatch
