package gather

import "time"

const (
	// minStuck is the least time without any answer after which a server counts as gone. It is above
	// the pauses that backend servers make together with the work that waits behind them.
	minStuck = 400 * time.Millisecond
	// unknownStuck is used for a class of which too few latencies are known.
	unknownStuck = 3 * time.Second
	// stuckTails is the number of tail latencies of a class after which it does.
	stuckTails = 6
)

func (c *class) stuckTime() time.Duration {
	if _, ok := c.latencies.Quantile(tailQuantile); !ok {
		return unknownStuck
	}
	return max(minStuck, stuckTails*c.tail())
}

// stuckAt returns when the next attempt of a task may have to be given up, zero when none may.
func (t *task) stuckAt(now time.Time) time.Time {
	var next time.Time
	if !t.job.Idempotent {
		return next
	}
	wait := t.job.class.stuckTime()
	for _, a := range t.attempts {
		if a.ended || a.canceled || a.givenUp || a.server == nil {
			continue
		}
		at := a.sentAt.Add(wait)
		if !now.Before(at) {
			// The server has answered others. Look again later.
			at = now.Add(wait)
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// giveUp cuts off the attempts at servers that have not answered anything for long, and ejects the
// servers. The tasks are then sent elsewhere. Where there is no other server, waiting is better.
func (e *Engine) giveUp(now time.Time, j *job, act *Actions) {
	if !j.Idempotent {
		return
	}
	wait := j.class.stuckTime()
	for i := range j.tasks {
		for _, a := range j.tasks[i].attempts {
			if a.ended || a.canceled || a.givenUp || a.server == nil || now.Sub(a.sentAt) < wait {
				continue
			}
			if !a.server.stalled(now, wait) || e.choose(now, j, a.task.pool, a.task) == nil {
				continue
			}
			a.givenUp = true
			act.Cancels = append(act.Cancels, a.id)
			e.ejectAfter(now, a.server, true, Result{Class: TimedOut, Detail: "no answer to anything"}, act)
		}
	}
}
