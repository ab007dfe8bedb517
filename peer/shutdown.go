package peer

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// shutdownTimeout is the maximum time for which Run waits for HTTP requests in flight before it closes their
	// connections.
	shutdownTimeout = 5 * time.Second
	// lastResponseTime is the time that responses have after the end of a planned stop.
	lastResponseTime = 50 * time.Millisecond
	// shutdownCheckInterval is the interval between checks for requests in flight.
	shutdownCheckInterval = 5 * time.Millisecond
)

// activeConns counts the connections of a server with a request in flight. The shutdown of net/http also waits up to 5 s
// for connections without any request, which HTTP clients open ahead.
type activeConns struct {
	mu     sync.Mutex
	active map[net.Conn]bool
}

func (a *activeConns) track(c net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == http.StateActive {
		a.active[c] = true
		return
	}
	delete(a.active, c)
}

func (a *activeConns) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.active)
}

// Leave announces to the other nodes that this node will shut down. Its requests end by the given time, after which Run
// does not wait for them; the zero time sets no limit.
func (n *Node) Leave(end time.Time) {
	n.mu.Lock()
	n.stopEnd = end
	n.mu.Unlock()
	n.runStep(n.fleet.Leave)
}

// shutDownServer closes the HTTP server when no request is in flight, or at the end of the time for it.
func (n *Node) shutDownServer() {
	now := time.Now()
	limit := now.Add(shutdownTimeout)
	n.mu.Lock()
	if end := n.stopEnd; !end.IsZero() {
		if end.Before(now) {
			end = now
		}
		limit = end.Add(lastResponseTime)
	}
	n.mu.Unlock()
	n.server.SetKeepAlivesEnabled(false)
	n.listener.Close()
	for n.conns.count() > 0 && time.Now().Before(limit) {
		time.Sleep(shutdownCheckInterval)
	}
	n.server.Close()
}
