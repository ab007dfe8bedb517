package call

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeoutControl returns a control function that sets TCP_USER_TIMEOUT, which closes a connection when
// sent data is not acknowledged for d. Keepalive does not cover this case, because its probes are not sent
// while data is unacknowledged.
func userTimeoutControl(d time.Duration) func(network, address string, c syscall.RawConn) error {
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
