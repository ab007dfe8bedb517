// Package proof has the tests of a whole fleet of processes on loopback. They start the stand-ins
// and the nodes as processes, end and pause nodes, disturb the platform and the backend servers, and
// compare what callers were told with what the backend servers ran.
package proof
