// Package peer implements communication between nodes. It runs the fleet.Node state machine over one UDP socket
// and contains the HTTP client and server for requests between nodes.
package peer
