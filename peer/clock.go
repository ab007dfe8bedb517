package peer

import "time"

// maxClockJump is the largest change of the offset between wall clock and boot time clock that is not treated as
// a jump. Slewing by a time service stays far below it between two readings.
const maxClockJump = 100 * time.Millisecond

// clock is the time source of the state machine: the wall clock time at the start plus the boot time elapsed
// since then. It advances while the VM is suspended and is not affected by steps of the wall clock.
type clock struct {
	base   time.Time
	boot   time.Duration
	offset time.Duration
}

func newClock() *clock {
	return &clock{base: time.Now().Round(0), boot: bootTime()}
}

// read returns the time and the offset of the wall clock from it. It reports a jump if the offset has changed by
// more than maxClockJump since the last reading, for example because a hypervisor stopped one of the two clocks.
func (c *clock) read() (now time.Time, offset time.Duration, jumped bool) {
	wall := time.Now().Round(0)
	now = c.base.Add(bootTime() - c.boot)
	offset = wall.Sub(now)
	change := offset - c.offset
	c.offset = offset
	return now, offset, change > maxClockJump || change < -maxClockJump
}
