// Package serve runs one node: it connects the core packages to sockets, timers and the platform, and serves the
// interfaces for callers, peers and operators.
package serve
