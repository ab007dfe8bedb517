package conf

import (
	"net/netip"
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Limits of the timeout of a kind. An order key lives 60 s, so an order that takes up to 30 s
// leaves the caller time to ask for its outcome.
const (
	MinTimeout = wire.Duration(time.Millisecond)
	MaxTimeout = wire.Duration(30 * time.Second)
)

func (c *checker) service(p string, s *Service) {
	between(&c.faults, field(p, "Slices"), s.Slices, 0, MaxSlices)
	if !slices.Contains([]int{0, 1, DefaultHomeSeats}, s.HomeSeats) {
		c.faults.add(field(p, "HomeSeats"), "must be 1 or 3, or 0 for the default of %d", DefaultHomeSeats)
	}
	domains := distinct[string]{}
	for i, x := range s.HomeDomains {
		at := element(field(p, "HomeDomains"), i)
		if !c.domains[x] {
			c.faults.add(at, "no failure domain has the name %q", x)
		}
		domains.check(&c.faults, at, x)
	}
	least := 1
	if c.routed[s.Name] {
		least = 0
	}
	c.count(field(p, "Kinds"), len(s.Kinds), least, MaxKinds)
	c.requestKinds(field(p, "Kinds"), s.Kinds)
	c.backendServers(p, s)
	c.count(field(p, "Indexes"), len(s.Indexes), least, MaxIndexes)
	c.indexes(p, s)
}

func (c *checker) requestKinds(p string, all []Kind) {
	names := distinct[string]{}
	for i, k := range all {
		at := element(p, i)
		c.identifier(field(at, "Name"), k.Name)
		names.check(&c.faults, field(at, "Name"), k.Name)
		between(&c.faults, field(at, "Worth"), k.Worth, 0, MaxWorth)
		between(&c.faults, field(at, "MinCoverage"), k.MinCoverage, 0, 1)
		if k.MaxTimeout < MinTimeout || k.MaxTimeout > MaxTimeout {
			c.faults.add(field(at, "MaxTimeout"), "must be between %v and %v", MinTimeout.Std(), MaxTimeout.Std())
		}
	}
}

func (c *checker) backendServers(p string, s *Service) {
	p = field(p, "Servers")
	c.count(p, len(s.Servers), 1, MaxDocumentBytes)
	used := make([]bool, min(max(1, s.Slices), MaxSlices))
	for i, x := range s.Servers {
		at := element(p, i)
		if !isUsable(x.Address) {
			c.faults.add(field(at, "Address"), "must be an IP address with a port")
		}
		// Two services would have two homes, and each would send up to the whole allowance.
		c.servers.check(&c.faults, field(at, "Address"), x.Address)
		if !c.domains[x.FailureDomain] {
			c.faults.add(field(at, "FailureDomain"), "no failure domain has the name %q", x.FailureDomain)
		}
		between(&c.faults, field(at, "Slots"), x.Slots, 1, MaxSlots)
		between(&c.faults, field(at, "ColdSlots"), x.ColdSlots, 1, max(1, x.Slots))
		between(&c.faults, field(at, "Connections"), x.Connections, max(1, x.Slots), MaxConnections)
		between(&c.faults, field(at, "Slice"), x.Slice, 0, len(used)-1)
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
	at := field(p, "Indexes")
	slice := make(map[netip.AddrPort]int, len(s.Servers))
	for _, x := range s.Servers {
		slice[x.Address] = x.Slice
	}
	versions := distinct[string]{}
	for i, x := range s.Indexes {
		ip := element(at, i)
		c.identifier(field(ip, "Version"), x.Version)
		versions.check(&c.faults, field(ip, "Version"), x.Version)
		c.count(field(ip, "Shards"), len(x.Shards), 1, MaxDocumentBytes)
		names := distinct[string]{}
		for j, h := range x.Shards {
			sp := element(field(ip, "Shards"), j)
			c.identifier(field(sp, "Name"), h.Name)
			names.check(&c.faults, field(sp, "Name"), h.Name)
			c.replicas(field(sp, "Servers"), h.Servers, slice)
		}
	}
}

// replicas checks that a shard's servers exist and belong to one slice, because only the home of
// that slice may send work to them.
func (c *checker) replicas(p string, servers []netip.AddrPort, slice map[netip.AddrPort]int) {
	c.count(p, len(servers), 1, MaxDocumentBytes)
	seen := distinct[netip.AddrPort]{}
	first := -1
	for i, a := range servers {
		at := element(p, i)
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

// isUsable reports whether others can connect to the address.
func isUsable(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
