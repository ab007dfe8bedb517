package front

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/table"
)

const (
	// maxHeaderBytes bounds the headers that the library reads. The limit in force is checked by the
	// handler.
	maxHeaderBytes = 64 << 10
	// idleCheck is the time between two checks for idle connections.
	idleCheck = time.Second
	// idleExtra is what a connection may be idle beyond the limit, so that no request is on its way
	// when the connection is closed.
	idleExtra = 2 * time.Second
	// drainCheck is the time between two checks for connections that have become idle while the
	// server shuts down.
	drainCheck = 20 * time.Millisecond
)

// Server serves callers on one listener.
type Server struct {
	http     *http.Server
	limits   func() table.Limits
	draining atomic.Bool

	mu sync.Mutex
	// idle holds the connections without a request and since when they are; open counts all.
	idle map[net.Conn]time.Time
	open int
}

// NewServer returns a server of a handler. The limits are asked for as they change.
func NewServer(h http.Handler, limits func() table.Limits, log *slog.Logger) *Server {
	s := &Server{limits: limits, idle: make(map[net.Conn]time.Time)}
	s.http = &http.Server{
		Handler:        http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(h, w, r) }),
		MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: table.DefaultHeaderTimeout,
		IdleTimeout: time.Hour, ConnState: s.changed, ConnContext: withConn,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return s
}

func (s *Server) serve(h http.Handler, w http.ResponseWriter, r *http.Request) {
	h.ServeHTTP(&drainWriter{w, &s.draining}, r)
}

// drainWriter asks the caller to close its connection when the server drains as the answer begins.
type drainWriter struct {
	http.ResponseWriter
	draining *atomic.Bool
}

// WriteHeader sends the head of the answer.
func (w *drainWriter) WriteHeader(status int) {
	if w.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// changed notes when connections become idle. The library's own idle timeout cannot be changed while
// it serves.
func (s *Server) changed(c net.Conn, state http.ConnState) {
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

// Serve accepts connections until ctx ends, which cuts off what is in flight, or until Shutdown.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	go s.reap(ctx)
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return errors.Wrapf(err, "front: serve on %s", l.Addr())
	}
	return nil
}

// Drain asks callers to close their connections after their next answer.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown closes the connections as they become idle and returns when none is left, or when ctx
// ends. The caller has closed the listener. A connection on which a request has arrived stays open
// until it is answered.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	t := time.NewTicker(drainCheck)
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
			return errors.Wrapf(ctx.Err(), "front: %d connections are in use", open)
		case <-t.C:
		}
	}
}

func (s *Server) reap(ctx context.Context) {
	t := time.NewTicker(idleCheck)
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
			s.closeIdle(now, limit+idleExtra)
		}
	}
}

// closeIdle ends connections that have been idle for longer than the limit.
func (s *Server) closeIdle(now time.Time, limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.idle {
		if now.Sub(since) > limit && !hasInput(c) {
			// The library closes the connection when its wait for a request ends. Closing it here
			// could cut off a request that has just been read.
			_ = c.SetReadDeadline(time.Unix(1, 0))
			delete(s.idle, c)
		}
	}
}

// hasInput reports whether bytes have arrived that nobody has read.
func hasInput(c net.Conn) bool {
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
