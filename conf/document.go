package conf

import (
	"net/netip"

	"github.com/arbutusthread/arbutusthread/table"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Document is the configuration that operators publish. It is applied as a whole.
type Document struct {
	Version        uint64          `json:"Version"`
	Preset         string          `json:"Preset"`
	Presets        []Preset        `json:"Presets"`
	FailureDomains []FailureDomain `json:"FailureDomains"`
	Callers        []Caller        `json:"Callers"`
	Services       []Service       `json:"Services"`
	// Routes forward requests of callers to services unchanged. Nodes that serve only routes use the
	// routes, the services with their servers, and the failure domains.
	Routes []table.Route `json:"Routes,omitempty"`
}

// Routing returns the routing configuration of the document: its routes, and its services with the least
// connection limit of their servers.
func (d *Document) Routing() *table.Config {
	c := &table.Config{Version: d.Version, Routes: d.Routes}
	for i := range d.Services {
		v := &d.Services[i]
		s := table.Service{Name: v.Name}
		for _, b := range v.Servers {
			if s.Connections == 0 || b.Connections < s.Connections {
				s.Connections = b.Connections
			}
		}
		c.Services = append(c.Services, s)
	}
	return c
}

// RoutedServices returns the names of the services that routes refer to.
func (d *Document) RoutedServices() map[string]bool {
	names := map[string]bool{}
	for i := range d.Routes {
		for _, s := range d.Routes[i].Services() {
			names[s] = true
		}
	}
	return names
}

// Preset is a named set of policy parameters. Exactly one is active: the one that Document.Preset names.
type Preset struct {
	Name string `json:"Name"`
	// HedgeBudget is the fraction of extra shard requests that hedging may send, 0.02 for 2%.
	HedgeBudget float64 `json:"HedgeBudget"`
	// RetryBudget is the fraction of requests that may be retries.
	RetryBudget float64 `json:"RetryBudget"`
	// Worth has factors for the worth of request kinds; the worth of a kind without an entry is not changed.
	Worth map[string]float64 `json:"Worth,omitempty"`
	// QueueLimit is the maximum number of requests that the lease holder of a slice queues.
	QueueLimit int `json:"QueueLimit"`
}

// DomainState is the administrative state of a failure domain.
type DomainState string

// States of a failure domain: in service, or taken out by operators.
const (
	DomainIn  DomainState = "In"
	DomainOut DomainState = "Out"
)

// FailureDomain is a group of VMs that may fail together and that operators can take out together.
type FailureDomain struct {
	Name   string      `json:"Name"`
	Region string      `json:"Region"`
	State  DomainState `json:"State"`
}

// Caller is a client of the system with the services that it may access.
type Caller struct {
	Name string `json:"Name"`
	// KeyHashes are hex SHA-256 hashes of the caller's keys; several allow rotation.
	KeyHashes []string `json:"KeyHashes"`
	// Services are names of services; "*" allows all.
	Services []string `json:"Services"`
}

// Allows reports whether the caller may access the service.
func (c Caller) Allows(service string) bool {
	for _, s := range c.Services {
		if s == service || s == "*" {
			return true
		}
	}
	return false
}

// Service is a searchable set of shards with its backend servers.
type Service struct {
	Name string `json:"Name"`
	// Slices is the number of parts of the service, each with its own lease holder that grants its
	// permits; 0 means 1.
	Slices int `json:"Slices,omitempty"`
	// Voters is the number of voters for the lease of a slice: 1 or 3; 0 means 3.
	Voters int `json:"HomeSeats,omitempty"`
	// VoterDomains are the failure domains of the voters; empty means all.
	VoterDomains []string        `json:"HomeDomains,omitempty"`
	Kinds        []Kind          `json:"Kinds"`
	Servers      []BackendServer `json:"Servers"`
	// Indexes are the published versions, newest first.
	Indexes []Index `json:"Indexes"`
}

// Kind is a kind of request of a service.
type Kind struct {
	Name  string  `json:"Name"`
	Worth float64 `json:"Worth"`
	// MinCoverage is the least fraction of shards that an answer must cover, between 0 and 1.
	MinCoverage float64 `json:"MinCoverage"`
	Idempotent  bool    `json:"Idempotent"`
	// MaxTimeout is the maximum and the default timeout of a request.
	MaxTimeout wire.Duration `json:"MaxTimeout"`
}

// BackendServer is one backend server with its limits.
type BackendServer struct {
	Address       netip.AddrPort `json:"Address"`
	FailureDomain string         `json:"FailureDomain"`
	// Slots is the concurrency limit of a warm server: the number of requests that it runs at once.
	Slots int `json:"Slots"`
	// ColdSlots is the concurrency limit of the server during a cold start.
	ColdSlots int `json:"ColdSlots"`
	// Slice is the index of the slice to which the server belongs, below Service.Slices.
	Slice int `json:"Slice,omitempty"`
	// Connections is the maximum number of connections that the server accepts.
	Connections int `json:"Connections"`
}

// Index is one version of a service's index with its partitioning.
type Index struct {
	Version string  `json:"Version"`
	Shards  []Shard `json:"Shards"`
}

// Shard is one part of an index with the servers that hold a replica of it.
type Shard struct {
	Name    string           `json:"Name"`
	Servers []netip.AddrPort `json:"Servers"`
}

// Service returns the service with the given name, or nil.
func (d *Document) Service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// ActivePreset returns the active preset. Check guarantees that it exists.
func (d *Document) ActivePreset() Preset {
	for _, p := range d.Presets {
		if p.Name == d.Preset {
			return p
		}
	}
	return Preset{}
}

// DomainIn reports whether the failure domain is listed and its state is In.
func (d *Document) DomainIn(name string) bool {
	for _, f := range d.FailureDomains {
		if f.Name == name {
			return f.State == DomainIn
		}
	}
	return false
}

// Kind returns the kind with the given name, or nil.
func (s *Service) Kind(name string) *Kind {
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return &s.Kinds[i]
		}
	}
	return nil
}

// SliceCount returns the number of slices, at least 1.
func (s *Service) SliceCount() int {
	return max(1, s.Slices)
}

// VoterCount returns the number of voters for the lease of a slice.
func (s *Service) VoterCount() int {
	if s.Voters == 0 {
		return DefaultVoters
	}
	return s.Voters
}

// DefaultVoters is the default number of voters. With three, a majority of two remains when one is lost.
const DefaultVoters = 3
