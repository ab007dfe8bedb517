package front

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// connSet holds the connections of a Server and counts how their requests end.
type connSet struct {
	count func(name string, tags ...string)
	ends  [endKinds]atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

// newConnSet returns an empty set. It counts in the metrics of the handler, if that is a Handler.
func newConnSet(h http.Handler) *connSet {
	s := &connSet{count: func(string, ...string) {}, conns: make(map[net.Conn]*callerConn)}
	if x, ok := h.(*Handler); ok && x.config.Metrics != nil {
		s.count = x.config.Metrics.Count
	}
	return s
}

// add stores a new connection in the set and in the context of its requests.
func (s *connSet) add(ctx context.Context, c net.Conn) context.Context {
	v := newCallerConn(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = v
	return context.WithValue(ctx, callerConnKey{}, v)
}

func (s *connSet) get(c net.Conn) *callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[c]
}

// track counts the request on a connection that becomes idle or is closed. The end of the handler is not the end of the
// request, since net/http writes the rest of the answer afterwards.
func (s *connSet) track(c net.Conn, state http.ConnState) {
	if state != http.StateIdle && state != http.StateClosed {
		return
	}
	v := s.get(c)
	if v == nil {
		return
	}
	if end, ok := v.finish(); ok {
		s.ends[end].Add(1)
		if end == endStopped {
			s.count("requests_ended_by_stop")
		}
	}
	if state == http.StateClosed {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}
}

// setCloseCause records why this node is about to close an idle connection. It is called before the check for unread
// data, because a request must not arrive between that check and the close.
func (s *connSet) setCloseCause(c net.Conn, stopping bool) {
	v := s.get(c)
	if v == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closeCause = causeIdle
	if stopping {
		v.closeCause = causeStop
	}
}

// countIdleClose counts the close of an idle connection by this node.
func (s *connSet) countIdleClose(stopping bool) {
	reason := "idle"
	if stopping {
		reason = "stop"
	}
	s.count("connections_closed", "reason", reason)
}

// open returns the number of requests in progress and the number of connections.
func (s *connSet) open() (requests, connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.conns {
		v.mu.Lock()
		if v.open {
			requests++
		}
		v.mu.Unlock()
	}
	return requests, len(s.conns)
}

// endCounts returns how many requests have ended in each way.
func (s *connSet) endCounts() (counts [endKinds]int64) {
	for i := range counts {
		counts[i] = s.ends[i].Load()
	}
	return counts
}

// held returns the attributes for the log of the requests in progress, up to maxRequestLines.
func (s *connSet) held(now time.Time) [][]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lines [][]any
	for _, v := range s.conns {
		v.mu.Lock()
		r, open := v.request, v.open
		v.mu.Unlock()
		if open && len(lines) < maxRequestLines {
			lines = append(lines, r.attributes(now))
		}
	}
	return lines
}

// maxRequestLines is the maximum number of log lines for the requests that a stopping node holds, or that its abort cuts
// off. A process that stops has little time left to write them.
const maxRequestLines = 100

// abortion is what an abort of all connections cuts off.
type abortion struct {
	// requests is the number of requests and connections that of connections. unread counts the connections without a
	// request that hold received data, which may be a request that has not been read.
	requests, connections, unread int
	// lines are the attributes for the log of the first requests.
	lines [][]any
}

// abort records that all connections are closed now, and returns what this cuts off.
func (s *connSet) abort(now time.Time) abortion {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := abortion{connections: len(s.conns)}
	for c, v := range s.conns {
		s.count("connections_closed", "reason", "abort")
		if k, ok := c.(interface{ Abort() }); ok {
			k.Abort()
		}
		r, open := v.abort()
		if !open {
			if hasUnreadData(c) {
				a.unread++
			}
			continue
		}
		a.requests++
		s.ends[endAborted].Add(1)
		s.count("requests_aborted")
		if len(a.lines) < maxRequestLines {
			a.lines = append(a.lines, r.attributes(now))
		}
	}
	return a
}

// closeAll starts to close all connections.
func (s *connSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		go func() { _ = c.Close() }()
	}
}

// log writes what an abort has cut off.
func (a *abortion) log(log *slog.Logger) {
	if a.connections == 0 {
		return
	}
	log.Warn("connections aborted", "Requests", a.requests, "Connections", a.connections, "Unread", a.unread)
	for _, l := range a.lines {
		log.Warn("request aborted", l...)
	}
	if rest := a.requests - len(a.lines); rest > 0 {
		log.Warn("further requests aborted", "Requests", rest)
	}
}
