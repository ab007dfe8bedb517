package gather

import "time"

const (
	// minHangTimeout is the minimum time without any answer after which a server counts as hung. It is longer than the
	// pauses of backend servers plus the time to process the requests queued during a pause.
	minHangTimeout = 400 * time.Millisecond
	// defaultHangTimeout is used for a class with too few measured latencies.
	defaultHangTimeout = 3 * time.Second
	// hangTimeoutTails is the time without any answer after which a server counts as hung, as a multiple of the tail
	// latency of a class.
	hangTimeoutTails = 6
)

func (c *latencyClass) hangTimeout() time.Duration {
	if _, ok := c.latencies.Quantile(tailQuantile); !ok {
		return defaultHangTimeout
	}
	return max(minHangTimeout, hangTimeoutTails*c.tail())
}

// hangCheckAt returns the time at which the attempts of a task must next be checked for a hung server, or the zero time
// if none may be canceled. wait is the hang timeout of its class.
func (t *task) hangCheckAt(now time.Time, wait time.Duration) time.Time {
	var next time.Time
	if !t.job.Idempotent {
		return next
	}
	for _, a := range t.attempts {
		if a.ended || a.canceled || a.stallCanceled || a.server == nil {
			continue
		}
		at := a.sentAt.Add(wait)
		if !now.Before(at) {
			// The server has answered other requests, or no other server can accept the task. Check again later.
			at = now.Add(wait)
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// cancelStalled cancels the attempts of a request at hung servers and ejects the servers. The tasks are then sent
// elsewhere. An attempt is left open if no other server can accept its task.
func (e *Engine) cancelStalled(now time.Time, j *job, act *Actions) {
	if !j.Idempotent {
		return
	}
	wait := j.class.hangTimeout()
	for i := range j.tasks {
		for _, a := range j.tasks[i].attempts {
			if a.ended || a.canceled || a.stallCanceled || a.server == nil || now.Sub(a.sentAt) < wait {
				continue
			}
			if !a.server.stalled(now, wait) || e.choose(now, j, a.task.pool, a.task) == nil {
				continue
			}
			a.stallCanceled = true
			act.Cancels = append(act.Cancels, a.id)
			e.ejectOnFailure(now, a.server, true, Result{Outcome: TimedOut, Detail: "no answer to any request"}, act)
		}
	}
}
