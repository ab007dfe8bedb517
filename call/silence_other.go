//go:build !linux

package call

import (
	"syscall"
	"time"
)

// userTimeoutControl returns nil, because TCP_USER_TIMEOUT exists only on Linux. Attempt timeouts and
// keepalive apply on all platforms.
func userTimeoutControl(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}
