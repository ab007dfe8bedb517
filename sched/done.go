package sched

import (
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/limit"
	"github.com/arbutusthread/arbutusthread/route"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Done records the result of an attempt. If Actions.Accepted is true, the caller must merge the
// response; otherwise it must discard it. An unknown attempt is ignored.
func (s *Slice) Done(now time.Time, id AttemptID, r Result) Actions {
	var out Actions
	a := s.attempts[id]
	if a == nil {
		return out
	}
	delete(s.attempts, id)
	t := a.task
	t.attempts = slices.DeleteFunc(t.attempts, func(b *attempt) bool { return b == a })
	a.server.permits.Release()
	a.server.inFlight = slices.DeleteFunc(a.server.inFlight, func(b *attempt) bool { return b == a })
	if !r.certain() {
		t.job.sent = true
	}
	s.updateServer(now, a, r, &out)
	s.handleResult(now, a, r, &out)
	if a.server.reservedFor == t && len(t.attempts) == 0 && (!t.open || t.job.ended) {
		a.server.reservedFor = nil
	}
	s.launchWaiters(now, a.server, &out)
	s.admitQueued(now, &out)
	return out
}

func (s *Slice) handleResult(now time.Time, a *attempt, r Result, out *Actions) {
	t := a.task
	switch {
	case !t.open || t.job.ended:
	case r.Outcome == OK:
		s.accept(now, t, out)
	case t == t.job.canary && a.cancelled:
		s.rerunCanary(now, a, r, out)
	case !a.cancelled && r.Outcome != Cancelled:
		s.handleFailure(now, a, r, out)
	}
}

// rerunCanary retries a canary whose attempt was cancelled to reduce the load of a cold server, unless
// the server crashed during the attempt before the cancellation took effect.
func (s *Slice) rerunCanary(now time.Time, a *attempt, r Result, out *Actions) {
	if r.Outcome == Crashed && s.handleCrash(now, a, out) {
		return
	}
	if a.task.inFlight() == 0 {
		s.retry(now, a.task, wire.ReasonBackend, true, out)
	}
}

// updateServer updates the latency, outlier and slow-start state of the server from a result.
func (s *Slice) updateServer(now time.Time, a *attempt, r Result, out *Actions) {
	v, latency := a.server, now.Sub(a.sent)
	switch r.Outcome {
	case OK:
		v.average.Add(latency)
		s.latencies.Add(latency)
		s.outlier.Success(v.address)
		s.observeResponse(now, v, r, latency, out)
	case NotRun:
		s.observeNotRun(now, v, r, out)
	case Crashed:
		out.PoisonMarks = append(out.PoisonMarks, s.guard.ServerCrashed(now, v.address)...)
		s.recordFailure(now, v, out)
		s.markCold(now, v, limit.ColdConnection, out)
	case Unsent, Broken:
		if r.Local {
			return
		}
		s.recordFailure(now, v, out)
		s.markCold(now, v, limit.ColdConnection, out)
	case TimedOut:
		v.average.Add(latency)
		s.recordFailure(now, v, out)
	case Invalid:
		s.recordFailure(now, v, out)
	case Silent, Cancelled:
		// The elapsed time is a lower bound of the latency. Recording it prevents a slow server from
		// keeping a good average by losing to every hedge.
		if latency > v.average.Value() && v.average.Value() > 0 {
			v.average.Add(latency)
		}
		if r.Outcome == Cancelled {
			s.observeCancelled(now, v, latency, out)
		}
	}
}

// observeCancelled treats a cancelled attempt as a slow response if it was already slow, for example
// when it lost to its hedge.
func (s *Slice) observeCancelled(now time.Time, v *server, latency time.Duration, out *Actions) {
	if !s.config.DisableSlowStart && v.permits.Slow(latency) && v.permits.Reduce() {
		s.cancelExcess(now, v, out)
	}
}

func (s *Slice) observeResponse(now time.Time, v *server, r Result, latency time.Duration, out *Actions) {
	if s.config.DisableSlowStart {
		return
	}
	if v.permits.Observe(limit.Sample{Latency: latency, Incarnation: r.Incarnation, Warm: r.Warm}) {
		s.cancelExcess(now, v, out)
	}
	if r.Draining {
		s.drain(now, v, out)
	}
}

func (s *Slice) observeNotRun(now time.Time, v *server, r Result, out *Actions) {
	switch r.Reason {
	case wire.BackendDraining:
		s.drain(now, v, out)
	case wire.BackendCold, wire.BackendShed:
		// A server that sheds load below its concurrency limit has less capacity than the limit assumes.
		s.markCold(now, v, limit.ColdReported, out)
	case wire.BackendDeadline, wire.BackendVersion, wire.BackendBadRequest:
	}
}

func (s *Slice) recordFailure(now time.Time, v *server, out *Actions) {
	if s.outlier.Failure(now, v.address) {
		out.event("server ejected", "", v.address, "")
	}
}

func (s *Slice) accept(now time.Time, t *task, out *Actions) {
	j := t.job
	out.Accepted = true
	s.close(t, out)
	if j.canary == t {
		s.canaryPassed(now, j, out)
	}
	if j.ended {
		return
	}
	if j.open == 0 {
		s.finish(now, j, nil, out)
		return
	}
	s.hedgeTail(now, j, out)
}

// close closes a task and cancels its remaining attempts.
func (s *Slice) close(t *task, out *Actions) {
	t.open = false
	t.job.open--
	s.removeCommittedLoad(t)
	// An attempt that was already cancelled may still run.
	if len(t.attempts) > 0 {
		t.job.sent = true
	}
	for _, a := range t.attempts {
		s.cancel(a, out)
	}
	for _, v := range s.replicas(t) {
		if v.reservedFor == t {
			v.reservedFor = nil
		}
	}
}

// handleFailure retries or fails the task, or finishes the request, after an attempt without a valid
// response.
func (s *Slice) handleFailure(now time.Time, a *attempt, r Result, out *Actions) {
	t, j := a.task, a.task.job
	if r.Outcome == NotRun && r.Reason == wire.BackendVersion {
		j.stale = true
		s.markAllMissing(now, j, wire.ReasonVersion, out)
		return
	}
	if r.Outcome == Crashed && s.handleCrash(now, a, out) {
		return
	}
	if t.inFlight() > 0 {
		return
	}
	if !j.Idempotent && !r.certain() {
		s.finish(now, j, wire.UnknownOutcome(wire.StepBackend, a.server.address.String(), wire.ReasonBackend,
			"%s: %s", r.Outcome, r.Detail), out)
		return
	}
	t.failedOn = append(t.failedOn, a.server)
	s.retry(now, t, reasonOf(r), false, out)
}

func reasonOf(r Result) wire.Reason {
	switch {
	case r.Outcome == NotRun && r.Reason == wire.BackendDeadline, r.Outcome == TimedOut, r.Outcome == Silent:
		return wire.ReasonDeadline
	case r.Outcome == NotRun:
		return wire.ReasonOverload
	default:
		return wire.ReasonBackend
	}
}

// retry launches the task again: immediately if a usable replica is left that is not ejected and on which
// the task has not failed, otherwise after a backoff. Unbudgeted retries do not consume the retry budget:
// they move an attempt that the scheduler itself cancelled, or resolve a poison mark.
func (s *Slice) retry(now time.Time, t *task, reason wire.Reason, unbudgeted bool, out *Actions) {
	if t.attemptCount >= s.config.MaxAttempts || (!unbudgeted && !s.retryBudget.Withdraw()) {
		s.markMissing(now, t, reason, out)
		return
	}
	if s.hasPreferredReplica(now, t) {
		s.launch(now, t, t.purpose(), out)
		return
	}
	// An attempt that the scheduler cancelled does not count, so attemptCount may be 0 for a canary that
	// is moved to another server.
	at := now.Add(route.Backoff(s.rand, max(1, t.attemptCount)))
	if !at.Before(t.job.Deadline) {
		s.markMissing(now, t, reason, out)
		return
	}
	t.retryPending = true
	s.timers.push(timer{at: at, kind: retryTimer, job: t.job, task: t})
}

func (s *Slice) hasPreferredReplica(now time.Time, t *task) bool {
	for _, v := range s.replicas(t) {
		if v.usable() && s.preferred(now, t, v) {
			return true
		}
	}
	return false
}

// markMissing closes a task without a response. If the task is the canary, the whole request ends.
func (s *Slice) markMissing(now time.Time, t *task, reason wire.Reason, out *Actions) {
	j := t.job
	if !t.open || j.ended {
		return
	}
	if j.canary == t {
		s.markAllMissing(now, j, reason, out)
		return
	}
	s.close(t, out)
	j.missing = append(j.missing, Missing{Shard: t.Shard, Reason: reason})
	if j.open == 0 {
		s.finish(now, j, nil, out)
	}
}

func (s *Slice) markAllMissing(now time.Time, j *job, reason wire.Reason, out *Actions) {
	for _, t := range j.tasks {
		if !t.open {
			continue
		}
		s.close(t, out)
		j.missing = append(j.missing, Missing{Shard: t.Shard, Reason: reason})
	}
	s.finish(now, j, nil, out)
}

// expire ends a request at its deadline.
func (s *Slice) expire(now time.Time, j *job, out *Actions) {
	if j.ended {
		return
	}
	if j.started.IsZero() {
		s.refuse(j, wire.Refuse(wire.StepAdmit, "", wire.ReasonOverload, "deadline passed in the admission queue"), out)
		return
	}
	if !j.Idempotent {
		for _, t := range j.tasks {
			if len(t.attempts) > 0 {
				s.finish(now, j, wire.UnknownOutcome(wire.StepBackend, t.attempts[0].server.address.String(),
					wire.ReasonDeadline, "no response by the deadline"), out)
				return
			}
		}
	}
	s.markAllMissing(now, j, wire.ReasonDeadline, out)
}

// finish ends a request that was started and closes its open tasks.
func (s *Slice) finish(now time.Time, j *job, f *wire.Failure, out *Actions) {
	if f == nil && !j.Idempotent && len(j.missing) > 0 {
		f = wire.Refuse(wire.StepDispatch, "", j.missing[0].Reason, "no backend server executed the order")
	}
	for _, t := range j.tasks {
		if !t.open {
			continue
		}
		s.close(t, out)
	}
	s.serviceTimes.Add(now.Sub(j.started))
	if s.queue.Len() > 0 && !s.lastCompletion.IsZero() {
		s.completionInterval.Add(now.Sub(s.lastCompletion))
	}
	s.lastCompletion = now
	s.complete(j, f, out)
	s.abandonCanary(now, j, out)
}

// refuse ends a request that was not started or of which no task was sent.
func (s *Slice) refuse(j *job, f *wire.Failure, out *Actions) {
	s.queue.Remove(uint64(j.id))
	for _, t := range j.tasks {
		if t.open {
			s.close(t, out)
		}
	}
	s.complete(j, f, out)
}

func (s *Slice) complete(j *job, f *wire.Failure, out *Actions) {
	j.ended = true
	delete(s.jobs, j.id)
	if f != nil {
		f.RequestID = j.RequestID
		f.NotRun = f.NotRun && !j.sent
	}
	out.Finished = append(out.Finished, Finished{
		Job: j.id, Failure: f, Missing: j.missing, Sent: j.sent, Stale: j.stale,
	})
}
