package gather

import "time"

// hedgeTime returns when a shard that has not been answered gets a hedge. While the budget is not used,
// that is as soon as most answers are in. The more of it is used, the later it is, up to the last moment
// at which a hedge can still be expected to be answered before the target.
func (e *Engine) hedgeTime(now time.Time, t *task) time.Time {
	j := t.job
	if !j.Idempotent || j.MaxAttempts < 2 {
		return time.Time{}
	}
	earliest, latest := e.hedgeTimes(now, j)
	used := min(1, t.pool.budget.used(&e.config.Budget, now, e.slack(now))/lateHedgeUse)
	return earliest.Add(time.Duration(used * float64(latest.Sub(earliest))))
}

// hedgeTimes returns the earliest and the latest time for a hedge.
func (e *Engine) hedgeTimes(now time.Time, j *job) (earliest, latest time.Time) {
	tail := j.class.tail()
	earliest = now.Add(j.class.typical() + tail/2)
	latest = j.Target.Add(-tail * hedgeTails)
	if j.Target.IsZero() || latest.Before(earliest) {
		latest = earliest
	}
	return earliest, latest
}

const (
	// hedgeTails is the number of tail latencies left for a hedge before the target.
	hedgeTails = 1
	// lateHedgeUse is the part of the budget from which on hedges are as late as they can be.
	lateHedgeUse = 0.5
)

// hedge sends a second attempt of each task that is due.
func (e *Engine) hedge(now time.Time, j *job, act *Actions) {
	var due []*task
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.answered || t.lost || t.hedgeAt.IsZero() || now.Before(t.hedgeAt) {
			continue
		}
		t.hedgeAt = time.Time{}
		if t.inFlight() != 1 || !t.mayRetry(now) {
			continue
		}
		s := e.choose(now, j, t.pool, t)
		if s != nil && !s.ejected(now) && e.afford(now, t) {
			due = append(due, t)
		}
	}
	for _, t := range e.sendRelayed(now, j, due, Hedge, act) {
		if s := e.choose(now, j, t.pool, t); s != nil {
			e.send(now, t, s, Hedge, act)
		}
	}
}

// conclude ends a request when all its shards have answered or been lost, when the target has come
// and the answer covers enough, or when it can no longer cover enough.
func (e *Engine) conclude(now time.Time, j *job, act *Actions) {
	total := len(j.tasks)
	switch {
	case j.answered == total:
		e.finish(j, Complete, act)
	case !j.reaches(total - j.lost):
		e.finish(j, Failed, act)
	case !j.reaches(j.answered):
	case j.answered+j.lost == total, !j.Target.IsZero() && !now.Before(j.Target):
		e.finish(j, Partial, act)
	}
	if act.Finished == nil && j.waiting > 0 {
		e.sendNeeded(now, j, act)
	}
}

func (e *Engine) finish(j *job, end End, act *Actions) {
	f := &Finished{Job: j.id, End: end, Answered: j.answered, Total: len(j.tasks), Reason: j.reason}
	for i := range j.tasks {
		if t := &j.tasks[i]; !t.answered && len(f.Missing) < maxMissing {
			f.Missing = append(f.Missing, t.describe())
		}
		for _, a := range j.tasks[i].attempts {
			j.sent = j.sent || !a.ended
			f.Sends++
			switch a.purpose {
			case Hedge:
				f.Hedges++
			case Retry:
				f.Retries++
			}
			switch {
			case a.relay != nil:
				f.Relayed++
			case a.domain != e.config.FailureDomain:
				f.Remote++
			}
		}
	}
	f.Sent = j.sent
	act.Finished = f
	if !j.sent && end != Complete && end != Partial {
		f.RetryAfter = retryAfter
	}
	e.end(j, act, false)
}
