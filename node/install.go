package node

import (
	"time"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/place"
	"github.com/arbutusthread/arbutusthread/table"
)

func (n *Node) revision() uint64 {
	n.feedMu.Lock()
	defer n.feedMu.Unlock()
	return n.feed.Revision()
}

func (n *Node) position() feed.Position {
	n.feedMu.Lock()
	defer n.feedMu.Unlock()
	return n.feed.Position()
}

func (n *Node) feedSince(after feed.Position) feed.Delta {
	n.feedMu.Lock()
	defer n.feedMu.Unlock()
	return n.feed.Since(after)
}

// fed takes over changes from a peer.
func (n *Node) fed(d feed.Delta) error {
	if d.Full && d.To == 0 {
		return errNoFeed
	}
	if err := n.apply(time.Now(), d, "peer"); err != nil {
		return err
	}
	n.peer.SetFeed(n.revision(), false)
	return nil
}

// apply takes over changes and puts them in force.
func (n *Node) apply(now time.Time, d feed.Delta, from string) error {
	n.feedMu.Lock()
	changed, err := n.feed.Apply(now, d)
	revision := n.feed.Revision()
	n.feedMu.Unlock()
	if err != nil {
		return err
	}
	if changed {
		n.log.Info("data changed", "From", from, "Revision", revision, "Changes", len(d.Changes), "Full", d.Full)
		n.install(now)
	}
	return nil
}

// expire drops servers that have been held for their time.
func (n *Node) expire() { n.install(time.Now()) }

// install puts the present data in force.
func (n *Node) install(now time.Time) {
	n.feedMu.Lock()
	defer n.feedMu.Unlock()
	v := n.feed.View(now)
	if !v.Until.IsZero() {
		n.expiry.Reset(v.Until.Sub(now))
	}
	if v.Config == nil {
		return
	}
	t := n.table.Load()
	if t == nil || t.Config() != v.Config {
		t = table.New(v.Config)
		n.log.Info("configuration in force", "Version", v.Config.Version, "Routes", len(v.Config.Routes))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	pools, servers := n.pools(t, &v)
	n.backend.SetServers(servers)
	n.performAll(now, n.engine.SetPools(now, pools))
	n.splitter.Keep(t)
	n.servers.Store(domainsOf(pools))
	n.table.Store(t)
	n.answers.clear()
}

// sharers is the number of nodes that share the connections of servers, with the routes for which it was
// counted. Counting takes longer than all else in a change of one server.
type sharers struct {
	table *table.Table
	count int
}

func (n *Node) countSharers(t *table.Table) sharers {
	members := n.peer.Members()
	nodes, self := n.serving(t, members)
	if !self {
		// Callers that kept the address of this node must not take connections from the others.
		nodes = len(members)
	}
	return sharers{t, max(nodes, len(n.settings.Load().Seeds), 1)}
}

// pools returns the servers by service. A service that no configuration names yet is kept, so that
// its servers are known when one does.
func (n *Node) pools(t *table.Table, v *feed.View) ([]gather.Pool, []back.Server) {
	if n.sharers.table != t {
		n.sharers = n.countSharers(t)
	}
	byName := make(map[string]int)
	var pools []gather.Pool
	for name := range servicesOf(t, v) {
		byName[name] = len(pools)
		pools = append(pools, gather.Pool{Name: name})
	}
	var servers []back.Server
	for _, s := range v.Servers {
		service := t.Service(s.Service)
		x := gather.Server{
			ID: s.ID, Address: s.Address, FailureDomain: s.FailureDomain, Slots: s.Slots,
			Draining: s.Draining || v.Out[s.FailureDomain], ColdUntil: s.ColdUntil, Born: s.Born,
		}
		if service != nil {
			x.Connections = share(service.Connections, n.sharers.count)
			x.ColdRate = n.coldRate(service)
		}
		p := &pools[byName[s.Service]]
		p.Servers = append(p.Servers, x)
		servers = append(servers, back.Server{Address: s.Address, Connections: x.Connections})
	}
	return pools, servers
}

func servicesOf(t *table.Table, v *feed.View) map[string]bool {
	names := make(map[string]bool)
	for _, s := range t.Config().Services {
		names[s.Name] = true
	}
	for _, s := range v.Servers {
		names[s.Service] = true
	}
	return names
}

const (
	// connectionShare is the part of a server's connections that all nodes together use. The rest is
	// for connections that a server still holds to nodes that were lost.
	connectionShare = 0.5
	// minConnections of a node keep a hedge possible beside a request.
	minConnections = 2
)

// share returns a node's part of the connections that a server accepts.
func share(connections, nodes int) int {
	if connections <= 0 {
		return 0
	}
	return max(minConnections, int(connectionShare*float64(connections))/nodes)
}

// coldRate returns the requests a second that all nodes may send to a cold server.
func (n *Node) coldRate(s *table.Service) float64 {
	if s.ColdRate <= 0 {
		return 0
	}
	b := n.settings.Load().Bounds
	return s.ColdRate*b.ColdOvershoot + b.ColdSlack
}

// domainsOf returns the failure domains in which services have servers that take new work.
func domainsOf(pools []gather.Pool) *place.Servers {
	servers := make(place.Servers, len(pools))
	for _, p := range pools {
		domains := make(map[string]bool)
		for _, s := range p.Servers {
			if !s.Draining {
				domains[s.FailureDomain] = true
			}
		}
		servers[p.Name] = domains
	}
	return &servers
}
