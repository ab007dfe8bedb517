package node

import (
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/place"
	"github.com/arbutusthread/arbutusthread/table"
)

// keepFor is how long callers keep an answer of the directory.
const keepFor = 3 * time.Second

// Addresses returns the addresses for callers of a host in a failure domain, and how long the
// answer holds. It returns none when no node can serve them.
func (n *Node) Addresses(host, region, domain string) ([]netip.AddrPort, time.Duration) {
	t := n.table.Load()
	if t == nil {
		return nil, 0
	}
	caller := place.Caller{FailureDomain: domain, Region: region}
	return place.Choose(host, t.Host(host), *n.servers.Load(), caller, nodesOf(n.peer.Members())), keepFor
}

// nodesOf returns the nodes that take callers.
func nodesOf(members []fleet.Member) []place.Node {
	nodes := make([]place.Node, 0, len(members))
	for _, m := range members {
		if m.State == fleet.StateAlive && m.Caller.IsValid() {
			nodes = append(nodes, place.Node{
				Address: m.Caller, FailureDomain: m.FailureDomain, Region: m.Region, Weight: max(1, m.Weight),
			})
		}
	}
	return nodes
}

// serving returns the number of nodes to which callers of some host are sent, and whether this node
// is one of them.
func (n *Node) serving(t *table.Table, members []fleet.Member) (count int, self bool) {
	nodes := nodesOf(members)
	named := make(map[netip.AddrPort]bool)
	for _, host := range t.Hosts() {
		for _, x := range place.Serving(host, nodes) {
			named[x.Address] = true
		}
	}
	return len(named), named[n.settings.Load().CallerAddress]
}
