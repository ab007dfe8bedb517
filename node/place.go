package node

import (
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/place"
)

const (
	// keepFor is how long callers keep an answer of the directory.
	keepFor = 3 * time.Second
	// maxAddresses is the number of addresses that callers accept in an answer.
	maxAddresses = 64
)

// Addresses returns the addresses for callers of a host in a failure domain, and how long the
// answer holds. It returns none when no node can serve them.
func (n *Node) Addresses(host, region, domain string) ([]netip.AddrPort, time.Duration) {
	t := n.table.Load()
	if t == nil {
		return nil, 0
	}
	var nodes []place.Node
	for _, m := range n.peer.Members() {
		if m.State == fleet.StateAlive && m.Caller.IsValid() {
			nodes = append(nodes, place.Node{
				Address: m.Caller, FailureDomain: m.FailureDomain, Region: m.Region, Weight: float64(max(1, m.Weight)),
			})
		}
	}
	servers := n.servers.Load()
	return place.Choose(host, t.Host(host), *servers, place.Caller{FailureDomain: domain, Region: region}, nodes, maxAddresses), keepFor
}
