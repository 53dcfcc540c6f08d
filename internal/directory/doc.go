// Package directory finds the pool of a request: it joins the table of routes with what a frontend has to know of each
// pool. The HTTP frontend and the batch service both use it. Package reconcile makes a new Directory for each
// configuration; a Directory itself is immutable.
package directory
