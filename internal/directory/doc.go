// Package directory maps requests to pools: it combines the route table with the settings of each pool that frontends need.
// The HTTP frontend and the batch service both use it. Package reconcile creates a Directory for each configuration.
package directory
