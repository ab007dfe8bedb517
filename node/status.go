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
	// Revision is the revision of the platform's data, and Age the time since the data was last confirmed as current.
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
		Stopping: n.stopping.Load(), ConfigVersion: p.Version, Revision: p.Revision, Reads: n.peer.ReaderRank() == 0,
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
