package sched

import (
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/limit"
	"github.com/arbutusthread/arbutusthread/route"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Done ends an attempt. Actions.Accepted tells whether its answer is to be merged; every other
// answer must be dropped.
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
	a.server.flights = slices.DeleteFunc(a.server.flights, func(b *attempt) bool { return b == a })
	if !r.certain() {
		t.job.sent = true
	}
	s.observe(now, a, r, &out)
	s.settle(now, a, r, &out)
	if a.server.reserved == t && len(t.attempts) == 0 && (!t.open || t.job.ended) {
		a.server.reserved = nil
	}
	s.wake(now, a.server, &out)
	s.pump(now, &out)
	return out
}

func (s *Slice) settle(now time.Time, a *attempt, r Result, out *Actions) {
	t := a.task
	switch {
	case !t.open || t.job.ended:
	case r.Class == OK:
		s.accept(now, t, out)
	case t == t.job.canary && a.cancelled:
		s.endMoved(now, a, r, out)
	case !a.cancelled && r.Class != Cancelled:
		s.fail(now, a, r, out)
	}
}

// endMoved runs a canary again whose attempt was cancelled to take load off a cold server, unless
// the server crashed under it first.
func (s *Slice) endMoved(now time.Time, a *attempt, r Result, out *Actions) {
	if r.Class == Crashed && s.crashed(now, a, out) {
		return
	}
	if a.task.inFlight() == 0 {
		s.retry(now, a.task, wire.ReasonBackend, true, out)
	}
}

// observe updates what is known of the server.
func (s *Slice) observe(now time.Time, a *attempt, r Result, out *Actions) {
	v, latency := a.server, now.Sub(a.sent)
	switch r.Class {
	case OK:
		v.average.Add(latency)
		s.latencies.Add(latency)
		s.outlier.Success(v.address)
		s.observeAnswer(now, v, r, latency, out)
	case NotRun:
		s.observeNotRun(now, v, r, out)
	case Crashed:
		out.Notes = append(out.Notes, s.guard.ServerCrashed(now, v.address)...)
		s.failed(now, v, out)
		s.turnCold(now, v, limit.ColdConnection, out)
	case Unsent, Broken:
		if r.Local {
			return
		}
		s.failed(now, v, out)
		s.turnCold(now, v, limit.ColdConnection, out)
	case TimedOut:
		v.average.Add(latency)
		s.failed(now, v, out)
	case Invalid:
		s.failed(now, v, out)
	case Silent, Cancelled:
		// The attempt took at least this long, so a slow server cannot keep a good average by
		// losing every hedge.
		if latency > v.average.Value() && v.average.Value() > 0 {
			v.average.Add(latency)
		}
		if r.Class == Cancelled {
			s.observeCancelled(now, v, latency, out)
		}
	}
}

// observeCancelled counts an attempt that was slow when it lost to its hedge as a slow answer.
func (s *Slice) observeCancelled(now time.Time, v *server, latency time.Duration, out *Actions) {
	if !s.config.IgnoreCold && v.permits.Slow(latency) && v.permits.StepDown() {
		s.cancelExcess(now, v, out)
	}
}

func (s *Slice) observeAnswer(now time.Time, v *server, r Result, latency time.Duration, out *Actions) {
	if s.config.IgnoreCold {
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
		// A server that sheds below its allowance bears less than the allowance says.
		s.turnCold(now, v, limit.ColdSaid, out)
	case wire.BackendDeadline, wire.BackendVersion, wire.BackendBadRequest:
	}
}

func (s *Slice) failed(now time.Time, v *server, out *Actions) {
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
	s.hedgeLast(now, j, out)
}

// close settles a task and cancels what still runs for it.
func (s *Slice) close(t *task, out *Actions) {
	t.open = false
	t.job.open--
	s.uncommit(t)
	// Also an attempt that was cancelled before may run.
	if len(t.attempts) > 0 {
		t.job.sent = true
	}
	for _, a := range t.attempts {
		s.cancel(a, out)
	}
	for _, v := range s.replicas(t) {
		if v.reserved == t {
			v.reserved = nil
		}
	}
}

// fail decides what follows an attempt that gave no answer.
func (s *Slice) fail(now time.Time, a *attempt, r Result, out *Actions) {
	t, j := a.task, a.task.job
	if r.Class == NotRun && r.Reason == wire.BackendVersion {
		j.stale = true
		s.missAll(now, j, wire.ReasonVersion, out)
		return
	}
	if r.Class == Crashed && s.crashed(now, a, out) {
		return
	}
	if t.inFlight() > 0 {
		return
	}
	if !j.Idempotent && !r.certain() {
		s.finish(now, j, wire.Uncertain(wire.StepBackend, a.server.address.String(), wire.ReasonBackend,
			"%s: %s", r.Class, r.Detail), out)
		return
	}
	t.tried = append(t.tried, a.server)
	s.retry(now, t, reasonOf(r), false, out)
}

func reasonOf(r Result) wire.Reason {
	switch {
	case r.Class == NotRun && r.Reason == wire.BackendDeadline, r.Class == TimedOut, r.Class == Silent:
		return wire.ReasonDeadline
	case r.Class == NotRun:
		return wire.ReasonOverload
	default:
		return wire.ReasonBackend
	}
}

// retry launches the task again, at once if a replica is left that has not failed it. Free retries
// take nothing from the budget: they move work that the scheduler itself took away, or settle a
// mark.
func (s *Slice) retry(now time.Time, t *task, reason wire.Reason, free bool, out *Actions) {
	if t.tries >= s.config.MaxTries || (!free && !s.retries.Spend()) {
		s.miss(now, t, reason, out)
		return
	}
	if s.hasFresh(now, t) {
		s.launch(now, t, t.purpose(), out)
		return
	}
	// An attempt that the scheduler took away does not count, so a moved canary may have no try yet.
	at := now.Add(route.Backoff(s.rand, max(1, t.tries)))
	if !at.Before(t.job.Deadline) {
		s.miss(now, t, reason, out)
		return
	}
	t.paused = true
	s.timers.add(timer{at: at, kind: retryTimer, job: t.job, task: t})
}

func (s *Slice) hasFresh(now time.Time, t *task) bool {
	for _, v := range s.replicas(t) {
		if v.usable() && s.preferred(now, t, v) {
			return true
		}
	}
	return false
}

// miss settles a task without an answer. A request whose canary cannot run ends as a whole.
func (s *Slice) miss(now time.Time, t *task, reason wire.Reason, out *Actions) {
	j := t.job
	if !t.open || j.ended {
		return
	}
	if j.canary == t {
		s.missAll(now, j, reason, out)
		return
	}
	s.close(t, out)
	j.missing = append(j.missing, Missing{Shard: t.Shard, Reason: reason})
	if j.open == 0 {
		s.finish(now, j, nil, out)
	}
}

func (s *Slice) missAll(now time.Time, j *job, reason wire.Reason, out *Actions) {
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
		s.refuse(j, wire.Refuse(wire.StepAdmit, "", wire.ReasonOverload, "deadline passed in the queue"), out)
		return
	}
	if !j.Idempotent {
		for _, t := range j.tasks {
			if len(t.attempts) > 0 {
				s.finish(now, j, wire.Uncertain(wire.StepBackend, t.attempts[0].server.address.String(),
					wire.ReasonDeadline, "no answer by the deadline"), out)
				return
			}
		}
	}
	s.missAll(now, j, wire.ReasonDeadline, out)
}

// finish ends a request that was started.
func (s *Slice) finish(now time.Time, j *job, f *wire.Failure, out *Actions) {
	if f == nil && !j.Idempotent && len(j.missing) > 0 {
		f = wire.Refuse(wire.StepDispatch, "", j.missing[0].Reason, "no backend server ran the order")
	}
	for _, t := range j.tasks {
		if !t.open {
			continue
		}
		s.close(t, out)
	}
	s.holds.Add(now.Sub(j.started))
	if s.queue.Len() > 0 && !s.lastEnd.IsZero() {
		s.gap.Add(now.Sub(s.lastEnd))
	}
	s.lastEnd = now
	s.end(j, f, out)
	s.leaveCanary(now, j, out)
}

// refuse ends a request that was not started, or none of whose tasks was sent.
func (s *Slice) refuse(j *job, f *wire.Failure, out *Actions) {
	s.queue.Remove(uint64(j.id))
	for _, t := range j.tasks {
		if t.open {
			s.close(t, out)
		}
	}
	s.end(j, f, out)
}

func (s *Slice) end(j *job, f *wire.Failure, out *Actions) {
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
