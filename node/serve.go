package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/guard"
	"github.com/arbutusthread/arbutusthread/table"
)

// cancelDelay is how long an attempt may continue after its answer is no longer needed. It is longer than the
// pauses of backend servers, so that most attempts end by themselves and their connections stay open.
const cancelDelay = 250 * time.Millisecond

// Request is a caller's request on a route.
type Request struct {
	Route *table.Route
	// Version is the version of the configuration that contains the route.
	Version uint64
	// Forward is the request that is forwarded to servers; the node sets its Instance and Once.
	Forward back.Forward
	// Deadline is the time by which the caller must have the final answer. Target is the time by which it should have
	// the answer by the response-time objective.
	Deadline time.Time
	Target   time.Time
}

// Outcome is the result of a request.
type Outcome struct {
	gather.Finished
	// Parts are the accepted answers.
	Parts []*Part
	// Stopped is set if the request expired before its deadline because the node stops.
	Stopped bool
}

// Part is the answer of one server, or the merged answers of several servers from a relay.
type Part struct {
	// Reply is the server's answer, or nil for a part from a relay.
	Reply *back.Reply
	// Body holds the records, and Seals the seals of the servers' answers.
	Body  []byte
	Seals []string
	// Latency is the response time of the server; it is 0 for a part from a relay.
	Latency time.Duration
}

// delivery is the furthest state that an attempt for a shard has reached.
type delivery int

const (
	// unsent means that no byte has been sent to a server, arrived that a server has received and refused the request,
	// and mayHaveRun that a server may have executed it.
	unsent delivery = iota
	arrived
	mayHaveRun
)

// call is a request in progress.
type call struct {
	// request is the request of a caller; it is nil for a request of another node.
	request     *Request
	job         gather.Request
	forward     back.Forward
	fingerprint guard.Fingerprint
	topK        int
	id          gather.JobID
	// trial is set if the request has crashed servers and is tried on one, and unclear if it is not known yet whether that has
	// crashed: its connection broke, or the caller has disconnected.
	trial, unclear bool
	// parts holds the accepted part of each shard, nil where there is none.
	parts []*Part
	// deliveries holds the delivery state of each shard.
	deliveries []delivery
	// sends and relaySends are all attempts.
	sends      []sentAttempt
	relaySends []sentRelay
	done       chan gather.Finished
	// onProgress, if set, is called with Node.mu held when shards have been answered or have failed.
	onProgress func(failed []int)
	timer      *time.Timer
	nextWake   time.Time
}

// sentAttempt is an attempt for a shard at a server, and sentRelay one at a relay.
type (
	sentAttempt struct {
		id     gather.AttemptID
		task   int
		server string
	}
	sentRelay struct {
		id      gather.RelayID
		address netip.AddrPort
	}
)

// Serve executes a request and returns its outcome. When ctx ends first, it abandons the request and returns the cause
// of ctx.
func (n *Node) Serve(ctx context.Context, r *Request) (Outcome, error) {
	pools := r.Route.Shards
	if len(pools) == 0 {
		n.mu.Lock()
		pools = []string{n.splitter.Next(r.Route)}
		n.mu.Unlock()
	}
	c := &call{
		request: r, forward: r.Forward, topK: r.Route.TopK,
		job: gather.Request{
			Class: r.Route.Name, Pools: pools, Merged: len(r.Route.Shards) > 0, Idempotent: r.Route.Idempotent, MinCoverage: minCoverage(r.Route),
			MaxAttempts: r.Route.Attempts(), Priority: r.Route.Priority, Deadline: r.Deadline, Target: r.Target,
			Relayable: len(r.Route.Shards) > 0 && len(r.Route.Regions) == 0,
		},
	}
	c.forward.NonIdempotent = !r.Route.Idempotent
	f, err := n.run(ctx, c)
	stopped := n.stopping.Load() && f.End == gather.Expired && time.Now().Before(r.Deadline)
	return Outcome{Finished: f, Parts: uniqueParts(c.parts), Stopped: stopped}, err
}

// run executes a call and waits for its result. When ctx ends first, it abandons the call and returns the cause of ctx.
func (n *Node) run(ctx context.Context, c *call) (gather.Finished, error) {
	c.parts = make([]*Part, len(c.job.Pools))
	c.deliveries = make([]delivery, len(c.job.Pools))
	c.sends = make([]sentAttempt, 0, len(c.job.Pools))
	c.done = make(chan gather.Finished, 1)
	c.fingerprint = fingerprintOf(&c.forward)
	if f, refused := n.submit(c); refused {
		return f, nil
	}
	if c.trial {
		defer n.endTrial(c)
	}
	select {
	case f := <-c.done:
		return f, nil
	case <-ctx.Done():
		n.mu.Lock()
		defer n.mu.Unlock()
		c.unclear = true
		n.perform(time.Now(), c, n.engine.Abandon(c.id))
		n.removeCall(c)
		for _, p := range uniqueParts(c.parts) {
			p.Reply.Release()
		}
		return gather.Finished{}, context.Cause(ctx)
	}
}

// endTrial ends the trial of a request that has crashed servers.
func (n *Node) endTrial(c *call) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quarantine.EndTrial(time.Now(), c.fingerprint, c.unclear)
}

// submit passes a call to the engine, unless it is quarantined; it then returns the refusal and true.
func (n *Node) submit(c *call) (gather.Finished, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if f, refused := n.checkQuarantine(now, c); refused {
		return f, true
	}
	id, act := n.engine.Submit(now, c.job)
	c.id = id
	n.calls[id] = c
	n.perform(now, c, act)
	return gather.Finished{}, false
}

// uniqueParts returns the parts without nil entries and duplicates. A part from a relay appears once for each of its
// shards.
func uniqueParts(parts []*Part) []*Part {
	seen := make(map[*Part]bool, len(parts))
	var list []*Part
	for _, p := range parts {
		if p != nil && !seen[p] {
			seen[p] = true
			list = append(list, p)
		}
	}
	return list
}

// minCoverage returns the fraction of shards that an answer must cover. It is 1 for a route without shards, whose
// requests go to one server.
func minCoverage(r *table.Route) float64 {
	if len(r.Shards) == 0 {
		return 1
	}
	return r.MinCoverage
}

// perform executes the engine's actions for a call. The caller holds n.mu.
func (n *Node) perform(now time.Time, c *call, act gather.Actions) {
	n.startAttempts(now, act)
	for _, s := range act.Relays {
		c.relaySends = append(c.relaySends, sentRelay{s.Relay, s.Address})
		n.startRelay(now, c, s)
	}
	cancelAll(n.attempts, act.Cancels, 0)
	cancelAll(n.attempts, act.Drops, cancelDelay)
	cancelAll(n.relays, act.RelayCancels, 0)
	cancelAll(n.relays, act.RelayDrops, cancelDelay)
	n.logDecisions(c, act)
	if c.onProgress != nil && (act.Accepted || len(act.FailedTasks) > 0) {
		c.onProgress(act.FailedTasks)
	}
	if act.Finished != nil {
		n.removeCall(c)
		c.done <- *act.Finished
		return
	}
	n.scheduleTick(now, c)
}

// startAttempts sends the attempts of the actions, which may belong to any call: the end of one request may free
// permits for another. It also sets the timers of the calls that the actions have rescheduled. The caller holds n.mu.
func (n *Node) startAttempts(now time.Time, act gather.Actions) {
	var last *call
	for _, s := range act.Sends {
		c := n.calls[s.Job]
		if c != last && last != nil {
			n.scheduleTick(now, last)
		}
		if c != nil {
			c.sends = append(c.sends, sentAttempt{s.Attempt, s.Task, s.Server.ID})
			n.startAttempt(c, s)
		}
		last = c
	}
	if last != nil {
		n.scheduleTick(now, last)
	}
	for _, id := range act.Rescheduled {
		if other := n.calls[id]; other != nil {
			n.scheduleTick(now, other)
		}
	}
}

// cancelAll cancels the running attempts with these IDs after a delay.
func cancelAll[K comparable](running map[K]context.CancelFunc, ids []K, delay time.Duration) {
	for _, id := range ids {
		cancel := running[id]
		switch {
		case cancel == nil:
		case delay == 0:
			cancel()
		default:
			time.AfterFunc(delay, cancel)
		}
	}
}

// removeCall removes a call and stops its timer. The caller holds n.mu.
func (n *Node) removeCall(c *call) {
	delete(n.calls, c.id)
	if c.timer != nil {
		c.timer.Stop()
	}
}

// scheduleTick sets the timer of a call to the next wake-up time of the engine. The caller holds n.mu.
func (n *Node) scheduleTick(now time.Time, c *call) {
	wake := n.engine.NextTick(now, c.id)
	if wake.IsZero() || wake.Equal(c.nextWake) {
		return
	}
	c.nextWake = wake
	if c.timer == nil {
		c.timer = time.AfterFunc(wake.Sub(now), func() { n.tick(c) })
		return
	}
	c.timer.Reset(wake.Sub(now))
}

func (n *Node) tick(c *call) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.calls[c.id] != c {
		return
	}
	now := time.Now()
	c.nextWake = time.Time{}
	n.perform(now, c, n.engine.Tick(now, c.id))
}

// logDecisions logs and counts the decisions of the engine. They may concern the call, which is nil if there is none, or
// others. The caller holds n.mu.
func (n *Node) logDecisions(c *call, act gather.Actions) {
	for _, e := range act.Events {
		request := ""
		if c != nil && e.Job == c.id {
			request = c.forward.RequestID
		} else if other := n.calls[e.Job]; other != nil {
			request = other.forward.RequestID
		}
		n.metrics.Count("decisions", "name", e.Name)
		n.log.Info(e.Name, "RequestId", request, "Service", e.Pool, "Server", e.Server, "Detail", e.Detail)
	}
}
