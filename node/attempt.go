package node

import (
	"context"
	"net/http"
	"time"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/panics"
)

// startAttempt sends an attempt in a goroutine of its own. The caller holds n.mu.
func (n *Node) startAttempt(c *call, s gather.Send) {
	ctx, cancel := context.WithCancel(context.Background())
	n.attempts[s.Attempt] = cancel
	go func() {
		defer cancel()
		f := c.forward
		f.Instance = s.Server.ID
		f.Gate, f.Attempt = gate{n}, uint64(s.Attempt)
		var reply *back.Reply
		var r back.Result
		err := panics.Catch(func() error {
			reply, r = n.backend.Forward(ctx, s.Server.Address, s.Deadline, &f)
			return nil
		})
		if err != nil {
			n.log.Error("answer of a server caused a panic", "RequestId", f.RequestID, "Server", s.Server.ID, "Error", err)
			reply, r = nil, back.Result{Outcome: back.Invalid, MayHaveRun: true, Message: "panic"}
		}
		n.finishAttempt(c, s, reply, r)
	}()
}

// gate lets an attempt that has waited for a connection be sent only if its server still wants it. It has no closure for
// each attempt, which would be an allocation.
type gate struct{ node *Node }

// MaySend implements back.Gate.
func (g gate) MaySend(attempt uint64) bool {
	g.node.mu.Lock()
	defer g.node.mu.Unlock()
	return g.node.engine.MaySend(time.Now(), gather.AttemptID(attempt))
}

// finishAttempt passes the result of an attempt to the engine.
func (n *Node) finishAttempt(c *call, s gather.Send, reply *back.Reply, r back.Result) {
	seal := n.config.Headers.Seal
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	delete(n.attempts, s.Attempt)
	c.deliveries[s.Task] = max(c.deliveries[s.Task], deliveryOf(r))
	outcome := outcomeOf(seal, reply, r)
	n.countAttempt(s.Purpose, outcome)
	n.recordAttempt(now, c, s.Server.Address, outcome, r)
	act := n.engine.Done(now, s.Attempt, gather.Result{
		Outcome: outcome, Refused: outcome == gather.Unsent && r.Refused, Latency: r.Latency, ColdRemaining: r.ColdRemaining, Leaving: r.Leaving,
		RetryAfter: r.RetryAfter, Detail: r.Message,
	})
	if n.calls[c.id] != c || !act.Accepted || c.job.Merged {
		// The parts of an answer from several shards are bounded by their number.
		reply.Release()
	}
	if n.calls[c.id] != c {
		n.startAttempts(now, act)
		n.logDecisions(c, act)
		return
	}
	if act.Accepted {
		c.parts[s.Task] = &Part{Reply: reply, Body: reply.Body, Seals: []string{reply.Header.Get(seal)}, Latency: r.Latency}
	}
	n.perform(now, c, act)
}

func deliveryOf(r back.Result) delivery {
	switch {
	case r.MayHaveRun:
		return mayHaveRun
	case r.Outcome == back.Unsent:
		return unsent
	default:
		return arrived
	}
}

// classOf maps the result of an attempt to the class for the engine. A 2xx answer without a seal is not a success.
func outcomeOf(seal string, reply *back.Reply, r back.Result) gather.Outcome {
	switch r.Outcome {
	case back.OK:
	case back.NotRun:
		if reply.Status == http.StatusMisdirectedRequest {
			return gather.OtherServer
		}
		return gather.NotRun
	case back.Unsent:
		switch {
		case r.Local:
			return gather.Busy
		case r.Reset:
			return gather.Full
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
	case reply.Status >= http.StatusInternalServerError:
		return gather.ServerError
	case reply.Status < http.StatusOK || reply.Status >= http.StatusMultipleChoices:
		return gather.Answered
	case reply.Header.Get(seal) == "":
		return gather.Broken
	}
	return gather.OK
}
