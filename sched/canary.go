package sched

import (
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/guard"
	"github.com/arbutusthread/arbutusthread/wire"
)

func (s *Slice) guardRequest(j *job) guard.Request[JobID] {
	return guard.Request[JobID]{ID: j.id, Fingerprint: j.Fingerprint, Service: s.config.Service, Kind: j.Kind}
}

// start launches the canary or all tasks of a request, or refuses a quarantined request. It launches
// nothing while another request with the same fingerprint runs its canary.
func (s *Slice) start(now time.Time, j *job, out *Actions) {
	j.awaitsCanary = false
	if j.SkipCanary {
		s.scatter(now, j, out)
		return
	}
	switch d := s.guard.Begin(now, s.guardRequest(j)); d.Action {
	case guard.Proceed:
		s.scatter(now, j, out)
	case guard.RunCanary:
		j.exclusive = d.Exclusive
		j.canary = s.pickCanary(now, j)
		s.launch(now, j.canary, Canary, out)
	case guard.Wait:
		j.awaitsCanary = true
		out.event("waits for canary", j.RequestID, noServer, "")
	case guard.Refuse:
		s.refuseQuarantined(now, j, d, out)
	}
}

// blocks reports whether the task must not be sent yet. While the outcome of a canary is pending, only
// the canary may run, with one attempt at a time. The check is needed for each launch, because entries
// in server wait queues can predate the canary.
func (j *job) blocks(t *task) bool {
	if j.canary == t {
		return len(t.attempts) > 0
	}
	return j.awaitsCanary || j.canary != nil
}

// pickCanary selects a random task among those with the most healthy replicas, so that a second crash
// does not take down the last replica of a shard that has already lost one.
func (s *Slice) pickCanary(now time.Time, j *job) *task {
	var best []*task
	most := -1
	for _, t := range j.tasks {
		if !t.open {
			continue
		}
		n := 0
		for _, v := range s.replicas(t) {
			if v.usable() && s.preferred(now, t, v) && !v.permits.Cold() {
				n++
			}
		}
		if n > most {
			best, most = best[:0], n
		}
		if n == most {
			best = append(best, t)
		}
	}
	return best[s.rand.IntN(len(best))]
}

func (s *Slice) refuseQuarantined(now time.Time, j *job, d guard.Decision, out *Actions) {
	out.event("request quarantined", j.RequestID, noServer, "")
	f := wire.Refuse(wire.StepCanary, "", d.Reason, "request crashed backend servers and is quarantined")
	if !d.Until.IsZero() {
		f = f.WithRetryAfter(d.Until.Sub(now))
	}
	s.refuse(j, f, out)
}

func (s *Slice) scatter(now time.Time, j *job, out *Actions) {
	for _, t := range j.tasks {
		if j.ended {
			return
		}
		if t.open && t.inFlight() == 0 {
			s.launch(now, t, Primary, out)
		}
	}
}

func (s *Slice) canaryPassed(now time.Time, j *job, out *Actions) {
	j.canary, j.exclusive = nil, false
	report := s.guard.Succeeded(now, s.guardRequest(j))
	if j.open > 0 {
		s.scatter(now, j, out)
	}
	s.applyReport(now, report, out)
}

// applyReport publishes a changed poison mark to the peers and starts the requests that waited for a
// canary.
func (s *Slice) applyReport(now time.Time, r guard.Report[JobID], out *Actions) {
	if r.Mark != nil {
		out.PoisonMarks = append(out.PoisonMarks, r.Mark)
	}
	for _, id := range r.Resume {
		if w := s.jobs[id]; w != nil && !w.ended && w.awaitsCanary {
			s.start(now, w, out)
		}
	}
}

// handleCrash records the crash of a server during an attempt and reports whether it has already decided
// how the request continues. Only a canary gets a poison mark: any other request was one of several in
// flight, so the crash cannot be attributed to it.
func (s *Slice) handleCrash(now time.Time, a *attempt, out *Actions) bool {
	t, j := a.task, a.task.job
	out.event("server crashed", j.RequestID, a.server.address, "")
	report := s.guard.Crashed(now, s.guardRequest(j), a.server.address)
	if j.canary != t {
		s.applyReport(now, report, out)
		return false
	}
	j.canary = nil
	for _, o := range j.tasks {
		o.failedOn = append(o.failedOn, a.server)
	}
	if j.Idempotent {
		s.start(now, j, out)
	}
	s.applyReport(now, report, out)
	return j.Idempotent
}

// abandonCanary withdraws a request from waiting for or running a canary when the request ends without a
// canary outcome.
func (s *Slice) abandonCanary(now time.Time, j *job, out *Actions) {
	if j.awaitsCanary {
		s.guard.CancelWait(s.guardRequest(j))
	}
	if j.canary == nil {
		return
	}
	var server netip.AddrPort
	if n := len(j.canary.attempts); n > 0 {
		server = j.canary.attempts[n-1].server.address
	}
	s.applyReport(now, s.guard.CanaryEnded(now, s.guardRequest(j), server, server.IsValid()), out)
}

// MergeMark applies a poison mark received from a peer and reports whether it changed the local state.
func (s *Slice) MergeMark(now time.Time, n guard.PoisonMark) bool {
	return s.guard.Merge(now, n)
}

// PoisonMarks returns the poison marks and quarantined fingerprints for operators.
func (s *Slice) PoisonMarks(now time.Time) []guard.PoisonMark {
	return s.guard.List(now)
}

// ClearSuccesses discards all successful canary outcomes, so each fingerprint runs a canary again. It is
// called for a new index version, on which a previously harmless request may crash servers.
func (s *Slice) ClearSuccesses() {
	s.guard.ClearSuccesses()
}
