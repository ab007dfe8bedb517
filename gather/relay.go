package gather

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"time"
)

// Relay is another node that sends shards of a request to the servers in its failure domain and merges their answers.
// That reduces the traffic between failure domains, and spreads the work of large requests.
type Relay struct {
	Address       netip.AddrPort
	FailureDomain string
	// Cores is the processor capacity of the node, 0 if it is not known.
	Cores float64
}

// RelayID identifies one call to a relay.
type RelayID uint64

// RelaySend is a call to a relay for the caller of the engine to send.
type RelaySend struct {
	Relay   RelayID
	Job     JobID
	Address netip.AddrPort
	// Tasks are the indexes of the shards in the request.
	Tasks []int
	// ReplyAt is the time at which the relay should send the answers received so far, merged. Later answers follow
	// one by one.
	ReplyAt  time.Time
	Deadline time.Time
}

// RelayPart is a report of a relay. Answered holds the shards that its answer covers and Latencies the server
// latencies of these shards, Failed the shards that failed, Refused those that a server refused, and Declined those
// that the relay sent to no server. With Unusable set, the answer cannot be used: its records cannot be told apart from
// those of shards that have been answered otherwise.
type RelayPart struct {
	Answered  []int
	Latencies []time.Duration
	Unusable  bool
	Failed    []int
	Refused   []int
	Declined  []int
}

// relayNode holds the state of a relay.
type relayNode struct {
	Relay
	health
	// rank orders relays of equal capacity. It differs between nodes, so that they prefer different relays, and stays
	// the same at one node, so that the connections of its relays stay in use.
	rank uint64
}

// relayCall is one call to a relay.
type relayCall struct {
	id       RelayID
	job      *job
	node     *relayNode
	attempts map[int]*attempt
}

// isUnused reports whether no answer of the call is needed any more.
func (r *relayCall) isUnused() bool {
	for _, a := range r.attempts {
		if !a.ended && !a.canceled {
			return false
		}
	}
	return true
}

// minRelayShards is the number of shards from which a relay causes less traffic between failure domains than direct
// sends.
const minRelayShards = 2

// SetRelays replaces the list of relays.
func (e *Engine) SetRelays(relays []Relay) {
	next := make(map[netip.AddrPort]*relayNode, len(relays))
	e.relayDomains = make(map[string][]*relayNode)
	for _, r := range relays {
		n := e.relays[r.Address]
		if n == nil || n.Relay != r {
			n = &relayNode{Relay: r, rank: e.rand.Uint64()}
		}
		next[r.Address] = n
		e.relayDomains[r.FailureDomain] = append(e.relayDomains[r.FailureDomain], n)
	}
	e.relays = next
}

// sendRelayed sends tasks through relays where a relay saves traffic between failure domains, and where this node would
// need too long to send all of them. It returns the other tasks.
func (e *Engine) sendRelayed(now time.Time, j *job, tasks []*task, p Purpose, act *Actions) []*task {
	if !j.Relayable {
		return tasks
	}
	for {
		domain, group := e.largestGroup(now, j, tasks)
		if len(group) < minRelayShards {
			return e.spreadLocal(now, j, tasks, p, act)
		}
		e.spreadRemote(now, j, domain, group, p, act)
		tasks = slices.DeleteFunc(tasks, func(t *task) bool { return slices.Contains(group, t) })
	}
}

// spreadRemote sends all tasks of the group through relays in the failure domain: one, unless it would need too long.
func (e *Engine) spreadRemote(now time.Time, j *job, domain string, group []*task, p Purpose, act *Actions) {
	nodes, lanes := e.usableRelays(now, j, []string{domain})
	s := spread{counts: []int{len(group)}, time: lanes[0].finishTime(len(group))}
	if s.time > time.Duration(spreadShare*float64(j.untilTarget(now))) {
		s = spreadShards(len(group), nil, e.cores(), lanes)
	}
	for i, count := range s.counts {
		if count > 0 {
			e.sendRelay(now, j, nodes[i], group[:count], s.time, p, act)
			group = group[count:]
		}
	}
}

// largestGroup considers the tasks whose best server is outside the failure domain of this node. It returns the failure
// domain with a usable relay that has servers within relayTolerance for the most of these tasks, and these tasks. There
// are none if there is no such failure domain.
func (e *Engine) largestGroup(now time.Time, j *job, tasks []*task) (string, []*task) {
	groups := make(map[string][]*task)
	for _, t := range tasks {
		best := e.choose(now, j, t.pool, t)
		if best == nil || !t.maySendToAnother() || best.FailureDomain == e.config.FailureDomain {
			continue
		}
		limit := relayTolerance * e.score(now, j, best)
		for _, s := range t.pool.servers {
			if s.FailureDomain == e.config.FailureDomain || !e.usable(now, s) || s.ejected(now) || !t.maySendTo(now, s) {
				continue
			}
			g := groups[s.FailureDomain]
			if e.score(now, j, s) <= limit && (len(g) == 0 || g[len(g)-1] != t) {
				groups[s.FailureDomain] = append(g, t)
			}
		}
	}
	var best string
	var largest []*task
	for _, domain := range slices.Sorted(maps.Keys(groups)) {
		g := groups[domain]
		if len(g) < len(largest) || len(g) == len(largest) && e.rand.IntN(2) == 0 {
			continue
		}
		if nodes, _ := e.usableRelays(now, j, []string{domain}); len(nodes) > 0 {
			best, largest = domain, g
		}
	}
	return best, largest
}

// relayTolerance is the maximum score of a server reached through a relay, as a multiple of the score of the best
// server.
const relayTolerance = 1.5

// sendRelay sends the tasks of the group through a relay, which is expected to have sent the last one to its server
// after the given time.
func (e *Engine) sendRelay(
	now time.Time, j *job, n *relayNode, group []*task, after time.Duration, p Purpose, act *Actions,
) {
	e.lastRelay++
	r := &relayCall{id: e.lastRelay, job: j, node: n, attempts: make(map[int]*attempt, len(group))}
	_, hedgeAt := e.hedgeTimes(now.Add(after), j)
	e.relayCalls[r.id] = r
	j.scheduleChanged = true
	s := RelaySend{
		Relay: r.id, Job: j.id, Address: n.Address, Deadline: j.Deadline, ReplyAt: e.replyAt(now.Add(after), j, p),
	}
	for _, t := range group {
		a := &attempt{job: j, task: t, relay: r, domain: n.FailureDomain, purpose: p, sentAt: now, charged: !t.isUndelivered()}
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

// replyAt returns the time at which a relay should send the answers received so far. That is before hedges are due or,
// if the call is itself a hedge or retry, before the target.
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

// relayMargin is the time allowed for sending a query to a relay and its answer back, including delays at two nodes
// under load.
const relayMargin = 8 * time.Millisecond

// NeedsRelayed reports, for each of the shards, whether an answer of the relay is still needed.
func (e *Engine) NeedsRelayed(id RelayID, shards []int) []bool {
	needed := make([]bool, len(shards))
	r := e.relayCalls[id]
	if r == nil || e.jobs[r.job.id] != r.job {
		return needed
	}
	seen := make(map[int]bool, len(shards))
	for k, i := range shards {
		if a := r.attempts[i]; a != nil && !a.ended && !seen[i] {
			seen[i] = true
			needed[k] = !a.task.answered && !a.task.failed
		}
	}
	return needed
}

// RelayReport processes a report of a relay. If Actions.Accepted is set, the records of the shards that NeedsRelayed
// reported as needed must be used.
func (e *Engine) RelayReport(now time.Time, id RelayID, p RelayPart) Actions {
	var act Actions
	r := e.relayCalls[id]
	if r == nil {
		return act
	}
	j := r.job
	for k, i := range p.Answered {
		a := r.attempts[i]
		if a == nil || a.ended {
			continue
		}
		e.endRelayed(now, r, a, Result{Outcome: OK, Latency: p.Latencies[k]})
		t := a.task
		switch {
		case e.jobs[j.id] != j || t.answered || t.failed:
		case p.Unusable:
			e.retryOrFail(now, t, Result{Outcome: Broken, Detail: "parts of relays overlap"}, &act)
		default:
			t.answered, act.Accepted = true, true
			j.answered++
			e.cancelAttempts(t, &act, false)
		}
	}
	for _, x := range []struct {
		tasks  []int
		result Result
	}{
		{p.Failed, Result{Outcome: Broken, Detail: "shard failed at the relay"}},
		{p.Refused, Result{Outcome: NotRun, Detail: "server refused the relay"}},
		{p.Declined, Result{Outcome: Unsent, Detail: "relay declined"}},
	} {
		for _, i := range x.tasks {
			if a := r.attempts[i]; a != nil && !a.ended {
				e.failRelayed(now, r, a, x.result, &act)
			}
		}
	}
	if e.jobs[j.id] == j {
		e.finishIfDone(now, j, &act)
	}
	return act
}

// RelayEnd ends a call to a relay. Tasks without a report have failed with the given result.
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
	if failed && res.Outcome != Canceled {
		act.Events = append(act.Events, Event{
			Name: "relay failed", Job: r.job.id, Server: r.node.Address.String(), Detail: string(res.Outcome) + ": " + res.Detail,
		})
	}
	if failed && res.Outcome != Canceled && r.node.recordFailure(now, res.Outcome == Unsent) {
		act.Events = append(act.Events, Event{
			Name: "eject relay", Server: r.node.Address.String(), Detail: string(res.Outcome) + ": " + res.Detail,
		})
	}
	if j := r.job; e.jobs[j.id] == j {
		e.finishIfDone(now, j, &act)
	}
	return act
}

func (e *Engine) endRelayed(now time.Time, r *relayCall, a *attempt, res Result) {
	a.end(now, res.Outcome)
	e.recordEnd(a)
	r.node.removeOpen(a)
	s := a.relayServer()
	if res.Outcome == OK {
		a.job.class.add(res.Latency)
		r.node.recordSuccess(now)
		if s != nil {
			s.observe(now, float64(res.Latency)/float64(a.job.class.typical()))
			s.recordSuccess(now)
		}
		return
	}
	if s != nil && res.Outcome != Canceled {
		s.observe(now, overloadSlowness)
	}
}

// relayServer returns the server that a relay must have used for the attempt, or nil if its failure domain has several
// listed servers or none.
func (a *attempt) relayServer() *server {
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
	if e.jobs[j.id] == j && !t.answered && !t.failed {
		e.retryOrFail(now, t, res, act)
	}
}
