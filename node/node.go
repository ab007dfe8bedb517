// Package node runs one node for routed requests: it reads the platform, passes its data on to
// other nodes, and serves requests by backend servers. Adapters put it behind the protocols of a
// deployment.
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

// Source reads what the platform publishes. It is safe for concurrent use.
type Source interface {
	// Load reads everything. A stale read is cheap, and may be seconds old.
	Load(ctx context.Context, stale bool) (feed.Delta, error)
	// Watch returns the changes after a revision as soon as there are any, and an empty delta when
	// there are none within the wait. Its error is feed.ErrGone when the changes are no longer
	// kept.
	Watch(ctx context.Context, after uint64, wait time.Duration) (feed.Delta, error)
}

// Config describes a node. The settings must have passed their check.
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
	// settings are those in force; they change by Reload.
	settings atomic.Pointer[conf.Settings]
	peer     *peer.Node
	backend  *back.Client
	table    atomic.Pointer[table.Table]
	// servers are the failure domains in which services have servers.
	servers atomic.Pointer[place.Servers]

	feedMu sync.Mutex
	feed   *feed.State
	reader *feed.Reader
	expiry *time.Timer
	// sharers are the nodes that share the servers.
	sharers sharers
	// answers are those that the directory has given since the last change.
	answers answers
	// counting means that a count of the nodes is due.
	counting atomic.Bool

	mu       sync.Mutex
	engine   *gather.Engine
	splitter *table.Splitter
	calls    map[gather.JobID]*call
	attempts map[gather.AttemptID]context.CancelFunc
	// probed are the servers to which a connection is made after one broke.
	probed map[netip.AddrPort]bool
	relays map[gather.RelayID]context.CancelFunc
	attemptCounters
	blame *guard.Blame

	statusMu sync.Mutex
	status   fleet.Status

	stopping atomic.Bool
	started  time.Time
	// met means that the node has been in touch with all others at once.
	met atomic.Bool
	// meetings count the nodes again at the end of hearWithin and of meetWithin.
	meetings []*time.Timer
}

// New opens the sockets between nodes. Run must be called to use the node.
func New(c Config) (*Node, error) {
	s := c.Settings
	n := &Node{
		config: c, log: c.Log, metrics: meter.New(s.Name, s.FailureDomain), attemptCounters: make(attemptCounters),
		blame:   guard.NewBlame(),
		started: time.Now(),
		backend: back.NewClient(back.Config{
			MaxAnswer: s.Limits.AnswerBytes, Headers: c.Headers, Logger: c.Log,
		}),
		feed: feed.NewState(), splitter: table.NewSplitter(),
		reader: feed.NewReader(feed.ReaderConfig{
			Started: time.Now(), Seed: isSeed(s), FirstStart: s.FirstStart, ApplyTime: s.Bounds.ApplyTime.Std(),
		}),
		calls: make(map[gather.JobID]*call), attempts: make(map[gather.AttemptID]context.CancelFunc),
		probed: make(map[netip.AddrPort]bool),
		relays: make(map[gather.RelayID]context.CancelFunc),
		engine: gather.New(gather.Config{
			FailureDomain: s.FailureDomain, Seed: rand.Uint64(),
			Budget: budgetOf(s), Start: time.Now(), FirstStart: s.FirstStart,
		}),
	}
	n.engine.SetNodes(0)
	n.settings.Store(s)
	n.expiry = time.AfterFunc(time.Hour, n.expire)
	p, err := peer.New(peer.Config{
		Member: fleet.Member{
			Address: s.PeerAddress, Caller: s.CallerAddress, FailureDomain: s.FailureDomain, Region: s.Region,
			Weight: s.Capacity.Weight(),
		},
		Keys: s.Keys(), Heartbeat: heartbeat, Event: n.event, Log: c.Log,
		Handlers: peer.Handlers{Feed: n.feedSince, Position: n.position, Fed: n.fed, Gather: n.gather},
	})
	if err != nil {
		n.backend.Close()
		return nil, errors.CombineErrors(err, n.metrics.Close())
	}
	n.peer = p
	n.peer.SetSeeds(seedAddresses(s))
	n.countNodes()
	for _, d := range []time.Duration{hearWithin, meetWithin} {
		n.meetings = append(n.meetings, time.AfterFunc(d, n.countNodes))
	}
	return n, nil
}

func budgetOf(s *conf.Settings) gather.BudgetConfig {
	b := s.Bounds
	return gather.BudgetConfig{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow.Std()}
}

// Reload takes over the seeds and bounds of new settings, which must have passed their check. Addresses
// and names need a restart.
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

// heartbeat is the time between two heartbeats to a node. A dead node is known after four of them,
// which is below the time for which callers keep an answer with its address.
const heartbeat = 300 * time.Millisecond

// isSeed reports whether others start by asking this node.
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

// seedAddresses returns the peer addresses of the seeds, which have the same port on all nodes.
func seedAddresses(s *conf.Settings) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, a := range s.Seeds {
		seeds = append(seeds, netip.AddrPortFrom(a.Addr(), s.PeerAddress.Port()))
	}
	return seeds
}

// Run serves until ctx ends or a socket fails.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.peer.Run(ctx) })
	group.Go(func() error { n.read(ctx); return nil })
	group.Go(func() error { n.gauge(ctx); return nil })
	err := group.Wait()
	for _, t := range n.meetings {
		t.Stop()
	}
	n.backend.Close()
	return errors.CombineErrors(err, n.metrics.Close())
}

// Leave announces a planned stop to the other nodes. The node goes on serving.
func (n *Node) Leave() {
	if n.stopping.CompareAndSwap(false, true) {
		n.peer.Leave()
	}
}

// setBlind tells the other nodes whether this one can read the platform.
func (n *Node) setBlind(blind bool) {
	n.statusMu.Lock()
	defer n.statusMu.Unlock()
	if n.status.Blind != blind {
		n.status.Blind = blind
		n.peer.SetStatus(n.status)
	}
}

// Table returns the routes in force, or nil before the first configuration.
func (n *Node) Table() *table.Table { return n.table.Load() }

// Ready reports whether the node serves callers and should be given new ones.
func (n *Node) Ready() bool { return n.table.Load() != nil && !n.stopping.Load() }

// Members returns the known nodes.
func (n *Node) Members() []fleet.Member { return n.peer.Members() }

func (n *Node) event(e fleet.Event) {
	switch e.Kind {
	case fleet.MemberUp, fleet.MemberLeaving, fleet.MemberDown:
		n.log.Info("member changed", "Event", e.Kind, "Peer", e.Member.Address, "FailureDomain", e.Member.FailureDomain)
		n.answers.clear()
		if n.counting.CompareAndSwap(false, true) {
			time.AfterFunc(countDelay, func() {
				n.counting.Store(false)
				n.countNodes()
			})
		}
	case fleet.NoteReceived:
		n.noted(e.Note)
	}
}

var errNoFeed = errors.New("node: peer has no data")
