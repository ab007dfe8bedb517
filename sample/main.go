// Command sample writes the sample configuration documents to the directory given as its argument. Run it
// from the root of the module after a change:
//
//	go run ./sample sample
//
// The key of each sample caller is "example-" followed by its name.
package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/arbutusthread/arbutusthread/conf"
)

// keyPrefix makes sample keys easy to recognize.
const keyPrefix = "example-"

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: sample DIRECTORY")
		os.Exit(2)
	}
	if err := write(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func write(directory string) error {
	for name, d := range documents() {
		b, err := encode(d)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(directory, name+".json"), b, 0o644); err != nil {
			return fmt.Errorf("sample: write %s: %w", name, err)
		}
	}
	return nil
}

// documents returns the sample documents by name.
func documents() map[string]*conf.Document {
	all := map[string]*conf.Document{routesName: routes()}
	for _, x := range deployments() {
		all[x.name] = x.document()
	}
	return all
}

func encode(d *conf.Document) ([]byte, error) {
	if err := d.Check().Err(); err != nil {
		return nil, fmt.Errorf("sample: check: %w", err)
	}
	b, err := json.MarshalIndent(d, "", " ")
	if err != nil {
		return nil, fmt.Errorf("sample: encode: %w", err)
	}
	return append(b, '\n'), nil
}

// deployment describes the contents of one document.
type deployment struct {
	name    string
	region  string
	domains []string
	// port is the port of the first backend server; the others use the subsequent ports.
	port    uint16
	groups  []group
	callers []caller
	presets []conf.Preset
}

// group is a set of services with the same configuration.
type group struct {
	name      string
	services  int
	servers   int
	slots     int
	coldSlots int
	// connections is the maximum number of connections per server.
	connections int
	// shards are the numbers of shards of the published indexes, newest first.
	shards []int
	kinds  []conf.Kind
}

// caller may reach all services of the named groups, or all services if it names none.
type caller struct {
	name   string
	groups []string
}

func (d deployment) document() *conf.Document {
	doc := &conf.Document{Version: 1, Preset: d.presets[0].Name, Presets: d.presets}
	for _, n := range d.domains {
		doc.FailureDomains = append(doc.FailureDomains, conf.FailureDomain{Name: n, Region: d.region, State: conf.DomainIn})
	}
	port := d.port
	for _, g := range d.groups {
		for i := range g.services {
			doc.Services = append(doc.Services, d.service(g, i, &port))
		}
	}
	for _, c := range d.callers {
		doc.Callers = append(doc.Callers, conf.Caller{
			Name:      c.name,
			KeyHashes: []string{conf.HashKey(keyPrefix + c.name)},
			Services:  d.allowedServices(c),
		})
	}
	return doc
}

func (d deployment) service(g group, number int, port *uint16) conf.Service {
	s := conf.Service{Name: g.serviceName(number), Kinds: g.kinds}
	for i := range g.servers {
		s.Servers = append(s.Servers, conf.BackendServer{
			Address:       serviceAddress(*port),
			FailureDomain: d.domains[(number+i)%len(d.domains)],
			Slots:         g.slots,
			ColdSlots:     g.coldSlots,
			Connections:   g.connections,
		})
		*port++
	}
	pairs := replicaPairs(s.Servers)
	for i, n := range g.shards {
		x := conf.Index{Version: fmt.Sprintf("2026-11-%02d", 30-i)}
		for j := range n {
			x.Shards = append(x.Shards, conf.Shard{Name: fmt.Sprintf("s%03d", j), Servers: pairs[j%len(pairs)]})
		}
		s.Indexes = append(s.Indexes, x)
	}
	return s
}

// replicaPairs returns all pairs of servers in different failure domains, so that each shard retains a replica
// while one failure domain is out.
func replicaPairs(servers []conf.BackendServer) [][]netip.AddrPort {
	var pairs [][]netip.AddrPort
	for i, a := range servers {
		for _, b := range servers[i+1:] {
			if a.FailureDomain != b.FailureDomain {
				pairs = append(pairs, []netip.AddrPort{a.Address, b.Address})
			}
		}
	}
	return pairs
}

func (g group) serviceName(number int) string {
	if g.services == 1 {
		return g.name
	}
	return fmt.Sprintf("%s-%02d", g.name, number+1)
}

func (d deployment) allowedServices(c caller) []string {
	if len(c.groups) == 0 {
		return []string{"*"}
	}
	var names []string
	for _, g := range d.groups {
		for _, n := range c.groups {
			if g.name != n {
				continue
			}
			for i := range g.services {
				names = append(names, g.serviceName(i))
			}
		}
	}
	return names
}
