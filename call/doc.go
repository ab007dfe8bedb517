// Package call is the client library for callers. It discovers the addresses of nodes, sends queries
// and orders to them, and reports whether an order ran, did not run, or has an unknown outcome.
//
// A query is idempotent and is retried at another address after a failure. An order runs at most
// once: the client retries with the same order key while the order may have run, and uses a new key
// only if it is certain that the old key never runs.
package call
