package sched

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/route"
	"github.com/arbutusthread/arbutusthread/wire"
)

// none is the address in events that concern no server.
var none netip.AddrPort

type attempt struct {
	id        AttemptID
	task      *task
	server    *server
	sent      time.Time
	purpose   Purpose
	cancelled bool
}

// launch sends the task to a replica, or lets it wait for a permit.
func (s *Slice) launch(now time.Time, t *task, p Purpose, out *Actions) {
	if !t.open || t.job.ended || t.inFlight() > 0 || t.job.holds(t) {
		return
	}
	if t.launched.IsZero() {
		t.launched = now
	}
	if !now.Before(s.sendLimit()) {
		s.miss(now, t, wire.ReasonNoHome, out)
		return
	}
	usable := s.candidates(now, t, false)
	if usable == 0 {
		s.miss(now, t, wire.ReasonNoServer, out)
		return
	}
	i := s.config.Replica.Decide(now, s.cands)
	if i == route.NoChoice {
		s.wait(t)
		return
	}
	s.send(now, t, s.places[i], p, out)
}

// candidates collects the replicas with a free permit in s.cands and s.places, and returns how
// many replicas are usable at all. Servers that failed this task, and ejected ones, are left out
// unless nothing else is left. A hedge does not go to a cold server. No server gets the task while an
// earlier attempt there has not ended, because a late cancellation would end both.
func (s *Slice) candidates(now time.Time, t *task, hedge bool) int {
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
	s.cands, s.places = s.cands[:0], s.places[:0]
	for _, v := range s.replicas(t) {
		if !v.usable() {
			continue
		}
		if (preferred > 0 || hedge) && !s.preferred(now, t, v) {
			continue
		}
		if !s.free(now, t, v) || t.runsOn(v) || (hedge && v.permits.Cold()) {
			continue
		}
		s.cands = append(s.cands, route.Candidate{
			Server: v.address, Latency: v.latency(now), Outstanding: v.permits.InUse(),
			Allowance: v.allowance(now), Cold: v.permits.Cold(),
		})
		s.places = append(s.places, v)
	}
	return usable
}

func (s *Slice) preferred(now time.Time, t *task, v *server) bool {
	return !slices.Contains(t.tried, v) && !s.outlier.Ejected(now, v.address)
}

// free reports whether the task may take a permit of the server now. A canary that must run alone
// reserves the server, which then takes no other work until it is idle.
func (s *Slice) free(now time.Time, t *task, v *server) bool {
	if v.reserved != nil && v.reserved != t {
		return false
	}
	if t == t.job.canary && !s.guard.Fits(now, t.job.Fingerprint, t.job.alone, v.address) {
		return false
	}
	if t.job.alone && t == t.job.canary {
		v.reserved = t
		return v.permits.InUse() == 0
	}
	return v.permits.InUse() < v.allowance(now)
}

func (t *task) runsOn(v *server) bool {
	for _, a := range t.attempts {
		if a.server == v {
			return true
		}
	}
	return false
}

func (s *Slice) send(now time.Time, t *task, v *server, p Purpose, out *Actions) {
	if !v.permits.Acquire() {
		s.wait(t)
		return
	}
	a := &attempt{id: AttemptID(s.newID()), task: t, server: v, sent: now, purpose: p}
	s.attempts[a.id] = a
	v.flights = append(v.flights, a)
	t.attempts = append(t.attempts, a)
	if p != Hedge {
		t.tries++
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

// wait queues the task at its usable replicas until one of them has a free permit.
func (s *Slice) wait(t *task) {
	for _, v := range s.replicas(t) {
		if v.usable() {
			v.waiting = append(v.waiting, t)
		}
	}
}

// wake launches tasks that wait for the server. Entries of settled tasks are dropped.
func (s *Slice) wake(now time.Time, v *server, out *Actions) {
	for n := len(v.waiting); n > 0 && v.permits.InUse() < v.allowance(now); n-- {
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
	if t.tries > 0 {
		return Retry
	}
	return Primary
}

// rewait launches all waiting tasks again after the usable servers have changed.
func (s *Slice) rewait(now time.Time, out *Actions) {
	for _, j := range s.sortedJobs() {
		for _, t := range j.tasks {
			if t.open && !t.launched.IsZero() && !t.paused {
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
