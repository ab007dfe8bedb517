package gather

import "time"

// attempt is one sending of a task to a server.
type attempt struct {
	id   AttemptID
	job  *job
	task *task
	// server is nil when the attempt goes through a relay.
	server *server
	relay  *relayCall
	// domain is the failure domain of the server.
	domain   string
	purpose  Purpose
	sentAt   time.Time
	ended    bool
	canceled bool
	endedAt  time.Time
	class    Class
	// extra means that the attempt was taken out of the budget.
	extra bool
	// givenUp means that the attempt was cut off because its server does not answer anything.
	givenUp bool
	// clean means that the attempt has ended and has reached no server, mayHaveRun that a server may
	// have run it.
	clean      bool
	mayHaveRun bool
}

func (a *attempt) end(now time.Time, c Class) {
	a.ended, a.endedAt, a.class = true, now, c
	a.clean = c == Unsent || c == Busy || c == Full
	a.mayHaveRun = c.mayHaveRun()
}

// afford reports whether the task may be sent, and takes an extra arrival out of the budget unless it
// is the first.
func (e *Engine) afford(now time.Time, t *task) bool {
	return t.isUnsent() || t.pool.budget.spend(&e.config.Budget, now, e.slack(now))
}

// send sends a task that the engine can afford.
func (e *Engine) send(now time.Time, t *task, s *server, p Purpose, act *Actions) {
	e.lastSent++
	j := t.job
	a := &attempt{id: e.lastSent, job: j, task: t, extra: !t.isUnsent(), server: s, domain: s.FailureDomain, purpose: p, sentAt: now}
	e.attempts[a.id] = a
	t.attempts = append(t.attempts, a)
	s.open = append(s.open, a)
	s.sent.add(now)
	if p != Primary {
		act.Events = append(act.Events, Event{
			Name: string(p), Job: j.id, Pool: t.pool.name, Server: s.ID, Detail: e.explainSend(now, t, s),
		})
	}
	act.Sends = append(act.Sends, Send{
		Attempt: a.id, Job: j.id, Task: t.index, Pool: t.pool.name, Server: s.Server, Purpose: p, Deadline: j.Deadline,
	})
}

// Done ends an attempt. Actions.Accepted tells whether its answer is to be used; every other answer
// must be dropped.
func (e *Engine) Done(now time.Time, id AttemptID, r Result) Actions {
	var act Actions
	a := e.attempts[id]
	if a == nil || a.ended {
		return act
	}
	a.end(now, r.Class)
	delete(e.attempts, id)
	a.server.drop(a)
	e.learn(now, a, r, &act)
	j, t := a.job, a.task
	e.settle(a)
	if r.Class != OK && r.Class != Answered && !a.canceled {
		act.Events = append(act.Events, Event{
			Name: "attempt failed", Job: j.id, Pool: t.pool.name, Server: a.server.ID,
			Detail: string(a.purpose) + " " + string(r.Class) + " after " + milliseconds(now.Sub(a.sentAt)) + ": " + r.Detail,
		})
	}
	e.dispatch(now, a.server.pool, &act)
	if e.jobs[j.id] != j || t.answered || t.lost {
		return act
	}
	switch {
	case r.Class == OK, len(j.tasks) == 1 && e.isFinal(now, t, r.Class):
		t.answered = true
		j.answered++
		act.Accepted = true
		e.drop(t, &act, false)
	default:
		e.afterFailure(now, t, r, &act)
	}
	e.conclude(now, j, &act)
	return act
}

// settle records whether a server may have run an attempt, and gives back what it has not used of the
// budget.
func (e *Engine) settle(a *attempt) {
	a.job.sent = a.job.sent || a.mayHaveRun
	if a.extra && a.clean {
		a.task.pool.budget.refund(&e.config.Budget, a.sentAt)
	}
}

// isFinal reports whether an answer that is not a success is what the caller of a request with one
// shard gets. A fault of the server is, when no other attempt is in flight and none is allowed.
func (e *Engine) isFinal(now time.Time, t *task, c Class) bool {
	switch c {
	case Answered:
		return true
	case ServerError:
		return t.inFlight() == 0 && (!t.job.Idempotent || !t.mayRetry(now))
	}
	return false
}

func (t *task) inFlight() int {
	n := 0
	for _, a := range t.attempts {
		if !a.ended && !a.canceled {
			n++
		}
	}
	return n
}

// learn includes the end of an attempt in what is known of its server.
func (e *Engine) learn(now time.Time, a *attempt, r Result, act *Actions) {
	s, c := a.server, a.job.class
	if r.ColdFor > 0 {
		s.ColdUntil = now.Add(r.ColdFor)
	}
	typical := float64(c.typical())
	switch r.Class {
	case OK, Answered:
		c.add(r.Latency)
		s.observe(now, float64(r.Latency)/typical)
		s.tried(now, false)
		s.succeed(now)
		s.grow()
	case ServerError:
		s.answeredAt = now
		s.tried(now, true)
		e.ejectAfter(now, s, false, r, act)
	case NotRun, Full:
		// The server is alive and full.
		s.answeredAt = now
		s.observe(now, shedSlowness)
		s.shed(now)
	case OtherServer:
		s.replaced = true
		act.Events = append(act.Events, Event{Name: "server replaced", Pool: s.pool.name, Server: s.ID, Detail: r.Detail})
	case Unsent:
		e.ejectAfter(now, s, true, r, act)
	case Broken:
		s.tried(now, true)
		e.ejectAfter(now, s, false, r, act)
	case TimedOut, Canceled:
		if a.givenUp {
			return
		}
		if elapsed := float64(now.Sub(a.sentAt)); elapsed > typical*s.slownessNow(now) && s.answeredAt.Before(a.sentAt) {
			s.observe(now, elapsed/typical)
		}
		if r.Class == TimedOut && s.answeredAt.Before(a.sentAt) {
			s.tried(now, true)
			e.ejectAfter(now, s, false, r, act)
		}
	}
}

// shedSlowness is the slowness that a refusal for want of room counts for.
const shedSlowness = 4

func (e *Engine) ejectAfter(now time.Time, s *server, severe bool, r Result, act *Actions) {
	if s.fail(now, severe) {
		act.Events = append(act.Events, Event{
			Name: "eject", Pool: s.pool.name, Server: s.ID,
			Detail: string(r.Class) + ", for " + milliseconds(s.ejectedUntil.Sub(now)) + ": " + r.Detail,
		})
	}
}

// afterFailure retries a task whose attempt has failed, or gives it up.
func (e *Engine) afterFailure(now time.Time, t *task, r Result, act *Actions) {
	switch {
	case r.Class.mayHaveRun() && !t.job.Idempotent, t.job.Relayed:
		t.job.lose(t, string(r.Class)+": "+r.Detail, act)
	case t.inFlight() > 0:
	case !t.mayRetry(now):
		t.job.lose(t, string(r.Class)+": "+r.Detail, act)
	default:
		t.job.reason = string(r.Class) + ": " + r.Detail
		e.place(now, t, Retry, act)
	}
}

// isUnsent reports whether no attempt of the task has reached a server, so that the next one is its
// first arrival.
func (t *task) isUnsent() bool {
	for _, a := range t.attempts {
		if !a.clean {
			return false
		}
	}
	return true
}

// maxTries bounds the sends of a task, with those that reached no server.
const maxTries = 8

// mayRetry reports whether the task may be sent once more.
func (t *task) mayRetry(now time.Time) bool {
	return len(t.attempts) < maxTries && now.Before(t.job.Deadline)
}

// mayReach reports whether the task may be sent to the server: to as many servers as the request
// allows, and again to one of them when the last attempt there is some time past.
func (t *task) mayReach(now time.Time, s *server) bool {
	again := false
	for _, a := range t.attempts {
		if a.server != s && (a.relay == nil || a.domain != s.FailureDomain) {
			continue
		}
		if !a.ended || now.Sub(a.endedAt) < againPause {
			return false
		}
		again = again || a.server == s && a.mayHaveRun
	}
	return again || t.mayReachNew()
}

// mayReachNew reports whether the task may be sent to one more server. Which one a relay has used is
// not known, so that it counts as another one.
func (t *task) mayReachNew() bool {
	reached := 0
	seen := make(map[*server]bool, len(t.attempts))
	for _, a := range t.attempts {
		if (!a.ended || a.mayHaveRun) && (a.server == nil || !seen[a.server]) {
			seen[a.server] = true
			reached++
		}
	}
	return reached < t.job.MaxAttempts
}

// againPause is the time after which a task may be sent to a server once more that has not answered
// it. It is above the time that a full server needs for a request.
const againPause = 50 * time.Millisecond

// drop marks the attempts of a task that are in flight as unwanted, and ends them at once when the
// caller has left.
func (e *Engine) drop(t *task, act *Actions, left bool) {
	for _, a := range t.attempts {
		if a.ended || a.canceled {
			continue
		}
		a.canceled = true
		switch {
		case a.relay != nil && left:
			act.RelayCancels = append(act.RelayCancels, a.relay.id)
		case a.relay != nil && a.relay.isUnwanted():
			act.RelayDrops = append(act.RelayDrops, a.relay.id)
		case a.relay == nil && left:
			act.Cancels = append(act.Cancels, a.id)
		case a.relay == nil:
			act.Drops = append(act.Drops, a.id)
		}
	}
}
