package gather

import (
	"time"
)

// Request is a request to serve.
type Request struct {
	// Class groups requests with alike latencies, for example those of one route.
	Class string
	// Pools has one pool for each shard.
	Pools []string
	// Idempotent allows hedges, and retries after failures that may have run.
	Idempotent bool
	// Relayable allows to send shards through relays.
	Relayable bool
	// Relayed means that this node is the relay: the shards count as requests at the node that asked,
	// and only servers in the failure domain of this node are used.
	Relayed bool
	// Priority ranks requests that wait for a server; 0 is the most urgent.
	Priority int
	// MinCoverage is the least share of shards that an answer must cover.
	MinCoverage float64
	// MaxAttempts is the number of servers to which each shard may be sent.
	MaxAttempts int
	// Deadline is when the request must have its final answer.
	Deadline time.Time
	// Target is the end of the response-time objective; zero means none.
	Target time.Time
}

// job is a request in progress.
type job struct {
	Request
	id       JobID
	class    *class
	started  time.Time
	tasks    []task
	answered int
	// lost counts tasks that can no longer be answered, and waiting those that wait to be sent.
	lost, waiting int
	sent          bool
	// reason is the last cause of a lost task.
	reason string
}

// task is the work of a request on one shard.
type task struct {
	pool     *pool
	index    int
	job      *job
	attempts []*attempt
	answered bool
	// merged means that the answer is merged with those of other tasks.
	merged  bool
	lost    bool
	hedgeAt time.Time
	// waiting means that the task is not in flight and waits for room at a server, or until retryAt
	// when that is set.
	waiting bool
	retryAt time.Time
}

// Submit adds a request. It may be refused at once, in which case Finished is set.
func (e *Engine) Submit(now time.Time, r Request) (JobID, Actions) {
	e.lastJob++
	j := &job{Request: r, id: e.lastJob, started: now, tasks: make([]task, len(r.Pools)), class: e.classOf(now, &r)}
	var act Actions
	if reason := e.unservable(j); reason != "" {
		act.Finished = &Finished{Job: j.id, End: Refused, Total: len(j.tasks), RetryAfter: retryAfter, Reason: reason}
		return j.id, act
	}
	e.jobs[j.id] = j
	tasks := make([]*task, 0, len(j.tasks))
	for i := range j.tasks {
		t := &j.tasks[i]
		t.job, t.index, t.pool = j, i, e.pools[r.Pools[i]]
		if !t.pool.hasServers() {
			j.lose(t, "no server of "+r.Pools[i]+" is listed", &act)
			continue
		}
		if !j.Relayed {
			t.pool.budget.request(&e.config.Budget, now)
		}
		tasks = append(tasks, t)
	}
	for _, t := range e.sendRelayed(now, j, e.holdBack(now, j, tasks, &act), Primary, &act) {
		e.place(now, t, Primary, &act)
	}
	e.conclude(now, j, &act)
	return j.id, act
}

// retryAfter is the time after which a request that cannot be served is worth another attempt. It
// is the time in which a server that was ejected is tried again.
const retryAfter = firstEjection

func (e *Engine) classOf(now time.Time, r *Request) *class {
	c := e.classes[r.Class]
	if c == nil {
		c = newClass()
		e.classes[r.Class] = c
	}
	if !r.Target.IsZero() {
		c.target = r.Target.Sub(now)
	}
	return c
}

// unservable returns why the request cannot be served now, or nothing.
func (e *Engine) unservable(j *job) string {
	missing := 0
	name := ""
	for _, p := range j.Pools {
		if !e.pools[p].hasServers() {
			missing++
			name = p
		}
	}
	if missing > 0 && !j.reaches(len(j.Pools)-missing) {
		return "no server of " + name + " is listed"
	}
	return ""
}

// reaches reports whether the number of shards is enough for an answer.
func (j *job) reaches(answered int) bool {
	return answered > 0 && float64(answered) >= j.MinCoverage*float64(len(j.Pools))-coverageSlack
}

// coverageSlack makes up for the rounding of shares such as 0.89 of 100.
const coverageSlack = 1e-9

func (j *job) lose(t *task, reason string, act *Actions) {
	if t.lost {
		return
	}
	t.lost = true
	j.lost++
	j.reason = reason
	act.Lost = append(act.Lost, t.index)
}

// place sends a task to the best server, or lets it wait until one has room.
func (e *Engine) place(now time.Time, t *task, p Purpose, act *Actions) {
	j := t.job
	s := e.choose(now, j, t.pool, t)
	switch {
	case s == nil && (j.Relayed || !t.pool.hasServers()):
		// The node that asked a relay can reach other servers.
		j.lose(t, "no server of "+t.pool.name+" can take it", act)
	case s == nil:
		e.wait(t, time.Time{})
	case len(t.pool.waiting) > 0 && !j.Relayed:
		// Others may need the room more.
		e.wait(t, time.Time{})
		e.dispatch(now, t.pool, act)
	case !e.afford(now, t):
		e.wait(t, now.Add(budgetPause))
	default:
		e.send(now, t, s, p, act)
		t.hedgeAt = e.hedgeTime(now, t)
	}
}

// Abandon ends a request whose caller has left.
func (e *Engine) Abandon(id JobID) Actions {
	var act Actions
	if j := e.jobs[id]; j != nil {
		e.end(j, &act, true)
	}
	return act
}

// end forgets a job and its attempts in flight.
func (e *Engine) end(j *job, act *Actions, left bool) {
	delete(e.jobs, j.id)
	for i := range j.tasks {
		e.drop(&j.tasks[i], act, left)
	}
}

// Tick carries out what is due for a request.
func (e *Engine) Tick(now time.Time, id JobID) Actions {
	var act Actions
	j := e.jobs[id]
	if j == nil {
		return act
	}
	if !now.Before(j.Deadline) {
		e.finish(j, Expired, &act)
		return act
	}
	e.giveUp(now, j, &act)
	e.hedge(now, j, &act)
	e.retry(now, j, &act)
	e.conclude(now, j, &act)
	return act
}

// NextWake returns the time at which Tick is due for a request, zero when it has ended.
func (e *Engine) NextWake(now time.Time, id JobID) time.Time {
	j := e.jobs[id]
	if j == nil {
		return time.Time{}
	}
	wake := j.Deadline
	if !j.Target.IsZero() && now.Before(j.Target) {
		wake = earlier(wake, j.Target)
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.answered || t.lost {
			continue
		}
		for _, at := range []time.Time{t.hedgeAt, t.retryAt, t.stuckAt(now)} {
			if !at.IsZero() {
				wake = earlier(wake, at)
			}
		}
	}
	return wake
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
