package peer

import (
	"time"

	"golang.org/x/sys/unix"
)

var processStart = time.Now()

// bootTime reads CLOCK_BOOTTIME, which includes the time during which the VM was suspended. If that clock is not
// available, it falls back to the monotonic clock.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

// setUserTimeout limits how long written data may remain unacknowledged (TCP_USER_TIMEOUT).
func setUserTimeout(fd uintptr) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
}
