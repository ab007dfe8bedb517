package node

import (
	"time"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/place"
	"github.com/arbutusthread/arbutusthread/table"
)

func (n *Node) revision() feed.Revision {
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

// applyPeerDelta applies changes received from a peer.
func (n *Node) applyPeerDelta(d feed.Delta) error {
	if d.Full && d.To == 0 {
		return errNoFeed
	}
	if err := n.apply(time.Now(), d, "peer"); err != nil {
		return err
	}
	n.peer.SetFeed(uint64(n.revision()), false)
	return nil
}

// apply merges changes into the feed state and installs the result. The origin is only logged.
func (n *Node) apply(now time.Time, d feed.Delta, origin string) error {
	changed, before, revision, err := n.applyLocked(now, d)
	if err != nil {
		return err
	}
	if before > 0 && revision.Era() > before.Era() {
		n.metrics.Count("platform_restores")
		n.log.Warn("platform restored from a copy", "From", origin, "Era", revision.Era(), "Revision", revision.Number(),
			"EarlierEra", before.Era(), "EarlierRevision", before.Number())
	}
	if changed {
		n.log.Info("platform data changed", "From", origin, "Revision", revision, "Changes", len(d.Changes), "Full", d.Full)
		n.install(now)
	}
	return nil
}

// applyLocked also returns the revision before and after the changes.
func (n *Node) applyLocked(now time.Time, d feed.Delta) (changed bool, before, after feed.Revision, err error) {
	n.feedMu.Lock()
	defer n.feedMu.Unlock()
	before = n.feed.Revision()
	changed, err = n.feed.Apply(now, d)
	return changed, before, n.feed.Revision(), err
}

// dropExpired drops lapsed servers whose hold time has ended.
func (n *Node) dropExpired() { n.install(time.Now()) }

// install applies the current view of the feed to the engine, the backend client and the routing table.
func (n *Node) install(now time.Time) {
	n.feedMu.Lock()
	defer n.feedMu.Unlock()
	v := n.feed.View(now)
	if !v.NextExpiry.IsZero() {
		n.expiryTimer.Reset(v.NextExpiry.Sub(now))
	}
	if v.Config == nil {
		return
	}
	t := n.table.Load()
	if t == nil || t.Config() != v.Config {
		t = table.New(v.Config)
		n.log.Info("configuration activated", "Version", v.Config.Version, "Routes", len(v.Config.Routes))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	pools, servers := n.pools(t, &v)
	n.backend.SetServers(servers)
	n.startAttempts(now, n.engine.SetPools(now, pools))
	n.splitter.Prune(t)
	n.activeDomains.Store(activeDomains(pools))
	n.table.Store(t)
	n.addressCache.clear()
}

// sharerCount caches the number of nodes that share the connections of servers, with the routing table for which it
// was counted. Counting takes longer than everything else in a change of one server.
type sharerCount struct {
	table *table.Table
	nodes int
}

func (n *Node) countSharers(t *table.Table) sharerCount {
	members := n.peer.Members()
	nodes, self := n.countServing(t, members)
	if !self {
		// This node is no longer in directory answers, but callers may have cached its address. Their requests must not
		// use the connections of the serving nodes.
		nodes = len(members)
	}
	return sharerCount{t, max(nodes, len(n.settings.Load().Seeds), 1)}
}

// pools returns the servers by service. Servers of a service that is not in the configuration are included, so that
// they are available as soon as a configuration names the service.
func (n *Node) pools(t *table.Table, v *feed.View) ([]gather.Pool, []back.Server) {
	if n.sharerCount.table != t {
		n.sharerCount = n.countSharers(t)
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
			Draining: s.Draining || v.Out[s.FailureDomain], ColdUntil: s.ColdUntil, StartTime: s.StartTime,
		}
		if service != nil {
			x.Connections = connectionsPerNode(service.Connections, n.sharerCount.nodes)
			x.ColdRate, x.ColdTime = n.coldRate(service), service.ColdTime.Std()
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
	// connectionShare is the fraction of a server's connections that all nodes together use. The rest is reserved
	// for connections that the server still holds open to failed nodes.
	connectionShare = 0.5
	// minConnections is the least number of connections of a node to a server, so that a hedge can be sent beside a
	// request.
	minConnections = 2
)

// connectionsPerNode returns a node's connection limit for a server that accepts the given number of connections, or
// 0 where no limit is set.
func connectionsPerNode(connections, nodes int) int {
	if connections <= 0 {
		return 0
	}
	return max(minConnections, int(connectionShare*float64(connections))/nodes)
}

// coldRate returns the slow-start limit of a cold server in requests a second, over all nodes, or 0 for no limit.
func (n *Node) coldRate(s *table.Service) float64 {
	if s.ColdRate <= 0 {
		return 0
	}
	b := n.settings.Load().Bounds
	return s.ColdRate*b.ColdOvershoot + b.ColdSlack
}

// activeDomains returns, for each service, the failure domains with servers that are not draining.
func activeDomains(pools []gather.Pool) *place.DomainsByService {
	servers := make(place.DomainsByService, len(pools))
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
