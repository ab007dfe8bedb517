package front

import (
	"context"
	"log/slog"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/gate"
	"github.com/arbutusthread/arbutusthread/meter"
	"github.com/arbutusthread/arbutusthread/option"
	"github.com/arbutusthread/arbutusthread/table"
)

const (
	// idleCheckInterval is the interval between checks for idle connections.
	idleCheckInterval = time.Second
	// idleGrace is added to the idle timeout so that no request of a caller that respects the timeout is in
	// transit when the connection is closed.
	idleGrace = 2 * time.Second
	// drainCheckInterval is the interval between checks for idle connections during shutdown.
	drainCheckInterval = 20 * time.Millisecond
	// firstRequestTime is the time for which a new connection is kept open for its first request during shutdown. Callers
	// open connections to send a request at once.
	firstRequestTime = 500 * time.Millisecond
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Handler http.Handler
	// Limits is called for each request and at each check for idle connections, because the limits may change.
	Limits func() table.Limits
	// Capacity is that of the VM, of which callers get a share. Connections, if above 0, is a lower limit for their connections.
	Capacity    conf.Capacity
	Connections int
	// Metrics may be nil.
	Metrics *meter.Metrics
	Log     *slog.Logger
}

// Server is the HTTP server for callers on one listener.
type Server struct {
	http     *http.Server
	gate     *gate.Gate
	limits   func() table.Limits
	log      *slog.Logger
	conns    *connSet
	draining atomic.Bool
	// served is closed when the last connection has been accepted.
	served chan struct{}

	mu sync.Mutex
	// idle holds the connections without a request. open is the number of all connections.
	idle map[net.Conn]*idleConn
	open int
}

// idleConn is the state of a connection without a request.
type idleConn struct {
	since time.Time
	// fresh is set until the first request.
	fresh bool
	// expired is set when net/http has been made to close the connection.
	expired bool
}

// NewServer returns a Server.
func NewServer(c ServerConfig) *Server {
	h := c.Handler
	s := &Server{
		limits: c.Limits, log: c.Log, conns: newConnSet(h), served: make(chan struct{}), idle: make(map[net.Conn]*idleConn),
	}
	pool := gate.Callers.Pool(c.Capacity)
	if c.Connections > 0 {
		pool.Clients = min(pool.Clients, c.Connections)
	}
	s.gate = gate.New(gate.Config{
		Listener: "callers", Pool: pool, Limits: s.headLimits, Metrics: c.Metrics, Log: c.Log,
	})
	s.http = &http.Server{
		Handler:        http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(h, w, r) }),
		MaxHeaderBytes: math.MaxInt32, // the gate has the limit
		IdleTimeout:    time.Hour, ConnState: s.trackConnState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return s.conns.add(s.gate.ConnContext(ctx, c), c)
		},
		ErrorLog: slog.NewLogLogger(c.Log.Handler(), slog.LevelDebug),
	}
	return s
}

// headLimits returns the limits for the heads of requests.
func (s *Server) headLimits() gate.Limits {
	l := s.limits()
	v := gate.Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout.Std()}
	option.Default(&v.HeaderBytes, table.DefaultHeaderBytes)
	option.Default(&v.HeaderTimeout, table.DefaultHeaderTimeout)
	return v
}

func (s *Server) serve(h http.Handler, w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	c.begin()
	v := &responseWriter{ResponseWriter: w, draining: &s.draining}
	defer v.answerPanic(s.log, c)
	h.ServeHTTP(v, r)
}

// trackConnState records when connections become idle. The idle timeout of net/http is not used because it
// cannot be changed while the server is running.
func (s *Server) trackConnState(c net.Conn, state http.ConnState) {
	s.gate.ConnState(c, state)
	s.conns.track(c, state)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open++
		s.idle[c] = &idleConn{since: time.Now(), fresh: true}
	case http.StateIdle:
		s.idle[c] = &idleConn{since: time.Now()}
	case http.StateClosed, http.StateHijacked:
		s.open--
		delete(s.idle, c)
	default:
		if k := s.idle[c]; k != nil && k.expired {
			// net/http had read the headers before closeIdle. With the past read deadline it could not read the body.
			_ = c.SetReadDeadline(time.Time{})
		}
		delete(s.idle, c)
	}
}

// Serve accepts connections until ctx ends or the listener is closed. The end of ctx closes all connections,
// including those with requests in flight. It returns an error if the listener fails.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		s.Close()
	})
	defer func() {
		if !stop() {
			<-closed
		}
	}()
	go s.reapIdle(ctx)
	defer close(s.served)
	if err := s.http.Serve(s.gate.Listener(l)); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return errors.Wrapf(err, "front: serve on %s", l.Addr())
	}
	return nil
}

// Drain adds "Connection: close" to all further responses.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown closes connections as they become idle and returns when none is open. It returns an error if ctx
// ends first. The listener must have been closed or be draining. A connection on which a request has arrived stays open
// until the response is written.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	select {
	case <-s.served:
	case <-ctx.Done():
	}
	t := time.NewTicker(drainCheckInterval)
	defer t.Stop()
	for {
		s.closeIdle(time.Now(), 0, firstRequestTime)
		s.mu.Lock()
		open := s.open
		s.mu.Unlock()
		if open == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "front: shutdown with %d open connections", open)
		case <-t.C:
		}
	}
}

// Close closes all connections, including those with requests in flight, which it logs.
func (s *Server) Close() {
	cut := s.conns.abort(time.Now())
	// Each close waits for the goroutine that reads from the connection. One after the other they take too long on a busy
	// machine.
	s.conns.closeAll()
	_ = s.http.Close()
	cut.log(s.log)
}

func (s *Server) reapIdle(ctx context.Context) {
	t := time.NewTicker(idleCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			limit := s.limits().IdleTimeout.Std()
			if limit <= 0 {
				limit = table.DefaultIdleTimeout
			}
			s.closeIdle(now, limit+idleGrace, limit+idleGrace)
		}
	}
}

// closeIdle closes connections that have been idle for longer than the limit, and those without a first request after
// freshLimit.
func (s *Server) closeIdle(now time.Time, limit, freshLimit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, k := range s.idle {
		most := limit
		if k.fresh {
			most = freshLimit
		}
		if now.Sub(k.since) <= most {
			continue
		}
		if v, ok := c.(*gate.Conn); ok && !v.IsIdle() {
			continue // the head of a request is arriving, for which it has a timeout of its own
		}
		s.conns.setCloseCause(c, s.draining.Load())
		if !hasUnreadData(c) {
			// net/http closes the connection when its read of the next request times out. Closing the
			// connection here could abort a request that has just been read.
			// The deadline is set again at each check, since net/http sets its own when a connection has just become idle.
			_ = c.SetReadDeadline(time.Unix(1, 0))
			if !k.expired {
				s.conns.countIdleClose(s.draining.Load())
			}
			k.expired = true
		}
	}
}

// hasUnreadData reports whether the receive buffer of a TCP connection holds unread bytes.
func hasUnreadData(c net.Conn) bool {
	t, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = err == nil && n > 0
	})
	return err == nil && pending
}
