// Package stand holds stand-ins of the outside systems: the platform with its configuration
// service and VM list, and backend servers with seeded faults. Tests, the demo and the standin
// command embed them. A Fleet starts one platform and a set of servers on loopback ports.
package stand
