package node

import (
	"context"
	"time"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/table"
)

// dropTime is how long an attempt whose answer is no longer used may go on. It is above the pauses
// that backend servers make, so that most connections are kept.
const dropTime = 250 * time.Millisecond

// Request is a caller's request on a route.
type Request struct {
	Route *table.Route
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
	// Replies has the accepted answer of each shard, nil where there is none.
	Replies []*back.Reply
}

// call is a request in progress.
type call struct {
	request *Request
	id      gather.JobID
	replies []*back.Reply
	done    chan gather.Finished
	timer   *time.Timer
	wake    time.Time
}

// Serve serves a request. When ctx ends first the request is abandoned.
func (n *Node) Serve(ctx context.Context, r *Request) (Outcome, error) {
	c := &call{request: r, done: make(chan gather.Finished, 1)}
	r.Forward.Once = !r.Route.Idempotent
	n.mu.Lock()
	pools := r.Route.Shards
	if len(pools) == 0 {
		pools = []string{n.splitter.Next(r.Route)}
	}
	c.replies = make([]*back.Reply, len(pools))
	now := time.Now()
	id, act := n.engine.Submit(now, gather.Request{
		Class: r.Route.Name, Pools: pools, Idempotent: r.Route.Idempotent, MinCoverage: minCoverage(r.Route),
		MaxAttempts: r.Route.Attempts(), Deadline: r.Deadline, Target: r.Target,
	})
	c.id = id
	n.calls[id] = c
	n.perform(now, c, act)
	n.mu.Unlock()
	select {
	case f := <-c.done:
		return Outcome{Finished: f, Replies: c.replies}, nil
	case <-ctx.Done():
		n.mu.Lock()
		defer n.mu.Unlock()
		n.perform(time.Now(), c, n.engine.Abandon(id))
		n.forget(c)
		return Outcome{}, context.Cause(ctx)
	}
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
	for _, s := range act.Sends {
		n.start(c, s)
	}
	for _, a := range act.Cancels {
		if cancel := n.attempts[a]; cancel != nil {
			cancel()
		}
	}
	for _, a := range act.Drops {
		if cancel := n.attempts[a]; cancel != nil {
			time.AfterFunc(dropTime, cancel)
		}
	}
	n.report(c, act)
	if act.Finished != nil {
		n.forget(c)
		c.done <- *act.Finished
		return
	}
	n.schedule(now, c)
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

// start sends an attempt. The caller holds n.mu.
func (n *Node) start(c *call, s gather.Send) {
	ctx, cancel := context.WithCancel(context.Background())
	n.attempts[s.Attempt] = cancel
	go func() {
		defer cancel()
		f := c.request.Forward
		f.Instance = s.Server.ID
		reply, r := n.backend.Forward(ctx, s.Server.Address, s.Deadline, &f)
		n.end(c, s, reply, r)
	}()
}

// end reports the end of an attempt to the engine.
func (n *Node) end(c *call, s gather.Send, reply *back.Reply, r back.Result) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	delete(n.attempts, s.Attempt)
	act := n.engine.Done(now, s.Attempt, n.result(reply, r))
	if n.calls[c.id] != c {
		n.report(c, act)
		return
	}
	if act.Accepted {
		c.replies[s.Task] = reply
	}
	n.perform(now, c, act)
}

// result translates the end of an attempt.
func (n *Node) result(reply *back.Reply, r back.Result) gather.Result {
	return gather.Result{
		Class: classOf(n.config.Headers.Seal, reply, r), Latency: r.Latency, ColdFor: r.ColdFor, Detail: r.Message,
	}
}

func classOf(seal string, reply *back.Reply, r back.Result) gather.Class {
	switch r.Class {
	case back.OK:
	case back.NotRun:
		if reply != nil && reply.Status == misdirected {
			return gather.OtherServer
		}
		return gather.NotRun
	case back.Unsent:
		if r.Local {
			return gather.Busy
		}
		return gather.Unsent
	case back.TimedOut, back.Silent:
		return gather.TimedOut
	case back.Canceled:
		return gather.Canceled
	default:
		return gather.Broken
	}
	switch {
	case reply.Status >= 500:
		return gather.ServerError
	case reply.Status < 200 || reply.Status >= 300:
		return gather.Answered
	case reply.Header.Get(seal) == "":
		return gather.Broken
	}
	return gather.OK
}

// misdirected is the status by which a server says that the request is meant for another one.
const misdirected = 421

func (n *Node) report(c *call, act gather.Actions) {
	for _, e := range act.Events {
		n.log.Info(e.Name, "RequestId", c.request.Forward.RequestID, "Pool", e.Pool, "Server", e.Server, "Detail", e.Detail)
	}
}
