package table

import (
	"maps"
	"slices"
	"strings"
)

// Table finds the routes of one configuration. It is immutable and safe for concurrent use.
type Table struct {
	config   *Config
	hosts    map[string]map[string]*Route
	services map[string]*Service
}

// New returns the table of a configuration that has passed Check. The configuration must not change afterwards.
func New(c *Config) *Table {
	t := &Table{
		config: c, hosts: make(map[string]map[string]*Route),
		services: make(map[string]*Service, len(c.Services)),
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*Route)
		}
		t.hosts[host][r.Prefix] = r
	}
	return t
}

// Config returns the configuration of the table.
func (t *Table) Config() *Config { return t.config }

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route of the host with the longest prefix of the path, or nil. The host may include a port.
// The cost depends on the number of slashes in the path, not on the number of routes.
func (t *Table) Match(host, path string) *Route {
	prefixes := t.hosts[hostName(host)]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Hosts returns the hosts that have routes, in no particular order.
func (t *Table) Hosts() []string { return slices.Collect(maps.Keys(t.hosts)) }

// Host returns the routes of a host, in no particular order. The host may include a port.
func (t *Table) Host(host string) []*Route {
	prefixes := t.hosts[hostName(host)]
	routes := make([]*Route, 0, len(prefixes))
	for _, r := range prefixes {
		routes = append(routes, r)
	}
	return routes
}

// hostName returns the host in lower case without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
