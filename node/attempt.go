package node

import (
	"context"
	"net/http"
	"time"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/gather"
)

// start sends an attempt. The caller holds n.mu.
func (n *Node) start(c *call, s gather.Send) {
	ctx, cancel := context.WithCancel(context.Background())
	n.attempts[s.Attempt] = cancel
	go func() {
		defer cancel()
		f := c.forward
		f.Instance = s.Server.ID
		reply, r := n.backend.Forward(ctx, s.Server.Address, s.Deadline, &f)
		n.end(c, s, reply, r)
	}()
}

// end reports the end of an attempt to the engine.
func (n *Node) end(c *call, s gather.Send, reply *back.Reply, r back.Result) {
	seal := n.config.Headers.Seal
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	delete(n.attempts, s.Attempt)
	c.reached[s.Task] = max(c.reached[s.Task], reachOf(r))
	class := classOf(seal, reply, r)
	n.countAttempt(s.Purpose, class)
	n.blameAttempt(now, c, s.Server.Address, class, r)
	act := n.engine.Done(now, s.Attempt, gather.Result{
		Class: class, Latency: r.Latency, ColdFor: r.ColdFor, Detail: r.Message,
	})
	if n.calls[c.id] != c {
		n.performAll(now, act)
		n.report(c, act)
		return
	}
	if act.Accepted {
		c.parts[s.Task] = &Part{Reply: reply, Body: reply.Body, Seals: []string{reply.Header.Get(seal)}, Latency: r.Latency}
	}
	n.perform(now, c, act)
}

func reachOf(r back.Result) reach {
	switch {
	case r.MayHaveRun:
		return mayHaveRun
	case r.Class == back.Unsent:
		return unsent
	default:
		return arrived
	}
}

// classOf translates the end of an attempt. An answer counts as a success only with a seal.
func classOf(seal string, reply *back.Reply, r back.Result) gather.Class {
	switch r.Class {
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
