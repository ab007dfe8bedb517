package stand

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

func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// endpoint is the listening address of a Server, with the listener of the running incarnation.
type endpoint struct {
	address netip.AddrPort
	cap     int
	delay   time.Duration
	// reserved is a bound socket that does not listen. It keeps the port while the server is
	// down: connections to it are refused and no other socket gets it.
	reserved int
	serving  sync.WaitGroup

	mu      sync.Mutex
	current *listener
	conns   map[*conn]struct{}
}

func newEndpoint(address netip.AddrPort, c ServerConfig) (*endpoint, error) {
	fd, bound, err := reserve(address)
	if err != nil {
		return nil, errors.Wrapf(err, "stand: reserve %s", address)
	}
	return &endpoint{
		address: bound, cap: c.Connections, delay: c.ConnectDelay, reserved: fd,
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

// open listens and serves until close.
func (e *endpoint) open(s *Server) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(context.Background(), "tcp4", e.address.String())
	if err != nil {
		return errors.Wrapf(err, "stand: listen on %s", e.address)
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
	e.current = l
	e.mu.Unlock()
	e.serving.Go(func() { _ = server.Serve(l) })
	return nil
}

// incumbent returns the listener of the running incarnation.
func (e *endpoint) incumbent() *listener {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// release gives the port back after close.
func (e *endpoint) release() {
	e.serving.Wait()
	_ = syscall.Close(e.reserved)
}

// listener is that of one incarnation. It closes connections above the cap.
type listener struct {
	net.Listener
	endpoint *endpoint
	owner    *Server
	server   *http.Server
	// closed is guarded by the lock of the endpoint.
	closed bool
}

// stop closes the listener and its connections. A later incarnation is not affected.
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
	if l.closed || len(e.conns) >= e.cap {
		return len(e.conns), false
	}
	e.conns[c] = struct{}{}
	return len(e.conns), true
}

func (s *Server) connected(open int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.MostConnections = max(s.record.MostConnections, open)
	if !ok {
		s.record.ClosedConnections++
	}
}

// Silence makes all open connections silent for good and returns their number. Requests in
// flight on them go on, and their answers are lost. New connections work.
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

// conn is an accepted connection. A silent one passes no byte in either direction, and shows no
// error to its peer.
type conn struct {
	net.Conn
	listener *listener
	silent   atomic.Bool
	started  bool

	mu       sync.Mutex
	answered int
	replies  []reply
}

func (c *conn) muted() bool {
	if c.listener.owner.unreachable.Load() {
		// Bytes that were lost leave a gap in the stream, so it stays unusable.
		c.silent.Store(true)
	}
	return c.silent.Load()
}

// Read discards what arrives on a silent connection. It still sees the end of the stream, so that
// the connection no longer counts after its peer has closed it.
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
		if !c.muted() {
			return n, nil
		}
	}
}

// Write reports success on a silent connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.muted() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// ReadFrom hides that of the TCP connection, which would pass by Write.
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

// next returns what the connection sends when p is ready. After a duplicate it is one answer
// late.
func (c *conn) next(p reply) reply {
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

// swallow makes the connection silent when it has given the number of answers after which the
// SilentAfter fault sets in. The request then does not run, and the call returns true when the
// peer has closed the connection.
func (s *Server) swallow(r *http.Request) bool {
	c := connOf(r)
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
