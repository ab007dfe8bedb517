package gather

import "time"

// stopRetryAfter is the time after which a caller may retry a request that this node refuses because it is stopping.
// Other nodes can serve it at once.
const stopRetryAfter = 10 * time.Millisecond

// StopAt makes each request end by the given time, at which the node stops. Requests that cannot be answered by then are
// refused from now on.
func (e *Engine) StopAt(at time.Time) {
	e.stopAt = at
	for _, j := range e.jobs {
		e.endAtStop(j)
	}
}

// endAtStop moves the deadline of a request to the time at which the node stops, if that is earlier.
func (e *Engine) endAtStop(j *job) {
	if !e.stopAt.IsZero() && j.Deadline.After(e.stopAt) {
		j.Deadline, j.scheduleChanged = e.stopAt, true
	}
}

// stopsTooSoon reports whether the node stops before a new request is likely to be answered, so that another node can
// serve it better. A request whose own deadline comes first is not affected by the stop.
func (e *Engine) stopsTooSoon(now time.Time, j *job) bool {
	if e.stopAt.IsZero() || !j.Deadline.After(e.stopAt) {
		return false
	}
	return e.stopAt.Sub(now) < max(minHangTimeout, hangTimeoutTails*j.class.tail())
}
