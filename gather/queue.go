package gather

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxWaiting is the maximum number of tasks of one pool that wait for capacity.
	maxWaiting = 200
	// budgetRetryDelay is the delay before a send that the retry budget did not allow is tried again.
	budgetRetryDelay = 100 * time.Millisecond
	// overloadBackoff is the time for which this node sends no further requests to a server that has rejected one,
	// unless the server answers earlier.
	overloadBackoff = 30 * time.Millisecond
)

// wakeUnservable makes the requests that wait for the servers of a pool check at once whether they can still be sent, if
// no server of the pool accepts requests now.
func (e *Engine) wakeUnservable(now time.Time, p *pool, act *Actions) {
	if len(p.waiting) == 0 {
		return
	}
	if at, ok := p.readyAt(now, nil); ok && !at.After(now) {
		return
	}
	for _, t := range p.waiting {
		if e.isWaiting(t) {
			t.checkAt = now
			t.job.scheduleChanged = true
			act.Rescheduled = append(act.Rescheduled, t.job.id)
		}
	}
}

// checkWaiting checks the waiting tasks of a request whose check is due. It sends those that a server accepts again, and
// fails those that none will accept before the deadline.
func (e *Engine) checkWaiting(now time.Time, j *job, act *Actions) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.checkAt.IsZero() || now.Before(t.checkAt) {
			continue
		}
		t.checkAt = time.Time{}
		switch {
		case !e.isWaiting(t):
		case e.failIfUnservable(now, t, act):
		case t.checkAt.IsZero():
			e.dispatch(now, t.pool, act)
		}
	}
}

// waitForServer queues a task for capacity at a server. It fails the task if no server will accept it before the
// deadline.
func (e *Engine) waitForServer(now time.Time, t *task, act *Actions) {
	if !e.failIfUnservable(now, t, act) {
		e.wait(t, time.Time{})
	}
}

// failIfUnservable fails a task that no server will accept before the deadline. Otherwise it sets the time at which the
// task must be checked again, and returns false.
func (e *Engine) failIfUnservable(now time.Time, t *task, act *Actions) bool {
	at, ok := t.pool.readyAt(now, t)
	var reason string
	switch {
	case !t.pool.hasServers():
		reason = t.pool.describeNoServers()
	case !ok:
		reason = "no further server of " + t.pool.name + " may get it"
	case !at.Before(t.job.Deadline):
		reason = "all servers of " + t.pool.name + " want no requests for " + milliseconds(at.Sub(now))
	default:
		if at.After(now) {
			t.checkAt = at
			t.job.scheduleChanged = true
		}
		return false
	}
	t.resume()
	t.job.failTask(t, reason, act)
	return true
}

// wait lets a task wait until the given time or, if that is zero, queues it for capacity at a server of its pool.
func (e *Engine) wait(t *task, until time.Time) {
	if !t.waiting {
		t.job.waiting++
	}
	t.waiting, t.retryAt, t.hedgeAt = true, until, time.Time{}
	t.job.scheduleChanged = true
	if !until.IsZero() {
		return
	}
	p := t.pool
	i, _ := slices.BinarySearchFunc(p.waiting, t, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), a.job.started.Compare(b.job.started), -1)
	})
	p.waiting = slices.Insert(p.waiting, i, t)
	if len(p.waiting) > maxWaiting {
		p.pruneWaiting(e)
	}
}

// resume ends the wait of a task.
func (t *task) resume() {
	if t.waiting {
		t.job.waiting--
	}
	t.waiting, t.retryAt, t.checkAt = false, time.Time{}, time.Time{}
}

// isWaiting reports whether the task still waits for capacity.
func (e *Engine) isWaiting(t *task) bool {
	return t.waiting && t.retryAt.IsZero() && !t.answered && !t.failed && e.jobs[t.job.id] == t.job
}

// pruneWaiting removes tasks that no longer wait, and the last ones above maxWaiting. The latter stay unanswered until
// their requests end.
func (p *pool) pruneWaiting(e *Engine) {
	p.waiting = slices.DeleteFunc(p.waiting, func(t *task) bool { return !e.isWaiting(t) })
	if len(p.waiting) > maxWaiting {
		p.waiting = p.waiting[:maxWaiting]
	}
}

// dispatch sends the tasks that wait for the servers of a pool, as capacity allows.
func (e *Engine) dispatch(now time.Time, p *pool, act *Actions) {
	if len(p.waiting) == 0 {
		return
	}
	p.pruneWaiting(e)
	for {
		i, s := e.nextWaiting(now, p)
		if s == nil {
			return
		}
		t := p.waiting[i]
		p.waiting = slices.Delete(p.waiting, i, i+1)
		if !e.takeBudget(now, t) {
			t.retryAt = now.Add(budgetRetryDelay)
			t.job.scheduleChanged = true
			continue
		}
		t.resume()
		e.send(now, t, s, t.nextPurpose(), act)
		t.hedgeAt = e.hedgeTime(now, t)
	}
}

// nextWaiting returns the index of the waiting task to send first and its server. The server is nil if no task can be
// sent now. Among tasks of the same rank, those with the highest priority go first. Among these, the newest goes first
// if they are on time, so that under overload some requests meet their target; otherwise the oldest goes first.
func (e *Engine) nextWaiting(now time.Time, p *pool) (int, *server) {
	best, leastRank := 0, unneeded
	var target *server
	for i, t := range p.waiting {
		s := e.choose(now, t.job, p, t)
		if s == nil {
			continue
		}
		rank := e.rankOf(now, t, s)
		if rank < leastRank || rank == onTime && t.job.Priority == p.waiting[best].job.Priority {
			best, leastRank, target = i, rank, s
		}
	}
	return best, target
}

// sendRequired dispatches the waiting tasks of a request while it cannot reach the minimum coverage without some of
// them.
func (e *Engine) sendRequired(now time.Time, j *job, act *Actions) {
	for i := range j.tasks {
		if j.waiting <= j.allowedMisses() {
			return
		}
		if t := &j.tasks[i]; e.isWaiting(t) {
			e.dispatch(now, t.pool, act)
		}
	}
}

// nextPurpose returns the purpose of the next attempt of a task.
func (t *task) nextPurpose() Purpose {
	if len(t.attempts) == 0 {
		return Primary
	}
	return Retry
}

// retry sends the waiting tasks of a request whose retry time has come.
func (e *Engine) retry(now time.Time, j *job, act *Actions) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.waiting && !t.retryAt.IsZero() && !now.Before(t.retryAt) && !t.answered && !t.failed {
			t.resume()
			e.sendOrWait(now, t, t.nextPurpose(), act)
		}
	}
}

// reduceConcurrency limits the outstanding requests to the current number and starts the overload backoff, after the
// server has rejected a request because it is at capacity.
func (s *server) reduceConcurrency(now time.Time) {
	s.concurrencyLimit = max(1, len(s.open))
	s.backoffUntil = now.Add(overloadBackoff)
}

// increaseConcurrency raises the concurrency limit by one and ends the overload backoff, after the server has answered.
func (s *server) increaseConcurrency() {
	if s.concurrencyLimit > 0 && s.concurrencyLimit < s.Connections {
		s.concurrencyLimit++
	}
	s.backoffUntil = time.Time{}
}
