package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/table"
	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	shards          = 6
	serversPerShard = 2
	shopServers     = 3
	officeServers   = 3
	topK            = 10
	minCoverage     = 0.6
	maxAttempts     = 2
	routeTimeout    = time.Second
	routeTarget     = 100 * time.Millisecond
	// workTime is the service time of a backend server per request.
	workTime = 4 * time.Millisecond
	// longWorkTime is the service time of a request of the office, which is longer than stopTime, and longTimeout the
	// timeout of its routes.
	longWorkTime = 4 * time.Second
	longTimeout  = 6 * time.Second
	// applyTime is the time within which a configuration change must take effect, and stopTime the time limit
	// of a planned stop.
	applyTime = 3 * time.Second
	stopTime  = 3 * time.Second

	searchHost = "search.example"
	shopHost   = "shop.example"
	officeHost = "office.example"
	probeHost  = "probe.example"

	shopService   = "shop"
	officeService = "office"
	searchRoute   = "search"
)

var domains = []string{"lukang", "yilan", "chiayi"}

func shardService(i int) string { return fmt.Sprintf("shard-%d", i) }

// backend is one backend server behind its proxy.
type backend struct {
	service string
	domain  string
	server  *fake.RoutedServer
	proxy   *proxy
}

// id returns the server's address in the configuration, which is that of its proxy.
func (b *backend) id() string { return b.proxy.address().String() }

// entry returns the server's entry in the configuration.
func (b *backend) entry() conf.BackendServer {
	running, _ := slots(b.service)
	return conf.BackendServer{Address: b.proxy.address(), FailureDomain: b.domain, Slots: running, ColdSlots: 1, Connections: 60}
}

// world is a fleet of nodes with the platform, backend servers and proxies that it runs against.
type world struct {
	config          Config
	dir             string
	platform        *fake.Platform
	platformServer  *http.Server
	platformAddress netip.AddrPort
	backends        []*backend
	nodes           []*process
	platformProxies []*proxy
	callerProxies   map[netip.AddrPort]*proxy
	recorder        *recorder

	mu       sync.Mutex
	document *conf.Document
}

func newWorld(c Config, dir string) (*world, error) {
	w := &world{config: c, dir: dir, callerProxies: make(map[netip.AddrPort]*proxy), recorder: newRecorder()}
	if err := w.startBackends(); err != nil {
		return w, err
	}
	w.document = w.firstDocument()
	var err error
	if w.platform, err = fake.NewPlatform(fake.PlatformConfig{Document: w.document}); err != nil {
		return w, err
	}
	if w.platformServer, w.platformAddress, err = servePlatform(w.platform); err != nil {
		return w, err
	}
	return w, w.startNodes()
}

func (w *world) startBackends() error {
	for i := range shards {
		for k := range serversPerShard {
			if err := w.startBackend(shardService(i), domains[(i+k)%len(domains)]); err != nil {
				return err
			}
		}
	}
	for i := range shopServers {
		if err := w.startBackend(shopService, domains[i%len(domains)]); err != nil {
			return err
		}
	}
	for i := range officeServers {
		if err := w.startBackend(officeService, domains[i%len(domains)]); err != nil {
			return err
		}
	}
	return nil
}

// slots returns the numbers of requests that a server of a service runs and queues. The servers of the shop are small, so
// that they reject requests as soon as they are slow.
func slots(service string) (running, queued int) {
	if service == shopService {
		return 2, 1
	}
	return 4, 16
}

func (w *world) startBackend(service, domain string) error {
	running, queued := slots(service)
	s, err := fake.NewRoutedServer(netip.MustParseAddrPort("127.0.0.1:0"), fake.RoutedConfig{
		Slots: running, Queue: queued, Connections: 60, Delay: workTime, Seed: w.config.Seed + uint64(len(w.backends)),
		LongPrefix: longPrefix, LongDelay: longWorkTime,
	})
	if err != nil {
		return err
	}
	b := &backend{service: service, domain: domain, server: s}
	w.backends = append(w.backends, b)
	if b.proxy, err = newProxy(s.Address()); err != nil {
		return err
	}
	s.SetID(b.id())
	return nil
}

func (w *world) firstDocument() *conf.Document {
	d := &conf.Document{Version: 1, Preset: "ordinary", Presets: []conf.Preset{{Name: "ordinary", HedgeBudget: 0.02, RetryBudget: 0.1, QueueLimit: 256}}}
	for _, n := range domains {
		d.FailureDomains = append(d.FailureDomains, conf.FailureDomain{Name: n, Region: "tw", State: conf.DomainIn})
	}
	search := table.Route{
		Name: searchRoute, Host: searchHost, Prefix: "/", Idempotent: true, TopK: topK, MinCoverage: minCoverage,
		Timeout: wire.Duration(routeTimeout), TargetLatency: wire.Duration(routeTarget), MaxAttempts: maxAttempts,
	}
	services := make(map[string]*conf.Service)
	var order []string
	for _, b := range w.backends {
		s := services[b.service]
		if s == nil {
			s = &conf.Service{Name: b.service}
			services[b.service] = s
			order = append(order, b.service)
		}
		s.Servers = append(s.Servers, b.entry())
	}
	for _, name := range order {
		d.Services = append(d.Services, *services[name])
		if name != shopService && name != officeService {
			search.Shards = append(search.Shards, name)
		}
	}
	shop := table.Route{
		Name: "order", Host: shopHost, Prefix: orderPrefix, Targets: []table.Target{{Service: shopService, Weight: 1}},
		Timeout: wire.Duration(routeTimeout), TargetLatency: wire.Duration(routeTarget), MaxAttempts: maxAttempts,
	}
	lookup := shop
	lookup.Name, lookup.Prefix, lookup.Idempotent = "lookup", "/lookup/", true
	payment := shop
	payment.Name, payment.Host, payment.Prefix = "payment", officeHost, paymentPrefix
	payment.Targets, payment.Timeout = []table.Target{{Service: officeService, Weight: 1}}, wire.Duration(longTimeout)
	report := payment
	report.Name, report.Prefix, report.Idempotent = "report", reportPrefix, true
	d.Routes = []table.Route{search, shop, lookup, payment, report}
	return d
}

// update publishes a changed document and returns its version and the time at which it was accepted.
func (w *world) update(change func(*conf.Document)) (uint64, time.Time, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next, err := copyDocument(w.document)
	if err != nil {
		return 0, time.Time{}, err
	}
	change(next)
	next.Version++
	if err := w.platform.Publish(next); err != nil {
		return 0, time.Time{}, err
	}
	w.document = next
	return next.Version, time.Now(), nil
}

func copyDocument(d *conf.Document) (*conf.Document, error) {
	raw, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "soak: copy document")
	}
	var next conf.Document
	if err := json.Unmarshal(raw, &next); err != nil {
		return nil, errors.Wrap(err, "soak: copy document")
	}
	return &next, nil
}

// startNodes starts each node on a separate loopback address, because nodes are identified by their address and
// all use the same ports.
func (w *world) startNodes() error {
	ip := func(i int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, 100 + byte(w.config.Seed%100), byte(os.Getpid()), byte(i + 1)})
	}
	const base = 7600 // the ports are free because only this run uses the addresses
	var seeds []netip.AddrPort
	for i := range min(3, w.config.Nodes) {
		seeds = append(seeds, netip.AddrPortFrom(ip(i), base))
	}
	for i := range w.config.Nodes {
		p, err := newProxy(w.platformAddress)
		if err != nil {
			return err
		}
		w.platformProxies = append(w.platformProxies, p)
		n := &process{
			name: fmt.Sprintf("node-%d", i), binary: w.config.Binary, domain: domains[i%len(domains)],
			caller: netip.AddrPortFrom(ip(i), base+1), directory: netip.AddrPortFrom(ip(i), base+3),
		}
		if w.callerProxies[n.caller], err = newProxy(n.caller); err != nil {
			return err
		}
		s := conf.Settings{
			Name: n.name, FailureDomain: n.domain, Region: "tw", CallerAddress: n.caller,
			PeerAddress: netip.AddrPortFrom(ip(i), base), OpsAddress: netip.AddrPortFrom(ip(i), base+2),
			DirectoryAddress: n.directory, Platform: "http://" + p.address().String(),
			FleetKeys: []string{strings.Repeat("5a", 32)}, Seeds: seeds, FirstStart: true,
			Bounds: conf.Bounds{
				RetryRatio: 0.2, RetrySlack: 60, RetryWindow: wire.Duration(10 * time.Second), ColdOvershoot: 1.5, ColdSlack: 20,
				ApplyTime: wire.Duration(applyTime), StopTime: wire.Duration(stopTime),
			},
		}
		if err := w.startNode(n, &s); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) startNode(n *process, s *conf.Settings) error {
	w.nodes = append(w.nodes, n)
	return n.startFirst(w.dir, s)
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.close()
	}
	for _, p := range w.callerProxies {
		p.close()
	}
	for _, p := range w.platformProxies {
		p.close()
	}
	for _, b := range w.backends {
		if b.proxy != nil {
			b.proxy.close()
		}
		b.server.Close()
	}
	if w.platform != nil {
		w.platform.Close()
	}
	if w.platformServer != nil {
		_ = w.platformServer.Close()
	}
}
