//go:build !linux

package peer

import "time"

var processStart = time.Now()

// bootTime reads the monotonic clock, because CLOCK_BOOTTIME exists only on Linux.
func bootTime() time.Duration { return time.Since(processStart) }

func setUserTimeout(uintptr) error { return nil }
