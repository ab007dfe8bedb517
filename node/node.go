// Package node runs one node for routed requests. A node reads the platform, replicates the data to other nodes, and
// forwards requests to backend servers. Adapters expose it over the protocols of a deployment.
package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/guard"
	"github.com/arbutusthread/arbutusthread/meter"
	"github.com/arbutusthread/arbutusthread/peer"
	"github.com/arbutusthread/arbutusthread/place"
	"github.com/arbutusthread/arbutusthread/table"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Source reads the data that the platform publishes. It is safe for concurrent use.
type Source interface {
	// Load reads a full snapshot of one era. A stale read is cheap, and may return data that is seconds old. It returns
	// feed.ErrRestored when the era has changed during the read.
	Load(ctx context.Context, stale bool) (feed.Delta, error)
	// Watch returns the changes after a revision as soon as there are any, or an empty delta when
	// there are none within the wait. It returns feed.ErrCompacted when the platform no longer keeps the
	// changes after the revision, and feed.ErrRestored when the revision is of an earlier era.
	Watch(ctx context.Context, after feed.Revision, wait time.Duration) (feed.Delta, error)
}

// Config holds the settings and dependencies of a node. The settings must have passed Settings.Check.
type Config struct {
	Settings *conf.Settings
	Source   Source
	Headers  wire.Headers
	Log      *slog.Logger
}

// Node is one node of the fleet.
type Node struct {
	config  Config
	log     *slog.Logger
	metrics *meter.Metrics
	// settings are the current settings; Reload replaces them.
	settings atomic.Pointer[conf.Settings]
	peer     *peer.Node
	backend  *back.Client
	table    atomic.Pointer[table.Table]
	// activeDomains holds, by service, the failure domains with servers that are not draining.
	activeDomains atomic.Pointer[place.DomainsByService]

	feedMu      sync.Mutex
	feed        *feed.State
	reader      *feed.Reader
	expiryTimer *time.Timer
	// sharerCount is guarded by feedMu.
	sharerCount sharerCount
	// addressCache holds directory answers since the last change of members, routes or servers.
	addressCache addressCache
	// recountPending means that a call of countNodes is scheduled.
	recountPending atomic.Bool

	mu       sync.Mutex
	engine   *gather.Engine
	splitter *table.Splitter
	calls    map[gather.JobID]*call
	attempts map[gather.AttemptID]context.CancelFunc
	// probing holds the servers that are being probed after a broken connection.
	probing map[netip.AddrPort]bool
	relays  map[gather.RelayID]context.CancelFunc
	attemptCounters
	quarantine *guard.PoisonDetector
	// livePeers are the addresses of the members that are alive, among which trials of poison requests are staggered.
	livePeers []netip.AddrPort

	statusMu sync.Mutex
	status   fleet.Status

	stopping atomic.Bool
	started  time.Time
	// discovered means that the node has been in touch with all others at once, or that discoveryTimeout has passed.
	discovered atomic.Bool
	// recountTimers call countNodes at the end of discoveryTime and of discoveryTimeout.
	recountTimers []*time.Timer
}

// New returns a node with its peer sockets open. Run must be called to use the node. It returns an error when the
// peer sockets cannot be opened.
func New(c Config) (*Node, error) {
	s := c.Settings
	n := &Node{
		config: c, log: c.Log, metrics: meter.New(s.Name, s.FailureDomain), attemptCounters: make(attemptCounters),
		quarantine: guard.NewPoisonDetector(),
		started:    time.Now(),
		backend: back.NewClient(back.Config{
			MaxAnswer: s.Limits.AnswerBytes, Headers: c.Headers, Logger: c.Log,
		}),
		feed: feed.NewState(), splitter: table.NewSplitter(),
		reader: feed.NewReader(feed.ReaderConfig{
			Started: time.Now(), Seed: isSeed(s), FirstStart: s.FirstStart, ApplyTime: s.Bounds.ApplyTime.Std(),
		}),
		calls: make(map[gather.JobID]*call), attempts: make(map[gather.AttemptID]context.CancelFunc),
		probing: make(map[netip.AddrPort]bool),
		relays:  make(map[gather.RelayID]context.CancelFunc),
		engine: gather.New(gather.Config{
			FailureDomain: s.FailureDomain, Cores: s.Capacity.Cores, Seed: rand.Uint64(),
			Budget: budgetOf(s), Start: time.Now(), FirstStart: s.FirstStart,
		}),
	}
	n.engine.SetNodes(0)
	n.settings.Store(s)
	n.expiryTimer = time.AfterFunc(time.Hour, n.dropExpired)
	p, err := peer.New(peer.Config{
		Member: fleet.Member{
			Address: s.PeerAddress, Caller: s.CallerAddress, FailureDomain: s.FailureDomain, Region: s.Region,
			Weight: s.Capacity.Weight(), Millicores: s.Capacity.Millicores(),
		},
		Keys: s.Keys(), Heartbeat: heartbeatInterval, OnEvent: n.handleEvent, Capacity: s.Capacity, Metrics: n.metrics, Log: c.Log,
		Handlers: peer.Handlers{Feed: n.feedSince, FeedPosition: n.position, ApplyFeed: n.applyPeerDelta, Gather: n.serveRelay},
	})
	if err != nil {
		n.backend.Close()
		return nil, errors.CombineErrors(err, n.metrics.Close())
	}
	n.peer = p
	n.peer.SetSeeds(seedAddresses(s))
	n.countNodes()
	for _, d := range []time.Duration{discoveryTime, discoveryTimeout} {
		n.recountTimers = append(n.recountTimers, time.AfterFunc(d, n.countNodes))
	}
	return n, nil
}

func budgetOf(s *conf.Settings) gather.BudgetConfig {
	b := s.Bounds
	return gather.BudgetConfig{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow.Std()}
}

// Reload applies the seeds and bounds of new settings, which must have passed Settings.Check. Other settings, such as
// addresses and names, need a restart.
func (n *Node) Reload(s *conf.Settings) {
	next := *n.settings.Load()
	next.Seeds, next.Bounds = s.Seeds, s.Bounds
	n.settings.Store(&next)
	n.peer.SetSeeds(seedAddresses(&next))
	n.mu.Lock()
	n.engine.SetBudget(budgetOf(&next))
	n.mu.Unlock()
	n.countNodes()
}

// heartbeatInterval is the time between two heartbeats to a node. A dead node is detected after four of them, which
// is shorter than the time for which callers cache a directory answer with its address.
const heartbeatInterval = 300 * time.Millisecond

// isSeed reports whether this node is a seed, which other nodes contact first when they start. It is true where the
// settings list no seeds.
func isSeed(s *conf.Settings) bool {
	if len(s.Seeds) == 0 {
		return true
	}
	for _, a := range s.Seeds {
		if a.Addr() == s.PeerAddress.Addr() {
			return true
		}
	}
	return false
}

// seedAddresses returns the peer addresses of the seeds. The peer port is the same on all nodes.
func seedAddresses(s *conf.Settings) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, a := range s.Seeds {
		seeds = append(seeds, netip.AddrPortFrom(a.Addr(), s.PeerAddress.Port()))
	}
	return seeds
}

// Run runs the node until ctx ends or a socket fails, whose error it returns. It releases all resources of the node.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.peer.Run(ctx) })
	group.Go(func() error { n.read(ctx); return nil })
	group.Go(func() error { n.runGauges(ctx); return nil })
	err := group.Wait()
	for _, t := range n.recountTimers {
		t.Stop()
	}
	n.backend.Close()
	return errors.CombineErrors(err, n.metrics.Close())
}

// Leave announces a planned stop to the other nodes. The node continues to serve requests, and ends each of them by the
// given time with an answer to its caller.
func (n *Node) Leave(end time.Time) {
	if n.stopping.CompareAndSwap(false, true) {
		n.stopRequestsAt(end)
		n.peer.Leave(end)
	}
}

func (n *Node) stopRequestsAt(end time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.engine.StopAt(end)
	for _, c := range n.calls {
		n.scheduleTick(now, c)
	}
}

// StopTime returns the time within which the node must stop, by its current settings; 0 means that they have none.
func (n *Node) StopTime() time.Duration { return n.settings.Load().Bounds.StopTime.Std() }

// setBlind publishes to the other nodes whether this one can read the platform.
func (n *Node) setBlind(blind bool) {
	n.statusMu.Lock()
	defer n.statusMu.Unlock()
	if n.status.Blind != blind {
		n.status.Blind = blind
		n.peer.SetStatus(n.status)
	}
}

// Table returns the current routing table, or nil before the first configuration.
func (n *Node) Table() *table.Table { return n.table.Load() }

// Ready reports whether the node has a configuration and is not stopping, so that it can be given new callers.
func (n *Node) Ready() bool { return n.table.Load() != nil && !n.stopping.Load() }

// Members returns the known nodes of the fleet, including those that are down or leaving.
func (n *Node) Members() []fleet.Member { return n.peer.Members() }

func (n *Node) handleEvent(e fleet.Event) {
	switch e.Kind {
	case fleet.MemberUp, fleet.MemberLeaving, fleet.MemberDown:
		n.log.Info("member changed", "Event", e.Kind, "Peer", e.Member.Address, "FailureDomain", e.Member.FailureDomain)
		n.addressCache.clear()
		if n.recountPending.CompareAndSwap(false, true) {
			time.AfterFunc(recountDelay, func() {
				n.recountPending.Store(false)
				n.countNodes()
			})
		}
	case fleet.NoteReceived:
		n.mergeNote(e.Note)
	}
}

var errNoFeed = errors.New("node: peer has no data")
