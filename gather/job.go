package gather

import (
	"time"

	"github.com/arbutusthread/arbutusthread/route"
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

// attempt is one sending of a task to a server.
type attempt struct {
	id   AttemptID
	job  *job
	task *task
	// server is nil when the attempt goes through a relay.
	server *server
	relay  *relayCall
	// domain is the failure domain of the server.
	domain   string
	purpose  Purpose
	sentAt   time.Time
	ended    bool
	canceled bool
	endedAt  time.Time
	class    Class
	// extra means that the attempt was taken out of the budget.
	extra bool
	// givenUp means that the attempt was cut off because its server does not answer anything.
	givenUp bool
	// clean means that the attempt has ended and has reached no server, mayHaveRun that a server may
	// have run it.
	clean      bool
	mayHaveRun bool
}

func (a *attempt) end(now time.Time, c Class) {
	a.ended, a.endedAt, a.class = true, now, c
	a.clean = c == Unsent || c == Busy || c == Full
	a.mayHaveRun = c.mayHaveRun()
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
		c = &class{latencies: route.NewDistribution(), target: defaultTarget}
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

// afford reports whether the task may be sent, and takes an extra arrival out of the budget unless it
// is the first.
func (e *Engine) afford(now time.Time, t *task) bool {
	return t.isUnsent() || t.pool.budget.spend(&e.config.Budget, now, e.nodes)
}

// send sends a task that the engine can afford.
func (e *Engine) send(now time.Time, t *task, s *server, p Purpose, act *Actions) {
	e.lastSent++
	j := t.job
	a := &attempt{id: e.lastSent, job: j, task: t, extra: !t.isUnsent(), server: s, domain: s.FailureDomain, purpose: p, sentAt: now}
	e.attempts[a.id] = a
	t.attempts = append(t.attempts, a)
	s.open = append(s.open, a)
	s.sent.add(now)
	if p != Primary {
		act.Events = append(act.Events, Event{
			Name: string(p), Job: j.id, Pool: t.pool.name, Server: s.ID, Detail: e.explainSend(now, t, s),
		})
	}
	act.Sends = append(act.Sends, Send{
		Attempt: a.id, Job: j.id, Task: t.index, Pool: t.pool.name, Server: s.Server, Purpose: p, Deadline: j.Deadline,
	})
}

// Done ends an attempt. Actions.Accepted tells whether its answer is to be used; every other answer
// must be dropped.
func (e *Engine) Done(now time.Time, id AttemptID, r Result) Actions {
	var act Actions
	a := e.attempts[id]
	if a == nil || a.ended {
		return act
	}
	a.end(now, r.Class)
	delete(e.attempts, id)
	a.server.drop(a)
	e.learn(now, a, r, &act)
	j, t := a.job, a.task
	e.settle(a)
	if r.Class != OK && r.Class != Answered && !a.canceled {
		act.Events = append(act.Events, Event{
			Name: "attempt failed", Job: j.id, Pool: t.pool.name, Server: a.server.ID,
			Detail: string(a.purpose) + " " + string(r.Class) + " after " + milliseconds(now.Sub(a.sentAt)) + ": " + r.Detail,
		})
	}
	e.dispatch(now, a.server.pool, &act)
	if e.jobs[j.id] != j || t.answered || t.lost {
		return act
	}
	switch {
	case r.Class == OK, len(j.tasks) == 1 && e.isFinal(now, t, r.Class):
		t.answered = true
		j.answered++
		act.Accepted = true
		e.drop(t, &act, false)
	default:
		e.afterFailure(now, t, r, &act)
	}
	e.conclude(now, j, &act)
	return act
}

// settle records whether a server may have run an attempt, and gives back what it has not used of the
// budget.
func (e *Engine) settle(a *attempt) {
	a.job.sent = a.job.sent || a.mayHaveRun
	if a.extra && a.clean {
		a.task.pool.budget.refund(&e.config.Budget, a.sentAt)
	}
}

// isFinal reports whether an answer that is not a success is what the caller of a request with one
// shard gets. A fault of the server is, when no other attempt is in flight and none is allowed.
func (e *Engine) isFinal(now time.Time, t *task, c Class) bool {
	switch c {
	case Answered:
		return true
	case ServerError:
		return t.inFlight() == 0 && (!t.job.Idempotent || !t.mayRetry(now))
	}
	return false
}

func (t *task) inFlight() int {
	n := 0
	for _, a := range t.attempts {
		if !a.ended && !a.canceled {
			n++
		}
	}
	return n
}

// learn includes the end of an attempt in what is known of its server.
func (e *Engine) learn(now time.Time, a *attempt, r Result, act *Actions) {
	s, c := a.server, a.job.class
	if r.ColdFor > 0 {
		s.ColdUntil = now.Add(r.ColdFor)
	}
	typical := float64(c.typical())
	switch r.Class {
	case OK, Answered:
		c.latencies.Add(r.Latency)
		s.observe(now, float64(r.Latency)/typical)
		s.tried(now, false)
		s.succeed(now)
		s.grow()
	case ServerError:
		s.answeredAt = now
		s.tried(now, true)
		e.ejectAfter(now, s, false, r, act)
	case NotRun, Full:
		// The server is alive and full.
		s.answeredAt = now
		s.observe(now, shedSlowness)
		s.shed(now)
	case OtherServer:
		s.replaced = true
		act.Events = append(act.Events, Event{Name: "server replaced", Pool: s.pool.name, Server: s.ID, Detail: r.Detail})
	case Unsent:
		e.ejectAfter(now, s, true, r, act)
	case Broken:
		s.tried(now, true)
		e.ejectAfter(now, s, false, r, act)
	case TimedOut, Canceled:
		if a.givenUp {
			return
		}
		if elapsed := float64(now.Sub(a.sentAt)); elapsed > typical*s.slownessNow(now) && s.answeredAt.Before(a.sentAt) {
			s.observe(now, elapsed/typical)
		}
		if r.Class == TimedOut && s.answeredAt.Before(a.sentAt) {
			s.tried(now, true)
			e.ejectAfter(now, s, false, r, act)
		}
	}
}

// shedSlowness is the slowness that a refusal for want of room counts for.
const shedSlowness = 4

func (e *Engine) ejectAfter(now time.Time, s *server, severe bool, r Result, act *Actions) {
	if s.fail(now, severe) {
		act.Events = append(act.Events, Event{
			Name: "eject", Pool: s.pool.name, Server: s.ID,
			Detail: string(r.Class) + ", for " + milliseconds(s.ejectedUntil.Sub(now)) + ": " + r.Detail,
		})
	}
}

// afterFailure retries a task whose attempt has failed, or gives it up.
func (e *Engine) afterFailure(now time.Time, t *task, r Result, act *Actions) {
	switch {
	case r.Class.mayHaveRun() && !t.job.Idempotent, t.job.Relayed:
		t.job.lose(t, string(r.Class)+": "+r.Detail, act)
	case t.inFlight() > 0:
	case !t.mayRetry(now):
		t.job.lose(t, string(r.Class)+": "+r.Detail, act)
	default:
		t.job.reason = string(r.Class) + ": " + r.Detail
		e.place(now, t, Retry, act)
	}
}

// isUnsent reports whether no attempt of the task has reached a server, so that the next one is its
// first arrival.
func (t *task) isUnsent() bool {
	for _, a := range t.attempts {
		if !a.clean {
			return false
		}
	}
	return true
}

// maxTries bounds the sends of a task, with those that reached no server.
const maxTries = 8

// mayRetry reports whether the task may be sent once more.
func (t *task) mayRetry(now time.Time) bool {
	return len(t.attempts) < maxTries && now.Before(t.job.Deadline)
}

// mayReach reports whether the task may be sent to the server: to as many servers as the request
// allows, and again to one of them when the last attempt there is some time past.
func (t *task) mayReach(now time.Time, s *server) bool {
	again := false
	for _, a := range t.attempts {
		if a.server != s && (a.relay == nil || a.domain != s.FailureDomain) {
			continue
		}
		if !a.ended || now.Sub(a.endedAt) < againPause {
			return false
		}
		again = again || a.server == s && a.mayHaveRun
	}
	return again || t.mayReachNew()
}

// mayReachNew reports whether the task may be sent to one more server. Which one a relay has used is
// not known, so that it counts as another one.
func (t *task) mayReachNew() bool {
	reached := 0
	seen := make(map[*server]bool, len(t.attempts))
	for _, a := range t.attempts {
		if (!a.ended || a.mayHaveRun) && (a.server == nil || !seen[a.server]) {
			seen[a.server] = true
			reached++
		}
	}
	return reached < t.job.MaxAttempts
}

// againPause is the time after which a task may be sent to a server once more that has not answered
// it. It is above the time that a full server needs for a request.
const againPause = 50 * time.Millisecond

// drop marks the attempts of a task that are in flight as unwanted, and ends them at once when the
// caller has left.
func (e *Engine) drop(t *task, act *Actions, left bool) {
	for _, a := range t.attempts {
		if a.ended || a.canceled {
			continue
		}
		a.canceled = true
		switch {
		case a.relay != nil && left:
			act.RelayCancels = append(act.RelayCancels, a.relay.id)
		case a.relay != nil && a.relay.isUnwanted():
			act.RelayDrops = append(act.RelayDrops, a.relay.id)
		case a.relay == nil && left:
			act.Cancels = append(act.Cancels, a.id)
		case a.relay == nil:
			act.Drops = append(act.Drops, a.id)
		}
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
