// Package place selects the nodes that callers connect to. It does no input or output.
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
	// Weight is the capacity of the node relative to other nodes.
	Weight int
	// Busy is set if the node is overloaded. Busy nodes are returned only if there are too few others.
	Busy bool
}

// Caller is the location of a caller.
type Caller struct {
	FailureDomain string
	Region        string
}

// DomainsByService holds, by service, the failure domains in which the service has usable servers.
type DomainsByService map[string]map[string]bool

const (
	// partCost, relayCost and answerCost are the traffic between failure domains, relative to one shard answer,
	// caused by one shard answer, by a relay that merges several, and by the answer to the caller. Shard answers
	// have about 1,250 bytes including headers and answers to callers 1,700. A relay also needs a query.
	partCost   = 1.0
	relayCost  = 1.6
	answerCost = 1.4
	// crossRegionCost is the cost of an answer to a caller in another region. It is higher than the cost of all
	// shard answers together, since the round trip alone may exceed the response-time objective.
	crossRegionCost = 1000.0
	// NodesPerDomain is the maximum number of nodes returned per failure domain for a host. With few nodes, each
	// keeps its connections to servers in use and has recent measurements of the servers. It is more than one so
	// that callers can fail over at once.
	NodesPerDomain = 2
)

// Cost returns the cost of one request to each route if a node in the given domain and region serves the
// caller: the traffic between failure domains in units of partCost, plus crossRegionCost for each answer
// to another region.
func Cost(routes []*table.Route, s DomainsByService, c Caller, domain, region string) float64 {
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

// Choose returns the addresses of the nodes that serve the callers of a host, in the failure domains with
// the lowest cost.
func Choose(host string, routes []*table.Route, s DomainsByService, c Caller, nodes []Node) []netip.AddrPort {
	costs := make(map[string]float64)
	least := math.Inf(1)
	var nearest []Node
	for _, n := range nodes {
		cost, ok := costs[n.FailureDomain]
		if !ok {
			cost = Cost(routes, s, c, n.FailureDomain, n.Region)
			costs[n.FailureDomain] = cost
		}
		if cost < least {
			least, nearest = cost, nearest[:0]
		}
		if cost == least {
			nearest = append(nearest, n)
		}
	}
	var addresses []netip.AddrPort
	for _, n := range SelectNodes(host, nearest) {
		addresses = append(addresses, n.Address)
	}
	return addresses
}

// SelectNodes returns the nodes that serve the callers of a host, at most NodesPerDomain per failure domain.
// Nodes that are not busy come first, then those with the highest weight, then those with the highest
// rendezvous hash, which spreads the hosts over the nodes.
func SelectNodes(host string, nodes []Node) []Node {
	key := make([]byte, 0, len(host)+maxAddressLength)
	key = append(append(key, host...), ' ')
	rank := func(n *Node) uint64 { return xxhash.Sum64(n.Address.AppendTo(key)) }
	// Only the best nodes of each domain are ordered, since a fleet has thousands of nodes.
	domains := make(map[string][]candidate)
	for i := range nodes {
		c := candidate{Node: &nodes[i]}
		best := domains[c.FailureDomain]
		if len(best) == NodesPerDomain && best[len(best)-1].compareLoad(&c) < 0 {
			continue
		}
		c.rank = rank(c.Node)
		at, _ := slices.BinarySearchFunc(best, c, candidate.compare)
		best = slices.Insert(best, at, c)
		domains[c.FailureDomain] = best[:min(len(best), NodesPerDomain)]
	}
	var selected []candidate
	for _, best := range domains {
		selected = append(selected, best...)
	}
	slices.SortFunc(selected, candidate.compare)
	list := make([]Node, len(selected))
	for i, c := range selected {
		list[i] = *c.Node
	}
	return list
}

// maxAddressLength is the length of the longest address with a port as text.
const maxAddressLength = len("[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535")

// candidate is a node with its rendezvous hash.
type candidate struct {
	*Node
	rank uint64
}

// compareLoad orders the better node first, without regard to the hash.
func (a *candidate) compareLoad(b *candidate) int {
	return cmp.Or(compareBool(a.Busy, b.Busy), cmp.Compare(b.Weight, a.Weight))
}

func (a candidate) compare(b candidate) int {
	return cmp.Or(a.compareLoad(&b), cmp.Compare(b.rank, a.rank), a.Address.Compare(b.Address))
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
