package gather

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"time"
)

// Relay is a node in another failure domain that sends parts of a request to the servers there and
// merges their answers, so that fewer bytes cross between the domains.
type Relay struct {
	Address       netip.AddrPort
	FailureDomain string
}

// RelayID names one request to a relay.
type RelayID uint64

// RelaySend asks for one request to a relay.
type RelaySend struct {
	Relay   RelayID
	Job     JobID
	Address netip.AddrPort
	// Tasks are the indexes of the shards in the request.
	Tasks []int
	// ReplyAt is when the relay should send what it has; later answers follow one by one.
	ReplyAt  time.Time
	Deadline time.Time
}

// RelayPart is what a relay reports: the shards that its answer holds with the times that the servers
// took, those that it has given up, those that a server has refused, and those that it has sent to no
// server.
type RelayPart struct {
	Answered  []int
	Latencies []time.Duration
	Failed    []int
	Refused   []int
	Declined  []int
}

// relayNode is what the engine knows of a relay.
type relayNode struct {
	Relay
	health
}

// relayCall is one request to a relay.
type relayCall struct {
	id       RelayID
	job      *job
	node     *relayNode
	attempts map[int]*attempt
}

// isUnwanted reports whether no answer of the call is used any more.
func (r *relayCall) isUnwanted() bool {
	for _, a := range r.attempts {
		if !a.ended && !a.canceled {
			return false
		}
	}
	return true
}

// minRelayed is the number of shards from which on a relay crosses fewer bytes than direct sends.
const minRelayed = 2

// SetRelays makes the engine use exactly these relays.
func (e *Engine) SetRelays(relays []Relay) {
	next := make(map[netip.AddrPort]*relayNode, len(relays))
	e.relayDomains = make(map[string][]*relayNode)
	for _, r := range relays {
		n := e.relays[r.Address]
		if n == nil || n.Relay != r {
			n = &relayNode{Relay: r}
		}
		next[r.Address] = n
		e.relayDomains[r.FailureDomain] = append(e.relayDomains[r.FailureDomain], n)
	}
	e.relays = next
}

// relayFor returns a relay in the failure domain, or nil when none may be used.
func (e *Engine) relayFor(now time.Time, j *job, domain string) *relayNode {
	wait := time.Duration(stallShare * float64(j.class.tail()))
	var best *relayNode
	for _, n := range e.relayDomains[domain] {
		if n.ejected(now) || n.stalled(now, wait) {
			continue
		}
		if best == nil || len(n.open) < len(best.open) || len(n.open) == len(best.open) && e.rand.IntN(2) == 0 {
			best = n
		}
	}
	return best
}

// sendRelayed sends the tasks whose servers are best reached by relays, and returns the others.
func (e *Engine) sendRelayed(now time.Time, j *job, tasks []*task, p Purpose, act *Actions) []*task {
	if !j.Relayable {
		return tasks
	}
	for {
		n, group := e.largestGroup(now, j, tasks)
		if len(group) < minRelayed {
			return tasks
		}
		e.sendRelay(now, j, n, group, p, act)
		tasks = slices.DeleteFunc(tasks, func(t *task) bool { return slices.Contains(group, t) })
	}
}

// largestGroup returns the relay whose failure domain has good servers of the most tasks that are best
// served in other domains than that of this node, and these tasks.
func (e *Engine) largestGroup(now time.Time, j *job, tasks []*task) (*relayNode, []*task) {
	groups := make(map[string][]*task)
	for _, t := range tasks {
		best := e.choose(now, j, t.pool, t)
		if best == nil || !t.mayReachNew() || best.FailureDomain == e.config.FailureDomain {
			continue
		}
		limit := relayTolerance * e.score(now, j, best)
		for _, s := range t.pool.servers {
			if s.FailureDomain == e.config.FailureDomain || !e.usable(now, s) || s.ejected(now) || !t.mayReach(now, s) {
				continue
			}
			g := groups[s.FailureDomain]
			if e.score(now, j, s) <= limit && (len(g) == 0 || g[len(g)-1] != t) {
				groups[s.FailureDomain] = append(g, t)
			}
		}
	}
	var best *relayNode
	var largest []*task
	for _, domain := range slices.Sorted(maps.Keys(groups)) {
		g := groups[domain]
		if len(g) < len(largest) || len(g) == len(largest) && e.rand.IntN(2) == 0 {
			continue
		}
		if n := e.relayFor(now, j, domain); n != nil {
			best, largest = n, g
		}
	}
	return best, largest
}

// relayTolerance is how much worse than the best a server may be that is reached together with
// others.
const relayTolerance = 1.5

func (e *Engine) sendRelay(now time.Time, j *job, n *relayNode, group []*task, p Purpose, act *Actions) {
	e.lastRelay++
	r := &relayCall{id: e.lastRelay, job: j, node: n, attempts: make(map[int]*attempt, len(group))}
	_, hedgeAt := e.hedgeTimes(now, j)
	e.relayCalls[r.id] = r
	s := RelaySend{Relay: r.id, Job: j.id, Address: n.Address, Deadline: j.Deadline, ReplyAt: e.replyAt(now, j, p)}
	for _, t := range group {
		a := &attempt{job: j, task: t, relay: r, domain: n.FailureDomain, purpose: p, sentAt: now, extra: !t.isUnsent()}
		t.attempts = append(t.attempts, a)
		if p == Primary && j.MaxAttempts > 1 {
			t.hedgeAt = hedgeAt
		}
		n.open = append(n.open, a)
		r.attempts[t.index] = a
		s.Tasks = append(s.Tasks, t.index)
	}
	act.Relays = append(act.Relays, s)
	act.Events = append(act.Events, Event{
		Name: "relay", Job: j.id, Server: n.Address.String(),
		Detail: string(p) + " of " + strconv.Itoa(len(group)) + " shards in " + n.FailureDomain + ", reply in " + milliseconds(s.ReplyAt.Sub(now)),
	})
}

// replyAt returns when a relay should send what it has: before hedges are due or, when it runs hedges,
// before the target.
func (e *Engine) replyAt(now time.Time, j *job, p Purpose) time.Time {
	_, at := e.hedgeTimes(now, j)
	if p != Primary {
		at = now.Add(j.class.tail())
		if now.Before(j.Target) {
			at = j.Target
		}
	}
	return at.Add(-relayMargin)
}

// relayMargin is the time that a query and the answer of a relay take on their ways, with what two
// nodes under load add.
const relayMargin = 8 * time.Millisecond

// RelayDone includes a part of a relay's answer. Actions.Accepted tells whether the part is to be
// used. It then replaces earlier answers of its shards, since its records cannot be told apart.
func (e *Engine) RelayDone(now time.Time, id RelayID, p RelayPart) Actions {
	var act Actions
	r := e.relayCalls[id]
	if r == nil {
		return act
	}
	j := r.job
	open := e.jobs[j.id] == j
	for _, i := range p.Answered {
		// The relay may name a shard twice or one that it was not asked for, and records that are merged
		// already must not be merged again.
		if a := r.attempts[i]; a == nil || a.ended || a.task.merged {
			open = false
		}
	}
	for k, i := range p.Answered {
		a := r.attempts[i]
		if a == nil || a.ended {
			continue
		}
		e.endRelayed(now, r, a, Result{Class: OK, Latency: p.Latencies[k]})
		t := a.task
		if !open {
			if e.jobs[j.id] == j && !t.answered && !t.lost {
				e.afterFailure(now, t, Result{Class: Broken, Detail: "parts of relays overlap"}, &act)
			}
			continue
		}
		t.merged = len(p.Answered) > 1
		if !t.answered && !t.lost {
			t.answered = true
			j.answered++
			e.drop(t, &act, false)
		}
	}
	act.Accepted = open && len(p.Answered) > 0
	for _, x := range []struct {
		tasks  []int
		result Result
	}{
		{p.Failed, Result{Class: Broken, Detail: "relay gave up"}},
		{p.Refused, Result{Class: NotRun, Detail: "server refused the relay"}},
		{p.Declined, Result{Class: Unsent, Detail: "relay declined"}},
	} {
		for _, i := range x.tasks {
			if a := r.attempts[i]; a != nil && !a.ended {
				e.failRelayed(now, r, a, x.result, &act)
			}
		}
	}
	if e.jobs[j.id] == j {
		e.conclude(now, j, &act)
	}
	return act
}

// RelayEnd ends a request to a relay. The tasks that it has not answered have failed.
func (e *Engine) RelayEnd(now time.Time, id RelayID, res Result) Actions {
	var act Actions
	r := e.relayCalls[id]
	if r == nil {
		return act
	}
	delete(e.relayCalls, id)
	failed := false
	for _, i := range slices.Sorted(maps.Keys(r.attempts)) {
		if a := r.attempts[i]; !a.ended {
			failed = failed || !a.canceled
			e.failRelayed(now, r, a, res, &act)
		}
	}
	if failed && res.Class != Canceled {
		act.Events = append(act.Events, Event{
			Name: "relay failed", Job: r.job.id, Server: r.node.Address.String(), Detail: string(res.Class) + ": " + res.Detail,
		})
	}
	if failed && res.Class != Canceled && r.node.fail(now, res.Class == Unsent) {
		act.Events = append(act.Events, Event{
			Name: "eject relay", Server: r.node.Address.String(), Detail: string(res.Class) + ": " + res.Detail,
		})
	}
	if j := r.job; e.jobs[j.id] == j {
		e.conclude(now, j, &act)
	}
	return act
}

func (e *Engine) endRelayed(now time.Time, r *relayCall, a *attempt, res Result) {
	a.end(now, res.Class)
	e.settle(a)
	r.node.drop(a)
	s := a.relayed()
	if res.Class == OK {
		a.job.class.add(res.Latency)
		r.node.succeed(now)
		if s != nil {
			s.observe(now, float64(res.Latency)/float64(a.job.class.typical()))
			s.succeed(now)
		}
		return
	}
	if s != nil && res.Class != Canceled {
		s.observe(now, shedSlowness)
	}
}

// relayed returns the server to which a relay has sent the attempt, or nil when it could choose.
func (a *attempt) relayed() *server {
	var only *server
	for _, s := range a.task.pool.servers {
		if s.FailureDomain != a.domain || !s.isListed() {
			continue
		}
		if only != nil {
			return nil
		}
		only = s
	}
	return only
}

func (e *Engine) failRelayed(now time.Time, r *relayCall, a *attempt, res Result, act *Actions) {
	e.endRelayed(now, r, a, res)
	j, t := a.job, a.task
	if e.jobs[j.id] == j && !t.answered && !t.lost {
		e.afterFailure(now, t, res, act)
	}
}
