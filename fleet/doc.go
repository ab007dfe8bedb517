// Package fleet is the state machine of one node's part in the fleet: membership, homes and seats
// of slices, home leases, the spread of configuration and notes. It does no input or output,
// starts no goroutine and reads no clock: every call takes the time, and every reaction is an
// Output that the caller carries out. A Node is not safe for concurrent use.
package fleet
