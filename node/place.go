package node

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/place"
	"github.com/arbutusthread/arbutusthread/table"
)

// answerTTL is how long callers may cache an answer of the directory.
const answerTTL = 3 * time.Second

// Addresses returns the node addresses for callers of a host in a failure domain, and how long callers may cache the
// answer. The list is empty when no node can serve them.
func (n *Node) Addresses(host, region, domain string) ([]netip.AddrPort, time.Duration) {
	t := n.table.Load()
	if t == nil {
		return nil, 0
	}
	k := addressKey{host, place.Caller{FailureDomain: domain, Region: region}}
	list, generation, ok := n.addressCache.get(k)
	if !ok {
		list = place.Choose(host, t.Host(host), *n.activeDomains.Load(), k.caller, nodesOf(answering(n.peer.Members())))
		n.addressCache.put(k, list, generation)
	}
	return list, answerTTL
}

// addressKey identifies a directory query.
type addressKey struct {
	host   string
	caller place.Caller
}

func (k addressKey) isLong() bool {
	return max(len(k.host), len(k.caller.FailureDomain), len(k.caller.Region)) > maxCachedNameBytes
}

// clone returns a copy that does not keep the query alive from which the names are taken.
func (k addressKey) clone() addressKey {
	return addressKey{strings.Clone(k.host), place.Caller{
		FailureDomain: strings.Clone(k.caller.FailureDomain), Region: strings.Clone(k.caller.Region),
	}}
}

// maxCachedAnswers and maxCachedNameBytes bound the size of the cache, since callers may query any names. The latter is the
// maximum length of a name in the domain name system.
const (
	maxCachedAnswers   = 1000
	maxCachedNameBytes = 253
)

// addressCache caches directory answers until members, routes or servers change, since computing one takes time in
// proportion to the number of members. It is safe for concurrent use.
type addressCache struct {
	mu      sync.Mutex
	entries map[addressKey][]netip.AddrPort
	// generation counts the calls of clear, so that an answer computed before a change is not cached after it.
	generation int
}

func (a *addressCache) get(k addressKey) (list []netip.AddrPort, generation int, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	list, ok = a.entries[k]
	return list, a.generation, ok
}

func (a *addressCache) put(k addressKey, list []netip.AddrPort, generation int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.generation != generation || len(a.entries) >= maxCachedAnswers || k.isLong() {
		return
	}
	if a.entries == nil {
		a.entries = make(map[addressKey][]netip.AddrPort)
	}
	a.entries[k.clone()] = list
}

func (a *addressCache) clear() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = nil
	a.generation++
}

// answering returns the members that are not silent, in the same array. Silent ones still count where bounds are shared,
// since they may be alive.
func answering(members []fleet.Member) []fleet.Member {
	return slices.DeleteFunc(members, func(m fleet.Member) bool { return m.Silent })
}

// nodesOf returns the members that are alive and have a caller address.
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

// countServing returns the number of nodes that the directory returns for at least one host, and whether this node is
// one of them.
func (n *Node) countServing(t *table.Table, members []fleet.Member) (count int, self bool) {
	nodes := nodesOf(members)
	serving := make(map[netip.AddrPort]bool)
	for _, host := range t.Hosts() {
		for _, x := range place.SelectNodes(host, nodes) {
			serving[x.Address] = true
		}
	}
	return len(serving), serving[n.settings.Load().CallerAddress]
}
