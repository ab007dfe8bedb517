package node

import (
	"net/netip"
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/gather"
)

// recountDelay batches member changes in quick succession, as at the start of a fleet, into one recount, since
// counting takes time in proportion to the number of members.
const recountDelay = 50 * time.Millisecond

// discoveryTimeout is the time after which a new node takes its share of the bounds even if it has not been in touch
// with all others at once. Lost members are removed from the member list after the same time.
const discoveryTimeout = time.Minute

// discoveryTime is the time within which a new node receives the full member list, including lost members; the first
// peer that it contacts may know few others. The node has no share of the bounds before the end of this time anyway.
const discoveryTime = gather.JoinPropagationTime

// countNodes updates the number of nodes that share the servers in the engine, and installs the result. Nodes that
// went down recently count, since they may be alive behind a partition. The share of a new node is 0 until each of
// them can have learned of it through gossip.
func (n *Node) countNodes() {
	members := n.peer.Members()
	count := len(members)
	if !n.discovered.Load() {
		age := time.Since(n.started)
		if mayBeUnknown(members, n.hasOtherSeeds()) && age < discoveryTimeout {
			count = 0
		} else {
			n.discovered.Store(age >= discoveryTime)
		}
	}
	n.mu.Lock()
	n.engine.SetNodes(count)
	n.engine.SetRelays(n.relaysOf(members))
	n.livePeers = n.livePeers[:0]
	for _, m := range members {
		if m.State == fleet.StateAlive {
			n.livePeers = append(n.livePeers, m.Address)
		}
	}
	n.mu.Unlock()
	n.feedMu.Lock()
	n.sharerCount.table = nil
	n.feedMu.Unlock()
	n.install(time.Now())
}

// mayBeUnknown reports whether this new node may be unknown to some other node: to all others while it has contacted
// none, or to lost members, which may be alive behind a partition.
func mayBeUnknown(members []fleet.Member, otherSeeds bool) bool {
	lost := slices.ContainsFunc(members, func(m fleet.Member) bool { return m.State == fleet.StateDown })
	return lost || len(members) <= 1 && otherSeeds
}

// hasOtherSeeds reports whether the settings name a seed other than this node.
func (n *Node) hasOtherSeeds() bool {
	s := n.settings.Load()
	return slices.ContainsFunc(s.Seeds, func(a netip.AddrPort) bool { return a.Addr() != s.PeerAddress.Addr() })
}
