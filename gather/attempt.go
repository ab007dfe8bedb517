package gather

import "time"

// attempt is one send of a task, to a server directly or through a relay.
type attempt struct {
	id   AttemptID
	job  *job
	task *task
	// server is nil when the attempt goes through a relay.
	server *server
	relay  *relayCall
	// domain is the failure domain of the server or relay.
	domain  string
	purpose Purpose
	sentAt  time.Time
	// startTime is the start time of the server process to which the attempt was sent.
	startTime time.Time
	ended     bool
	canceled  bool
	endedAt   time.Time
	outcome   Outcome
	// charged is set when the attempt was charged to the retry budget.
	charged bool
	// stallCanceled is set when the attempt was canceled because its server has stopped answering.
	stallCanceled bool
	// undelivered is set when the attempt has ended without reaching a server, mayHaveRun when it has ended and a
	// server may have run it.
	undelivered bool
	mayHaveRun  bool
}

func (a *attempt) end(now time.Time, c Outcome) {
	a.ended, a.endedAt, a.outcome = true, now, c
	a.undelivered = c == Unsent || c == Busy || c == Full
	a.mayHaveRun = c.mayHaveRun()
}

// takeBudget reports whether the retry budget allows the task to be sent. It charges one extra arrival unless the
// send is the first arrival of the task.
func (e *Engine) takeBudget(now time.Time, t *task) bool {
	return t.isUndelivered() || t.pool.budget.spend(&e.config.Budget, now, e.slack(now))
}

// send sends a task to a server. The caller has checked the retry budget with takeBudget.
func (e *Engine) send(now time.Time, t *task, s *server, p Purpose, act *Actions) {
	e.lastSent++
	j := t.job
	a := &attempt{
		id: e.lastSent, job: j, task: t, charged: !t.isUndelivered(), server: s, domain: s.FailureDomain, purpose: p, sentAt: now,
		startTime: s.StartTime,
	}
	e.attempts[a.id] = a
	j.scheduleChanged = true
	t.attempts = append(t.attempts, a)
	s.open = append(s.open, a)
	s.recentSends.add(now)
	if p != Primary {
		act.Events = append(act.Events, Event{
			Name: string(p), Job: j.id, Pool: t.pool.name, Server: s.ID, Detail: e.explainSend(now, t, s),
		})
	}
	act.Sends = append(act.Sends, Send{
		Attempt: a.id, Job: j.id, Task: t.index, Pool: t.pool.name, Server: s.Server, Purpose: p, Deadline: j.Deadline,
	})
}

// Done reports the result of an attempt that was sent directly to a server; RelayReport and RelayEnd report the results of
// relays. The answer must be used if Actions.Accepted is set, and dropped otherwise. The answer of a canceled attempt is
// still accepted if its task is unanswered. An unknown attempt is ignored.
func (e *Engine) Done(now time.Time, id AttemptID, r Result) Actions {
	var act Actions
	a := e.attempts[id]
	if a == nil || a.ended {
		return act
	}
	a.end(now, r.Outcome)
	delete(e.attempts, id)
	a.server.removeOpen(a)
	e.recordResult(now, a, r, &act)
	if r.Leaving {
		e.recordLeaving(now, a, &act)
	}
	if r.RetryAfter > 0 {
		e.recordPushback(now, a, r.RetryAfter, &act)
	}
	if r.Leaving || r.RetryAfter > 0 || r.Outcome == OtherServer {
		e.wakeUnservable(now, a.server.pool, &act)
	}
	j, t := a.job, a.task
	e.recordEnd(a)
	if r.Outcome != OK && r.Outcome != Answered && !a.canceled {
		act.Events = append(act.Events, Event{
			Name: "attempt failed", Job: j.id, Pool: t.pool.name, Server: a.server.ID,
			Detail: string(a.purpose) + " " + string(r.Outcome) + " after " +
				milliseconds(now.Sub(a.sentAt)) + ": " + r.Detail,
		})
	}
	e.dispatch(now, a.server.pool, &act)
	if e.jobs[j.id] != j || t.answered || t.failed {
		return act
	}
	switch {
	case r.Outcome == OK, !j.Merged && len(j.tasks) == 1 && e.isFinal(now, t, r.Outcome):
		t.answered = true
		j.answered++
		act.Accepted = true
		e.cancelAttempts(t, &act, false)
	default:
		e.retryOrFail(now, t, r, &act)
	}
	e.finishIfDone(now, j, &act)
	return act
}

// recordEnd records whether a server may have run an attempt that has ended, and refunds its charge to the retry
// budget if it reached no server.
func (e *Engine) recordEnd(a *attempt) {
	a.job.mayHaveRun = a.job.mayHaveRun || a.mayHaveRun
	if a.charged && a.undelivered {
		a.task.pool.budget.refund(&e.config.Budget, a.sentAt)
	}
}

// isFinal reports whether an answer that is not a success is passed on to the caller of a request that is not merged. An
// answer with the outcome Answered, such as a redirect or a client error, always is. A server error is passed on when no
// other attempt is in flight and no further one is allowed. In a merged request both count as failed attempts, which are
// retried if the request allows it.
func (e *Engine) isFinal(now time.Time, t *task, c Outcome) bool {
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

// recordResult updates the health of a server and the latencies of the request class with the result of an attempt.
func (e *Engine) recordResult(now time.Time, a *attempt, r Result, act *Actions) {
	s, c := a.server, a.job.class
	if r.ColdRemaining > 0 {
		s.ColdUntil = now.Add(r.ColdRemaining)
	}
	switch r.Outcome {
	case OK, Answered, ServerError, NotRun:
		s.restart.recordAnswer(now, a.sentAt, s.ColdTime)
	}
	typical := float64(c.typical())
	switch r.Outcome {
	case OK, Answered:
		c.add(r.Latency)
		s.observe(now, float64(r.Latency)/typical)
		s.recordOutcome(now, false)
		s.recordSuccess(now)
		s.increaseConcurrency()
	case ServerError:
		s.answeredAt = now
		s.recordOutcome(now, true)
		e.ejectOnFailure(now, s, false, r, act)
	case NotRun, Full:
		// The server is alive but at capacity.
		s.answeredAt = now
		s.observe(now, overloadSlowness)
		s.reduceConcurrency(now)
	case OtherServer:
		s.replaced = true
		act.Events = append(act.Events, Event{Name: "server replaced", Pool: s.pool.name, Server: s.ID, Detail: r.Detail})
	case Unsent:
		if r.Refused {
			e.recordRefused(now, a, act)
		}
		e.ejectOnFailure(now, s, true, r, act)
	case Broken:
		s.recordOutcome(now, true)
		e.ejectOnFailure(now, s, false, r, act)
	case TimedOut, Canceled:
		if a.stallCanceled {
			return
		}
		if elapsed := float64(now.Sub(a.sentAt)); elapsed > typical*s.slownessNow(now) && s.answeredAt.Before(a.sentAt) {
			s.observe(now, elapsed/typical)
		}
		if r.Outcome == TimedOut && s.answeredAt.Before(a.sentAt) {
			s.recordOutcome(now, true)
			e.ejectOnFailure(now, s, false, r, act)
		}
	}
}

// overloadSlowness is the slowness sample, as a multiple of the typical latency, that is recorded when a server rejects a
// request because it is at capacity, or when an attempt fails at a relay that must have used the server.
const overloadSlowness = 4

func (e *Engine) ejectOnFailure(now time.Time, s *server, severe bool, r Result, act *Actions) {
	if s.recordFailure(now, severe) {
		act.Events = append(act.Events, Event{
			Name: "eject", Pool: s.pool.name, Server: s.ID,
			Detail: string(r.Outcome) + ", for " + milliseconds(s.ejectedUntil.Sub(now)) + ": " + r.Detail,
		})
	}
}

// retryOrFail retries a task whose attempt has failed, or marks the task as failed.
func (e *Engine) retryOrFail(now time.Time, t *task, r Result, act *Actions) {
	switch {
	case r.Outcome.mayHaveRun() && !t.job.Idempotent, t.job.Relayed:
		t.job.failTask(t, string(r.Outcome)+": "+r.Detail, act)
	case t.inFlight() > 0:
	case !t.mayRetry(now):
		t.job.failTask(t, string(r.Outcome)+": "+r.Detail, act)
	default:
		t.job.reason = string(r.Outcome) + ": " + r.Detail
		e.sendOrWait(now, t, Retry, act)
	}
}

// isUndelivered reports whether all attempts of the task have ended without reaching a server, so that the next one
// is its first arrival.
func (t *task) isUndelivered() bool {
	for _, a := range t.attempts {
		if !a.undelivered {
			return false
		}
	}
	return true
}

// maxSends is the maximum number of sends of a task. Unlike MaxAttempts, it also counts sends that no server has run,
// such as those that reached no server, and repeated sends to the same server.
const maxSends = 8

// mayRetry reports whether the limit of sends and the deadline allow the task to be sent again.
func (t *task) mayRetry(now time.Time) bool {
	return len(t.attempts) < maxSends && now.Before(t.job.Deadline)
}

// maySendTo reports whether the task may be sent to the server. A task may be sent to at most MaxAttempts servers. It
// may be sent again to one of them resendDelay after the last attempt there has ended.
func (t *task) maySendTo(now time.Time, s *server) bool {
	again := false
	for _, a := range t.attempts {
		if a.server != s && (a.relay == nil || a.domain != s.FailureDomain) {
			continue
		}
		if !a.ended || now.Sub(a.endedAt) < resendDelay {
			return false
		}
		again = again || a.server == s && a.mayHaveRun
	}
	return again || t.maySendToAnother()
}

// maySendToAnother reports whether the task may be sent to one more server. The server used by a relay is unknown, so
// each relayed attempt counts as a separate server.
func (t *task) maySendToAnother() bool {
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

// resendDelay is the delay before a task may be sent again to a server that did not answer it. It is longer than a
// server at capacity needs to serve a request.
const resendDelay = 50 * time.Millisecond

// cancelAttempts marks the attempts of a task that are in flight as canceled: their answers are no longer used. If
// the caller has disconnected, they are also ended at once.
func (e *Engine) cancelAttempts(t *task, act *Actions, disconnected bool) {
	for _, a := range t.attempts {
		if a.ended || a.canceled {
			continue
		}
		a.canceled = true
		switch {
		case a.relay != nil && disconnected:
			act.RelayCancels = append(act.RelayCancels, a.relay.id)
		case a.relay != nil && a.relay.isUnused():
			act.RelayDrops = append(act.RelayDrops, a.relay.id)
		case a.relay == nil && disconnected:
			act.Cancels = append(act.Cancels, a.id)
		case a.relay == nil:
			act.Drops = append(act.Drops, a.id)
		}
	}
}
