// Package place decides which nodes a caller is sent to. It does no input or output.
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
	Weight float64
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
	// partCost and answerCost are the bytes that cross between failure domains when a part, or the
	// answer to a caller, does, relative to each other: parts have about 1,250 bytes with their
	// headers, answers that name all parts about 1,700.
	partCost   = 1.0
	answerCost = 1.4
	// crossRegionCost is the cost of an answer that crosses between regions. It is above that of
	// all parts, since the round trip alone may take the response-time objective.
	crossRegionCost = 1000.0
	// costSlack is the difference of costs below which failure domains count as equally good.
	costSlack = 1.0
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
		for _, name := range r.Shards {
			if !s[name][domain] {
				cost += partCost
			}
		}
		for _, t := range r.Targets {
			if !s[t.Service][domain] {
				cost += partCost / float64(len(r.Targets))
			}
		}
	}
	return cost
}

// Choose returns at most limit addresses for callers of a host: of the nodes in the failure domains
// with the least cost, those with the highest weighted rendezvous hash for the host.
func Choose(host string, routes []*table.Route, s Servers, c Caller, nodes []Node, limit int) []netip.AddrPort {
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
		if costs[n.FailureDomain] <= least+costSlack {
			near = append(near, n)
		}
	}
	slices.SortFunc(near, func(a, b Node) int {
		if a.Busy != b.Busy {
			if a.Busy {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(rank(host, b), rank(host, a)), a.Address.Compare(b.Address))
	})
	if len(near) > limit {
		near = near[:limit]
	}
	addresses := make([]netip.AddrPort, 0, len(near))
	for _, n := range near {
		addresses = append(addresses, n.Address)
	}
	return addresses
}

// rank is the weighted rendezvous hash of a node for a host.
func rank(host string, n Node) float64 {
	h := xxhash.Sum64String(host + " " + n.Address.String())
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -n.Weight / math.Log(u)
}
