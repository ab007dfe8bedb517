package sched

import (
	"time"

	"github.com/arbutusthread/arbutusthread/route"
)

// hedgeRecheck is the delay before a hedge that found no budget or no free warm replica is tried
// again.
const hedgeRecheck = 2 * time.Millisecond

func (s *Slice) armHedge(now time.Time, t *task) {
	if !t.job.Idempotent || t.hedged || len(t.Servers) < 2 || t == t.job.canary {
		return
	}
	if due := s.hedgeDue(now, t); !due.IsZero() {
		s.timers.add(timer{at: due, kind: hedgeTimer, job: t.job, task: t})
	}
}

func (s *Slice) hedgeDue(now time.Time, t *task) time.Time {
	started := now
	if len(t.attempts) > 0 {
		started = t.attempts[len(t.attempts)-1].sent
	}
	return s.config.Hedge.Decide(now, route.HedgeInput{
		Started: started, Remaining: t.job.open, Total: len(t.job.tasks),
		Latencies: s.latencies, Budget: s.config.Preset.HedgeBudget,
	})
}

// hedge sends a second attempt when it is due, the budget allows it and a warm replica has a free
// permit. A canary must run nowhere else until it has succeeded.
func (s *Slice) hedge(now time.Time, t *task, out *Actions) {
	if !t.open || t.job.ended || t.hedged || t == t.job.canary || t.inFlight() != 1 || !now.Before(s.sendLimit()) {
		return
	}
	due := s.hedgeDue(now, t)
	if due.IsZero() {
		return
	}
	if due.After(now) {
		s.timers.add(timer{at: due, kind: hedgeTimer, job: t.job, task: t})
		return
	}
	s.candidates(now, t, true)
	i := s.config.Replica.Decide(now, s.cands)
	if i == route.NoChoice || !s.hedges.Spend() {
		s.timers.add(timer{at: now.Add(hedgeRecheck), kind: hedgeTimer, job: t.job, task: t})
		return
	}
	t.hedged = true
	s.send(now, t, s.places[i], Hedge, out)
}

// hedgeLast looks at the open tasks again once only the share that the budget can pay for is
// left: these decide the latency of the request.
func (s *Slice) hedgeLast(now time.Time, j *job, out *Actions) {
	if j.lastShown || !j.Idempotent || float64(j.open) > s.config.Preset.HedgeBudget*float64(len(j.tasks)) {
		return
	}
	j.lastShown = true
	for _, t := range j.tasks {
		if t.open {
			s.hedge(now, t, out)
		}
	}
}
