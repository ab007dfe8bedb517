package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/node"
	"github.com/arbutusthread/arbutusthread/table"
	"github.com/arbutusthread/arbutusthread/wire"
)

var nopLog = slog.New(slog.DiscardHandler)

// waitTimeout is the time after which waitFor fails. It is far longer than any condition normally takes.
const waitTimeout = 20 * time.Second

// defaultTestStopTime is the stop time of the nodes of a fixture.
const defaultTestStopTime = 2 * time.Second

// fixture is a fleet of nodes in one process with stand-ins for the platform and for backend servers.
type fixture struct {
	*testing.T
	published *fake.MemoryPlatform
	servers   map[string]*fake.RoutedServer
	nodes     []*runningNode
	stopTime  time.Duration
}

type runningNode struct {
	*node.Node
	caller  netip.AddrPort
	stop    context.CancelFunc
	stopped chan error
}

// newFixture starts a node in each failure domain. Each node has its own loopback address.
func newFixture(t *testing.T, domains ...string) *fixture {
	return newFixtureWithStopTime(t, defaultTestStopTime, domains...)
}

func newFixtureWithStopTime(t *testing.T, stopTime time.Duration, domains ...string) *fixture {
	f := &fixture{T: t, published: fake.NewMemoryPlatform(), servers: make(map[string]*fake.RoutedServer), stopTime: stopTime}
	port := freePort(t)
	var seeds []netip.AddrPort
	for i := range domains {
		seeds = append(seeds, netip.AddrPortFrom(loopback(i), port))
	}
	for i, d := range domains {
		f.startNode(i, d, port, seeds)
	}
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.stop()
			if err := <-n.stopped; err != nil {
				t.Error(err)
			}
		}
		for _, s := range f.servers {
			s.Close()
		}
	})
	return f
}

func loopback(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 77, byte(i + 1)}) }

func freePort(t *testing.T) uint16 {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.77.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort().Port()
}

func (f *fixture) startNode(i int, domain string, port uint16, seeds []netip.AddrPort) {
	f.Helper()
	settings := &conf.Settings{
		Name: fmt.Sprint("node-", i), FailureDomain: domain, Region: "tw",
		CallerAddress: netip.AddrPortFrom(loopback(i), freePort(f.T)), PeerAddress: netip.AddrPortFrom(loopback(i), port),
		FleetKeys: []string{strings.Repeat("ab", 16)}, Seeds: seeds,
		Limits: conf.Limits{AnswerBytes: 1 << 20},
		Bounds: conf.Bounds{
			RetryRatio: 0.2, RetrySlack: 50, RetryWindow: wire.Duration(10 * time.Second),
			ApplyTime: wire.Duration(3 * time.Second), StopTime: wire.Duration(f.stopTime),
		},
	}
	n, err := node.New(node.Config{Settings: settings, Source: f.published, Headers: wire.DefaultHeaders(), Log: nopLog})
	if err != nil {
		f.Fatal(err)
	}
	handler := NewHandler(Config{Backend: n, Headers: wire.DefaultHeaders(), Metrics: n.Metrics(), Log: nopLog})
	ctx, stop := context.WithCancel(context.Background())
	r := &runningNode{Node: n, caller: settings.CallerAddress, stop: stop, stopped: make(chan error, 1)}
	go func() {
		r.stopped <- Serve(ctx, &Runtime{
			CallerAddress: settings.CallerAddress, Run: n.Run, Leave: n.Leave, StopTime: n.StopTime, Log: nopLog,
			Server: NewServer(ServerConfig{Handler: handler, Limits: func() table.Limits { return table.Limits{} }, Log: nopLog}),
		})
	}()
	f.nodes = append(f.nodes, r)
	f.waitFor("the node listens", func() bool {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", settings.CallerAddress.String())
		if err == nil {
			c.Close()
		}
		return err == nil
	})
}

// startServer starts a backend server of a service and publishes it.
func (f *fixture) startServer(service, domain string, c fake.RoutedConfig) *fake.RoutedServer {
	f.Helper()
	c.ID = service + "-" + domain
	s, err := fake.NewRoutedServer(netip.MustParseAddrPort("127.0.0.1:0"), c)
	if err != nil {
		f.Fatal(err)
	}
	f.servers[c.ID] = s
	f.published.PutServer(f.serverEntry(c.ID, service, domain))
	return s
}

func (f *fixture) serverEntry(id, service, domain string) feed.Server {
	return feed.Server{ID: id, Service: service, Address: f.servers[id].Address(), FailureDomain: domain, Slots: 2}
}

// testRoutes returns the routes of the tests: two over shards, of which one has a single shard, and others to a single service.
func testRoutes() table.Config {
	return table.Config{
		Routes: []table.Route{
			{
				Name: "sweep", Host: "ledger.example", Prefix: "/sweep/", Shards: []string{"a", "b", "c"}, Idempotent: true,
				Timeout: wire.Duration(2 * time.Second), TargetLatency: wire.Duration(300 * time.Millisecond),
				MaxAttempts: 2, TopK: 5, MinCoverage: 0.6,
			},
			{
				Name: "desk", Host: "ledger.example", Prefix: "/desk/", Shards: []string{"a"}, Idempotent: true,
				Timeout: wire.Duration(2 * time.Second), TargetLatency: wire.Duration(300 * time.Millisecond),
				MaxAttempts: 2, TopK: 5, MinCoverage: 0.6,
			},
			{
				Name: "lookup", Host: "ledger.example", Prefix: "/lookup/", Idempotent: true, MaxAttempts: 2,
				Timeout: wire.Duration(2 * time.Second), Targets: []table.Target{{Service: "ledger", Weight: 1}},
			},
			{
				Name: "order", Host: "ledger.example", Prefix: "/order/", MaxAttempts: 2,
				Timeout: wire.Duration(time.Second), Targets: []table.Target{{Service: "ledger", Weight: 1}},
			},
			{
				Name: "report", Host: "ledger.example", Prefix: "/report/", Idempotent: true, MaxAttempts: 2,
				Timeout: wire.Duration(8 * time.Second), Targets: []table.Target{{Service: "ledger", Weight: 1}},
			},
			{
				Name: "payment", Host: "ledger.example", Prefix: "/payment/", MaxAttempts: 2,
				Timeout: wire.Duration(8 * time.Second), Targets: []table.Target{{Service: "ledger", Weight: 1}},
			},
		},
		Services: []table.Service{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "ledger", Connections: 25}},
	}
}

// waitFor waits for a condition. It fails the test after waitTimeout.
func (f *fixture) waitFor(condition string, ok func() bool) {
	f.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.Fatalf("condition %q not met within %s", condition, waitTimeout)
}

// publishRoutes publishes the routes and waits until all nodes are ready.
func (f *fixture) publishRoutes() {
	f.Helper()
	f.published.SetConfig(testRoutes())
	for _, n := range f.nodes {
		f.waitFor("a node is ready", n.Ready)
	}
}

type response struct {
	status int
	header http.Header
	body   string
}

var requestCount int

// send sends one request to a node on a new connection.
func (f *fixture) send(n *runningNode, method, uri, body string, header ...string) response {
	f.Helper()
	requestCount++
	r, err := http.NewRequestWithContext(f.Context(), method, "http://"+n.caller.String()+uri, strings.NewReader(body))
	if err != nil {
		f.Fatal(err)
	}
	r.Host = "ledger.example"
	r.Header.Set("Request-Id", fmt.Sprint("r", requestCount))
	r.Header.Set("Request-Timeout", "1500")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(r)
	if err != nil {
		f.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		f.Fatal(err)
	}
	return response{resp.StatusCode, resp.Header, string(b)}
}

// dial opens a connection to a node.
func (f *fixture) dial(n *runningNode) (net.Conn, *bufio.Reader) {
	f.Helper()
	c, err := new(net.Dialer).DialContext(f.Context(), "tcp", n.caller.String())
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

// readResponse reads one response from a connection. last reports that the node closes the connection.
func readResponse(in *bufio.Reader) (a response, last bool, err error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return response{}, false, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(body)}, resp.Close, err
}
