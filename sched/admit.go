package sched

import (
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// holdQuantile is the share of requests that end within the expected time.
	holdQuantile = 0.9
	// waitShare is the share of a request's remaining time that it may wait for permits after its
	// admission. More of it would take the order by worth away from the queue.
	waitShare = 0.1
	// minLoad absorbs rounding errors of sums of shares.
	minLoad = 1e-6
)

type job struct {
	Request
	id        JobID
	tasks     []*task
	open      int
	submitted time.Time
	started   time.Time
	canary    *task
	// alone means that the canary must have its server to itself, waits that another request
	// with the same fingerprint runs its canary.
	alone, waits bool
	lastShown    bool
	missing      []Missing
	sent         bool
	stale        bool
	ended        bool
}

type task struct {
	Task
	job      *job
	open     bool
	launched time.Time
	tries    int
	hedged   bool
	// paused means that a retry timer will launch the task.
	paused   bool
	attempts []*attempt
	// replicas are the servers of the task as of the time that the slice counted so many moves.
	replicas []*server
	moves    uint64
	// shares are the servers on which the task's expected load is counted.
	shares []*server
	// tried are servers that failed this task; others are preferred.
	tried []*server
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

// Submit adds a request. It may be refused at once, in which case Finished names it.
func (s *Slice) Submit(now time.Time, r Request) (JobID, Actions) {
	var out Actions
	j := &job{Request: r, submitted: now, id: JobID(s.newID()), open: len(r.Tasks)}
	s.jobs[j.id] = j
	if f := s.refusal(now, j); f != nil {
		s.refuse(j, f, &out)
		return j.id, out
	}
	j.tasks = make([]*task, len(r.Tasks))
	backing := make([]task, len(r.Tasks))
	places := 0
	for i := range r.Tasks {
		backing[i] = task{Task: r.Tasks[i], job: j, open: true}
		j.tasks[i] = &backing[i]
		places += len(r.Tasks[i].Servers)
	}
	// One list for the replicas of all tasks saves an allocation for each.
	list := make([]*server, places)
	for _, t := range j.tasks {
		t.replicas, list = list[:0:len(t.Servers)], list[len(t.Servers):]
	}
	s.timers.add(timer{at: r.Deadline, kind: deadlineTimer, job: j})
	evicted, full := s.queue.Push(uint64(j.id), r.Worth, r.Deadline, j)
	if full {
		s.refuse(evicted, wire.Refuse(wire.StepAdmit, "", wire.ReasonOverload, "queue is full"), &out)
	}
	s.pump(now, &out)
	return j.id, out
}

func (s *Slice) refusal(now time.Time, j *job) *wire.Failure {
	if s.draining {
		return handingOver()
	}
	if !now.Before(s.sendLimit()) {
		return wire.Refuse(wire.StepLease, "", wire.ReasonNoHome, "no lease for the slice")
	}
	if s.config.AdmitAll {
		return nil
	}
	wait, need := s.expectedWait(j), s.expectedHold(j)
	if wait == 0 || !now.Add(wait+need).After(j.Deadline) {
		return nil
	}
	return wire.Refuse(wire.StepAdmit, "", wire.ReasonOverload,
		"expected wait %v and service %v do not fit into %v", wait.Round(time.Millisecond),
		need.Round(time.Millisecond), j.Deadline.Sub(now).Round(time.Millisecond)).After(wait)
}

// expectedHold is the time that most requests take from their start to their end. It is at most
// half of the request's own time: otherwise a time of overload could raise the estimate until no
// request is admitted, and nothing would ever lower it again.
func (s *Slice) expectedHold(j *job) time.Duration {
	hold, _ := s.holds.Quantile(holdQuantile)
	return min(hold, j.Deadline.Sub(j.submitted)/2)
}

// expectedWait is the time until the requests ahead of this one have been started: by the recent time
// between the ends of two requests, or by what the servers can run if that is less. The first
// includes what the second does not know, but a stall raises it for long.
func (s *Slice) expectedWait(j *job) time.Duration {
	ahead := s.queue.Ahead(j.Worth, j.Deadline)
	if ahead == 0 {
		return 0
	}
	return min(s.gap.Value(), s.capacityGap(j)) * time.Duration(ahead)
}

// capacityGap is the time that the most loaded server needs for its part of one such request when it
// uses its whole allowance.
func (s *Slice) capacityGap(j *job) time.Duration {
	loads := make(map[*server]float64, len(j.Tasks))
	var longest time.Duration
	for i := range j.Tasks {
		share := s.share(&j.Tasks[i])
		for _, a := range j.Tasks[i].Servers {
			v := s.servers[a]
			if v == nil || !v.usable() {
				continue
			}
			loads[v] += share / float64(v.permits.Allowance())
			longest = max(longest, time.Duration(loads[v]*float64(v.average.Value())))
		}
	}
	return longest
}

// pump starts waiting requests while the servers have room for them.
func (s *Slice) pump(now time.Time, out *Actions) {
	for {
		j, ok := s.queue.Peek()
		if !ok {
			return
		}
		if !s.fits(now, j) {
			return
		}
		s.queue.Pop()
		s.admit(now, j, out)
	}
}

// replicas returns the servers of the task that the slice knows. Looking them up for each decision
// would cost more than the decision.
func (s *Slice) replicas(t *task) []*server {
	if t.moves == s.moves {
		return t.replicas
	}
	t.moves = s.moves
	t.replicas = t.replicas[:0]
	for _, a := range t.Servers {
		if v := s.servers[a]; v != nil {
			t.replicas = append(t.replicas, v)
		}
	}
	return t.replicas
}

// fits reports whether each shard's replicas are expected to be free within waitShare of the
// request's remaining time. The wait is that of the work above what the replicas run at once, at the
// rate at which they answer. A slow server lengthens its own shard's wait only, and a canary that
// holds back the rest of its request does not count as a full server. Replicas without committed
// load always take one request, however small their allowance is.
func (s *Slice) fits(now time.Time, j *job) bool {
	if s.config.AdmitAll {
		return true
	}
	most := time.Duration(waitShare * float64(j.Deadline.Sub(now)))
	for _, t := range j.tasks {
		if s.replicaWait(t) > most {
			return false
		}
	}
	return true
}

// replicaWait is the time until the replicas of the task have room for one more request.
func (s *Slice) replicaWait(t *task) time.Duration {
	load, room, rate := 0.0, 0.0, 0.0
	for _, v := range s.replicas(t) {
		if !v.usable() {
			continue
		}
		slots := float64(v.permits.Allowance())
		load += v.committed
		room += s.config.Overcommit * slots
		rate += slots / float64(v.average.Value()+time.Microsecond)
	}
	if load < minLoad || load+1 <= room || rate == 0 {
		return 0
	}
	return time.Duration((load + 1 - room) / rate)
}

func (s *Slice) share(t *Task) float64 {
	n := 0
	for _, a := range t.Servers {
		if v := s.servers[a]; v != nil && v.usable() {
			n++
		}
	}
	return 1 / float64(max(1, n))
}

func (s *Slice) admit(now time.Time, j *job, out *Actions) {
	if !s.config.AdmitAll && now.Add(s.expectedHold(j)).After(j.Deadline) {
		s.refuse(j, wire.Refuse(wire.StepAdmit, "", wire.ReasonOverload, "waited until too little time was left"), out)
		return
	}
	if !now.Before(s.sendLimit()) {
		s.refuse(j, wire.Refuse(wire.StepLease, "", wire.ReasonNoHome, "lease ended while waiting"), out)
		return
	}
	j.started = now
	s.hedges.Earn(len(j.tasks))
	s.retries.Earn(len(j.tasks))
	for _, t := range j.tasks {
		s.commit(t)
	}
	s.begin(now, j, out)
}

func (s *Slice) commit(t *task) {
	share := s.share(&t.Task)
	for _, v := range s.replicas(t) {
		if v.usable() {
			v.committed += share
			t.shares = append(t.shares, v)
		}
	}
}

func (s *Slice) uncommit(t *task) {
	for _, v := range t.shares {
		v.committed = max(0, v.committed-1/float64(len(t.shares)))
	}
	t.shares = nil
}
