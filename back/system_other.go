//go:build !linux

package back

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing, because TCP_USER_TIMEOUT exists only on Linux.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }

// sinceBoot returns the wall-clock time, which advances while the VM is suspended.
func sinceBoot() time.Duration { return time.Duration(time.Now().UnixNano()) }
