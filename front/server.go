package front

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
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
)

// Server serves callers on one listener.
type Server struct {
	http   *http.Server
	limits func() table.Limits
	mu     sync.Mutex
	idle   map[net.Conn]time.Time
}

// NewServer returns a server of a handler. The limits are asked for as they change.
func NewServer(h http.Handler, limits func() table.Limits, log *slog.Logger) *Server {
	s := &Server{limits: limits, idle: make(map[net.Conn]time.Time)}
	s.http = &http.Server{
		Handler: h, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: table.DefaultHeaderTimeout,
		IdleTimeout: time.Hour, ConnState: s.changed,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return s
}

// changed notes when connections become idle. The library's own idle timeout cannot be changed while
// it serves.
func (s *Server) changed(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle {
		s.idle[c] = time.Now()
		return
	}
	delete(s.idle, c)
}

// Serve accepts connections until ctx ends, which cuts off what is in flight, or until Shutdown.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.reap(ctx)
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "front: serve on %s", l.Addr())
	}
	return nil
}

// Drain asks callers to close their connections after their next answer.
func (s *Server) Drain() { s.http.SetKeepAlivesEnabled(false) }

// Shutdown closes idle connections and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.http.Shutdown(ctx), "front: shut down")
}

func (s *Server) reap(ctx context.Context) {
	t := time.NewTicker(idleCheck)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.closeIdle(now)
		}
	}
}

func (s *Server) closeIdle(now time.Time) {
	limit := s.limits().IdleTimeout.Std()
	if limit <= 0 {
		limit = table.DefaultIdleTimeout
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.idle {
		if now.Sub(since) > limit+idleExtra {
			_ = c.Close()
			delete(s.idle, c)
		}
	}
}
