//go:build !linux

package peer

import "time"

var processStart = time.Now()

// bootTime reads the monotonic clock, since there is no CLOCK_BOOTTIME.
func bootTime() time.Duration { return time.Since(processStart) }

func setUserTimeout(uintptr) error { return nil }
