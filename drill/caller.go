package drill

import (
	"time"

	"github.com/arbutusthread/arbutusthread/gather"
)

func (w *world) scheduleArrival(k *Kind) {
	rate := k.Rate
	if w.config.Load != nil {
		rate *= w.config.Load(w.now)
	}
	at := w.now + time.Duration(w.arrivalRand.ExpFloat64()/rate*float64(time.Second))
	n := w.nodes[w.arrivalRand.IntN(len(w.nodes))]
	if at > w.config.Duration {
		return
	}
	w.events.Add(at, func() {
		r := &request{kind: k, arrived: w.now, attemptsLeft: 2}
		if w.config.ImpatientShare > 0 && w.callerRand.Float64() < w.config.ImpatientShare {
			r.impatient, r.attemptsLeft = true, 5
		}
		w.result.countRequest(r)
		w.submit(n, r)
		w.scheduleArrival(k)
	})
}

// submit sends the request, or a repetition of it by the caller, to a node.
func (w *world) submit(n *node, r *request) {
	k := r.kind
	r.attemptAt, r.tasksReached = w.now, make(map[int]bool)
	r.attemptsLeft--
	at := w.time().Add(callerDelay)
	q := gather.Request{
		Class: k.Name, Pools: w.pools, Merged: !k.SingleServer, Idempotent: !k.AtMostOnce, Priority: k.Priority, MinCoverage: k.MinCoverage, MaxAttempts: 3,
		Deadline: epoch.Add(r.arrived + k.Deadline), Target: epoch.Add(r.arrived + k.Target - callerDelay),
	}
	if k.SingleServer {
		q.Pools = []string{ledger}
	}
	w.events.Add(w.now+callerDelay, func() {
		for _, p := range q.Pools {
			w.result.countSubmission(w, p)
		}
		id, act := n.policy.Submit(at, q)
		n.jobs[id] = r
		w.applyActions(n, act)
		w.scheduleTick(n, id)
	})
}

// requestFinished delivers the response to the caller, which may repeat a failed request at another node:
// immediately if it is impatient, else after RetryAfter, but within a third of the remaining time. A
// request that may run at most once is repeated only if no server can have run it.
func (w *world) requestFinished(n *node, f *gather.Finished) {
	r := n.jobs[f.Job]
	delete(n.jobs, f.Job)
	if r == nil {
		return
	}
	w.events.Add(w.now+callerDelay, func() {
		remaining := r.arrived + r.kind.Deadline - w.now
		answered := f.End == gather.Complete || f.End == gather.Partial
		notRun := f.End == gather.Refused || !f.MayHaveRun
		switch {
		case answered || r.attemptsLeft == 0 || remaining <= 0 || r.kind.AtMostOnce && !notRun:
			w.result.countEnd(w, r, f)
		case r.impatient:
			w.submit(w.nodes[w.callerRand.IntN(len(w.nodes))], r)
		default:
			w.events.Add(w.now+min(f.RetryAfter, remaining/3), func() { w.submit(w.nodes[w.callerRand.IntN(len(w.nodes))], r) })
		}
	})
}
