// Package order issues order keys and keeps the table of the keys of one issuer, so that each key
// runs at most once without shared storage. It reads no clock and does no input or output.
package order
