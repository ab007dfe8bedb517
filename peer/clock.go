package peer

import "time"

// maxClockJump is the change between wall clock and boot time clock that counts as a jump. Slewing
// by a time service stays far below it between two readings.
const maxClockJump = 100 * time.Millisecond

// clock gives the time of the state machine: the wall time at the start plus the boot time that has
// passed, so that it goes on while the VM is suspended and no step of the wall clock moves it.
type clock struct {
	base   time.Time
	boot   time.Duration
	offset time.Duration
}

func newClock() *clock {
	return &clock{base: time.Now().Round(0), boot: bootTime()}
}

// read returns the time and the offset of the wall clock from it. It reports a jump when the
// offset has changed since the last reading, as it does when a hypervisor has stopped one of the
// two clocks.
func (c *clock) read() (now time.Time, offset time.Duration, jumped bool) {
	wall := time.Now().Round(0)
	now = c.base.Add(bootTime() - c.boot)
	offset = wall.Sub(now)
	moved := offset - c.offset
	c.offset = offset
	return now, offset, moved > maxClockJump || moved < -maxClockJump
}
