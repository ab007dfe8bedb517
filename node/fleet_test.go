package node

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/table"
	"github.com/arbutusthread/arbutusthread/wire"
)

// eventTimeout is the timeout for an event in a test, far above the time that the event usually takes.
const eventTimeout = 20 * time.Second

// member is a node of an in-process fleet, with its own link to the platform.
type member struct {
	*Node
	source *platformLink
	stop   context.CancelFunc
	done   chan error
}

// platformLink is the link of one node to the platform. When unavailable is set, only this node's reads fail.
type platformLink struct {
	*fake.MemoryPlatform
	unavailable atomic.Bool
	// cut makes the answers to watches that have changes unreadable.
	cut atomic.Bool
	// reads counts the reads that succeeded, and loads the loads.
	reads, loads atomic.Int64
	// delay is added to each answer, in nanoseconds.
	delay atomic.Int64
	// panics is the number of further reads that panic, as on an answer that a decoder does not expect.
	panics atomic.Int64
}

func (s *platformLink) waitDelay(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(s.delay.Load())):
		return nil
	}
}

func (s *platformLink) Load(ctx context.Context, stale bool) (feed.Delta, error) {
	s.loads.Add(1)
	if s.panics.Add(-1) >= 0 {
		panic("malformed answer")
	}
	if s.unavailable.Load() {
		return feed.Delta{}, fake.ErrPlatformDown
	}
	if err := s.waitDelay(ctx); err != nil {
		return feed.Delta{}, err
	}
	return s.MemoryPlatform.Load(ctx, stale)
}

func (s *platformLink) Watch(ctx context.Context, after feed.Revision, wait time.Duration) (feed.Delta, error) {
	if s.panics.Add(-1) >= 0 {
		panic("malformed answer")
	}
	if s.unavailable.Load() {
		return feed.Delta{}, fake.ErrPlatformDown
	}
	if err := s.waitDelay(ctx); err != nil {
		return feed.Delta{}, err
	}
	d, err := s.MemoryPlatform.Watch(ctx, after, wait)
	if s.unavailable.Load() {
		return feed.Delta{}, fake.ErrPlatformDown
	}
	if s.cut.Load() && len(d.Changes) > 0 {
		return feed.Delta{}, feed.ErrIncomplete
	}
	if err == nil {
		s.reads.Add(1)
	}
	return d, err
}

// newFleet starts one node for each entry of domains, which is its failure domain. Each node has its own loopback
// address in 127.0.network.0/24, and the first three are seeds.
func newFleet(t *testing.T, network byte, domains ...string) (*fake.MemoryPlatform, []*member) {
	t.Helper()
	f := newTestFleet(t, network, len(domains))
	var members []*member
	for _, d := range domains {
		members = append(members, f.start(d))
	}
	return f.published, members
}

// testFleet starts nodes that are stopped at the end of the test.
type testFleet struct {
	t         *testing.T
	published *fake.MemoryPlatform
	network   byte
	port      uint16
	seeds     []netip.AddrPort
	logs      *testLog
	started   int
}

// newTestFleet returns a fleet without nodes. The first nodes that are started, three at most, are seeds.
func newTestFleet(t *testing.T, network byte, nodes int) *testFleet {
	t.Helper()
	f := &testFleet{t: t, published: fake.NewMemoryPlatform(), network: network, logs: &testLog{}}
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", f.address(0).Addr().String()+":0")
	if err != nil {
		t.Fatal(err)
	}
	f.port = l.Addr().(*net.TCPAddr).AddrPort().Port()
	l.Close()
	for i := range min(3, nodes) {
		f.seeds = append(f.seeds, f.address(i))
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logs of the nodes:\n%s", f.logs)
		}
	})
	return f
}

func (f *testFleet) address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, f.network, byte(i + 1)}), f.port)
}

// start starts one more node.
func (f *testFleet) start(domain string) *member {
	f.t.Helper()
	i := f.started
	f.started++
	address := f.address(i)
	m := &member{source: &platformLink{MemoryPlatform: f.published}, done: make(chan error, 1)}
	var err error
	m.Node, err = New(Config{
		Source: m.source, Headers: wire.DefaultHeaders(), Log: slog.New(slog.NewTextHandler(f.logs, nil)).With("Node", i),
		Settings: &conf.Settings{
			Name: fmt.Sprint("node-", i), FailureDomain: domain, Region: "tw",
			CallerAddress: netip.AddrPortFrom(address.Addr(), f.port+1), PeerAddress: address,
			FleetKeys: []string{strings.Repeat("ab", 16)}, Seeds: f.seeds,
			Bounds: conf.Bounds{ApplyTime: wire.Duration(applyTime)},
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	var ctx context.Context
	ctx, m.stop = context.WithCancel(context.Background())
	go func() { m.done <- m.Run(ctx) }()
	f.t.Cleanup(func() {
		m.stop()
		if err := <-m.done; err != nil {
			f.t.Error(err)
		}
	})
	return m
}

// testLog collects the log lines of all nodes, which are printed if the test fails.
type testLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *testLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *testLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// applyTime is the time within which a change must take effect.
const applyTime = 3 * time.Second

func waitFor(t *testing.T, event string, within time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out after %s waiting for %s", within, event)
}

func config(services ...string) table.Config {
	var c table.Config
	for _, s := range services {
		c.Services = append(c.Services, table.Service{Name: s})
	}
	return c
}

func hasService(m *member, service string) bool {
	t := m.Table()
	return t != nil && t.Service(service) != nil
}
