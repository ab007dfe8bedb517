package gather

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"
)

// dispatchRank orders waiting tasks by the benefit of sending them. A lower rank is sent first.
type dispatchRank int

// Dispatch ranks in the order in which tasks are sent.
const (
	// onTime tasks are required for the minimum coverage of their request and are expected to be answered before its
	// target, late ones before its deadline.
	onTime dispatchRank = iota
	late
	// optional tasks increase the coverage of a request that can be answered without them.
	optional
	// pastDeadline tasks are required and expected to be answered after the deadline. They are still sent, since the
	// estimate may be wrong.
	pastDeadline
	// unneeded tasks are not required and would be answered after their request. They are not sent.
	unneeded
)

// rankOf returns the current rank of a waiting task if it is sent to the server.
func (e *Engine) rankOf(now time.Time, t *task, s *server) dispatchRank {
	j := t.job
	done := now.Add(e.expectedLatency(now, j, s))
	afterTarget := !j.Target.IsZero() && done.After(j.Target)
	switch {
	case j.waiting <= j.allowedMisses() && (afterTarget || s.ejected(now)):
		return unneeded
	case j.waiting <= j.allowedMisses():
		return optional
	case !afterTarget:
		return onTime
	case done.Before(j.Deadline):
		return late
	}
	return pastDeadline
}

// allowedMisses returns the number of shards, in addition to the failed ones, that the answer may lack at the minimum
// coverage.
func (j *job) allowedMisses() int {
	n := len(j.tasks)
	return n - j.failed - int(math.Ceil(j.MinCoverage*float64(n)-coverageEpsilon))
}

// expectedLatency returns the expected latency of a request at a server.
func (e *Engine) expectedLatency(now time.Time, j *job, s *server) time.Duration {
	return time.Duration(e.slowness(now, j, s) * float64(j.class.typical()))
}

// leastExpectedLatency returns the lowest expected latency of a request over the servers of a pool, and false if no
// server is listed, not ejected and without pushback.
func (e *Engine) leastExpectedLatency(now time.Time, j *job, p *pool) (time.Duration, bool) {
	var least time.Duration
	found := false
	for _, s := range p.servers {
		if !s.isListed() || s.ejected(now) || s.hasPushback(now) {
			continue
		}
		if d := e.expectedLatency(now, j, s); !found || d < least {
			least, found = d, true
		}
	}
	return least, found
}

// holdBack queues tasks that are expected to be answered after the target and returns the other tasks. At most as many
// tasks are queued as the answer may lack, those with the highest expected latency first. This leaves the servers of a
// saturated shard to the requests that require it.
func (e *Engine) holdBack(now time.Time, j *job, tasks []*task, act *Actions) []*task {
	allowed := j.allowedMisses()
	if j.Relayed || j.Target.IsZero() || allowed <= 0 {
		return tasks
	}
	type lateTask struct {
		task   *task
		expect time.Duration
	}
	var held []lateTask
	for _, t := range tasks {
		d, ok := e.leastExpectedLatency(now, j, t.pool)
		if !ok {
			d = math.MaxInt64
		}
		if d > j.Target.Sub(now) {
			held = append(held, lateTask{t, d})
		}
	}
	slices.SortStableFunc(held, func(a, b lateTask) int { return cmp.Compare(b.expect, a.expect) })
	held = slices.DeleteFunc(held[:min(allowed, len(held))], func(x lateTask) bool {
		return e.failIfUnservable(now, x.task, act)
	})
	tasks = slices.DeleteFunc(tasks, func(t *task) bool { return t.failed })
	if len(held) == 0 {
		return tasks
	}
	detail := "expected after the target, which is in " + milliseconds(j.Target.Sub(now)) + ":"
	for i, x := range held {
		e.wait(x.task, time.Time{})
		switch {
		case i == maxMissing:
			detail += " and " + strconv.Itoa(len(held)-maxMissing) + " more"
		case i > maxMissing:
		case x.expect == math.MaxInt64:
			detail += " " + x.task.pool.name + " has no usable server"
		default:
			detail += " " + x.task.pool.name + " takes " + milliseconds(x.expect)
		}
	}
	act.Events = append(act.Events, Event{Name: "hold back", Job: j.id, Detail: detail})
	return slices.DeleteFunc(tasks, func(t *task) bool { return t.waiting })
}
