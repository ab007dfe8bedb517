package node

import (
	"context"
	"time"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/guard"
	"github.com/arbutusthread/arbutusthread/table"
)

// dropTime is how long an attempt whose answer is no longer used may go on. It is above the pauses
// that backend servers make, so that most connections are kept.
const dropTime = 250 * time.Millisecond

// Request is a caller's request on a route.
type Request struct {
	Route *table.Route
	// Version is that of the configuration that the route comes from.
	Version uint64
	// Forward is what servers get; its Instance and Once are set by the node.
	Forward back.Forward
	// Deadline is when the caller must have the final answer, and Target the end of the
	// response-time objective.
	Deadline time.Time
	Target   time.Time
}

// Outcome is the end of a request.
type Outcome struct {
	gather.Finished
	// Parts are the accepted answers.
	Parts []*Part
}

// Part is the answer of one server, or the merged answers of several that a relay has sent.
type Part struct {
	// Reply is the server's answer, nil when a relay has sent the part.
	Reply *back.Reply
	// Body holds records, and Seals the seals of the servers' answers.
	Body  []byte
	Seals []string
	// Latency is the time that the server took; it is not set for a part from a relay.
	Latency time.Duration
}

// reach is how far a shard of a request has come.
type reach int

const (
	// unsent means that no byte has been sent to a server, arrived that a server has refused it, and
	// mayHaveRun that a server may have run it.
	unsent reach = iota
	arrived
	mayHaveRun
)

// call is a request in progress.
type call struct {
	job     gather.Request
	forward back.Forward
	print   guard.Fingerprint
	topK    int
	id      gather.JobID
	// parts has the accepted part of each shard.
	parts []*Part
	// reached tells how far each shard has come.
	reached []reach
	done    chan gather.Finished
	// progress is called under the node's lock when shards have been answered or lost.
	progress func(lost []int)
	timer    *time.Timer
	wake     time.Time
}

// Serve serves a request. When ctx ends first the request is abandoned.
func (n *Node) Serve(ctx context.Context, r *Request) (Outcome, error) {
	pools := r.Route.Shards
	if len(pools) == 0 {
		n.mu.Lock()
		pools = []string{n.splitter.Next(r.Route)}
		n.mu.Unlock()
	}
	c := &call{
		forward: r.Forward, topK: r.Route.TopK,
		job: gather.Request{
			Class: r.Route.Name, Pools: pools, Idempotent: r.Route.Idempotent, MinCoverage: minCoverage(r.Route),
			MaxAttempts: r.Route.Attempts(), Priority: r.Route.Priority, Deadline: r.Deadline, Target: r.Target,
			Relayable: len(r.Route.Shards) > 0 && len(r.Route.Homes) == 0,
		},
	}
	c.forward.Once = !r.Route.Idempotent
	f, err := n.run(ctx, c)
	return Outcome{Finished: f, Parts: unique(c.parts)}, err
}

// run serves a call to its end. When ctx ends first the call is abandoned.
func (n *Node) run(ctx context.Context, c *call) (gather.Finished, error) {
	c.parts = make([]*Part, len(c.job.Pools))
	c.reached = make([]reach, len(c.job.Pools))
	c.done = make(chan gather.Finished, 1)
	c.print = fingerprint(&c.forward)
	n.mu.Lock()
	now := time.Now()
	if f, refused := n.refuses(now, c); refused {
		n.mu.Unlock()
		return f, nil
	}
	id, act := n.engine.Submit(now, c.job)
	c.id = id
	n.calls[id] = c
	n.perform(now, c, act)
	n.mu.Unlock()
	select {
	case f := <-c.done:
		return f, nil
	case <-ctx.Done():
		n.mu.Lock()
		defer n.mu.Unlock()
		n.perform(time.Now(), c, n.engine.Abandon(id))
		n.forget(c)
		return gather.Finished{}, context.Cause(ctx)
	}
}

// unique returns the parts without repetitions: a part that a relay has sent stands for several
// shards.
func unique(parts []*Part) []*Part {
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

// minCoverage returns the share of shards that an answer must cover. A request to one server needs
// that server.
func minCoverage(r *table.Route) float64 {
	if len(r.Shards) == 0 {
		return 1
	}
	return r.MinCoverage
}

// perform carries out actions. The caller holds n.mu.
func (n *Node) perform(now time.Time, c *call, act gather.Actions) {
	n.performAll(now, act)
	for _, s := range act.Relays {
		n.startRelay(now, c, s)
	}
	cancelAll(n.attempts, act.Cancels, 0)
	cancelAll(n.attempts, act.Drops, dropTime)
	cancelAll(n.relays, act.RelayCancels, 0)
	cancelAll(n.relays, act.RelayDrops, dropTime)
	n.report(c, act)
	if c.progress != nil && (act.Accepted || len(act.Lost) > 0) {
		c.progress(act.Lost)
	}
	if act.Finished != nil {
		n.forget(c)
		c.done <- *act.Finished
		return
	}
	n.schedule(now, c)
}

// performAll sends the attempts of all calls: the end of one request may make room for another.
// The caller holds n.mu.
func (n *Node) performAll(now time.Time, act gather.Actions) {
	for _, s := range act.Sends {
		if c := n.calls[s.Job]; c != nil {
			n.start(c, s)
			n.schedule(now, c)
		}
	}
}

// cancelAll ends attempts after a delay.
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

// forget ends the timer of a call. The caller holds n.mu.
func (n *Node) forget(c *call) {
	delete(n.calls, c.id)
	if c.timer != nil {
		c.timer.Stop()
	}
}

// schedule sets the timer of a call. The caller holds n.mu.
func (n *Node) schedule(now time.Time, c *call) {
	wake := n.engine.NextWake(now, c.id)
	if wake.IsZero() || wake.Equal(c.wake) {
		return
	}
	c.wake = wake
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
	c.wake = time.Time{}
	n.perform(now, c, n.engine.Tick(now, c.id))
}

// report logs the decisions of the engine. The caller holds n.mu.
func (n *Node) report(c *call, act gather.Actions) {
	for _, e := range act.Events {
		request := ""
		if e.Job == c.id {
			request = c.forward.RequestID
		} else if other := n.calls[e.Job]; other != nil {
			request = other.forward.RequestID
		}
		n.metrics.Count("decisions", "name", e.Name)
		n.log.Info(e.Name, "RequestId", request, "Service", e.Pool, "Server", e.Server, "Detail", e.Detail)
	}
}
