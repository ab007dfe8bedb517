package sched

import (
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// serviceTimeQuantile is the quantile of the recent times from start to completion of requests that
	// admission uses as the expected service time of a request.
	serviceTimeQuantile = 0.9
	// maxPermitWaitShare is the maximum share of a request's remaining time that it is expected to wait for
	// permits after admission. Requests that would wait longer stay in the admission queue, which is ordered
	// by worth; the wait queues of the servers are not.
	maxPermitWaitShare = 0.1
	// loadEpsilon is the committed load below which replicas count as idle. It absorbs rounding errors
	// in sums of shares.
	loadEpsilon = 1e-6
)

type job struct {
	Request
	id        JobID
	tasks     []*task
	open      int
	submitted time.Time
	started   time.Time
	canary    *task
	// exclusive means that the canary must be the only request on its server; awaitsCanary means that
	// another request with the same fingerprint is running its canary.
	exclusive, awaitsCanary bool
	tailHedged              bool
	missing                 []Missing
	sent                    bool
	stale                   bool
	ended                   bool
}

type task struct {
	Task
	job          *job
	open         bool
	firstLaunch  time.Time
	attemptCount int
	hedged       bool
	// retryPending means that a retry timer will launch the task.
	retryPending bool
	attempts     []*attempt
	// replicas caches the known servers of the task; it is valid for serversVersion of the slice.
	replicas       []*server
	serversVersion uint64
	// committedTo are the servers whose committedLoad includes the task.
	committedTo []*server
	// failedOn are the servers on which the task failed; other servers are preferred.
	failedOn []*server
}

func (t *task) inFlight() int {
	n := 0
	for _, a := range t.attempts {
		if !a.cancelled {
			n++
		}
	}
	return n
}

// Submit adds a request to the admission queue and admits queued requests while the servers have capacity
// for them. Actions.Finished lists the requests that end in this call: this one, one evicted from the full
// queue, or queued ones that are refused or cannot be sent when they are started.
func (s *Slice) Submit(now time.Time, r Request) (JobID, Actions) {
	var out Actions
	j := &job{Request: r, submitted: now, id: JobID(s.newID()), open: len(r.Tasks)}
	s.jobs[j.id] = j
	if f := s.checkAdmission(now, j); f != nil {
		s.refuse(j, f, &out)
		return j.id, out
	}
	j.tasks = make([]*task, len(r.Tasks))
	backing := make([]task, len(r.Tasks))
	replicaCount := 0
	for i := range r.Tasks {
		backing[i] = task{Task: r.Tasks[i], job: j, open: true}
		j.tasks[i] = &backing[i]
		replicaCount += len(r.Tasks[i].Servers)
	}
	// A shared backing array for the replicas of all tasks avoids one allocation per task.
	list := make([]*server, replicaCount)
	for _, t := range j.tasks {
		t.replicas, list = list[:0:len(t.Servers)], list[len(t.Servers):]
	}
	s.timers.push(timer{at: r.Deadline, kind: deadlineTimer, job: j})
	evicted, overLimit := s.queue.Push(uint64(j.id), r.Worth, r.Deadline, j)
	if overLimit {
		s.refuse(evicted, wire.Refuse(wire.StepAdmit, "", wire.ReasonOverload, "admission queue is full"), &out)
	}
	s.admitQueued(now, &out)
	return j.id, out
}

// checkAdmission returns the reason for refusing a request before it is queued, or nil. Config.DisableAdmission skips
// the check of the expected wait, but not those of draining and of the lease. It serves as a baseline without
// admission control in package trial.
func (s *Slice) checkAdmission(now time.Time, j *job) *wire.Failure {
	if s.draining {
		return handoverFailure()
	}
	if !now.Before(s.sendLimit()) {
		return wire.Refuse(wire.StepLease, "", wire.ReasonNoHome, "no lease for the slice")
	}
	if s.config.DisableAdmission {
		return nil
	}
	wait, need := s.expectedQueueWait(j), s.expectedServiceTime(j)
	// Without a wait the request fits, because expectedServiceTime is at most half of the remaining time.
	if wait == 0 || !now.Add(wait+need).After(j.Deadline) {
		return nil
	}
	return wire.Refuse(wire.StepAdmit, "", wire.ReasonOverload,
		"expected queue wait %v plus service time %v exceeds remaining time %v", wait.Round(time.Millisecond),
		need.Round(time.Millisecond), j.Deadline.Sub(now).Round(time.Millisecond)).WithRetryAfter(wait)
}

// expectedServiceTime returns the serviceTimeQuantile of recent times from start to completion. It is
// capped at half of the time from submission to the deadline of the request. Otherwise an overload
// could raise the estimate until no request is admitted, and no new sample would ever lower it.
func (s *Slice) expectedServiceTime(j *job) time.Duration {
	serviceTime, _ := s.serviceTimes.Quantile(serviceTimeQuantile)
	return min(serviceTime, j.Deadline.Sub(j.submitted)/2)
}

// expectedQueueWait returns the expected time until the requests ahead of this one have started. It
// multiplies their number by the smaller of the recent interval between completions and the interval
// that server capacity allows. The measured interval covers effects that the capacity estimate misses,
// but stays high for a long time after a stall.
func (s *Slice) expectedQueueWait(j *job) time.Duration {
	ahead := s.queue.Ahead(j.Worth, j.Deadline)
	if ahead == 0 {
		return 0
	}
	return min(s.completionInterval.Value(), s.capacityInterval(j)) * time.Duration(ahead)
}

// capacityInterval returns the time that the most loaded server needs for its share of one such request
// when it runs at its concurrency limit.
func (s *Slice) capacityInterval(j *job) time.Duration {
	loads := make(map[*server]float64, len(j.Tasks))
	var maxInterval time.Duration
	for i := range j.Tasks {
		share := s.replicaShare(&j.Tasks[i])
		for _, a := range j.Tasks[i].Servers {
			v := s.servers[a]
			if v == nil || !v.usable() {
				continue
			}
			loads[v] += share / float64(v.permits.Limit())
			maxInterval = max(maxInterval, time.Duration(loads[v]*float64(v.average.Value())))
		}
	}
	return maxInterval
}

// admitQueued admits queued requests while the servers have capacity for them.
func (s *Slice) admitQueued(now time.Time, out *Actions) {
	for {
		j, ok := s.queue.Peek()
		if !ok {
			return
		}
		if !s.canAdmit(now, j) {
			return
		}
		s.queue.Pop()
		s.admit(now, j, out)
	}
}

// replicas returns the servers of the task that are in the current server set. The result is cached per
// task, because looking the servers up for each decision would cost more than the decision.
func (s *Slice) replicas(t *task) []*server {
	if t.serversVersion == s.serversVersion {
		return t.replicas
	}
	t.serversVersion = s.serversVersion
	t.replicas = t.replicas[:0]
	for _, a := range t.Servers {
		if v := s.servers[a]; v != nil {
			t.replicas = append(t.replicas, v)
		}
	}
	return t.replicas
}

// canAdmit reports whether the replicas of each shard are expected to have capacity within
// maxPermitWaitShare of the request's remaining time. The expected wait is the committed load above the
// capacity of the replicas, divided by their completion rate. A slow server lengthens only the wait of
// its own shard, and a canary that delays the rest of its request does not make a server count as full.
// Replicas without committed load always accept one request, regardless of their concurrency limit.
func (s *Slice) canAdmit(now time.Time, j *job) bool {
	if s.config.DisableAdmission {
		return true
	}
	maxWait := time.Duration(maxPermitWaitShare * float64(j.Deadline.Sub(now)))
	for _, t := range j.tasks {
		if s.replicaWait(t) > maxWait {
			return false
		}
	}
	return true
}

// replicaWait returns the expected time until the replicas of the task have capacity for one more
// request.
func (s *Slice) replicaWait(t *task) time.Duration {
	load, capacity, rate := 0.0, 0.0, 0.0
	for _, v := range s.replicas(t) {
		if !v.usable() {
			continue
		}
		slots := float64(v.permits.Limit())
		load += v.committedLoad
		capacity += s.config.Overcommit * slots
		// The average is 0 before the first response; the added time avoids a division by zero.
		rate += slots / float64(v.average.Value()+time.Microsecond)
	}
	if load < loadEpsilon || load+1 <= capacity || rate == 0 {
		return 0
	}
	return time.Duration((load + 1 - capacity) / rate)
}

func (s *Slice) replicaShare(t *Task) float64 {
	n := 0
	for _, a := range t.Servers {
		if v := s.servers[a]; v != nil && v.usable() {
			n++
		}
	}
	return 1 / float64(max(1, n))
}

func (s *Slice) admit(now time.Time, j *job, out *Actions) {
	if !s.config.DisableAdmission && now.Add(s.expectedServiceTime(j)).After(j.Deadline) {
		s.refuse(j, wire.Refuse(wire.StepAdmit, "", wire.ReasonOverload, "too little time left after queueing"), out)
		return
	}
	if !now.Before(s.sendLimit()) {
		s.refuse(j, wire.Refuse(wire.StepLease, "", wire.ReasonNoHome, "lease expired while queued"), out)
		return
	}
	j.started = now
	s.hedgeBudget.Deposit(len(j.tasks))
	s.retryBudget.Deposit(len(j.tasks))
	for _, t := range j.tasks {
		s.addCommittedLoad(t)
	}
	s.start(now, j, out)
}

func (s *Slice) addCommittedLoad(t *task) {
	share := s.replicaShare(&t.Task)
	for _, v := range s.replicas(t) {
		if v.usable() {
			v.committedLoad += share
			t.committedTo = append(t.committedTo, v)
		}
	}
}

func (s *Slice) removeCommittedLoad(t *task) {
	for _, v := range t.committedTo {
		v.committedLoad = max(0, v.committedLoad-1/float64(len(t.committedTo)))
	}
	t.committedTo = nil
}
