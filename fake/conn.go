package fake

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

type connKey struct{}

func connFromRequest(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// endpoint is the listening address of a Server, with the listener of the current incarnation.
type endpoint struct {
	address        netip.AddrPort
	maxConnections int
	delay          time.Duration
	// reservedFD is a bound socket that does not listen. It reserves the port while the server is
	// down: connections to the port are refused and no other socket can be bound to it.
	reservedFD int
	serving    sync.WaitGroup

	mu       sync.Mutex
	listener *listener
	conns    map[*conn]struct{}
}

func newEndpoint(address netip.AddrPort, c ServerConfig) (*endpoint, error) {
	fd, bound, err := reserve(address)
	if err != nil {
		return nil, errors.Wrapf(err, "fake: reserve %s", address)
	}
	return &endpoint{
		address: bound, maxConnections: c.Connections, delay: c.ConnectDelay, reservedFD: fd,
		conns: map[*conn]struct{}{},
	}, nil
}

func reserve(address netip.AddrPort) (int, netip.AddrPort, error) {
	if !address.Addr().Is4() {
		return 0, netip.AddrPort{}, errors.New("not an IPv4 address")
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return 0, netip.AddrPort{}, errors.Wrap(err, "socket")
	}
	syscall.CloseOnExec(fd)
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()})
	}
	var name syscall.Sockaddr
	if err == nil {
		name, err = syscall.Getsockname(fd)
	}
	bound, ok := name.(*syscall.SockaddrInet4)
	if err != nil || !ok {
		_ = syscall.Close(fd)
		return 0, netip.AddrPort{}, errors.Wrap(err, "bind")
	}
	return fd, netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port)), nil
}

// open listens on the address and serves requests until the listener is stopped.
func (e *endpoint) open(s *Server) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(context.Background(), "tcp4", e.address.String())
	if err != nil {
		return errors.Wrapf(err, "fake: listen on %s", e.address)
	}
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: time.Minute,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	l := &listener{Listener: ln, endpoint: e, owner: s, server: server}
	e.mu.Lock()
	e.listener = l
	e.mu.Unlock()
	e.serving.Go(func() { _ = server.Serve(l) })
	return nil
}

// currentListener returns the listener of the current incarnation.
func (e *endpoint) currentListener() *listener {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listener
}

// release waits until the listeners have stopped and closes the socket that reserves the port.
func (e *endpoint) release() {
	e.serving.Wait()
	_ = syscall.Close(e.reservedFD)
}

// listener accepts the connections of one incarnation. It closes connections above the connection limit.
type listener struct {
	net.Listener
	endpoint *endpoint
	owner    *Server
	server   *http.Server
	// closed is guarded by endpoint.mu.
	closed bool
}

// stop closes the listener and its connections. Connections of later incarnations are not affected.
func (l *listener) stop() {
	e := l.endpoint
	e.mu.Lock()
	l.closed = true
	var conns []*conn
	for c := range e.conns {
		if c.listener == l {
			conns = append(conns, c)
		}
	}
	e.mu.Unlock()
	_ = l.server.Close()
	for _, c := range conns {
		_ = c.Close()
	}
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, listener: l}
		open, ok := l.add(c)
		l.owner.connected(open, ok)
		if ok {
			return c, nil
		}
		_ = raw.Close()
	}
}

func (l *listener) add(c *conn) (open int, ok bool) {
	e := l.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.closed || len(e.conns) >= e.maxConnections {
		return len(e.conns), false
	}
	e.conns[c] = struct{}{}
	return len(e.conns), true
}

func (s *Server) connected(open int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.MaxConnections = max(s.record.MaxConnections, open)
	if !ok {
		s.record.ClosedConnections++
	}
}

// Silence makes all open connections permanently silent and returns their number. Requests in flight
// on them continue, but their responses are lost. New connections are not affected.
func (s *Server) Silence() int {
	s.mu.Lock()
	e := s.endpoint
	s.mu.Unlock()
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.silent.Store(true)
	}
	return len(e.conns)
}

// conn is an accepted connection. A silent connection transfers no bytes in either direction and
// returns no error to its peer.
type conn struct {
	net.Conn
	listener *listener
	silent   atomic.Bool
	started  bool

	mu       sync.Mutex
	answered int
	replies  []reply
}

// checkSilent reports whether the connection is silent. A connection that is used while the server is
// unreachable becomes permanently silent.
func (c *conn) checkSilent() bool {
	if c.listener.owner.unreachable.Load() {
		// Lost bytes leave a gap in the stream, so the connection remains unusable.
		c.silent.Store(true)
	}
	return c.silent.Load()
}

// Read discards data that arrives on a silent connection. It still detects the end of the stream, so
// that a connection closed by its peer no longer counts as open.
func (c *conn) Read(b []byte) (int, error) {
	if !c.started {
		c.started = true
		time.Sleep(c.listener.endpoint.delay)
	}
	for {
		n, err := c.Conn.Read(b)
		if err != nil {
			return 0, err
		}
		if !c.checkSilent() {
			return n, nil
		}
	}
}

// Write discards the data and reports success on a silent connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.checkSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// ReadFrom hides the ReadFrom method of the TCP connection, which would bypass Write.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

func (c *conn) Close() error {
	e := c.listener.endpoint
	e.mu.Lock()
	delete(e.conns, c)
	e.mu.Unlock()
	return c.Conn.Close()
}

// nextReply queues p and returns the reply to send now. After a duplicate, the connection sends each
// later reply one request late.
func (c *conn) nextReply(p reply) reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered++
	c.replies = append(c.replies, p)
	if p.duplicate {
		c.replies = append(c.replies, p)
	}
	first := c.replies[0]
	c.replies = c.replies[1:]
	return first
}

// applySilentAfter makes the connection silent when it has sent the number of responses set by the
// SilentAfter fault. The request then does not run, and the call blocks until the peer has closed the
// connection and returns true.
func (s *Server) applySilentAfter(r *http.Request) bool {
	c := connFromRequest(r)
	s.mu.Lock()
	limit := s.faults.SilentAfter
	s.mu.Unlock()
	if c == nil || limit == 0 {
		return false
	}
	c.mu.Lock()
	answered := c.answered
	c.mu.Unlock()
	if answered < limit {
		return false
	}
	c.silent.Store(true)
	<-r.Context().Done()
	return true
}
