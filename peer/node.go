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
	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
)

const (
	// receiveBuffer is the size of the UDP receive buffer in bytes. It holds the heartbeats that
	// arrive during a short pause.
	receiveBuffer = 1 << 20
	// maxReceiveFailures is the number of receive errors in a row that end Run.
	maxReceiveFailures = 1000
	// shutdownTime is how long Run waits for HTTP requests in progress when it ends.
	shutdownTime = 5 * time.Second
	// pullLimit is the number of pulls from peers at the same time.
	pullLimit = 2
)

// Node runs the state machine over UDP and serves HTTP requests of other nodes. Its methods may be
// called from several goroutines. The embedded Client sends HTTP requests to other nodes.
type Node struct {
	*Client
	config   Config
	socket   *net.UDPConn
	listener net.Listener
	server   *http.Server
	counters counters
	pulls    chan struct{}
	work     sync.WaitGroup

	mu     sync.Mutex
	clock  *clock
	fleet  *fleet.Node
	events []fleet.Event
	wake   chan struct{}
}

// New opens both sockets at the address of the member. Run must be called to use them.
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
		pulls: make(chan struct{}, pullLimit), wake: make(chan struct{}, 1), clock: newClock(),
	}
	n.fleet = fleet.New(fleet.Config{Member: c.Member, Start: n.clock.base, Codec: c.Codec, Heartbeat: c.Heartbeat}, n.clock.base)
	n.Client = newClient(c)
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
	// The system may grant less, which only makes losses in a burst more likely.
	_ = socket.SetReadBuffer(receiveBuffer)
	return listener, socket, nil
}

// Run serves until ctx ends or a socket fails. It closes both sockets before it returns.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 2)
	go func() { failed <- n.serveHTTP() }()
	go func() { failed <- n.receive() }()
	n.work.Go(func() { n.tick(ctx) })
	n.work.Go(func() { n.dispatch(ctx) })
	var err error
	running := 2
	select {
	case <-ctx.Done():
	case err = <-failed:
		running--
	}
	cancel()
	stop, done := context.WithTimeout(context.WithoutCancel(ctx), shutdownTime)
	defer done()
	if n.server.Shutdown(stop) != nil {
		n.server.Close()
	}
	n.listener.Close()
	n.socket.Close()
	for range running {
		err = errors.CombineErrors(err, <-failed)
	}
	n.work.Wait()
	n.transport.CloseIdleConnections()
	return err
}

// receive reads datagrams until the socket is closed. It fails when the socket fails again and again.
func (n *Node) receive() error {
	meter := newMeter(n.config.Limits.SourceRate, n.config.Limits.TotalRate)
	// One byte more than allowed shows that a datagram is too large.
	buf := make([]byte, maxDatagram+1)
	failures := 0
	for {
		size, from, err := n.socket.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An ICMP error about an earlier datagram says nothing about this socket.
			n.config.Log.Debug("peer: receive", "error", err)
			if failures++; failures > maxReceiveFailures {
				return errors.Wrap(err, "peer: receive datagrams")
			}
			continue
		}
		failures = 0
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if !meter.allow(time.Now(), from) {
			n.counters.rate.Add(1)
			continue
		}
		m, err := openDatagram(n.config.Keys, from, n.config.Member.Address, buf[:size])
		if err != nil {
			n.counters.refuse(err)
			continue
		}
		n.counters.received.Add(1)
		n.do(func(now time.Time) []fleet.Output { return n.fleet.Handle(now, from, m) })
	}
}

func (n *Node) tick(ctx context.Context) {
	t := time.NewTicker(fleet.TickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.do(n.fleet.Tick)
		}
	}
}

// do runs one step of the state machine and carries out its outputs.
func (n *Node) do(step func(now time.Time) []fleet.Output) {
	n.mu.Lock()
	out := step(n.read())
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
	n.mu.Unlock()
	for _, o := range out {
		if o.Message != nil {
			n.transmit(o.To, o.Message)
		}
	}
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// read returns the time for the state machine, which learns of clock jumps here.
func (n *Node) read() time.Time {
	now, _, jumped := n.clock.read()
	if jumped {
		n.config.Log.Warn("peer: clock jumped, leases must be renewed")
		n.fleet.Paused(now)
	}
	return now
}

func (n *Node) transmit(to netip.AddrPort, m *fleet.Message) {
	b, err := sealDatagram(n.config.Codec, n.config.Keys[0], n.config.Member.Address, to, m)
	if err == nil {
		_, err = n.socket.WriteToUDPAddrPort(b, to)
	}
	if err != nil {
		n.counters.unsent.Add(1)
		n.config.Log.Debug("peer: send", "peer", to, "kind", m.Kind, "error", err)
		return
	}
	n.counters.sent.Add(1)
	n.counters.sentBytes.Add(uint64(len(b)))
}

// dispatch delivers events in order, and starts the pulls that some of them ask for.
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
			n.config.Event(e)
		}
	}
}

// Install puts a document in force on the state machine. The hash is the whole hash. It returns
// fleet.ErrStale or fleet.ErrConflict when the document must not take effect.
func (n *Node) Install(doc *conf.Document, hash string) error {
	var failure error
	n.do(func(now time.Time) []fleet.Output {
		out, err := n.fleet.SetDocument(now, doc, hash)
		failure = err
		return out
	})
	return failure
}

// SetVMs passes on the platform's list of VMs.
func (n *Node) SetVMs(vms []wire.VM) {
	n.do(func(now time.Time) []fleet.Output { return n.fleet.SetVMs(now, vms) })
}

// SetSeeds names addresses at which other nodes may be found.
func (n *Node) SetSeeds(seeds []netip.AddrPort) {
	n.do(func(now time.Time) []fleet.Output { return n.fleet.SetSeeds(now, seeds) })
}

// SetFeed tells the fleet the revision of this node's copy of what the platform publishes, and
// whether it was just read from the platform.
func (n *Node) SetFeed(revision uint64, read bool) {
	n.do(func(now time.Time) []fleet.Output { return n.fleet.SetFeed(now, revision, read) })
}

// SetStatus tells the other nodes what has changed about this one.
func (n *Node) SetStatus(s fleet.Status) {
	n.do(func(now time.Time) []fleet.Output { return n.fleet.SetStatus(now, s) })
}

// Leave announces a planned stop.
func (n *Node) Leave() { n.do(n.fleet.Leave) }

// Publish floods a note to all members. The node's own events report it too.
func (n *Node) Publish(k fleet.Note) error {
	var failure error
	n.do(func(now time.Time) []fleet.Output {
		out, err := n.fleet.Publish(now, k)
		failure = err
		return out
	})
	return failure
}

// Release gives the lease of the slice back when the work on it is done.
func (n *Node) Release(service string, slice int) {
	n.do(func(now time.Time) []fleet.Output { return n.fleet.Release(now, service, slice) })
}
