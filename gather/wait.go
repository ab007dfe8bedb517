package gather

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxWaiting bounds the tasks of one pool that wait for room.
	maxWaiting = 200
	// budgetPause is the time after which a retry is tried again for which the budget had no room.
	budgetPause = 100 * time.Millisecond
	// shedPause is the time for which a server that has refused a request gets no other one from this
	// node, unless an answer comes earlier.
	shedPause = 30 * time.Millisecond
)

// wait lets a task wait for room at a server of its pool, or until a time when that is set.
func (e *Engine) wait(t *task, until time.Time) {
	if !t.waiting {
		t.job.waiting++
	}
	t.waiting, t.retryAt, t.hedgeAt = true, until, time.Time{}
	if !until.IsZero() {
		return
	}
	p := t.pool
	i, _ := slices.BinarySearchFunc(p.waiting, t, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), a.job.started.Compare(b.job.started), -1)
	})
	p.waiting = slices.Insert(p.waiting, i, t)
	if len(p.waiting) > maxWaiting {
		p.clean(e)
	}
}

// resume ends the wait of a task.
func (t *task) resume() {
	if t.waiting {
		t.job.waiting--
	}
	t.waiting, t.retryAt = false, time.Time{}
}

// isWaiting reports whether the task still waits for room.
func (e *Engine) isWaiting(t *task) bool {
	return t.waiting && t.retryAt.IsZero() && !t.answered && !t.lost && e.jobs[t.job.id] == t.job
}

// clean drops tasks that no longer wait, and the last ones above the limit. These stay unanswered until
// their requests end.
func (p *pool) clean(e *Engine) {
	p.waiting = slices.DeleteFunc(p.waiting, func(t *task) bool { return !e.isWaiting(t) })
	if len(p.waiting) > maxWaiting {
		p.waiting = p.waiting[:maxWaiting]
	}
}

// dispatch sends the tasks that wait for the servers of a pool, as far as there is room.
func (e *Engine) dispatch(now time.Time, p *pool, act *Actions) {
	if len(p.waiting) == 0 {
		return
	}
	p.clean(e)
	for {
		i, s := e.next(now, p)
		if s == nil {
			return
		}
		t := p.waiting[i]
		p.waiting = slices.Delete(p.waiting, i, i+1)
		if !e.afford(now, t) {
			t.retryAt = now.Add(budgetPause)
			continue
		}
		t.resume()
		e.send(now, t, s, t.purpose(), act)
		t.hedgeAt = e.hedgeTime(now, t)
	}
}

// next returns the index of the waiting task that is sent first and its server, or no server when no task
// can be sent now. Of tasks with the same use it is one with the highest priority. Among these the newest
// goes first when it is in time, so that under overload some are, and otherwise the one that has waited
// longest.
func (e *Engine) next(now time.Time, p *pool) (int, *server) {
	best, least := 0, useless
	var to *server
	for i, t := range p.waiting {
		s := e.choose(now, t.job, p, t)
		if s == nil {
			continue
		}
		u := e.useOf(now, t, s)
		if u < least || u == inTime && t.job.Priority == p.waiting[best].job.Priority {
			best, least, to = i, u, s
		}
	}
	return best, to
}

// sendNeeded sends waiting tasks of a request that cannot be answered without some of them.
func (e *Engine) sendNeeded(now time.Time, j *job, act *Actions) {
	for i := range j.tasks {
		if j.waiting <= j.spare() {
			return
		}
		if t := &j.tasks[i]; e.isWaiting(t) {
			e.dispatch(now, t.pool, act)
		}
	}
}

// purpose returns that of the next attempt of a task.
func (t *task) purpose() Purpose {
	if len(t.attempts) == 0 {
		return Primary
	}
	return Retry
}

// retry sends the tasks of a request again that are due.
func (e *Engine) retry(now time.Time, j *job, act *Actions) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.waiting && !t.retryAt.IsZero() && !now.Before(t.retryAt) && !t.answered && !t.lost {
			t.resume()
			e.place(now, t, t.purpose(), act)
		}
	}
}

// shed records that the server has refused a request for want of room.
func (s *server) shed(now time.Time) {
	s.window = max(1, len(s.open))
	s.fullUntil = now.Add(shedPause)
}

// grow lets the node send one more request at a time to the server after an answer.
func (s *server) grow() {
	if s.window > 0 && s.window < s.Connections {
		s.window++
	}
	s.fullUntil = time.Time{}
}
