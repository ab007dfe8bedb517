package node

import (
	"time"

	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/peer"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Status is the state of a node for operators.
type Status struct {
	Name          string `json:"Name"`
	FailureDomain string `json:"FailureDomain"`
	Ready         bool   `json:"Ready"`
	Stopping      bool   `json:"Stopping"`
	// ConfigVersion is the version of the current configuration, 0 before the first.
	ConfigVersion uint64 `json:"ConfigVersion"`
	// Era and Revision are the position in the platform's data, and Age the time since the data was last confirmed as
	// current. Era rises when the platform comes back from a copy.
	Era      uint64        `json:"Era,omitempty"`
	Revision uint64        `json:"Revision"`
	Age      wire.Duration `json:"Age,omitempty"`
	// Reads means that this node is a reader of the platform, and Blind that its reads fail.
	Reads   bool           `json:"Reads"`
	Blind   bool           `json:"Blind"`
	Members []fleet.Member `json:"Members"`
	// Servers are the backend servers, ordered by service and ID.
	Servers []gather.ServerStatus `json:"Servers"`
	Control peer.Counters         `json:"Control"`
}

// Status returns the current state of the node.
func (n *Node) Status() Status {
	p := n.position()
	s := Status{
		Name: n.settings.Load().Name, FailureDomain: n.settings.Load().FailureDomain, Ready: n.Ready(),
		Stopping: n.stopping.Load(), ConfigVersion: p.Version, Era: p.Revision.Era(), Revision: p.Revision.Number(), Reads: n.peer.ReaderRank() == 0,
		Blind: n.peer.Self().Blind, Members: n.peer.Members(), Control: n.peer.Counters(),
	}
	if age, ok := n.peer.FeedAge(); ok {
		s.Age = wire.Duration(age)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	s.Servers = n.engine.Status(time.Now())
	return s
}

// Progress is the state of a request that is being served.
type Progress struct {
	// Awaited are the servers and relays whose answers are awaited. It is empty while the request waits for capacity.
	Awaited []string
	// MayHaveRun is set if a server may have run the request or a part of it.
	MayHaveRun bool
}

// Progress returns the state of a request that is being served, and false for other requests.
func (n *Node) Progress(r *Request) (Progress, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.calls {
		if c.request == r {
			return n.progressOf(c), true
		}
	}
	return Progress{}, false
}

// progressOf returns the state of a call. The caller holds n.mu.
func (n *Node) progressOf(c *call) Progress {
	var p Progress
	for i := range c.parts {
		p.MayHaveRun = p.MayHaveRun || c.parts[i] != nil || c.deliveries[i] == mayHaveRun
	}
	for _, s := range c.sends {
		if n.attempts[s.id] == nil {
			continue
		}
		p.MayHaveRun = true
		if c.parts[s.task] == nil {
			p.Awaited = append(p.Awaited, "server "+s.server)
		}
	}
	for _, s := range c.relaySends {
		if n.relays[s.id] != nil {
			p.MayHaveRun = true
			p.Awaited = append(p.Awaited, "relay "+s.address.String())
		}
	}
	return p
}
