package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/clock"
	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/table"
	"github.com/arbutusthread/arbutusthread/wire"
)

// The services of a rolling restart: the desk, whose queries go to all shards, and the office, whose requests go to one
// server.
const (
	rollDeskHost      = "desk.example"
	rollDeskTimeout   = 1500 * time.Millisecond
	rollDeskWork      = 4 * time.Millisecond
	rollDeskSlots     = 2
	rollDeskQueue     = 12
	rollOfficeTimeout = 6 * time.Second
	// rollOfficeWork is the median processing time of the office, and rollWorkSpread the standard deviation of its
	// logarithm.
	rollOfficeWork  = 80 * time.Millisecond
	rollWorkSpread  = 0.5
	rollOfficeSlots = 6
	rollOfficeQueue = 24
	rollConnections = 52
	rollAddressTTL  = 2 * time.Second
	// rollCores is the number of cores that the settings of a node state.
	rollCores = 0.4
)

// officeDomains are the failure domains of the servers of the office.
var officeDomains = []int{0, 0, 1, 2}

// rollWorld is a fleet of nodes with the platform and backend servers that it runs against.
type rollWorld struct {
	config          RollConfig
	dir             string
	platform        *fake.Platform
	platformServer  *http.Server
	platformAddress netip.AddrPort
	servers         []*fake.RoutedServer
	nodes           []*process

	mu       sync.Mutex
	document *conf.Document
	work     []*plannedWork
	requests []*rollRequest
	lastID   int
}

func newRollWorld(c RollConfig, dir string) (*rollWorld, error) {
	w := &rollWorld{config: c, dir: dir}
	d, err := w.startServers()
	if err != nil {
		return w, err
	}
	w.document = d
	if w.platform, err = fake.NewPlatform(fake.PlatformConfig{Document: d}); err != nil {
		return w, err
	}
	if w.platformServer, w.platformAddress, err = servePlatform(w.platform); err != nil {
		return w, err
	}
	return w, w.startNodes()
}

// servePlatform serves a platform on a free loopback port.
func servePlatform(p *fake.Platform) (*http.Server, netip.AddrPort, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, errors.Wrap(err, "soak: listen for the platform")
	}
	s := &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// startServers starts the backend servers and returns the document that lists them.
func (w *rollWorld) startServers() (*conf.Document, error) {
	d := &conf.Document{Version: 1, Preset: "ordinary", Presets: []conf.Preset{{Name: "ordinary", HedgeBudget: 0.02, RetryBudget: 0.1, QueueLimit: 256}}}
	for _, n := range domains {
		d.FailureDomains = append(d.FailureDomains, conf.FailureDomain{Name: n, Region: "tw", State: conf.DomainIn})
	}
	desk := table.Route{
		Name: "desk", Host: rollDeskHost, Prefix: "/", Idempotent: true, TopK: topK, MinCoverage: 0.89, MaxAttempts: maxAttempts,
		Timeout: wire.Duration(rollDeskTimeout), TargetLatency: wire.Duration(routeTarget),
	}
	for i := range w.config.Shards {
		s := conf.Service{Name: shardService(i)}
		for k := range serversPerShard {
			err := w.addServer(&s, domains[(i+k)%len(domains)], fake.RoutedConfig{
				Slots: rollDeskSlots, Queue: rollDeskQueue, Delay: rollDeskWork,
			})
			if err != nil {
				return nil, err
			}
		}
		d.Services = append(d.Services, s)
		desk.Shards = append(desk.Shards, s.Name)
	}
	office := conf.Service{Name: officeService}
	for i, domain := range officeDomains {
		err := w.addServer(&office, domains[domain], fake.RoutedConfig{
			Slots: rollOfficeSlots, Queue: rollOfficeQueue, Work: w.officeWork(i),
			Faults: fake.RoutedFaults{Hang: w.config.Silent, ResetAfterRun: w.config.Broken},
		})
		if err != nil {
			return nil, err
		}
	}
	d.Services = append(d.Services, office)
	d.Routes = []table.Route{desk, {
		Name: "office", Host: officeHost, Prefix: "/", Idempotent: true, MaxAttempts: maxAttempts,
		Targets: []table.Target{{Service: officeService, Weight: 1}},
		Timeout: wire.Duration(rollOfficeTimeout), TargetLatency: wire.Duration(400 * time.Millisecond),
	}}
	return d, nil
}

// officeWork returns the processing times of a server of the office, which are distributed log-normally.
func (w *rollWorld) officeWork(server int) func() time.Duration {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(w.config.Seed, uint64(server)+1000))
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(float64(rollOfficeWork) * w.config.Slow * math.Exp(rollWorkSpread*r.NormFloat64()))
	}
}

// addServer starts a server and adds it to a service.
func (w *rollWorld) addServer(s *conf.Service, domain string, c fake.RoutedConfig) error {
	c.Connections, c.EnforceTimeout, c.Seed = rollConnections, true, w.config.Seed+uint64(len(w.servers))
	v, err := fake.NewRoutedServer(netip.MustParseAddrPort("127.0.0.1:0"), c)
	if err != nil {
		return err
	}
	w.servers = append(w.servers, v)
	s.Servers = append(s.Servers, conf.BackendServer{
		Address: v.Address(), FailureDomain: domain, Slots: c.Slots, ColdSlots: 1, Connections: c.Connections,
	})
	return nil
}

// startNodes starts each node on a loopback address of its own, because all nodes use the same ports.
func (w *rollWorld) startNodes() error {
	ip := func(i int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, 200 + byte(w.config.Seed%50), byte(os.Getpid()), byte(i + 1)})
	}
	const base = 7600 // the ports are free because only this run uses the addresses
	var placed []string
	for i, count := range w.config.Nodes {
		for range count {
			placed = append(placed, domains[i%len(domains)])
		}
	}
	var seeds []netip.AddrPort
	for i := range min(3, len(placed)) {
		seeds = append(seeds, netip.AddrPortFrom(ip(i), base))
	}
	for i, domain := range placed {
		n := &process{
			name: fmt.Sprintf("node-%d", i), binary: w.config.Binary, domain: domain,
			caller: netip.AddrPortFrom(ip(i), base+1), directory: netip.AddrPortFrom(ip(i), base+3),
		}
		w.nodes = append(w.nodes, n)
		err := n.startFirst(w.dir, &conf.Settings{
			Name: n.name, FailureDomain: n.domain, Region: "tw", CallerAddress: n.caller,
			PeerAddress: netip.AddrPortFrom(ip(i), base), OpsAddress: netip.AddrPortFrom(ip(i), base+2),
			DirectoryAddress: n.directory, Platform: "http://" + w.platformAddress.String(),
			FleetKeys: []string{strings.Repeat("5a", 32)}, Seeds: seeds, FirstStart: true,
			AddressTTL: wire.Duration(rollAddressTTL), Capacity: conf.Capacity{Cores: rollCores},
			Bounds: conf.Bounds{
				RetryRatio: 0.2, RetrySlack: 58, RetryWindow: wire.Duration(10 * time.Second), ColdOvershoot: 1.5, ColdSlack: 5,
				ApplyTime: wire.Duration(applyTime), StopTime: wire.Duration(w.config.StopTime),
			},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// publish publishes a changed document.
func (w *rollWorld) publish(change func(*conf.Document)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	next, err := copyDocument(w.document)
	if err != nil {
		return err
	}
	change(next)
	next.Version++
	if err := w.platform.Publish(next); err != nil {
		return err
	}
	w.document = next
	return nil
}

func (w *rollWorld) addWork(p *plannedWork) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.work = append(w.work, p)
}

// awaitAnswer waits until each node answers a request successfully.
func (w *rollWorld) awaitAnswer(ctx context.Context) error {
	c := newRollCaller(w, w.config.Callers)
	end := time.Now().Add(startTime)
	for _, n := range w.nodes {
		for {
			x := c.newRequest()
			x.host = rollDeskHost
			if c.send(ctx, n, x); x.status == http.StatusOK {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				return errors.Newf("soak: no answer of %s within %s, logs in %s", n.name, startTime, w.dir)
			}
			clock.Sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

func (w *rollWorld) close() {
	for _, n := range w.nodes {
		n.close()
	}
	for _, s := range w.servers {
		s.Close()
	}
	if w.platform != nil {
		w.platform.Close()
	}
	if w.platformServer != nil {
		_ = w.platformServer.Close()
	}
}
