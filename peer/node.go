package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/gate"
	"github.com/arbutusthread/arbutusthread/panics"
	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
)

const (
	// receiveBuffer is the size of the UDP receive buffer in bytes. It holds the heartbeats that arrive during a
	// short pause of the process.
	receiveBuffer = 1 << 20
	// maxReceiveFailures is the number of consecutive receive errors that Run tolerates; the next one ends it.
	maxReceiveFailures = 1000
	// maxConcurrentPulls is the maximum number of concurrent pulls from peers.
	maxConcurrentPulls = 2
)

// Node runs the fleet state machine over UDP and serves HTTP requests of other nodes. It is safe for concurrent
// use. The embedded Client sends HTTP requests to other nodes.
type Node struct {
	*Client
	config      Config
	socket      *net.UDPConn
	listener    net.Listener
	server      *http.Server
	gate        *gate.Gate
	conns       activeConns
	counters    counters
	pullPermits chan struct{}
	goroutines  sync.WaitGroup

	mu     sync.Mutex
	clock  *clock
	fleet  *fleet.Node
	events []fleet.Event
	wake   chan struct{}
	// stopEnd is the time by which requests end in a planned stop, zero if there is no limit.
	stopEnd time.Time
}

// New opens the TCP and the UDP socket at the address of the member. Call Run to serve them; Run also closes them.
// New fails if the configuration is invalid or a socket cannot be opened.
func New(c Config) (*Node, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	listener, socket, err := listen(c.Member.Address)
	if err != nil {
		return nil, err
	}
	c.Member.Address = socket.LocalAddr().(*net.UDPAddr).AddrPort()
	c.Member.Address = netip.AddrPortFrom(c.Member.Address.Addr().Unmap(), c.Member.Address.Port())
	n := &Node{
		config: c, socket: socket, listener: listener,
		pullPermits: make(chan struct{}, maxConcurrentPulls), wake: make(chan struct{}, 1), clock: newClock(),
		conns: activeConns{active: make(map[net.Conn]bool)},
	}
	n.fleet = fleet.New(fleet.Config{Member: c.Member, Start: n.clock.base, Codec: c.Codec, Heartbeat: c.Heartbeat}, n.clock.base)
	n.Client = newClient(c)
	n.gate = newGate(c)
	n.server = newServer(n)
	return n, nil
}

// listen opens a TCP and a UDP socket on the same port.
func listen(a netip.AddrPort) (net.Listener, *net.UDPConn, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(context.Background(), "tcp", a.String())
	if err != nil {
		return nil, nil, errors.Wrapf(err, "peer: listen for HTTP at %s", a)
	}
	port := listener.Addr().(*net.TCPAddr).AddrPort().Port()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(a.Addr(), port)))
	if err != nil {
		listener.Close()
		return nil, nil, errors.Wrapf(err, "peer: listen for datagrams at %s", a)
	}
	// The system may grant a smaller buffer, which only makes packet loss in a burst more likely.
	_ = socket.SetReadBuffer(receiveBuffer)
	return listener, socket, nil
}

// Run serves until ctx ends or a socket fails. It closes both sockets before it returns. It returns the
// errors of the sockets, or nil if it ended because ctx ended.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 2)
	go func() { failed <- n.serveHTTP() }()
	go func() { failed <- n.receive() }()
	n.goroutines.Go(func() { n.tick(ctx) })
	n.goroutines.Go(func() { n.dispatch(ctx) })
	var err error
	running := 2
	select {
	case <-ctx.Done():
	case err = <-failed:
		running--
	}
	cancel()
	n.shutDownServer()
	n.socket.Close()
	for range running {
		err = errors.CombineErrors(err, <-failed)
	}
	n.goroutines.Wait()
	n.transport.CloseIdleConnections()
	return err
}

// receive reads datagrams until the socket is closed. It returns an error after more than maxReceiveFailures
// consecutive receive errors.
func (n *Node) receive() error {
	meter := newRateLimiter(n.config.Limits.SourceRate, n.config.Limits.TotalRate)
	// The extra byte reveals datagrams that exceed the maximum size.
	buf := make([]byte, maxDatagramBytes+1)
	failures := 0
	for {
		size, from, err := n.socket.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Single errors are tolerated: an ICMP error for an earlier datagram does not mean that the socket failed.
			n.config.Log.Debug("peer: receive datagram", "error", err)
			if failures++; failures > maxReceiveFailures {
				return errors.Wrap(err, "peer: receive datagrams")
			}
			continue
		}
		failures = 0
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if !meter.allow(time.Now(), from) {
			n.counters.rateLimited.Add(1)
			continue
		}
		if err := panics.Catch(func() error { return n.handleDatagram(from, buf[:size]) }); err != nil {
			n.counters.countRefused(err)
			if errors.Is(err, panics.ErrPanic) {
				n.config.Log.Error("peer: datagram caused a panic", "peer", from, "error", err)
			}
		}
	}
}

func (n *Node) handleDatagram(from netip.AddrPort, b []byte) error {
	m, err := openDatagram(n.config.Keys, from, n.config.Member.Address, b)
	if err != nil {
		return err
	}
	n.counters.received.Add(1)
	n.runStep(func(now time.Time) []fleet.Output { return n.fleet.Handle(now, from, m) })
	return nil
}

func (n *Node) tick(ctx context.Context) {
	t := time.NewTicker(fleet.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.runStep(n.fleet.Tick)
		}
	}
}

// runStep runs one step of the state machine, sends its messages and queues its events.
func (n *Node) runStep(step func(now time.Time) []fleet.Output) {
	for _, o := range n.stepLocked(step) {
		if o.Message != nil {
			n.sendDatagram(o.To, o.Message)
		}
	}
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *Node) stepLocked(step func(now time.Time) []fleet.Output) []fleet.Output {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := step(n.readClock())
	for _, o := range out {
		if o.Event == nil {
			continue
		}
		e := *o.Event
		if !e.End.IsZero() {
			e.End = e.End.Add(n.clock.offset)
		}
		n.events = append(n.events, e)
	}
	return out
}

// readClock returns the time for the state machine and notifies it of clock jumps. The caller must hold n.mu.
func (n *Node) readClock() time.Time {
	now, _, jumped := n.clock.read()
	if jumped {
		n.config.Log.Warn("peer: clock jump detected, leases must be renewed")
		n.fleet.Paused(now)
	}
	return now
}

func (n *Node) sendDatagram(to netip.AddrPort, m *fleet.Message) {
	b, err := sealDatagram(n.config.Codec, n.config.Keys[0], n.config.Member.Address, to, m)
	if err == nil {
		_, err = n.socket.WriteToUDPAddrPort(b, to)
	}
	if err != nil {
		n.counters.unsent.Add(1)
		n.config.Log.Debug("peer: send datagram", "peer", to, "kind", m.Kind, "error", err)
		return
	}
	n.counters.sent.Add(1)
	n.counters.sentBytes.Add(uint64(len(b)))
}

// dispatch delivers events in order and starts the pulls that they request.
func (n *Node) dispatch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		}
		n.mu.Lock()
		events := n.events
		n.events = nil
		n.mu.Unlock()
		for _, e := range events {
			n.startPull(ctx, e)
			n.config.OnEvent(e)
		}
	}
}

// Install activates a document in the state machine. The hash is the full hash, not the shortened one. It returns
// fleet.ErrStale or fleet.ErrConflict if the document must not take effect.
func (n *Node) Install(doc *conf.Document, hash string) error {
	var failure error
	n.runStep(func(now time.Time) []fleet.Output {
		out, err := n.fleet.SetDocument(now, doc, hash)
		failure = err
		return out
	})
	return failure
}

// SetVMs passes the platform's list of VMs to the state machine.
func (n *Node) SetVMs(vms []wire.VM) {
	n.runStep(func(now time.Time) []fleet.Output { return n.fleet.SetVMs(now, vms) })
}

// SetSeeds sets the addresses that are contacted to discover other nodes.
func (n *Node) SetSeeds(seeds []netip.AddrPort) {
	n.runStep(func(now time.Time) []fleet.Output { return n.fleet.SetSeeds(now, seeds) })
}

// SetFeed sets the revision of this node's copy of the platform feed. The argument read reports whether the copy
// was just read from the platform.
func (n *Node) SetFeed(revision uint64, read bool) {
	n.runStep(func(now time.Time) []fleet.Output { return n.fleet.SetFeed(now, revision, read) })
}

// SetStatus sets the status of this node and announces changes of it to the other nodes.
func (n *Node) SetStatus(s fleet.Status) {
	n.runStep(func(now time.Time) []fleet.Output { return n.fleet.SetStatus(now, s) })
}

// Publish broadcasts a note to all members. The local node reports it as an event, too. The error is that of
// fleet.Node.Publish.
func (n *Node) Publish(k fleet.Note) error {
	var failure error
	n.runStep(func(now time.Time) []fleet.Output {
		out, err := n.fleet.Publish(now, k)
		failure = err
		return out
	})
	return failure
}

// Release releases the lease of a slice after the work on the slice has ended.
func (n *Node) Release(service string, slice int) {
	n.runStep(func(now time.Time) []fleet.Output { return n.fleet.Release(now, service, slice) })
}
