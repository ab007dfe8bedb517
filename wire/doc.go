// Package wire holds the typed messages and errors of all interfaces: callers, peers, backend
// servers and the platform. It does no input or output.
package wire
