// Package peer connects a node to the others: it runs a fleet.Node over one UDP socket, and is the
// HTTP client and server between nodes.
package peer
