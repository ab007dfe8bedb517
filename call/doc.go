// Package call is the library of callers. It asks nodes which addresses to use, sends queries and
// orders to them, and tells truthfully whether an order ran.
//
// A query is idempotent and is sent again to another address after a failure. An order runs at
// most once: the client sends the same order key again while the order may have run, and takes a
// new key only when the old one is certain never to run.
package call
