package node

import (
	"net/netip"
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/gather"
)

// countDelay lets changes of members that come together, as at the start of a fleet, take effect together:
// counting costs time in proportion to the members.
const countDelay = 50 * time.Millisecond

// meetWithin is the time after which a new node takes its part of the bounds although it has not been in
// touch with all others at once. Members that are lost are forgotten after as long.
const meetWithin = time.Minute

// hearWithin is the time in which a new node hears of all members, also of lost ones; the first that it meets
// may know few others. Before its end the node has no part anyway.
const hearWithin = gather.JoinSpread

// countNodes tells the engine how many nodes share the servers. Nodes that went down lately count,
// since they may live behind a partition. A new node has no part until each of them can have heard of it.
func (n *Node) countNodes() {
	members := n.peer.Members()
	count := len(members)
	if !n.met.Load() {
		age := time.Since(n.started)
		if mayBeUnheard(members, n.hasOtherSeeds()) && age < meetWithin {
			count = 0
		} else {
			n.met.Store(age >= hearWithin)
		}
	}
	n.mu.Lock()
	n.engine.SetNodes(count)
	n.engine.SetRelays(n.relaysOf(members))
	n.mu.Unlock()
	n.feedMu.Lock()
	n.sharers.table = nil
	n.feedMu.Unlock()
	n.install(time.Now())
}

// mayBeUnheard reports whether a node may have heard nothing of this new one: all others where it has met
// none, or members that are lost and may live behind a partition.
func mayBeUnheard(members []fleet.Member, otherSeeds bool) bool {
	lost := slices.ContainsFunc(members, func(m fleet.Member) bool { return m.State == fleet.StateDown })
	return lost || len(members) <= 1 && otherSeeds
}

// hasOtherSeeds reports whether the settings name a seed other than this node.
func (n *Node) hasOtherSeeds() bool {
	s := n.settings.Load()
	return slices.ContainsFunc(s.Seeds, func(a netip.AddrPort) bool { return a.Addr() != s.PeerAddress.Addr() })
}
