package sched

import (
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/guard"
	"github.com/arbutusthread/arbutusthread/wire"
)

func (s *Slice) guarded(j *job) guard.Request[JobID] {
	return guard.Request[JobID]{ID: j.id, Fingerprint: j.Fingerprint, Service: s.config.Service, Kind: j.Kind}
}

// begin starts the canary, all tasks, or neither while another request with the same fingerprint
// runs its canary.
func (s *Slice) begin(now time.Time, j *job, out *Actions) {
	j.waits = false
	if j.Proven {
		s.scatter(now, j, out)
		return
	}
	switch d := s.guard.Begin(now, s.guarded(j)); d.Action {
	case guard.Proceed:
		s.scatter(now, j, out)
	case guard.RunCanary:
		j.alone = d.Alone
		j.canary = s.canaryTask(now, j)
		s.launch(now, j.canary, Canary, out)
	case guard.Wait:
		j.waits = true
		out.event("waits for canary", j.RequestID, none, "")
	case guard.Refuse:
		s.quarantined(now, j, d, out)
	}
}

// holds reports whether the task must not be sent yet: while a canary is undecided nothing but the
// canary runs, and only once at a time. Entries in the queues of servers can be older than that.
func (j *job) holds(t *task) bool {
	if j.canary == t {
		return len(t.attempts) > 0
	}
	return j.waits || j.canary != nil
}

// canaryTask picks a task at random among those with the most healthy replicas, so that a second
// crash does not take the last replica of a shard that has lost one already.
func (s *Slice) canaryTask(now time.Time, j *job) *task {
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

func (s *Slice) quarantined(now time.Time, j *job, d guard.Decision, out *Actions) {
	out.event("request quarantined", j.RequestID, none, "")
	f := wire.Refuse(wire.StepCanary, "", d.Reason, "the request crashed backend servers and is quarantined")
	if !d.Until.IsZero() {
		f = f.After(d.Until.Sub(now))
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
	j.canary, j.alone = nil, false
	report := s.guard.Succeeded(now, s.guarded(j))
	if j.open > 0 {
		s.scatter(now, j, out)
	}
	s.follow(now, report, out)
}

// follow passes on a changed mark and starts the requests that waited for a canary.
func (s *Slice) follow(now time.Time, r guard.Report[JobID], out *Actions) {
	if r.Note != nil {
		out.Notes = append(out.Notes, r.Note)
	}
	for _, id := range r.Resume {
		if w := s.jobs[id]; w != nil && !w.ended && w.waits {
			s.begin(now, w, out)
		}
	}
}

// crashed records the crash of a server under an attempt and reports whether that settled what
// the request does next. Only a canary is marked: any other request was one of several.
func (s *Slice) crashed(now time.Time, a *attempt, out *Actions) bool {
	t, j := a.task, a.task.job
	out.event("server crashed", j.RequestID, a.server.address, "")
	report := s.guard.Crashed(now, s.guarded(j), a.server.address)
	if j.canary != t {
		s.follow(now, report, out)
		return false
	}
	j.canary = nil
	for _, o := range j.tasks {
		o.tried = append(o.tried, a.server)
	}
	if j.Idempotent {
		s.begin(now, j, out)
	}
	s.follow(now, report, out)
	return j.Idempotent
}

// leaveCanary ends the part of a request in a canary when the request ends without an outcome.
func (s *Slice) leaveCanary(now time.Time, j *job, out *Actions) {
	if j.waits {
		s.guard.Leave(s.guarded(j))
	}
	if j.canary == nil {
		return
	}
	var server netip.AddrPort
	if n := len(j.canary.attempts); n > 0 {
		server = j.canary.attempts[n-1].server.address
	}
	s.follow(now, s.guard.Ended(now, s.guarded(j), server, server.IsValid()), out)
}

// Merge takes over a mark from a peer and reports whether it was news.
func (s *Slice) Merge(now time.Time, n guard.Note) bool {
	return s.guard.Merge(now, n)
}

// Marks returns the marks and quarantined fingerprints for operators.
func (s *Slice) Marks(now time.Time) []guard.Note {
	return s.guard.List(now)
}

// ClearProven makes each fingerprint run a canary again. It is called for a new index version, on
// which a request that was harmless may crash servers.
func (s *Slice) ClearProven() {
	s.guard.ClearProven()
}
