// Package fleet implements the cluster state machine of one node: membership, the assignment of
// voters to slices, slice leases, and the dissemination of configuration versions and notes. It does
// no input or output, starts no goroutine and reads no clock: each call takes the current time and
// returns its effects as Outputs for the calling code to execute. A Node is not safe for concurrent use.
package fleet
