// Package limit bounds the load on backend servers. It provides per-server concurrency limits with
// permits, slow start for cold servers, and the admission queue of a slice. It performs no I/O and
// reads no clock.
package limit
