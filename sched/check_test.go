package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func (h *harness) apply(out Actions) {
	for _, v := range out.Sends {
		h.checkSend(v)
	}
	for _, f := range out.Finished {
		h.checkFinished(f)
	}
}

func (h *harness) checkSend(v Send) {
	j := h.jobs[v.Job]
	if j == nil {
		h.fail("send for unknown job %d", v.Job)
		return
	}
	h.checkBounds(v)
	running := 0
	for _, id := range h.inFlight {
		a := h.attempts[id]
		if a.send.Job != v.Job {
			continue
		}
		running++
		if a.send.Shard == v.Shard && a.send.Server == v.Server {
			h.fail("two attempts of shard %s in flight on %s", v.Shard, v.Server)
		}
	}
	if !j.skipCanary && running > 0 {
		h.fail("request %s has two attempts in flight before its canary has succeeded", v.RequestID)
	}
	if !j.request.Idempotent {
		h.checkOrder(v)
	}
	if v.Purpose == Hedge {
		h.checkHedge(v, j)
	}
	if v.Purpose == Primary || v.Purpose == Canary {
		h.first++
	}
	h.attempts[v.Attempt] = &testAttempt{send: v, at: h.now}
	h.inFlight = append(h.inFlight, v.Attempt)
}

// checkBounds checks concurrency limits, server usability and the lease.
func (h *harness) checkBounds(v Send) {
	h.inUse[v.Server]++
	n := h.inUse[v.Server]
	cold := h.cold[v.Server] && h.fault != hedgeToCold
	if n > testSlots || (cold && n > 1) || n > h.slice.ConcurrencyLimit(v.Server) {
		h.fail("%d requests on %s, cold %v, limit %d", n, v.Server, h.cold[v.Server], h.slice.ConcurrencyLimit(v.Server))
	}
	if h.unusable[v.Server] {
		h.fail("request sent to unusable server %s", v.Server)
	}
	limit := h.lease.Add(-MaxClockSkew)
	if !h.now.Before(limit) || v.Deadline.After(limit) {
		h.fail("sent at %v with deadline %v, but the lease ends at %v", h.now, v.Deadline, h.lease)
	}
}

func (h *harness) checkOrder(v Send) {
	for _, a := range h.attempts {
		if a.send.Job == v.Job && (!a.ended || (a.outcome != NotRun && a.outcome != Unsent)) {
			h.fail("order %s sent again after %q", v.RequestID, a.outcome)
		}
	}
}

func (h *harness) checkHedge(v Send, j *testJob) {
	h.hedge++
	if h.cold[v.Server] || h.slice.ConcurrencyLimit(v.Server) < testSlots {
		h.fail("hedge to cold server %s", v.Server)
	}
	if float64(h.hedge) > testHedgeBudget*float64(len(j.request.Tasks)+h.first) {
		h.fail("%d hedges for %d first requests", h.hedge, h.first)
	}
}

func (h *harness) checkFinished(f Finished) {
	j := h.jobs[f.Job]
	if j == nil {
		j = h.jobs[0]
	}
	if j.ended {
		h.fail("job %d ended twice", f.Job)
	}
	j.ended = true
	if h.now.After(j.deadline) {
		h.fail("job %d ended %v after its deadline", f.Job, h.now.Sub(j.deadline))
	}
	if f.Failure == nil && len(j.accepted)+len(f.Missing) != len(j.request.Tasks) {
		h.fail("job %d: %d accepted, %d missing of %d", f.Job, len(j.accepted), len(f.Missing), len(j.request.Tasks))
	}
	for _, a := range h.attempts {
		mayRun := a.send.Job == f.Job && (!a.ended || (a.outcome != NotRun && a.outcome != Unsent))
		if mayRun && (!f.Sent || (f.Failure != nil && f.Failure.NotRun)) {
			h.fail("job %d reported as not sent, but attempt %d may have run", f.Job, a.send.Attempt)
		}
	}
}

func testEvents() *rapid.Generator[[]testEvent] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) testEvent {
		return testEvent{
			Kind:  rapid.IntRange(0, 24).Draw(t, "kind"),
			Pick:  rapid.IntRange(0, 999).Draw(t, "pick"),
			Class: rapid.IntRange(0, 99).Draw(t, "class"),
			Wait:  time.Duration(rapid.IntRange(0, 12_000).Draw(t, "wait")) * time.Microsecond,
		}
	}), 20, 300)
}

func runEvents(events []testEvent, f fault) error {
	h := newHarness(f)
	for _, e := range events {
		h.step(e)
		if h.err != nil {
			return h.err
		}
	}
	return h.finish()
}

// Guards against requests above a concurrency limit, hedges to cold or busy servers or above the budget,
// sends after the end of the lease, orders run twice, requests that end twice, late or never, and
// requests wrongly reported as not run.
func TestInvariants(t *testing.T) {
	events := testEvents()
	rapid.Check(t, func(t *rapid.T) {
		if err := runEvents(events.Draw(t, "events"), noFault); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against ineffective checks: each injected fault must be detected.
func TestInvariantsDetectFaults(t *testing.T) {
	const tries = 100
	events := testEvents()
	for _, f := range []fault{
		excessSlots, hedgeToCold, unlimitedHedges, extendedLease, ordersIdempotent, lateDeadline, brokenAsUnsent,
		skippedCanary, ignoredCold,
	} {
		t.Run(string(f), func(t *testing.T) {
			is := is.New(t)
			var err error
			for i := 0; i < tries && err == nil; i++ {
				err = runEvents(events.Example(i), f)
			}
			is.True(err != nil) // the fault must be detected
			t.Log(err)
		})
	}
}
