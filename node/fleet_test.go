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
	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/stand"
	"github.com/arbutusthread/arbutusthread/table"
	"github.com/arbutusthread/arbutusthread/wire"
)

// settle is how long a test waits for something to happen. It is far above the time that it takes.
const settle = 20 * time.Second

// member is a node of a fleet in one process, with its own way to the platform.
type member struct {
	*Node
	source *turnedAway
	stop   context.CancelFunc
	done   chan error
}

// turnedAway is a platform that serves other nodes but, when it is set, not this one.
type turnedAway struct {
	*stand.Published
	away atomic.Bool
	// reads counts the reads that succeeded.
	reads atomic.Int64
	// delay is how long each answer takes, in nanoseconds.
	delay atomic.Int64
}

func (s *turnedAway) hold(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(s.delay.Load())):
		return nil
	}
}

func (s *turnedAway) Load(ctx context.Context, stale bool) (feed.Delta, error) {
	if s.away.Load() {
		return feed.Delta{}, stand.ErrPlatformDown
	}
	if err := s.hold(ctx); err != nil {
		return feed.Delta{}, err
	}
	return s.Published.Load(ctx, stale)
}

func (s *turnedAway) Watch(ctx context.Context, after uint64, wait time.Duration) (feed.Delta, error) {
	if s.away.Load() {
		return feed.Delta{}, stand.ErrPlatformDown
	}
	if err := s.hold(ctx); err != nil {
		return feed.Delta{}, err
	}
	d, err := s.Published.Watch(ctx, after, wait)
	if s.away.Load() {
		return feed.Delta{}, stand.ErrPlatformDown
	}
	if err == nil {
		s.reads.Add(1)
	}
	return d, err
}

// newFleet starts a node in each failure domain. Each has a loopback address of its own in the given
// network, and the first three are seeds.
func newFleet(t *testing.T, network byte, domains ...string) (*stand.Published, []*member) {
	t.Helper()
	published := stand.NewPublished()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", netip.AddrFrom4([4]byte{127, 0, network, 1}).String()+":0")
	if err != nil {
		t.Fatal(err)
	}
	port := l.Addr().(*net.TCPAddr).AddrPort().Port()
	l.Close()
	address := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, network, byte(i + 1)}), port)
	}
	var seeds []netip.AddrPort
	for i := range min(3, len(domains)) {
		seeds = append(seeds, address(i))
	}
	var members []*member
	logs := &testLog{}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logs of the nodes:\n%s", logs)
		}
	})
	for i, d := range domains {
		m := &member{source: &turnedAway{Published: published}, done: make(chan error, 1)}
		m.Node, err = New(Config{
			Source: m.source, Headers: wire.DefaultHeaders(), Log: slog.New(slog.NewTextHandler(logs, nil)).With("Node", i),
			Settings: &conf.Settings{
				Name: fmt.Sprint("node-", i), FailureDomain: d, Region: "tw",
				CallerAddress: netip.AddrPortFrom(address(i).Addr(), port+1), PeerAddress: address(i),
				FleetKeys: []string{strings.Repeat("ab", 16)}, Seeds: seeds,
				Bounds: conf.Bounds{ApplyTime: wire.Duration(applyTime)},
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		var ctx context.Context
		ctx, m.stop = context.WithCancel(context.Background())
		go func() { m.done <- m.Run(ctx) }()
		members = append(members, m)
	}
	t.Cleanup(func() {
		for _, m := range members {
			m.stop()
			if err := <-m.done; err != nil {
				t.Error(err)
			}
		}
	})
	return published, members
}

// testLog keeps the lines of all nodes for a test that fails.
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

// applyTime is the time in which a change must be in force.
const applyTime = 3 * time.Second

func until(t *testing.T, what string, within time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s did not happen within %s", what, within)
}

func config(services ...string) table.Config {
	var c table.Config
	for _, s := range services {
		c.Services = append(c.Services, table.Service{Name: s})
	}
	return c
}

func has(m *member, service string) bool {
	t := m.Table()
	return t != nil && t.Service(service) != nil
}
