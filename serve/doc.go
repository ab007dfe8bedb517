// Package serve runs one node: it joins the core packages to sockets, timers and the platform,
// and offers the interfaces for callers, peers and operators.
package serve
