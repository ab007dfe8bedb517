package table

import (
	"maps"
	"slices"
	"strings"
)

// Table finds the routes of one configuration. It is immutable and safe for concurrent use.
type Table struct {
	config   *Config
	hosts    map[string]*hostRoutes
	services map[string]*Service
}

// hostRoutes are the routes of a host.
type hostRoutes struct {
	byPrefix map[string]*Route
	// longest is the length of the longest prefix.
	longest int
}

// New returns the table of a configuration that has passed Check. The configuration must not change afterwards.
func New(c *Config) *Table {
	t := &Table{
		config: c, hosts: make(map[string]*hostRoutes),
		services: make(map[string]*Service, len(c.Services)),
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = &hostRoutes{byPrefix: make(map[string]*Route)}
		}
		h := t.hosts[host]
		h.byPrefix[r.Prefix], h.longest = r, max(h.longest, len(r.Prefix))
	}
	return t
}

// Config returns the configuration of the table.
func (t *Table) Config() *Config { return t.config }

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route of the host with the longest prefix of the path, or nil. The host may include a port.
// The cost depends on the number of slashes in the part of the path that is as long as the longest prefix, not on the number
// of routes.
func (t *Table) Match(host, path string) *Route {
	h := t.hosts[hostName(host)]
	if h == nil {
		return nil
	}
	path = path[:min(len(path), h.longest)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := h.byPrefix[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Hosts returns the hosts that have routes, in no particular order.
func (t *Table) Hosts() []string { return slices.Collect(maps.Keys(t.hosts)) }

// Host returns the routes of a host, in no particular order. The host may include a port.
func (t *Table) Host(host string) []*Route {
	h := t.hosts[hostName(host)]
	if h == nil {
		return nil
	}
	routes := make([]*Route, 0, len(h.byPrefix))
	for _, r := range h.byPrefix {
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
