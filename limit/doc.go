// Package limit bounds the work that backend servers receive: permits for their slots, the slow
// start of cold servers, and the admission queue of a slice. It does no input or output and reads
// no clock.
package limit
