package gather

import (
	"time"
)

// Request is a request to be served by one or more shards.
type Request struct {
	// Class groups requests with similar latencies, for example those of one route.
	Class string
	// Pools holds the name of the pool of each shard.
	Pools []string
	// Merged is set if the answers of the shards are merged into one. Only successes can be merged, however few shards
	// there are. Otherwise the request has one shard, whose final answer is passed on whatever it says.
	Merged bool
	// Idempotent allows hedges, and retries after attempts that a server may have run.
	Idempotent bool
	// Relayable allows shards to be sent through relays.
	Relayable bool
	// Relayed is set if this node is the relay. The requests are then counted in the retry budget of the requesting
	// node, and only servers in the failure domain of this node are used.
	Relayed bool
	// Priority orders requests that wait for a server. 0 is the highest priority.
	Priority int
	// MinCoverage is the minimum fraction of shards that an answer must cover.
	MinCoverage float64
	// MaxAttempts is the maximum number of servers to which each shard may be sent.
	MaxAttempts int
	// Deadline is the time by which the request must be answered.
	Deadline time.Time
	// Target is the time by which the request should be answered to meet the response-time objective. The zero time
	// means that there is no objective.
	Target time.Time
}

// job is a request in progress.
type job struct {
	Request
	id       JobID
	class    *latencyClass
	started  time.Time
	tasks    []task
	answered int
	// failed counts the tasks that can no longer be answered, and waiting those that wait to be sent.
	failed, waiting int
	mayHaveRun      bool
	// nextTick is a time until which nothing is due, and scheduleChanged is set when something may have become due
	// earlier.
	nextTick        time.Time
	scheduleChanged bool
	// reason describes the last failure of a task.
	reason string
}

// task is the work of a request on one shard.
type task struct {
	pool     *pool
	index    int
	job      *job
	attempts []*attempt
	answered bool
	failed   bool
	hedgeAt  time.Time
	// waiting is set if the task is not in flight and waits until retryAt or, if that is zero, for capacity at a
	// server.
	waiting bool
	retryAt time.Time
	// checkAt is the time at which it is checked whether a server can still accept a task that waits for capacity, zero
	// if no check is due.
	checkAt time.Time
}

// Submit adds a request and sends its shards. Finished is set if the request ends at once, for example because it is
// refused.
func (e *Engine) Submit(now time.Time, r Request) (JobID, Actions) {
	e.lastJob++
	j := &job{Request: r, id: e.lastJob, started: now, tasks: make([]task, len(r.Pools)), class: e.classOf(now, &r)}
	var act Actions
	if e.stopsTooSoon(now, j) {
		act.Finished = &Finished{
			Job: j.id, End: Refused, Total: len(j.tasks), RetryAfter: stopRetryAfter, Reason: "the node is stopping",
		}
		return j.id, act
	}
	e.endAtStop(j)
	if reason := e.refusalReason(now, j); reason != "" {
		act.Finished = &Finished{
			Job: j.id, End: Refused, Total: len(j.tasks), RetryAfter: e.callerRetryAfter(now, j), Reason: reason,
		}
		return j.id, act
	}
	e.jobs[j.id] = j
	tasks := make([]*task, 0, len(j.tasks))
	for i := range j.tasks {
		t := &j.tasks[i]
		t.job, t.index, t.pool = j, i, e.poolOf(r.Pools[i])
		if !t.pool.hasServers() {
			j.failTask(t, t.pool.describeNoServers(), &act)
			continue
		}
		if !j.Relayed {
			t.pool.budget.request(&e.config.Budget, now)
		}
		tasks = append(tasks, t)
	}
	for _, t := range e.sendRelayed(now, j, e.holdBack(now, j, tasks, &act), Primary, &act) {
		e.sendOrWait(now, t, Primary, &act)
	}
	e.finishIfDone(now, j, &act)
	return j.id, act
}

// poolOf returns the pool with this name, or an empty one if it is not known, as at a relay whose configuration differs
// from that of the requesting node.
func (e *Engine) poolOf(name string) *pool {
	if p := e.pools[name]; p != nil {
		return p
	}
	return &pool{name: name}
}

// retryAfter is the time after which the caller may retry a request that could not be served. It equals the time after
// which an ejected server is tried again.
const retryAfter = minEjection

func (e *Engine) classOf(now time.Time, r *Request) *latencyClass {
	c := e.classes[r.Class]
	if c == nil {
		if len(e.classes) >= maxClasses {
			e.dropOldestClass()
		}
		c = newClass()
		e.classes[r.Class] = c
	}
	c.usedAt = now
	if !r.Target.IsZero() {
		c.target = r.Target.Sub(now)
	}
	return c
}

// refusalReason returns the reason why the request cannot be served, or the empty string if it can.
func (e *Engine) refusalReason(now time.Time, j *job) string {
	missing, reason := 0, ""
	for _, p := range j.Pools {
		if !e.pools[p].hasServers() {
			missing++
			reason = e.poolOf(p).describeNoServers()
		}
	}
	if missing > 0 && !j.coversEnough(len(j.Pools)-missing) {
		return reason
	}
	if name, wait := e.coverageDelay(now, j); wait > 0 {
		return "all servers of " + name + " want no requests for " + milliseconds(wait)
	}
	return ""
}

// coversEnough reports whether the number of answered shards reaches the minimum coverage.
func (j *job) coversEnough(answered int) bool {
	return answered > 0 && float64(answered) >= j.MinCoverage*float64(len(j.Pools))-coverageEpsilon
}

// coverageEpsilon compensates for floating-point rounding of fractions such as 0.89 of 100.
const coverageEpsilon = 1e-9

func (j *job) failTask(t *task, reason string, act *Actions) {
	if t.failed {
		return
	}
	t.failed = true
	j.failed++
	j.reason = reason
	act.FailedTasks = append(act.FailedTasks, t.index)
}

// sendOrWait sends a task to the best server, or queues it until a server has capacity or the retry budget allows it.
// The task fails if no server can accept it later either.
func (e *Engine) sendOrWait(now time.Time, t *task, p Purpose, act *Actions) {
	j := t.job
	s := e.choose(now, j, t.pool, t)
	switch {
	case s == nil && (j.Relayed || !t.pool.hasServers()):
		// If this node is a relay, the requesting node can use servers in other failure domains.
		j.failTask(t, "no server of "+t.pool.name+" can accept it", act)
	case s == nil:
		e.waitForServer(now, t, act)
	case len(t.pool.waiting) > 0 && !j.Relayed:
		// Other waiting tasks may have a higher rank.
		e.wait(t, time.Time{})
		e.dispatch(now, t.pool, act)
	case !e.takeBudget(now, t):
		e.wait(t, now.Add(budgetRetryDelay))
	default:
		e.send(now, t, s, p, act)
		t.hedgeAt = e.hedgeTime(now, t)
	}
}

// Abandon ends a request whose caller has disconnected.
func (e *Engine) Abandon(id JobID) Actions {
	var act Actions
	if j := e.jobs[id]; j != nil {
		e.removeJob(j, &act, true)
	}
	return act
}

// removeJob removes a job and cancels its attempts in flight.
func (e *Engine) removeJob(j *job, act *Actions, disconnected bool) {
	delete(e.jobs, j.id)
	for i := range j.tasks {
		e.cancelAttempts(&j.tasks[i], act, disconnected)
	}
}

// Tick sends the hedges and retries of a request that are due, cancels its stalled attempts, and ends it if it is done
// or its deadline has passed.
func (e *Engine) Tick(now time.Time, id JobID) Actions {
	var act Actions
	j := e.jobs[id]
	if j == nil {
		return act
	}
	if !now.Before(j.Deadline) {
		e.finish(now, j, Expired, &act)
		return act
	}
	e.cancelStalled(now, j, &act)
	e.hedge(now, j, &act)
	e.retry(now, j, &act)
	e.checkWaiting(now, j, &act)
	e.finishIfDone(now, j, &act)
	return act
}

// NextTick returns the time at which Tick must be called for a request, or the zero time if the request has ended.
// Nothing may be due then if shards have been answered meanwhile.
func (e *Engine) NextTick(now time.Time, id JobID) time.Time {
	j := e.jobs[id]
	if j == nil {
		return time.Time{}
	}
	// An answer makes nothing due earlier. Visiting all shards after each answer would take time in proportion to the
	// square of their number.
	if j.scheduleChanged || !now.Before(j.nextTick) {
		j.nextTick, j.scheduleChanged = j.findNextTick(now), false
	}
	return j.nextTick
}

func (j *job) findNextTick(now time.Time) time.Time {
	wake := j.Deadline
	if !j.Target.IsZero() && now.Before(j.Target) {
		wake = earlier(wake, j.Target)
	}
	wait := j.class.hangTimeout()
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.answered || t.failed {
			continue
		}
		for _, at := range [...]time.Time{t.hedgeAt, t.retryAt, t.checkAt, t.hangCheckAt(now, wait)} {
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
