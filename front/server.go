package front

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/table"
)

const (
	// maxHeaderBytes is the limit for request headers in net/http. It does not follow the configured
	// HeaderBytes, which is not enforced.
	maxHeaderBytes = 64 << 10
	// idleCheckInterval is the interval between checks for idle connections.
	idleCheckInterval = time.Second
	// idleGrace is added to the idle timeout so that no request of a caller that respects the timeout is in
	// transit when the connection is closed.
	idleGrace = 2 * time.Second
	// drainCheckInterval is the interval between checks for idle connections during shutdown.
	drainCheckInterval = 20 * time.Millisecond
)

// Server is the HTTP server for callers on one listener.
type Server struct {
	http     *http.Server
	limits   func() table.Limits
	log      *slog.Logger
	conns    *connSet
	draining atomic.Bool

	mu sync.Mutex
	// idle maps each connection without a request to the time since which it has been idle. open is the
	// number of all connections.
	idle map[net.Conn]time.Time
	open int
}

// NewServer returns a Server for a handler. limits is called at each check for idle connections, because the
// limits may change.
func NewServer(h http.Handler, limits func() table.Limits, log *slog.Logger) *Server {
	s := &Server{limits: limits, log: log, conns: newConnSet(h), idle: make(map[net.Conn]time.Time)}
	s.http = &http.Server{
		Handler:        http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(h, w, r) }),
		MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: table.DefaultHeaderTimeout,
		IdleTimeout: time.Hour, ConnState: s.trackConnState, ConnContext: s.conns.add,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return s
}

func (s *Server) serve(h http.Handler, w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	c.begin()
	defer func() {
		if p := recover(); p != nil {
			if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				s.log.Error("request caused a panic", "RequestId", c.requestID(), "Error", p, "Stack", string(debug.Stack()))
			}
			panic(p)
		}
	}()
	h.ServeHTTP(&drainWriter{w, &s.draining}, r)
}

// drainWriter adds "Connection: close" to responses that begin while the server is draining.
type drainWriter struct {
	http.ResponseWriter
	draining *atomic.Bool
}

// WriteHeader sends the status and the headers.
func (w *drainWriter) WriteHeader(status int) {
	if w.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// trackConnState records when connections become idle. The idle timeout of net/http is not used because it
// cannot be changed while the server is running.
func (s *Server) trackConnState(c net.Conn, state http.ConnState) {
	s.conns.track(c, state)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open++
		s.idle[c] = time.Now()
	case http.StateIdle:
		s.idle[c] = time.Now()
	case http.StateClosed, http.StateHijacked:
		s.open--
		delete(s.idle, c)
	default:
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
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return errors.Wrapf(err, "front: serve on %s", l.Addr())
	}
	return nil
}

// Drain adds "Connection: close" to all further responses.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown closes connections as they become idle and returns when none is open. It returns an error if ctx
// ends first. The listener must already be closed. A connection on which a request has arrived stays open
// until the response is written.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	t := time.NewTicker(drainCheckInterval)
	defer t.Stop()
	for {
		s.closeIdle(time.Now(), 0)
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
			s.closeIdle(now, limit+idleGrace)
		}
	}
}

// closeIdle closes connections that have been idle for longer than the limit.
func (s *Server) closeIdle(now time.Time, limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.idle {
		if now.Sub(since) <= limit {
			continue
		}
		s.conns.setCloseCause(c, s.draining.Load())
		if !hasUnreadData(c) {
			// net/http closes the connection when its read of the next request times out. Closing the
			// connection here could abort a request that has just been read.
			_ = c.SetReadDeadline(time.Unix(1, 0))
			s.conns.countIdleClose(s.draining.Load())
			delete(s.idle, c)
		}
	}
}

// hasUnreadData reports whether the receive buffer of a TCP connection holds unread bytes.
func hasUnreadData(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
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
