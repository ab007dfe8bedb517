package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Timeouts of connections to peers.
const (
	dialTimeout   = time.Second
	keepAliveIdle = 5 * time.Second
	// userTimeout is how long written data may remain unacknowledged before the system closes the connection.
	userTimeout = 5 * time.Second
	// clientIdleTimeout is shorter than serverIdleTimeout, so that the client closes idle connections first.
	clientIdleTimeout = 30 * time.Second
)

// conn counts the bytes of a connection, which shows whether any byte of a request was written, and can block
// further writes.
type conn struct {
	net.Conn
	tracker *connTracker
	host    string
	// requests is the number of requests that use the connection: 0 or 1, or briefly 2 while the transport
	// reassigns it from one request to the next.
	requests  atomic.Int32
	bytesRead atomic.Int64

	mu             sync.Mutex
	bytesWritten   int64
	writesDisabled bool
}

var errWritesDisabled = errors.New("peer: writes to the connection are disabled")

// Write counts the bytes before it writes them, so that a request whose bytes are not counted cannot have reached
// the peer.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.writesDisabled {
		c.mu.Unlock()
		return 0, errWritesDisabled
	}
	c.bytesWritten += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesRead.Add(int64(n))
	return n, err
}

// Close removes the connection from the tracker and closes it.
func (c *conn) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}

func (c *conn) writtenBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesWritten
}

// disableWrites makes all further writes fail and returns the number of bytes written so far.
func (c *conn) disableWrites() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesDisabled = true
	return c.bytesWritten
}

// unwrap returns the conn underlying a connection of the HTTP transport, or nil if there is none.
func unwrap(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	k, _ := c.(*conn)
	return k
}

// connTracker holds the open connections by peer, so that the idle connections to one peer can be closed.
type connTracker struct {
	dialer net.Dialer
	mu     sync.Mutex
	open   map[string]map[*conn]bool
}

func newConnTracker() *connTracker {
	return &connTracker{
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: 3},
			Control: func(_, _ string, raw syscall.RawConn) error {
				var sockErr error
				err := raw.Control(func(fd uintptr) { sockErr = setUserTimeout(fd) })
				return errors.CombineErrors(err, sockErr)
			},
		},
		open: make(map[string]map[*conn]bool),
	}
}

func (p *connTracker) dial(ctx context.Context, network, host string) (net.Conn, error) {
	raw, err := p.dialer.DialContext(ctx, network, host)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, tracker: p, host: host}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[host] == nil {
		p.open[host] = make(map[*conn]bool)
	}
	p.open[host][c] = true
	return c, nil
}

func (p *connTracker) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open[c.host], c)
	if len(p.open[c.host]) == 0 {
		delete(p.open, c.host)
	}
}

// closeIdle closes the connections to a peer that are not used by a request. It is called after a connection to
// the peer has stopped responding.
func (p *connTracker) closeIdle(host string) {
	var idle []*conn
	p.mu.Lock()
	for c := range p.open[host] {
		if c.requests.Load() == 0 {
			idle = append(idle, c)
		}
	}
	p.mu.Unlock()
	for _, c := range idle {
		c.disableWrites()
		c.Close()
	}
}
