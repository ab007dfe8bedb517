package serve

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/gate"
	"github.com/arbutusthread/arbutusthread/guard"
	"github.com/arbutusthread/arbutusthread/meter"
	"github.com/arbutusthread/arbutusthread/order"
	"github.com/arbutusthread/arbutusthread/peer"
	"github.com/arbutusthread/arbutusthread/plat"
	"github.com/arbutusthread/arbutusthread/query"
	"github.com/arbutusthread/arbutusthread/trial"
)

const (
	// headerTimeout bounds reading the headers of a request, idleTimeout the time a connection may stay unused.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
)

// Config configures a node. The settings must be valid. For port 0 the system chooses a free port.
type Config struct {
	Settings *conf.Settings
	Log      *slog.Logger
	// Traces records finished queries for a replay; nil disables recording.
	Traces *trial.Recorder
}

// Node is one node of the fleet.
type Node struct {
	settings  *conf.Settings
	log       *slog.Logger
	metrics   *meter.Metrics
	decisions *DecisionLog
	traces    *trial.Recorder

	peer              *peer.Node
	platform          *plat.Client
	backend           *back.Client
	recentSuccesses   *guard.RecentSuccesses
	recentSuccessesMu sync.Mutex

	active      atomic.Pointer[activeConfig]
	installMu   sync.Mutex
	history     []*activeConfig
	configFault atomic.Pointer[string]

	holders        *sliceHolders
	orders         *orders
	leavingServers leavingServers
	callerListener net.Listener
	opsListener    net.Listener
	callerServer   *http.Server
	opsServer      *http.Server
	stopping       atomic.Bool
	stopped        chan struct{}
}

// activeConfig is an installed configuration with its query catalog, its index of callers and its hash.
type activeConfig struct {
	catalog *query.Catalog
	callers *conf.CallerIndex
	hash    string
}

// New opens the sockets of a node, which starts serving with Run. It returns an error if the platform URL, a
// certificate or a fleet key is invalid, or if a socket cannot be opened.
func New(c Config) (*Node, error) {
	s := c.Settings
	n := &Node{
		settings: s, log: c.Log, traces: c.Traces, metrics: meter.New(s.Name, s.FailureDomain),
		decisions:       NewDecisionLog(c.Log, s.Log.Sample(), s.Limits.Decisions),
		recentSuccesses: guard.NewRecentSuccesses(recentSuccessLimit, recentSuccessTTL),
		backend:         back.NewClient(back.Config{MaxAnswer: s.Limits.AnswerBytes, Logger: c.Log}),
		stopped:         make(chan struct{}),
	}
	n.holders = newSliceHolders(n)
	if err := n.open(); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

func (n *Node) open() error {
	s := n.settings
	platform, err := plat.New(plat.Config{URL: s.Platform})
	if err != nil {
		return errors.Wrap(err, "serve: settings: Platform")
	}
	n.platform = platform
	server, client, err := n.tls()
	if err != nil {
		return err
	}
	if n.callerListener, err = listen(s.CallerAddress, server); err != nil {
		return err
	}
	if n.opsListener, err = listen(s.OpsAddress, server); err != nil {
		return err
	}
	callers := gate.Callers.Pool(s.Capacity)
	if s.Limits.CallerConnections > 0 {
		callers.Clients = min(callers.Clients, s.Limits.CallerConnections)
	}
	callerGate := gate.New(gate.Config{Listener: "callers", Pool: callers, Metrics: n.metrics, Log: n.log})
	opsGate := gate.New(gate.Config{Listener: "operators", Pool: gate.Operators.Pool(s.Capacity), Metrics: n.metrics, Log: n.log})
	n.callerListener, n.opsListener = callerGate.Listener(n.callerListener), opsGate.Listener(n.opsListener)
	n.callerServer, n.opsServer = n.httpServer(n.callerHandler(), callerGate), n.httpServer(n.opsHandler(), opsGate)
	return n.openPeer(server, client)
}

func (n *Node) openPeer(server, client *tls.Config) error {
	s := n.settings
	p, err := peer.New(peer.Config{
		Member: fleet.Member{
			Address: s.PeerAddress, Caller: n.CallerAddress(), FailureDomain: s.FailureDomain, Region: s.Region,
		},
		Keys: s.Keys(), ServerTLS: server, ClientTLS: client, OnEvent: n.handleEvent, Capacity: s.Capacity, Metrics: n.metrics,
		Log: n.log,
		Handlers: peer.Handlers{
			Slice: n.servePeerSlice, Order: n.servePeerOrder, Execute: n.servePeerExecute,
			Document: n.documentSince, InstallDocument: n.installPulled,
		},
	})
	if err != nil {
		return err
	}
	n.peer = p
	signer, err := order.NewSigner(s.Keys())
	if err != nil {
		return errors.Wrap(err, "serve: settings: FleetKeys")
	}
	n.orders, err = newOrders(n, signer)
	return err
}

// tls returns the TLS configurations of the listeners and of requests to peers; both are nil if TLS is disabled.
func (n *Node) tls() (server, client *tls.Config, err error) {
	t := n.settings.TLS
	if !t.Enabled() {
		return nil, nil, nil
	}
	certs, err := LoadCertificates(t.Certificate, t.Key)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{GetCertificate: certs.Get, MinVersion: tls.VersionTLS12}
	client = &tls.Config{MinVersion: tls.VersionTLS12}
	if t.CA != "" {
		if client.RootCAs, err = LoadCertPool(t.CA); err != nil {
			return nil, nil, err
		}
	}
	return server, client, nil
}

func listen(a netip.AddrPort, t *tls.Config) (net.Listener, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Wrapf(err, "serve: listen on %s", a)
	}
	if t == nil {
		return l, nil
	}
	return tls.NewListener(l, t), nil
}

// CallerAddress returns the listen address for callers.
func (n *Node) CallerAddress() netip.AddrPort {
	return listenAddress(n.callerListener)
}

// OpsAddress returns the listen address for operators.
func (n *Node) OpsAddress() netip.AddrPort {
	return listenAddress(n.opsListener)
}

// PeerAddress returns the listen address for other nodes.
func (n *Node) PeerAddress() netip.AddrPort {
	return n.peer.Self().Address
}

func listenAddress(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves until ctx is canceled, which aborts requests in flight, or until a graceful shutdown by Stop completes.
// It returns the first socket error.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.peer.Run(ctx) })
	group.Go(func() error { return serveHTTP(ctx, n.callerServer, n.callerListener) })
	group.Go(func() error { return serveHTTP(ctx, n.opsServer, n.opsListener) })
	group.Go(func() error { n.watchConfig(ctx); return nil })
	group.Go(func() error { n.watchVMs(ctx); return nil })
	group.Go(func() error { n.maintainHolders(ctx); return nil })
	group.Go(func() error {
		select {
		case <-n.stopped:
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	n.log.Info("node started", "Name", n.settings.Name, "FailureDomain", n.settings.FailureDomain,
		"CallerAddress", n.CallerAddress(), "PeerAddress", n.PeerAddress(), "OpsAddress", n.OpsAddress())
	err := group.Wait()
	n.close()
	return err
}

func (n *Node) httpServer(h http.Handler, g *gate.Gate) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: g.ConnState, ConnContext: g.ConnContext,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
}

func serveHTTP(ctx context.Context, s *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve: accept connections on %s", l.Addr())
	}
	return nil
}

func (n *Node) close() {
	n.holders.close()
	n.backend.Close()
	_ = n.metrics.Close()
	for _, l := range []net.Listener{n.callerListener, n.opsListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Ready reports whether the node has an active configuration and its peer layer is ready to serve requests.
func (n *Node) Ready() bool {
	return n.active.Load() != nil && n.peer.Ready()
}
