// Package fake provides stand-ins for external systems: the platform with its configuration service and
// VM list, and backend servers with seeded fault injection. They are used by tests, the demo and the
// standin command. A Fleet starts one platform and a set of servers on loopback ports.
package fake
