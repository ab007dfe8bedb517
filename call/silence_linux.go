package call

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// limitSilence returns a control function that closes a connection whose sent data stays
// unacknowledged. Keepalive probes do not run while data is outstanding.
func limitSilence(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) {
			failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failure
	}
}
