// Package node is one process of the fleet: it puts the parts together as the settings say, starts them, says when it is
// ready, and ends in order. Decisions are the parts'.
package node
