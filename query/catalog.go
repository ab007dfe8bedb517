package query

import (
	"net/netip"

	"github.com/arbutusthread/arbutusthread/conf"
)

// Catalog indexes a configuration document by name for planning, so that the cost of a plan does not
// grow with the number of services or servers.
type Catalog struct {
	Document *conf.Document
	services map[string]*Service
}

// Service is a service of the document, with its kinds indexed by name.
type Service struct {
	*conf.Service
	kinds   map[string]*conf.Kind
	indexes []*Index
}

// Index is one version of a service's index.
type Index struct {
	Version string
	// Parts has one entry for each slice that holds shards of this version.
	Parts  []SlicePart
	shards map[string]Shard
}

// SlicePart lists the shards of an index that one slice holds.
type SlicePart struct {
	Slice  int
	Shards []string
}

// Shard is a shard with its slice and its replicas.
type Shard struct {
	Name    string
	Slice   int
	Servers []netip.AddrPort
	// position is the index of the shard in the part of its slice.
	position int
}

// NewCatalog indexes a document that has passed its check. The document must not change afterwards.
func NewCatalog(d *conf.Document) *Catalog {
	c := &Catalog{Document: d, services: make(map[string]*Service, len(d.Services))}
	for i := range d.Services {
		c.services[d.Services[i].Name] = newService(&d.Services[i])
	}
	return c
}

// Service returns the service with the name, or nil.
func (c *Catalog) Service(name string) *Service {
	return c.services[name]
}

func newService(s *conf.Service) *Service {
	v := &Service{Service: s, kinds: make(map[string]*conf.Kind, len(s.Kinds))}
	for i := range s.Kinds {
		v.kinds[s.Kinds[i].Name] = &s.Kinds[i]
	}
	slices := make(map[netip.AddrPort]int, len(s.Servers))
	for _, b := range s.Servers {
		slices[b.Address] = b.Slice
	}
	for i := range s.Indexes {
		v.indexes = append(v.indexes, newIndex(&s.Indexes[i], slices, s.SliceCount()))
	}
	return v
}

// Kind returns the kind with the name, or nil.
func (s *Service) Kind(name string) *conf.Kind {
	return s.kinds[name]
}

// Index returns the index with the version, or nil.
func (s *Service) Index(version string) *Index {
	for _, x := range s.indexes {
		if x.Version == version {
			return x
		}
	}
	return nil
}

// Newest returns the newest index whose version is not the excluded one, or nil.
func (s *Service) Newest(excluded string) *Index {
	for _, x := range s.indexes {
		if x.Version != excluded {
			return x
		}
	}
	return nil
}

func newIndex(x *conf.Index, slices map[netip.AddrPort]int, count int) *Index {
	v := &Index{Version: x.Version, shards: make(map[string]Shard, len(x.Shards))}
	parts := make([]SlicePart, count)
	for _, h := range x.Shards {
		if len(h.Servers) == 0 {
			continue
		}
		n := slices[h.Servers[0]]
		parts[n].Slice = n
		parts[n].Shards = append(parts[n].Shards, h.Name)
		v.shards[h.Name] = Shard{Name: h.Name, Slice: n, Servers: h.Servers, position: len(parts[n].Shards) - 1}
	}
	for _, p := range parts {
		if len(p.Shards) > 0 {
			v.Parts = append(v.Parts, p)
		}
	}
	return v
}

// Shard returns the shard with the name, and whether the index has it.
func (x *Index) Shard(name string) (Shard, bool) {
	h, ok := x.shards[name]
	return h, ok
}

// Len returns the number of shards that have a server.
func (x *Index) Len() int {
	return len(x.shards)
}
