package drill

import (
	"math/rand/v2"
	"time"

	"github.com/arbutusthread/arbutusthread/gather"
)

// forwarderConfig configures a forwarder.
type forwarderConfig struct {
	seed uint64
	// domain is the preferred failure domain, or empty for no preference.
	domain string
	// hedgeShare is the hedge delay as a share of the time until the target; 0 disables hedges.
	hedgeShare float64
	// partialAtTarget returns a partial answer at the target if the minimum coverage is reached.
	partialAtTarget bool
}

// forwarder is a baseline that selects servers by its own requests in flight only.
type forwarder struct {
	config   forwarderConfig
	rand     *rand.Rand
	pools    map[string][]gather.Server
	inFlight map[string]int
	jobs     map[gather.JobID]*forwardedJob
	attempts map[gather.AttemptID]*forwardedAttempt
	lastJob  gather.JobID
	lastSent gather.AttemptID
}

type forwardedJob struct {
	gather.Request
	id       gather.JobID
	hedgeAt  time.Time
	shards   []forwardedShard
	answered int
	failed   int
	sent     bool
}

type forwardedShard struct {
	tried            []string
	answered, failed bool
	inFlight         int
}

type forwardedAttempt struct {
	job    *forwardedJob
	task   int
	server string
}

func newForwarder(c forwarderConfig) *forwarder {
	return &forwarder{
		config: c, rand: rand.New(rand.NewPCG(c.seed, 3)), pools: make(map[string][]gather.Server),
		inFlight: make(map[string]int), jobs: make(map[gather.JobID]*forwardedJob),
		attempts: make(map[gather.AttemptID]*forwardedAttempt),
	}
}

func (f *forwarder) SetPools(_ time.Time, pools []gather.Pool) gather.Actions {
	for _, p := range pools {
		f.pools[p.Name] = nil
		for _, s := range p.Servers {
			if !s.Draining {
				f.pools[p.Name] = append(f.pools[p.Name], s)
			}
		}
	}
	return gather.Actions{}
}

func (f *forwarder) Submit(now time.Time, r gather.Request) (gather.JobID, gather.Actions) {
	f.lastJob++
	j := &forwardedJob{Request: r, id: f.lastJob, shards: make([]forwardedShard, len(r.Pools))}
	f.jobs[j.id] = j
	if f.config.hedgeShare > 0 && r.Idempotent {
		j.hedgeAt = now.Add(time.Duration(f.config.hedgeShare * float64(r.Target.Sub(now))))
	}
	var act gather.Actions
	for i := range j.shards {
		f.send(j, i, gather.Primary, &act)
	}
	f.finishIfDone(now, j, &act)
	return j.id, act
}

// send sends the request for a shard to the least loaded server that has not been tried for it. Servers
// outside the preferred failure domain count as having 2 more requests in flight.
func (f *forwarder) send(j *forwardedJob, i int, p gather.Purpose, act *gather.Actions) {
	s := &j.shards[i]
	var best *gather.Server
	leastLoad := 0.0
	for k := range f.pools[j.Pools[i]] {
		v := &f.pools[j.Pools[i]][k]
		if contains(s.tried, v.ID) || len(s.tried) >= j.MaxAttempts {
			continue
		}
		load := float64(f.inFlight[v.ID]) + f.rand.Float64()
		if f.config.domain != "" && v.FailureDomain != f.config.domain {
			load += 2
		}
		if best == nil || load < leastLoad {
			best, leastLoad = v, load
		}
	}
	if best == nil {
		s.failed = s.failed || s.inFlight == 0
		if s.failed {
			j.failed++
		}
		return
	}
	f.lastSent++
	f.attempts[f.lastSent] = &forwardedAttempt{job: j, task: i, server: best.ID}
	f.inFlight[best.ID]++
	s.tried = append(s.tried, best.ID)
	s.inFlight++
	j.sent = true
	act.Sends = append(act.Sends, gather.Send{
		Attempt: f.lastSent, Job: j.id, Task: i, Pool: j.Pools[i], Server: *best, Purpose: p, Deadline: j.Deadline,
	})
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func (f *forwarder) Done(now time.Time, id gather.AttemptID, r gather.Result) gather.Actions {
	var act gather.Actions
	t := f.attempts[id]
	if t == nil {
		return act
	}
	delete(f.attempts, id)
	f.inFlight[t.server]--
	j := t.job
	s := &j.shards[t.task]
	s.inFlight--
	if f.jobs[j.id] != j || s.answered || s.failed {
		return act
	}
	switch {
	case r.Outcome == gather.OK:
		s.answered = true
		j.answered++
		act.Accepted = true
	case s.inFlight > 0:
	case !j.Idempotent && r.Outcome != gather.NotRun && r.Outcome != gather.Unsent:
		s.failed = true
		j.failed++
	default:
		f.send(j, t.task, gather.Retry, &act)
	}
	f.finishIfDone(now, j, &act)
	return act
}

func (f *forwarder) finishIfDone(now time.Time, j *forwardedJob, act *gather.Actions) {
	total := len(j.shards)
	enough := func(n int) bool { return n > 0 && float64(n) >= j.MinCoverage*float64(total) }
	end := gather.Complete
	switch {
	case j.answered == total:
	case !enough(total - j.failed):
		end = gather.Failed
	case enough(j.answered) && (j.answered+j.failed == total || f.config.partialAtTarget && !now.Before(j.Target)):
		end = gather.Partial
	case !now.Before(j.Deadline):
		end = gather.Expired
	default:
		return
	}
	delete(f.jobs, j.id)
	act.Finished = &gather.Finished{Job: j.id, End: end, Answered: j.answered, Total: total, MayHaveRun: j.sent}
	for id, t := range f.attempts {
		if t.job == j {
			act.Drops = append(act.Drops, id)
		}
	}
}

func (f *forwarder) Tick(now time.Time, id gather.JobID) gather.Actions {
	var act gather.Actions
	j := f.jobs[id]
	if j == nil {
		return act
	}
	if !j.hedgeAt.IsZero() && !now.Before(j.hedgeAt) {
		j.hedgeAt = time.Time{}
		for i := range j.shards {
			if s := &j.shards[i]; !s.answered && !s.failed && s.inFlight == 1 {
				f.send(j, i, gather.Hedge, &act)
			}
		}
	}
	f.finishIfDone(now, j, &act)
	return act
}

func (f *forwarder) NextTick(now time.Time, id gather.JobID) time.Time {
	j := f.jobs[id]
	if j == nil {
		return time.Time{}
	}
	wake := j.Deadline
	if f.config.partialAtTarget && now.Before(j.Target) {
		wake = j.Target
	}
	if !j.hedgeAt.IsZero() && j.hedgeAt.Before(wake) {
		wake = j.hedgeAt
	}
	return wake
}

func (f *forwarder) Abandon(id gather.JobID) gather.Actions {
	delete(f.jobs, id)
	return gather.Actions{}
}
