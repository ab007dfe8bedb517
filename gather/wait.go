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
	for len(p.waiting) > 0 {
		t := p.waiting[0]
		if e.isWaiting(t) {
			s := e.choose(now, t.job, p, t)
			if s == nil {
				return
			}
			if e.afford(now, t) {
				t.waiting = false
				e.send(now, t, s, t.purpose(), act)
				t.hedgeAt = e.hedgeTime(now, t.job)
			} else {
				t.retryAt = now.Add(budgetPause)
			}
		}
		p.waiting = p.waiting[1:]
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
			t.waiting, t.retryAt = false, time.Time{}
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
