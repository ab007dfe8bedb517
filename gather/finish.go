package gather

import (
	"maps"
	"slices"
	"time"
)

// hedgeTime returns the time at which an unanswered task is hedged, or the zero time if it must not be hedged. While
// the retry budget is unused, tasks are hedged at the earliest time, by which most answers have arrived. As the budget
// is used up, hedges are delayed, up to the latest time at which a hedge is still expected to be answered before the
// target.
func (e *Engine) hedgeTime(now time.Time, t *task) time.Time {
	j := t.job
	if !j.Idempotent || j.MaxAttempts < 2 {
		return time.Time{}
	}
	earliest, latest := e.hedgeTimes(now, j)
	used := min(1, t.pool.budget.usedFraction(&e.config.Budget, now, e.slack(now))/lateHedgeFraction)
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
	// hedgeTails is the time reserved for a hedge before the target, as a multiple of the tail latency.
	hedgeTails = 1
	// lateHedgeFraction is the used fraction of the retry budget from which hedges are sent at the latest time.
	lateHedgeFraction = 0.5
)

// hedge sends a hedge for each task that is due and has exactly one attempt in flight.
func (e *Engine) hedge(now time.Time, j *job, act *Actions) {
	var due []*task
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.answered || t.failed || t.hedgeAt.IsZero() || now.Before(t.hedgeAt) {
			continue
		}
		t.hedgeAt = time.Time{}
		if t.inFlight() == 1 && t.mayRetry(now) {
			due = append(due, t)
		}
	}
	if at := e.postponeHedges(now, j, len(due)); !at.IsZero() {
		for _, t := range due {
			t.hedgeAt = at
		}
		j.scheduleChanged = true
		return
	}
	due = slices.DeleteFunc(due, func(t *task) bool {
		s := e.choose(now, j, t.pool, t)
		return s == nil || s.ejected(now) || !e.takeBudget(now, t)
	})
	for _, t := range e.sendRelayed(now, j, due, Hedge, act) {
		if s := e.choose(now, j, t.pool, t); s != nil {
			e.send(now, t, s, Hedge, act)
		}
	}
}

// postponeHedges returns the time until which n hedges that are due now must wait, or the zero time if they may be sent.
// When a relay is slow, all its shards are due at once. If their hedges cannot be answered before the target either, they
// only take processor time from the nodes that are still working on the answer. They are sent a tail latency after the
// target if the request is still open then.
func (e *Engine) postponeHedges(now time.Time, j *job, n int) time.Time {
	if n < minRelayShards || j.Target.IsZero() || !now.Before(j.Target) {
		return time.Time{}
	}
	self := lane{cores: e.cores()}
	if now.Add(self.finishTime(n) + j.class.typical()).Before(j.Target) {
		return time.Time{}
	}
	domains := slices.Sorted(maps.Keys(e.relayDomains))
	_, lanes := e.usableRelays(now, j, domains)
	if s := spreadShards(n, &self, e.cores(), lanes); now.Add(s.time + j.class.typical()).Before(j.Target) {
		return time.Time{}
	}
	return j.Target.Add(j.class.tail())
}

// finishIfDone ends a request when all its shards have answered or failed, when the target has passed and the minimum
// coverage is reached, or when the minimum coverage can no longer be reached.
func (e *Engine) finishIfDone(now time.Time, j *job, act *Actions) {
	total := len(j.tasks)
	switch {
	case j.answered == total:
		e.finish(now, j, Complete, act)
	case !j.coversEnough(total-j.failed) && !now.Before(j.Deadline):
		// The attempts of a request time out at its deadline. On a busy node they may do so before the tick that ends it.
		e.finish(now, j, Expired, act)
	case !j.coversEnough(total - j.failed):
		e.finish(now, j, Failed, act)
	case !j.coversEnough(j.answered):
	case j.answered+j.failed == total, !j.Target.IsZero() && !now.Before(j.Target):
		e.finish(now, j, Partial, act)
	}
	if act.Finished == nil && j.waiting > 0 {
		e.sendRequired(now, j, act)
	}
}

func (e *Engine) finish(now time.Time, j *job, end End, act *Actions) {
	f := &Finished{Job: j.id, End: end, Answered: j.answered, Total: len(j.tasks), Reason: j.reason}
	for i := range j.tasks {
		if t := &j.tasks[i]; !t.answered && len(f.Missing) < maxMissing {
			f.Missing = append(f.Missing, t.describe())
		}
		for _, a := range j.tasks[i].attempts {
			j.mayHaveRun = j.mayHaveRun || !a.ended
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
	f.MayHaveRun = j.mayHaveRun
	act.Finished = f
	if !j.mayHaveRun && end != Complete && end != Partial {
		f.RetryAfter = e.callerRetryAfter(now, j)
	}
	e.removeJob(j, act, false)
}
