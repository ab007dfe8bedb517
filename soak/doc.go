// Package soak runs nodes that serve routes as separate processes, with stand-ins for the platform and the
// backend servers behind loopback proxies, and injects seeded faults from outside: connections are delayed,
// reset, or dropped in one or both directions, processes are stopped, paused, killed and restarted, and the
// platform is unavailable. It checks the guarantees of the system against the requests and responses recorded
// by callers and backend servers.
package soak
