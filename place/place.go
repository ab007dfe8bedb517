// Package place decides which nodes callers are sent to. It does no input or output.
package place

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusthread/arbutusthread/table"
)

// Node is a node that may serve callers.
type Node struct {
	Address       netip.AddrPort
	FailureDomain string
	Region        string
	// Weight is the capacity of the node relative to others.
	Weight int
	// Busy nodes are named only when there are too few others.
	Busy bool
}

// Caller is where a caller is.
type Caller struct {
	FailureDomain string
	Region        string
}

// Servers tells in which failure domains a service has servers that may be used.
type Servers map[string]map[string]bool

const (
	// partCost, relayCost and answerCost are the bytes that cross between failure domains when one
	// part does, when a relay merges several, and when the answer to a caller does. Parts have about
	// 1,250 bytes with their headers, answers 1,700, and a relay needs a query besides.
	partCost   = 1.0
	relayCost  = 1.6
	answerCost = 1.4
	// crossRegionCost is the cost of an answer that crosses between regions. It is above that of
	// all parts, since the round trip alone may take the response-time objective.
	crossRegionCost = 1000.0
	// NodesPerDomain is the number of nodes of a failure domain that callers of a host are sent to.
	// Few nodes keep their connections to servers in use and know the servers well; more than one is
	// named so that callers can turn to another at once.
	NodesPerDomain = 2
)

// Cost returns the bytes that cross between failure domains for one request of each route, when a
// node in the domain serves the caller.
func Cost(routes []*table.Route, s Servers, c Caller, domain, region string) float64 {
	cost := 0.0
	for _, r := range routes {
		if domain != c.FailureDomain {
			cost += answerCost
		}
		if region != c.Region {
			cost += crossRegionCost
		}
		missing := 0.0
		for _, name := range r.Shards {
			if !s[name][domain] {
				missing += partCost
			}
		}
		cost += min(missing, relayCost)
		for _, t := range r.Targets {
			if !s[t.Service][domain] {
				cost += partCost / float64(len(r.Targets))
			}
		}
	}
	return cost
}

// Choose returns the addresses for callers of a host: of the failure domain with the least cost,
// the nodes that serve the host.
func Choose(host string, routes []*table.Route, s Servers, c Caller, nodes []Node) []netip.AddrPort {
	costs := make(map[string]float64)
	least := math.Inf(1)
	for _, n := range nodes {
		if _, ok := costs[n.FailureDomain]; !ok {
			costs[n.FailureDomain] = Cost(routes, s, c, n.FailureDomain, n.Region)
		}
		least = min(least, costs[n.FailureDomain])
	}
	var near []Node
	for _, n := range nodes {
		if costs[n.FailureDomain] == least {
			near = append(near, n)
		}
	}
	var addresses []netip.AddrPort
	for _, n := range Serving(host, near) {
		addresses = append(addresses, n.Address)
	}
	return addresses
}

// Serving returns the nodes that serve callers of a host: in each failure domain the strongest ones,
// and among equals those with the highest rendezvous hash, so that hosts spread over the nodes.
func Serving(host string, nodes []Node) []Node {
	nodes = slices.Clone(nodes)
	ranks := make(map[netip.AddrPort]uint64, len(nodes))
	for _, n := range nodes {
		ranks[n.Address] = xxhash.Sum64String(host + " " + n.Address.String())
	}
	slices.SortFunc(nodes, func(a, b Node) int {
		return cmp.Or(
			compareBool(a.Busy, b.Busy), cmp.Compare(b.Weight, a.Weight),
			cmp.Compare(ranks[b.Address], ranks[a.Address]), a.Address.Compare(b.Address),
		)
	})
	taken := make(map[string]int)
	return slices.DeleteFunc(nodes, func(n Node) bool {
		taken[n.FailureDomain]++
		return taken[n.FailureDomain] > NodesPerDomain
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
