// Package wire defines the messages and errors of all interfaces: those with callers, peers, backend servers and the
// platform. It performs no I/O.
package wire
