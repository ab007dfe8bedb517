package sched

import (
	"time"

	"github.com/arbutusthread/arbutusthread/route"
)

// hedgeRetryDelay is the delay before a due hedge is tried again after it found no budget or no warm
// replica with a free permit.
const hedgeRetryDelay = 2 * time.Millisecond

func (s *Slice) armHedge(now time.Time, t *task) {
	if !t.job.Idempotent || t.hedged || len(t.Servers) < 2 || t == t.job.canary {
		return
	}
	if due := s.hedgeDue(now, t); !due.IsZero() {
		s.timers.push(timer{at: due, kind: hedgeTimer, job: t.job, task: t})
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

// trySendHedge sends a second attempt if the hedge is due, the budget allows it and a warm replica has a
// free permit. A canary is never hedged, because it must run on only one server until it has succeeded.
func (s *Slice) trySendHedge(now time.Time, t *task, out *Actions) {
	if !t.open || t.job.ended || t.hedged || t == t.job.canary || t.inFlight() != 1 || !now.Before(s.sendLimit()) {
		return
	}
	due := s.hedgeDue(now, t)
	if due.IsZero() {
		return
	}
	if due.After(now) {
		s.timers.push(timer{at: due, kind: hedgeTimer, job: t.job, task: t})
		return
	}
	s.collectCandidates(now, t, true)
	i := s.config.Replica.Decide(now, s.cands)
	if i == route.NoChoice || !s.hedgeBudget.Withdraw() {
		s.timers.push(timer{at: now.Add(hedgeRetryDelay), kind: hedgeTimer, job: t.job, task: t})
		return
	}
	t.hedged = true
	s.send(now, t, s.candServers[i], Hedge, out)
}

// hedgeTail re-evaluates the hedges of the open tasks once their share of all tasks is within the hedge
// budget. These tasks determine the latency of the request.
func (s *Slice) hedgeTail(now time.Time, j *job, out *Actions) {
	if j.tailHedged || !j.Idempotent || float64(j.open) > s.config.Preset.HedgeBudget*float64(len(j.tasks)) {
		return
	}
	j.tailHedged = true
	for _, t := range j.tasks {
		if t.open {
			s.trySendHedge(now, t, out)
		}
	}
}
