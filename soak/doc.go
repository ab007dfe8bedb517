// Package soak runs nodes that serve routes as processes of their own, with stand-ins of the platform
// and of backend servers behind loopback proxies, and injects seeded faults from outside: connections that
// are delayed, reset, cut one way or silenced, processes that are stopped, paused, killed and restarted,
// and a platform that is away. It checks the promises by what callers and servers have seen.
package soak
