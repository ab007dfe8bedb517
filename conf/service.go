package conf

import (
	"net/netip"
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Limits of the timeout of a kind. An order key is valid for 60 s, so the caller of an order that takes up to
// 30 s still has time to query its outcome.
const (
	MinTimeout = wire.Duration(time.Millisecond)
	MaxTimeout = wire.Duration(30 * time.Second)
)

func (c *checker) service(p string, s *Service) {
	checkRange(&c.faults, fieldPath(p, "Slices"), s.Slices, 0, MaxSlices)
	if !slices.Contains([]int{0, 1, DefaultVoters}, s.Voters) {
		c.faults.add(fieldPath(p, "HomeSeats"), "must be 1 or 3, or 0 for the default of %d", DefaultVoters)
	}
	domains := distinct[string]{}
	for i, x := range s.VoterDomains {
		at := indexPath(fieldPath(p, "HomeDomains"), i)
		if !c.domains[x] {
			c.faults.add(at, "no failure domain has the name %q", x)
		}
		domains.check(&c.faults, at, x)
	}
	minEntries := 1
	if c.routedServices[s.Name] {
		minEntries = 0
	}
	c.count(fieldPath(p, "Kinds"), len(s.Kinds), minEntries, MaxKinds)
	c.requestKinds(fieldPath(p, "Kinds"), s.Kinds)
	c.backendServers(p, s)
	c.count(fieldPath(p, "Indexes"), len(s.Indexes), minEntries, MaxIndexes)
	c.indexes(p, s)
}

func (c *checker) requestKinds(p string, all []Kind) {
	names := distinct[string]{}
	for i, k := range all {
		at := indexPath(p, i)
		c.identifier(fieldPath(at, "Name"), k.Name)
		names.check(&c.faults, fieldPath(at, "Name"), k.Name)
		checkRange(&c.faults, fieldPath(at, "Worth"), k.Worth, 0, MaxWorth)
		checkRange(&c.faults, fieldPath(at, "MinCoverage"), k.MinCoverage, 0, 1)
		if k.MaxTimeout < MinTimeout || k.MaxTimeout > MaxTimeout {
			c.faults.add(fieldPath(at, "MaxTimeout"), "must be between %v and %v", MinTimeout.Std(), MaxTimeout.Std())
		}
	}
}

func (c *checker) backendServers(p string, s *Service) {
	p = fieldPath(p, "Servers")
	c.count(p, len(s.Servers), 1, MaxDocumentBytes)
	used := make([]bool, min(max(1, s.Slices), MaxSlices))
	for i, x := range s.Servers {
		at := indexPath(p, i)
		if !isUsable(x.Address) {
			c.faults.add(fieldPath(at, "Address"), "must be an IP address with a port")
		}
		// Two services with the same server would have two lease holders, each of which would send requests up to
		// the full concurrency limit of the server.
		c.servers.check(&c.faults, fieldPath(at, "Address"), x.Address)
		if !c.domains[x.FailureDomain] {
			c.faults.add(fieldPath(at, "FailureDomain"), "no failure domain has the name %q", x.FailureDomain)
		}
		checkRange(&c.faults, fieldPath(at, "Slots"), x.Slots, 1, MaxSlots)
		checkRange(&c.faults, fieldPath(at, "ColdSlots"), x.ColdSlots, 1, max(1, x.Slots))
		checkRange(&c.faults, fieldPath(at, "Connections"), x.Connections, max(1, x.Slots), MaxConnections)
		checkRange(&c.faults, fieldPath(at, "Slice"), x.Slice, 0, len(used)-1)
		if x.Slice >= 0 && x.Slice < len(used) {
			used[x.Slice] = true
		}
	}
	for i, ok := range used {
		if !ok {
			c.faults.add(p, "slice %d has no server", i)
		}
	}
}

func (c *checker) indexes(p string, s *Service) {
	at := fieldPath(p, "Indexes")
	slice := make(map[netip.AddrPort]int, len(s.Servers))
	for _, x := range s.Servers {
		slice[x.Address] = x.Slice
	}
	versions := distinct[string]{}
	for i, x := range s.Indexes {
		ip := indexPath(at, i)
		c.identifier(fieldPath(ip, "Version"), x.Version)
		versions.check(&c.faults, fieldPath(ip, "Version"), x.Version)
		c.count(fieldPath(ip, "Shards"), len(x.Shards), 1, MaxDocumentBytes)
		names := distinct[string]{}
		for j, h := range x.Shards {
			sp := indexPath(fieldPath(ip, "Shards"), j)
			c.identifier(fieldPath(sp, "Name"), h.Name)
			names.check(&c.faults, fieldPath(sp, "Name"), h.Name)
			c.replicas(fieldPath(sp, "Servers"), h.Servers, slice)
		}
	}
}

// replicas checks that a shard's servers exist and belong to one slice, because only the lease holder of that
// slice may send requests to them.
func (c *checker) replicas(p string, servers []netip.AddrPort, slice map[netip.AddrPort]int) {
	c.count(p, len(servers), 1, MaxDocumentBytes)
	seen := distinct[netip.AddrPort]{}
	first := -1
	for i, a := range servers {
		at := indexPath(p, i)
		seen.check(&c.faults, at, a)
		n, ok := slice[a]
		if !ok {
			c.faults.add(at, "the service has no server %s", a)
			continue
		}
		if first < 0 {
			first = n
		}
		if n != first {
			c.faults.add(at, "belongs to slice %d, but another server of the shard to slice %d", n, first)
		}
	}
}

// isUsable reports whether the address has a port and is not unspecified or multicast, so that others can
// connect to it.
func isUsable(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
