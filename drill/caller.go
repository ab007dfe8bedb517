package drill

import (
	"time"

	"github.com/arbutusthread/arbutusthread/gather"
)

func (w *world) arrive(k *Kind) {
	rate := k.Rate
	if w.setup.Load != nil {
		rate *= w.setup.Load(w.now)
	}
	at := w.now + time.Duration(w.arrivals.ExpFloat64()/rate*float64(time.Second))
	n := w.nodes[w.arrivals.IntN(len(w.nodes))]
	if at > w.setup.Duration {
		return
	}
	w.events.Add(at, func() {
		r := &request{kind: k, arrived: w.now, tries: 2}
		if w.setup.Impatient > 0 && w.callers.Float64() < w.setup.Impatient {
			r.impatient, r.tries = true, 5
		}
		w.result.asked(r)
		w.submit(n, r)
		w.arrive(k)
	})
}

// submit sends an attempt of the caller to a node.
func (w *world) submit(n *node, r *request) {
	k := r.kind
	r.attemptAt, r.reached = w.now, make(map[int]bool)
	r.tries--
	at := w.time().Add(callerDelay)
	q := gather.Request{
		Class: k.Name, Pools: w.pools, Idempotent: !k.Once, Priority: k.Priority, MinCoverage: k.MinCoverage, MaxAttempts: 3,
		Deadline: epoch.Add(r.arrived + k.Deadline), Target: epoch.Add(r.arrived + k.Target - callerDelay),
	}
	if k.Single {
		q.Pools = []string{ledger}
	}
	w.events.Add(w.now+callerDelay, func() {
		for _, p := range q.Pools {
			w.result.request(w, p)
		}
		id, act := n.policy.Submit(at, q)
		n.jobs[id] = r
		w.perform(n, act)
		w.schedule(n, id)
	})
}

// finish brings the end of a request to its caller, who may try again at another node.
func (w *world) finish(n *node, f *gather.Finished) {
	r := n.jobs[f.Job]
	delete(n.jobs, f.Job)
	if r == nil {
		return
	}
	w.events.Add(w.now+callerDelay, func() {
		left := r.arrived + r.kind.Deadline - w.now
		answered := f.End == gather.Complete || f.End == gather.Partial
		promised := f.End == gather.Refused || !f.Sent
		switch {
		case answered || r.tries == 0 || left <= 0 || r.kind.Once && !promised:
			w.result.ended(w, r, f)
		case r.impatient:
			w.submit(w.nodes[w.callers.IntN(len(w.nodes))], r)
		default:
			w.events.Add(w.now+min(f.RetryAfter, left/3), func() { w.submit(w.nodes[w.callers.IntN(len(w.nodes))], r) })
		}
	})
}
