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

// Time limits of connections to peers.
const (
	dialTimeout   = time.Second
	keepAliveIdle = 5 * time.Second
	// userTimeout is how long written data may stay unacknowledged before the connection breaks.
	userTimeout = 5 * time.Second
	// clientIdle is shorter than the server's idle limit, so that the client closes first.
	clientIdle = 30 * time.Second
)

// conn is a connection that tells whether a request has had a byte written, and that can be sealed
// against further writes.
type conn struct {
	net.Conn
	pool *pool
	host string
	// users is the number of requests that use the connection: 0, 1, or 2 while it changes hands.
	users atomic.Int32
	read  atomic.Int64

	mu      sync.Mutex
	written int64
	sealed  bool
}

var errSealed = errors.New("peer: connection is sealed")

// Write counts the bytes before it writes them: a request whose bytes are not counted has not
// arrived.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// Close takes the connection out of the pool's list.
func (c *conn) Close() error {
	c.pool.remove(c)
	return c.Conn.Close()
}

func (c *conn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal stops all further writes and returns the bytes written until now.
func (c *conn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// unwrap returns the conn below a connection that the HTTP transport uses, or nil.
func unwrap(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	k, _ := c.(*conn)
	return k
}

// pool lists the open connections by peer, so that the idle ones of a peer can be replaced.
type pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	open   map[string]map[*conn]bool
}

func newPool() *pool {
	return &pool{
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: 3},
			Control: func(_, _ string, raw syscall.RawConn) error {
				var inner error
				err := raw.Control(func(fd uintptr) { inner = setUserTimeout(fd) })
				return errors.CombineErrors(err, inner)
			},
		},
		open: make(map[string]map[*conn]bool),
	}
}

func (p *pool) dial(ctx context.Context, network, host string) (net.Conn, error) {
	raw, err := p.dialer.DialContext(ctx, network, host)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, pool: p, host: host}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[host] == nil {
		p.open[host] = make(map[*conn]bool)
	}
	p.open[host][c] = true
	return c, nil
}

func (p *pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open[c.host], c)
	if len(p.open[c.host]) == 0 {
		delete(p.open, c.host)
	}
}

// dropIdle closes the connections to a peer that no request uses, after one of them went silent.
func (p *pool) dropIdle(host string) {
	var idle []*conn
	p.mu.Lock()
	for c := range p.open[host] {
		if c.users.Load() == 0 {
			idle = append(idle, c)
		}
	}
	p.mu.Unlock()
	for _, c := range idle {
		c.seal()
		c.Close()
	}
}
