package gather

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// announcements is what the servers of a history have announced, kept independently of the engine.
type announcements struct {
	listed   []Pool
	starts   map[string]time.Time
	leaving  map[process]bool
	pushback map[process]time.Time
	// overloaded makes servers reject most requests.
	overloaded bool
	// fault describes the first violation.
	fault string
	// afterDone, if set, breaks the engine after each result.
	afterDone func(e *Engine, act *Actions)
}

func newAnnouncements(overloaded bool) announcements {
	return announcements{
		overloaded: overloaded,
		starts:     make(map[string]time.Time), leaving: make(map[process]bool), pushback: make(map[process]time.Time),
	}
}

// outcomes returns the outcomes from which those of attempts are drawn.
func (h *announcements) outcomes() []Outcome {
	if h.overloaded {
		return []Outcome{OK, NotRun, NotRun}
	}
	return []Outcome{OK, OK, OK, Answered, ServerError, NotRun, OtherServer, Unsent, Busy, Full, Broken, TimedOut}
}

// drawStart draws whether the server has been restarted under its ID, and returns its start time.
func (h *announcements) drawStart(t *rapid.T, id string) time.Time {
	if rapid.IntRange(0, 7).Draw(t, "restarted") == 0 {
		h.starts[id] = h.starts[id].Add(time.Second)
	}
	return h.starts[id]
}

// drawAnnouncement draws what the server announces in its answer.
func (h *announcements) drawAnnouncement(t *rapid.T, now time.Time, s *Server, r *Result) {
	k := processOf(s, s.StartTime)
	switch r.Outcome {
	case OK, Answered, ServerError, NotRun:
		r.Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
	}
	if r.Outcome == NotRun && rapid.Bool().Draw(t, "pushback") {
		r.RetryAfter = time.Duration(rapid.IntRange(1, 1500).Draw(t, "retry after")) * time.Millisecond
	}
	h.leaving[k] = h.leaving[k] || r.Leaving
	if until := now.Add(r.RetryAfter); until.After(h.pushback[k]) {
		h.pushback[k] = until
	}
}

func (h *history) report(format string, args ...any) {
	if h.fault == "" {
		h.fault = fmt.Sprintf(format, args...)
	}
}

// checkAnnounced checks a send against what its server has announced.
func (h *history) checkAnnounced(s *Server) {
	k := processOf(s, s.StartTime)
	switch {
	case h.leaving[k]:
		h.report("leaving server %s got a request", s.ID)
	case h.now.Before(h.pushback[k]):
		h.report("server %s got a request %v before its pushback ends", s.ID, h.pushback[k].Sub(h.now))
	}
}

// readyAt returns the earliest time from which a server of the pool accepts requests, and false if none ever does.
func (h *history) readyAt(pool string) (time.Time, bool) {
	var first time.Time
	found := false
	for _, p := range h.listed {
		for i := range p.Servers {
			s := &p.Servers[i]
			k := processOf(s, s.StartTime)
			if p.Name != pool || s.Draining || h.leaving[k] || h.engine.servers[s.ID].replaced {
				continue
			}
			at := h.pushback[k]
			if at.Before(h.now) {
				at = h.now
			}
			if !found || at.Before(first) {
				first, found = at, true
			}
		}
	}
	return first, found
}

// checkRefusal checks that a new request is refused if and only if too few shards have a server that accepts it now, and
// that the caller is told to wait until enough do.
func (h *history) checkRefusal(r *Request, f *Finished) {
	var ready []time.Time
	for _, p := range r.Pools {
		if at, ok := h.readyAt(p); ok {
			ready = append(ready, at)
		}
	}
	slices.SortFunc(ready, time.Time.Compare)
	j := job{Request: *r}
	refused := f != nil && f.End == Refused
	if now := count(ready, h.now, h.now.Add(1)); refused == j.coversEnough(now) {
		h.report("%d of %d shards have a ready server, and the request was refused: %t", now, len(r.Pools), refused)
	}
	for i, at := range ready {
		if !refused || !j.coversEnough(i+1) {
			continue
		}
		if wait := at.Sub(h.now); f.RetryAfter < wait || f.RetryAfter > wait+wait/10 {
			h.report("a caller is told to wait for %v, but enough servers are ready in %v", f.RetryAfter, wait)
		}
		return
	}
}

// checkHeld checks that no request is held which cannot be answered before its deadline, because the servers that it
// needs leave or want no requests until then.
func (h *history) checkHeld() {
	for _, id := range sorted(h.engine.jobs) {
		j := h.engine.jobs[id]
		possible, tasks := 0, ""
		for i := range j.tasks {
			t := &j.tasks[i]
			at, ok := h.readyAt(t.pool.name)
			waitsForBudget := t.waiting && !t.retryAt.IsZero()
			if t.answered || t.inFlight() > 0 || !t.failed && (waitsForBudget || ok && at.Before(j.Deadline)) {
				possible++
			}
			tasks += fmt.Sprintf("; %s, failed %t, checked %v, ready %t %v", t.describe(), t.failed, t.checkAt, ok, at)
		}
		if h.now.Before(j.Deadline) && !j.coversEnough(possible) {
			h.report("job %d is held until %v, but only %d of %d shards can be answered%s", id, j.Deadline, possible, len(j.tasks), tasks)
		}
	}
}

// runRescheduled does what a node does with the requests whose next tick may be earlier.
func (h *history) runRescheduled(ids []JobID) {
	for _, id := range ids {
		if wake := h.engine.NextTick(h.now, id); !wake.IsZero() && !wake.After(h.now) {
			h.apply(id, h.engine.Tick(h.now, id))
		}
	}
}

// Guards against checks of announcements that cannot fail: each engine that forgets one must be detected.
func TestAnnouncementChecksDetectBrokenEngines(t *testing.T) {
	t.Parallel()
	for name, broken := range map[string]func(e *Engine, act *Actions){
		"forgets leaving servers": func(e *Engine, _ *Actions) {
			for _, s := range e.servers {
				s.leavingSince = time.Time{}
			}
		},
		"forgets leaving servers when the list changes": func(e *Engine, _ *Actions) { clear(e.leaving) },
		"forgets pushbacks": func(e *Engine, _ *Actions) {
			for _, s := range e.servers {
				s.pushbackUntil = time.Time{}
			}
		},
		"ends pushbacks early": func(e *Engine, _ *Actions) {
			for _, s := range e.servers {
				if !s.pushbackUntil.IsZero() {
					s.pushbackUntil = s.pushbackUntil.Add(-100 * time.Millisecond)
				}
			}
		},
		"wakes no requests": func(_ *Engine, act *Actions) { act.Rescheduled = nil },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caught := ""
			rapid.Check(t, func(t *rapid.T) {
				h := newHistory(t)
				h.afterDone = broken
				h.run()
				if caught == "" {
					caught = h.fault
				}
			})
			if caught == "" {
				t.Fatal("no history showed the fault")
			}
			t.Log(caught)
		})
	}
}
