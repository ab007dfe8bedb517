//go:build !linux

package call

import (
	"syscall"
	"time"
)

// limitSilence returns no control function: only Linux bounds the time for which sent data may
// stay unacknowledged. Attempt timeouts and keepalive apply everywhere.
func limitSilence(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}
