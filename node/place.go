package node

import (
	"net/netip"
	"sync"
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
	k := question{host, place.Caller{FailureDomain: domain, Region: region}}
	list, changes, ok := n.answers.get(k)
	if !ok {
		list = place.Choose(host, t.Host(host), *n.servers.Load(), k.caller, nodesOf(n.peer.Members()))
		n.answers.put(k, list, changes)
	}
	return list, keepFor
}

// question is what a caller asks the directory.
type question struct {
	host   string
	caller place.Caller
}

// maxAnswers bounds the answers that are kept. Callers may ask for any host.
const maxAnswers = 1000

// answers keeps the answers to callers until members, routes or servers change, since choosing takes time
// in proportion to the members. It is safe for concurrent use.
type answers struct {
	mu   sync.Mutex
	list map[question][]netip.AddrPort
	// changes counts the calls of clear, so that an answer from before a change is not kept after it.
	changes int
}

func (a *answers) get(k question) (list []netip.AddrPort, changes int, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	list, ok = a.list[k]
	return list, a.changes, ok
}

func (a *answers) put(k question, list []netip.AddrPort, changes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.changes == changes && len(a.list) < maxAnswers {
		if a.list == nil {
			a.list = make(map[question][]netip.AddrPort)
		}
		a.list[k] = list
	}
}

func (a *answers) clear() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = nil
	a.changes++
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
