package fake

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
)

// FleetConfig holds the settings of a Fleet.
type FleetConfig struct {
	// Document describes the services. Each server in it is started on a free loopback port unless
	// KeepAddresses is set. If it is nil, the document is generated from Layout.
	Document *conf.Document
	Layout   Layout
	// KeepAddresses makes the servers listen on the addresses in the document.
	KeepAddresses bool
	// PlatformAddress is the listening address of the platform; the zero value means a free loopback port.
	PlatformAddress netip.AddrPort
	// Platform and Server are templates. Document, VMs, names, limits, indexes and seeds are
	// overwritten.
	Platform PlatformConfig
	Server   ServerConfig
	Seed     uint64
}

// Fleet is a running platform with a set of running backend servers.
type Fleet struct {
	Platform *Platform
	// URL is the base URL of the platform.
	URL string

	http    *http.Server
	serving sync.WaitGroup

	mu       sync.Mutex
	document *conf.Document
	servers  map[netip.AddrPort]*Server
	// routed holds the servers of the services that routes refer to.
	routed   map[netip.AddrPort]*RoutedServer
	domains  map[netip.AddrPort]string
	entryVMs []wire.VM
	leaving  map[netip.AddrPort]bool
}

// StartFleet starts the platform and all servers. It returns an error if a server or the platform can't
// listen or the document can't be published.
func StartFleet(ctx context.Context, c FleetConfig) (*Fleet, error) {
	d := c.Document
	if d == nil {
		d = c.Layout.Document()
	}
	f := &Fleet{
		servers: map[netip.AddrPort]*Server{}, routed: map[netip.AddrPort]*RoutedServer{},
		domains: map[netip.AddrPort]string{},
		leaving: map[netip.AddrPort]bool{},
	}
	if err := f.start(ctx, c, d); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, c FleetConfig, d *conf.Document) error {
	newAddresses, err := f.startServers(c, d)
	if err != nil {
		return err
	}
	f.document = withAddresses(d, newAddresses)
	c.Platform.Document = f.document
	c.Platform.VMs = f.vms()
	if f.Platform, err = NewPlatform(c.Platform); err != nil {
		return err
	}
	address := c.PlatformAddress
	if !address.IsValid() {
		address = anyLoopback
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address.String())
	if err != nil {
		return errors.Wrapf(err, "fake: platform: listen on %s", address)
	}
	f.URL = "http://" + ln.Addr().String()
	f.http = &http.Server{Handler: f.Platform, ReadHeaderTimeout: time.Minute}
	f.serving.Go(func() { _ = f.http.Serve(ln) })
	return nil
}

var anyLoopback = netip.MustParseAddrPort("127.0.0.1:0")

// startServers starts the servers of the document and returns a map from their addresses in the document
// to their listening addresses. A server that is listed in several services is started once.
func (f *Fleet) startServers(c FleetConfig, d *conf.Document) (map[netip.AddrPort]netip.AddrPort, error) {
	newAddresses := map[netip.AddrPort]netip.AddrPort{}
	routed := d.RoutedServices()
	for _, v := range d.Services {
		for _, b := range v.Servers {
			if _, ok := newAddresses[b.Address]; ok {
				continue
			}
			address := anyLoopback
			if c.KeepAddresses {
				address = b.Address
			}
			at, err := f.startServer(c, v, b, address, routed[v.Name], len(newAddresses))
			if err != nil {
				return nil, err
			}
			newAddresses[b.Address] = at
			f.domains[at] = b.FailureDomain
		}
	}
	return newAddresses, nil
}

// startServer starts one server and returns its listening address.
func (f *Fleet) startServer(
	c FleetConfig, v conf.Service, b conf.BackendServer, address netip.AddrPort, routed bool, number int,
) (netip.AddrPort, error) {
	if routed {
		s, err := NewRoutedServer(address, RoutedConfig{
			Slots: b.Slots, Connections: b.Connections, Delay: c.Server.Latency.Median, Seed: c.Seed + uint64(number),
		})
		if err != nil {
			return netip.AddrPort{}, err
		}
		f.routed[s.Address()] = s
		return s.Address(), nil
	}
	s := NewServer(serverConfig(c, v, b, number))
	if err := s.Listen(address); err != nil {
		return netip.AddrPort{}, err
	}
	f.servers[s.Address()] = s
	return s.Address(), nil
}

func serverConfig(c FleetConfig, v conf.Service, b conf.BackendServer, number int) ServerConfig {
	t := c.Server
	t.Name = fmt.Sprintf("%s-%d", v.Name, number)
	t.Slots, t.ColdSlots, t.Connections = b.Slots, b.ColdSlots, b.Connections
	t.Seed = c.Seed + uint64(number)
	t.Indexes = heldIndexes(v.Indexes, b.Address)
	return t
}

// heldIndexes returns the index versions and shards of which the server holds a replica. An empty result,
// as for a server that only accepts orders, means every version and shard.
func heldIndexes(indexes []conf.Index, address netip.AddrPort) []ServerIndex {
	var h []ServerIndex
	for _, i := range indexes {
		x := ServerIndex{Version: i.Version}
		for _, s := range i.Shards {
			if slices.Contains(s.Servers, address) {
				x.Shards = append(x.Shards, s.Name)
			}
		}
		if len(x.Shards) > 0 {
			h = append(h, x)
		}
	}
	return h
}

// withAddresses returns a copy of the document with the addresses of the servers replaced.
func withAddresses(d *conf.Document, newAddresses map[netip.AddrPort]netip.AddrPort) *conf.Document {
	n := cloneDocument(d)
	for i := range n.Services {
		v := &n.Services[i]
		for k := range v.Servers {
			v.Servers[k].Address = newAddresses[v.Servers[k].Address]
		}
		for _, x := range v.Indexes {
			for _, s := range x.Shards {
				for k := range s.Servers {
					s.Servers[k] = cmp.Or(newAddresses[s.Servers[k]], s.Servers[k])
				}
			}
		}
	}
	return n
}

// cloneDocument returns a copy of the document. It copies all parts that a Fleet or its users modify.
func cloneDocument(d *conf.Document) *conf.Document {
	n := *d
	n.Presets = slices.Clone(d.Presets)
	n.FailureDomains = slices.Clone(d.FailureDomains)
	n.Callers = slices.Clone(d.Callers)
	n.Services = slices.Clone(d.Services)
	for i := range n.Services {
		v := &n.Services[i]
		v.Kinds = slices.Clone(v.Kinds)
		v.Servers = slices.Clone(v.Servers)
		v.Indexes = slices.Clone(v.Indexes)
		for k := range v.Indexes {
			x := &v.Indexes[k]
			x.Shards = slices.Clone(x.Shards)
			for m := range x.Shards {
				x.Shards[m].Servers = slices.Clone(x.Shards[m].Servers)
			}
		}
	}
	return &n
}

// Document returns a copy of the published document with the listening addresses of the servers.
func (f *Fleet) Document() *conf.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return cloneDocument(f.document)
}

// Update applies change to a copy of the document, increments its version and publishes it. It returns
// the error of Platform.Publish.
func (f *Fleet) Update(change func(*conf.Document)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := cloneDocument(f.document)
	change(n)
	n.Version = f.document.Version + 1
	if err := f.Platform.Publish(n); err != nil {
		return err
	}
	f.document = n
	return nil
}

// SetDomain publishes the state of a failure domain.
func (f *Fleet) SetDomain(name string, state conf.DomainState) error {
	return f.Update(func(d *conf.Document) {
		for i := range d.FailureDomains {
			if d.FailureDomains[i].Name == name {
				d.FailureDomains[i].State = state
			}
		}
	})
}

// SetEntryVMs replaces the entry VMs in the VM list of the platform.
func (f *Fleet) SetEntryVMs(vms []wire.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entryVMs = slices.Clone(vms)
	f.Platform.SetVMs(f.vms())
}

// MarkLeaving marks the VM of a server as leaving in the VM list of the platform. The server keeps running.
func (f *Fleet) MarkLeaving(address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving[address] = true
	f.Platform.SetVMs(f.vms())
}

func (f *Fleet) vms() []wire.VM {
	vms := slices.Clone(f.entryVMs)
	for _, a := range f.addresses() {
		v := wire.VM{Address: a, Role: wire.RoleBackend, FailureDomain: f.domains[a], State: wire.VMLive}
		if f.leaving[a] {
			v.State = wire.VMLeaving
		}
		vms = append(vms, v)
	}
	return vms
}

func (f *Fleet) addresses() []netip.AddrPort {
	var list []netip.AddrPort
	for a := range f.servers {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b netip.AddrPort) int { return a.Compare(b) })
	return list
}

// Server returns the server that listens on the address, or nil if there is none.
func (f *Fleet) Server(address netip.AddrPort) *Server {
	return f.servers[address]
}

// Servers returns the servers sorted by address. If domains are given, it returns only the servers in
// these failure domains.
func (f *Fleet) Servers(domains ...string) []*Server {
	var list []*Server
	for _, a := range f.addresses() {
		if len(domains) == 0 || slices.Contains(domains, f.domains[a]) {
			list = append(list, f.servers[a])
		}
	}
	return list
}

// OrderRuns returns the number of times that the order with the key started to run, summed over all servers.
func (f *Fleet) OrderRuns(key string) int {
	n := 0
	for _, s := range f.servers {
		n += s.Record().Orders[key].Count
	}
	return n
}

// Close stops the platform and all servers and waits until they have stopped.
func (f *Fleet) Close() {
	if f.Platform != nil {
		f.Platform.Close()
	}
	if f.http != nil {
		_ = f.http.Close()
	}
	f.serving.Wait()
	var all sync.WaitGroup
	for _, s := range f.servers {
		all.Go(s.Close)
	}
	for _, s := range f.routed {
		all.Go(s.Close)
	}
	all.Wait()
}

// String returns a list of the platform and the servers, one per line.
func (f *Fleet) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "platform %s\n", f.URL)
	for _, a := range f.addresses() {
		fmt.Fprintf(&b, "server %s %s %s\n", f.servers[a].config.Name, a, f.domains[a])
	}
	for _, a := range slices.SortedFunc(maps.Keys(f.routed), netip.AddrPort.Compare) {
		fmt.Fprintf(&b, "routed server %s %s\n", a, f.domains[a])
	}
	return b.String()
}
