package peer

import (
	"time"

	"golang.org/x/sys/unix"
)

var processStart = time.Now()

// bootTime reads CLOCK_BOOTTIME, which includes the time for which the VM was suspended. Without it
// the monotonic clock is used.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

// setUserTimeout bounds the time for which written data may stay unacknowledged.
func setUserTimeout(fd uintptr) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
}
