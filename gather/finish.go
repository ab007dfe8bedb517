package gather

import "time"

// hedgeTime returns when a shard that has not been answered gets a hedge: as late as a hedge can
// still be expected to be answered before the target, so that few requests need one, but not before
// the typical latency has passed.
func (e *Engine) hedgeTime(now time.Time, j *job) time.Time {
	if !j.Idempotent {
		return time.Time{}
	}
	tail := j.class.tail(j.target())
	latest := j.Target.Add(-tail * hedgeTails)
	earliest := now.Add(j.class.typical(j.target()) + tail/2)
	if j.Target.IsZero() || latest.Before(earliest) {
		return earliest
	}
	return latest
}

// hedgeTails is the number of tail latencies left for a hedge before the target.
const hedgeTails = 1

// hedge sends a second attempt of each task that is due.
func (e *Engine) hedge(now time.Time, j *job, act *Actions) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.answered || t.lost || t.hedgeAt.IsZero() || now.Before(t.hedgeAt) {
			continue
		}
		t.hedgeAt = time.Time{}
		if !e.mayRetry(now, j, t) {
			continue
		}
		s := e.choose(now, j, t.pool, t)
		if s == nil || now.Before(s.ejectedUntil) || !t.pool.budget.spend(&e.config.Budget, now, e.nodes) {
			continue
		}
		e.send(now, j, t, s, Hedge, act)
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
}

func (e *Engine) finish(j *job, end End, act *Actions) {
	for i := range j.tasks {
		for _, a := range j.tasks[i].attempts {
			j.sent = j.sent || !a.ended
		}
	}
	act.Finished = &Finished{
		Job: j.id, End: end, Answered: j.answered, Total: len(j.tasks), Sent: j.sent, Reason: j.reason,
	}
	if !j.sent && end != Complete && end != Partial {
		act.Finished.RetryAfter = retryAfter
	}
	e.end(j, &act.Drops)
}
