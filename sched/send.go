package sched

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/route"
	"github.com/arbutusthread/arbutusthread/wire"
)

// noServer is the address in events that do not concern a server.
var noServer netip.AddrPort

type attempt struct {
	id        AttemptID
	task      *task
	server    *server
	sent      time.Time
	purpose   Purpose
	cancelled bool
}

// launch sends the task to a replica, or queues it until a permit is free. It marks the task missing if
// the lease has ended or no replica is usable.
func (s *Slice) launch(now time.Time, t *task, p Purpose, out *Actions) {
	if !t.open || t.job.ended || t.inFlight() > 0 || t.job.blocks(t) {
		return
	}
	if t.firstLaunch.IsZero() {
		t.firstLaunch = now
	}
	if !now.Before(s.sendLimit()) {
		s.markMissing(now, t, wire.ReasonNoHome, out)
		return
	}
	usable := s.collectCandidates(now, t, false)
	if usable == 0 {
		s.markMissing(now, t, wire.ReasonNoServer, out)
		return
	}
	i := s.config.Replica.Decide(now, s.cands)
	if i == route.NoChoice {
		s.enqueueWaiter(t)
		return
	}
	s.send(now, t, s.candServers[i], p, out)
}

// collectCandidates stores the replicas with a free permit in s.cands and s.candServers and returns the
// number of usable replicas. It skips ejected servers and servers on which this task failed, unless no
// other server is usable; a hedge never uses them, nor cold servers. It also skips servers on which an
// earlier attempt of the task has not ended, because a late cancellation would end both attempts.
func (s *Slice) collectCandidates(now time.Time, t *task, hedge bool) int {
	usable, preferred := 0, 0
	for _, v := range s.replicas(t) {
		if !v.usable() {
			continue
		}
		usable++
		if s.preferred(now, t, v) {
			preferred++
		}
	}
	s.cands, s.candServers = s.cands[:0], s.candServers[:0]
	for _, v := range s.replicas(t) {
		if !v.usable() {
			continue
		}
		if (preferred > 0 || hedge) && !s.preferred(now, t, v) {
			continue
		}
		if !s.permitAvailable(now, t, v) || t.runsOn(v) || (hedge && v.permits.Cold()) {
			continue
		}
		s.cands = append(s.cands, route.Candidate{
			Server: v.address, Latency: v.latency(now), Outstanding: v.permits.InUse(),
			ConcurrencyLimit: v.limit(now), Cold: v.permits.Cold(),
		})
		s.candServers = append(s.candServers, v)
	}
	return usable
}

func (s *Slice) preferred(now time.Time, t *task, v *server) bool {
	return !slices.Contains(t.failedOn, v) && !s.outlier.Ejected(now, v.address)
}

// permitAvailable reports whether the task may take a permit of the server now. A canary that must run
// exclusively reserves the server, which then accepts no other work; the canary starts once the server
// is idle.
func (s *Slice) permitAvailable(now time.Time, t *task, v *server) bool {
	if v.reservedFor != nil && v.reservedFor != t {
		return false
	}
	if t == t.job.canary && !s.guard.CanRunCanary(now, t.job.Fingerprint, t.job.exclusive, v.address) {
		return false
	}
	if t.job.exclusive && t == t.job.canary {
		v.reservedFor = t
		return v.permits.InUse() == 0
	}
	return v.permits.InUse() < v.limit(now)
}

func (t *task) runsOn(v *server) bool {
	for _, a := range t.attempts {
		if a.server == v {
			return true
		}
	}
	return false
}

// send sends the task to a server chosen from the last collectCandidates, or queues the task if the server has
// no permit left. A hedge does not count as a try and is not hedged itself. The attempt must end by the deadline
// of the request or by sendLimit, whichever is earlier, so that it ends before the lease.
func (s *Slice) send(now time.Time, t *task, v *server, p Purpose, out *Actions) {
	if !v.permits.Acquire() {
		s.enqueueWaiter(t)
		return
	}
	a := &attempt{id: AttemptID(s.newID()), task: t, server: v, sent: now, purpose: p}
	s.attempts[a.id] = a
	v.inFlight = append(v.inFlight, a)
	t.attempts = append(t.attempts, a)
	if p != Hedge {
		t.attemptCount++
	}
	deadline := t.job.Deadline
	if end := s.sendLimit(); end.Before(deadline) {
		deadline = end
	}
	out.Sends = append(out.Sends, Send{
		Attempt: a.id, Job: t.job.id, RequestID: t.job.RequestID, Shard: t.Shard, Server: v.address,
		Deadline: deadline, Purpose: p, Choices: len(s.cands),
	})
	if p != Hedge {
		s.armHedge(now, t)
	}
}

// enqueueWaiter adds the task to the wait queues of all its usable replicas. The first replica with a
// free permit launches it.
func (s *Slice) enqueueWaiter(t *task) {
	for _, v := range s.replicas(t) {
		if v.usable() {
			v.waiting = append(v.waiting, t)
		}
	}
}

// launchWaiters launches tasks from the server's wait queue while permits are free. Entries of closed
// tasks are dropped.
func (s *Slice) launchWaiters(now time.Time, v *server, out *Actions) {
	for n := len(v.waiting); n > 0 && v.permits.InUse() < v.limit(now); n-- {
		t := v.waiting[0]
		v.waiting[0] = nil
		v.waiting = v.waiting[1:]
		s.launch(now, t, t.purpose(), out)
	}
}

func (t *task) purpose() Purpose {
	if t == t.job.canary {
		return Canary
	}
	if t.attemptCount > 0 {
		return Retry
	}
	return Primary
}

// relaunchWaiting launches all waiting tasks again after the set of usable servers has changed.
func (s *Slice) relaunchWaiting(now time.Time, out *Actions) {
	for _, j := range s.sortedJobs() {
		for _, t := range j.tasks {
			if t.open && !t.firstLaunch.IsZero() && !t.retryPending {
				s.launch(now, t, t.purpose(), out)
			}
		}
	}
}

func (s *Slice) sortedJobs() []*job {
	list := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return list
}

func (s *Slice) cancel(a *attempt, out *Actions) {
	if a.cancelled {
		return
	}
	a.cancelled = true
	out.Cancels = append(out.Cancels, a.id)
}
