package gather

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// A query to hundreds of shards keeps a small node busy for longer than the response-time objective if it sends all of
// them itself, while the other nodes of its failure domain are idle. This file decides how many shards of a query the
// node sends itself, and how many each relay does, by the capacity of the nodes.

const (
	// sendTime is the processor time that a node with one core needs to send one shard and to receive its answer.
	sendTime = 100 * time.Microsecond
	// relayCallTime is the processor time of one call to a relay at the calling node, and relayServeTime that at the
	// relay, both on one core and without the shards.
	relayCallTime  = 150 * time.Microsecond
	relayServeTime = 200 * time.Microsecond
	// relayDelay is the time that a query and its answer take on the network between nodes of a failure domain, and
	// remoteRelayDelay between failure domains. The latter includes an allowance for the cost of the traffic.
	relayDelay       = time.Millisecond
	remoteRelayDelay = 5 * time.Millisecond
	// spreadShare is the share of the time left until the target from which a query is spread over several nodes, and
	// remoteSpreadShare that from which nodes in other failure domains are used too.
	spreadShare       = 0.15
	remoteSpreadShare = 0.3
	// extraRelayTime is the time that each further relay must save. Each is one more node whose failure delays the query.
	extraRelayTime = 500 * time.Microsecond
	// maxSpread is the maximum number of relays to which the shards of one query are sent at once.
	maxSpread = 12
)

// lane is a node that can send shards of a query.
type lane struct {
	// cores is the capacity of the node.
	cores float64
	// delay is the time until the node sends the first shard, backlog the number of shards that it sends before.
	delay   time.Duration
	backlog int
}

// shardsIn returns the number of shards that the lane can send within the time.
func (l *lane) shardsIn(limit time.Duration) float64 {
	return max(0, float64(limit-l.delay)*l.cores/float64(sendTime)-float64(l.backlog))
}

// finishTime returns the time at which the lane has sent n shards.
func (l *lane) finishTime(n int) time.Duration {
	return l.delay + time.Duration(float64(n+l.backlog)*float64(sendTime)/l.cores)
}

// fillTime returns the least time within which the lanes together can send n shards.
func fillTime(lanes []lane, n int) time.Duration {
	if len(lanes) == 0 {
		return math.MaxInt64
	}
	slowest := time.Duration(0)
	for i := range lanes {
		slowest = max(slowest, lanes[i].finishTime(n))
	}
	low, high := time.Duration(0), slowest
	for high-low > fillPrecision {
		limit := low + (high-low)/2
		total := 0.0
		for i := range lanes {
			total += lanes[i].shardsIn(limit)
		}
		if total < float64(n) {
			low = limit
		} else {
			high = limit
		}
	}
	return high
}

// fillPrecision is the precision of fillTime.
const fillPrecision = 50 * time.Microsecond

// spread is a distribution of shards over the calling node and relays.
type spread struct {
	// own is the number of shards that the calling node sends itself. counts holds the number for each relay, in the
	// order of the relays.
	own    int
	counts []int
	// time is the time until the last shard is sent.
	time time.Duration
}

// spreadShards distributes n shards so that the last one is sent as early as possible. The calling node takes part if
// its lane is not nil; callCores is its capacity for calls to relays. Relays are used in the order in which they are
// given, and only as many as pay.
func spreadShards(n int, self *lane, callCores float64, relays []lane) spread {
	best := spread{own: n, time: math.MaxInt64}
	if self != nil {
		best.time = self.finishTime(n)
	}
	cost := best.time
	for k := 1; k <= min(len(relays), maxSpread); k++ {
		lanes := make([]lane, 0, k+1)
		calls := time.Duration(0)
		for _, r := range relays[:k] {
			calls += time.Duration(float64(relayCallTime) / callCores)
			r.delay += calls
			lanes = append(lanes, r)
		}
		if self != nil {
			s := *self
			s.delay += calls
			lanes = append(lanes, s)
		}
		t := fillTime(lanes, n)
		if c := t + time.Duration(k)*extraRelayTime; c < cost {
			cost = c
			best = countShards(lanes, k, n, t)
		}
	}
	return best
}

// countShards returns the whole numbers of shards that the lanes, k relays and perhaps the calling node, send within
// the time. What rounding leaves goes to the lane that finishes first with it.
func countShards(lanes []lane, k, n int, t time.Duration) spread {
	counts := make([]int, len(lanes))
	left := n
	for i := range lanes {
		counts[i] = min(left, int(lanes[i].shardsIn(t)))
		left -= counts[i]
	}
	for ; left > 0; left-- {
		first := 0
		for i := range lanes {
			if lanes[i].finishTime(counts[i]+1) < lanes[first].finishTime(counts[first]+1) {
				first = i
			}
		}
		counts[first]++
	}
	s := spread{counts: counts[:k], time: t}
	if len(lanes) > k {
		s.own = counts[k]
	}
	return s
}

// cores returns the capacity of this node.
func (e *Engine) cores() float64 {
	if e.config.Cores > 0 {
		return e.config.Cores
	}
	return 1
}

// laneOf returns the lane of a relay. A relay whose capacity is unknown counts as equal to this node.
func (e *Engine) laneOf(n *relayNode) lane {
	l := lane{cores: n.Cores, backlog: len(n.open), delay: relayDelay}
	if l.cores <= 0 {
		l.cores = e.cores()
	}
	if n.FailureDomain != e.config.FailureDomain {
		l.delay = remoteRelayDelay
	}
	l.delay += time.Duration(float64(relayServeTime) / l.cores)
	return l
}

// usableRelays returns the relays of the failure domains that can be called now, with their lanes, those that send a
// number of shards earliest first.
func (e *Engine) usableRelays(now time.Time, j *job, domains []string) ([]*relayNode, []lane) {
	wait := time.Duration(stallTails * float64(j.class.tail()))
	type candidate struct {
		node   *relayNode
		lane   lane
		finish time.Duration
	}
	var list []candidate
	for _, d := range domains {
		for _, n := range e.relayDomains[d] {
			if n.ejected(now) || n.stalled(now, wait) {
				continue
			}
			l := e.laneOf(n)
			list = append(list, candidate{n, l, l.finishTime(rankShards)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.finish, b.finish), cmp.Compare(a.node.rank, b.node.rank))
	})
	list = list[:min(len(list), maxSpread)]
	nodes, lanes := make([]*relayNode, len(list)), make([]lane, len(list))
	for i, c := range list {
		nodes[i], lanes[i] = c.node, c.lane
	}
	return nodes, lanes
}

// rankShards is the number of shards for which relays are compared.
const rankShards = 20

// untilTarget returns the time left until the target of a job, and at least half of the objective of its class.
func (j *job) untilTarget(now time.Time) time.Duration {
	if j.Target.IsZero() {
		return j.class.target
	}
	return max(j.Target.Sub(now), j.class.target/2)
}

// spreadLocal sends a part of the tasks through relays when this node would need too long for all of them. It returns
// the tasks that this node sends itself.
func (e *Engine) spreadLocal(now time.Time, j *job, tasks []*task, p Purpose, act *Actions) []*task {
	self := lane{cores: e.cores()}
	left := j.untilTarget(now)
	if len(tasks) <= minRelayShards || self.finishTime(len(tasks)) <= time.Duration(spreadShare*float64(left)) {
		return tasks
	}
	local, remote := e.splitByReach(now, j, tasks)
	nodes, lanes := e.usableRelays(now, j, []string{e.config.FailureDomain})
	s := spreadShards(len(local), &self, e.cores(), lanes)
	if s.time > time.Duration(remoteSpreadShare*float64(left)) {
		domains := []string{e.config.FailureDomain}
		for d := range remote {
			domains = append(domains, d)
		}
		slices.Sort(domains)
		if n, l := e.usableRelays(now, j, domains); len(n) > len(nodes) {
			if wide := spreadShards(len(local), &self, e.cores(), l); wide.time < s.time {
				nodes, s = n, wide
			}
		}
	}
	sent := make(map[*task]bool, len(local))
	for i, count := range s.counts {
		reach := local
		if d := nodes[i].FailureDomain; d != e.config.FailureDomain {
			reach = remote[d]
		}
		group := make([]*task, 0, count)
		for _, t := range reach {
			if len(group) < count && !sent[t] {
				sent[t] = true
				group = append(group, t)
			}
		}
		if len(group) < minRelayShards {
			for _, t := range group {
				delete(sent, t)
			}
			continue
		}
		e.sendRelay(now, j, nodes[i], group, s.time, p, act)
	}
	return slices.DeleteFunc(slices.Clone(tasks), func(t *task) bool { return sent[t] })
}

// splitByReach returns the tasks that a relay of this failure domain can send, and by other failure domain those that
// a relay there can send to a server that is about as good as the best one.
func (e *Engine) splitByReach(now time.Time, j *job, tasks []*task) (local []*task, remote map[string][]*task) {
	remote = make(map[string][]*task)
	for _, t := range tasks {
		best := e.choose(now, j, t.pool, t)
		if best == nil || best.ejected(now) || best.FailureDomain != e.config.FailureDomain || !t.maySendToAnother() {
			continue
		}
		local = append(local, t)
		limit := relayTolerance * domainPenalty * e.score(now, j, best)
		seen := map[string]bool{e.config.FailureDomain: true}
		for _, v := range t.pool.servers {
			if seen[v.FailureDomain] || !e.usable(now, v) || v.ejected(now) || !t.maySendTo(now, v) || e.score(now, j, v) > limit {
				continue
			}
			seen[v.FailureDomain] = true
			remote[v.FailureDomain] = append(remote[v.FailureDomain], t)
		}
	}
	return local, remote
}
