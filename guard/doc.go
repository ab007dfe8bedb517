// Package guard limits the damage of requests that crash backend servers. A request that has not
// succeeded lately runs on one server first, and one that has crashed two servers is refused for
// a time. It reads no clock and does no input or output.
package guard
