package gather

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"
)

// use is what sending a waiting task is good for.
type use int

// Uses in the order in which tasks are sent.
const (
	// inTime tasks are needed for the coverage of their request and can be answered before its target,
	// late ones before its deadline.
	inTime use = iota
	late
	// optional tasks add to the coverage of a request that can be answered without them.
	optional
	// hopeless tasks are needed and are expected after the deadline. Expectations may be wrong.
	hopeless
	// useless tasks would be answered after their request.
	useless
)

// useOf returns what sending a waiting task to the server is good for now.
func (e *Engine) useOf(now time.Time, t *task, s *server) use {
	j := t.job
	done := now.Add(e.expect(now, j, s))
	afterTarget := !j.Target.IsZero() && done.After(j.Target)
	switch {
	case j.waiting <= j.spare() && (afterTarget || s.ejected(now)):
		return useless
	case j.waiting <= j.spare():
		return optional
	case !afterTarget:
		return inTime
	case done.Before(j.Deadline):
		return late
	}
	return hopeless
}

// spare returns the number of shards that an answer can do without, beside those that are lost.
func (j *job) spare() int {
	n := len(j.tasks)
	return n - j.lost - int(math.Ceil(j.MinCoverage*float64(n)-coverageSlack))
}

// expect returns the time that a request is expected to take at a server.
func (e *Engine) expect(now time.Time, j *job, s *server) time.Duration {
	return time.Duration(e.slowness(now, j, s) * float64(j.class.typical()))
}

// expectOf returns the time that a request is expected to take at the best server of a pool, and false
// when there is none.
func (e *Engine) expectOf(now time.Time, j *job, p *pool) (time.Duration, bool) {
	var least time.Duration
	found := false
	for _, s := range p.servers {
		if !s.isListed() || s.ejected(now) {
			continue
		}
		if d := e.expect(now, j, s); !found || d < least {
			least, found = d, true
		}
	}
	return least, found
}

// holdBack lets the shards wait that are expected after the target, as many as the answer can do without,
// and returns the others. The servers of a saturated shard then work for the requests that need it.
func (e *Engine) holdBack(now time.Time, j *job, tasks []*task, act *Actions) []*task {
	spare := j.spare()
	if j.Relayed || j.Target.IsZero() || spare <= 0 {
		return tasks
	}
	type slow struct {
		task   *task
		expect time.Duration
	}
	var held []slow
	for _, t := range tasks {
		d, ok := e.expectOf(now, j, t.pool)
		if !ok {
			d = math.MaxInt64
		}
		if d > j.Target.Sub(now) {
			held = append(held, slow{t, d})
		}
	}
	slices.SortStableFunc(held, func(a, b slow) int { return cmp.Compare(b.expect, a.expect) })
	held = held[:min(spare, len(held))]
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
