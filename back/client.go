package back

import (
	"context"
	"crypto/tls"
	"log/slog"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusthread/arbutusthread/option"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Defaults of Config.
const (
	// defaultConnections is the smallest connection limit of the deployed servers.
	defaultConnections = 25
	defaultDialTimeout = 500 * time.Millisecond
	// defaultProbeTimeout bounds the crash check, which delays the result of an attempt.
	defaultProbeTimeout = 250 * time.Millisecond
	// defaultIdleLifetime is short to limit the number of idle connections that fail without a close
	// or reset from the server.
	defaultIdleLifetime = 10 * time.Second
	// defaultCancelTimeout is the time within which servers end a canceled request.
	defaultCancelTimeout = 200 * time.Millisecond
	// defaultRetireTimeout bounds the wait for the server to close a connection.
	defaultRetireTimeout = 2 * time.Second
	defaultUserTimeout   = 5 * time.Second
	// defaultMaxRequest and defaultMaxAnswer are body sizes in bytes.
	defaultMaxRequest = 1 << 20
	defaultMaxAnswer  = 4 << 20
	// maxPreallocatedHits bounds the capacity that is allocated for the hits before decoding.
	maxPreallocatedHits = 100
)

// Config holds the limits of a client. Fields that are zero take their defaults.
type Config struct {
	// Connections is the connection limit of servers that are passed to SetServers without one.
	Connections int
	// DialTimeout bounds the time to open a connection, including the TLS handshake.
	DialTimeout time.Duration
	// ProbeTimeout bounds each step, the dial and the health request, of the check whether a server
	// crashed.
	ProbeTimeout time.Duration
	// IdleLifetime is the time after which an idle connection is closed.
	IdleLifetime time.Duration
	// RetireTimeout is the time that a retired connection waits for the server to close it, and counts
	// toward the limit. After that it is reset.
	RetireTimeout time.Duration
	// CancelTimeout bounds the wait for the answer to a canceled request. After that its connection is
	// retired.
	CancelTimeout time.Duration
	// UserTimeout is TCP_USER_TIMEOUT, the longest time that written data may stay unacknowledged.
	UserTimeout time.Duration
	// MaxRequest and MaxAnswer are the largest body sizes in bytes. Forward enforces only MaxAnswer.
	MaxRequest int
	MaxAnswer  int
	// TLS enables TLS if it is not nil. If ServerName is empty, the server's IP address is used.
	TLS *tls.Config
	// Headers holds the names of the HTTP headers that are sent and read by Forward.
	Headers wire.Headers
	// Logger logs reused connections without data and server crashes. Nil disables logging.
	Logger *slog.Logger
}

func (c Config) withDefaults() Config {
	c.Connections = option.Positive(c.Connections, defaultConnections)
	c.DialTimeout = option.Positive(c.DialTimeout, defaultDialTimeout)
	c.ProbeTimeout = option.Positive(c.ProbeTimeout, defaultProbeTimeout)
	c.IdleLifetime = option.Positive(c.IdleLifetime, defaultIdleLifetime)
	c.CancelTimeout = option.Positive(c.CancelTimeout, defaultCancelTimeout)
	c.RetireTimeout = option.Positive(c.RetireTimeout, defaultRetireTimeout)
	c.UserTimeout = option.Positive(c.UserTimeout, defaultUserTimeout)
	c.MaxRequest = option.Positive(c.MaxRequest, defaultMaxRequest)
	c.MaxAnswer = option.Positive(c.MaxAnswer, defaultMaxAnswer)
	if c.Headers == (wire.Headers{}) {
		c.Headers = wire.DefaultHeaders()
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return c
}

// Server is a backend server with its connection limit.
type Server struct {
	Address netip.AddrPort
	// Connections is the maximum number of open connections to the server. 0 means Config.Connections.
	Connections int
}

// Client sends requests to the servers configured by SetServers. It is safe for concurrent use.
type Client struct {
	config  Config
	scratch sync.Pool
	mu      sync.Mutex
	pools   atomic.Pointer[map[netip.AddrPort]*pool]
	// buffered is the memory for large answers to Forward.
	buffered answerMemory
	stop     context.CancelFunc
	done     chan struct{}
}

// NewClient returns a client without servers and starts its goroutine, which runs until Close.
func NewClient(c Config) *Client {
	ctx, stop := context.WithCancel(context.Background())
	k := &Client{config: c.withDefaults(), stop: stop, done: make(chan struct{})}
	k.scratch.New = func() any { return newScratch() }
	k.pools.Store(&map[netip.AddrPort]*pool{})
	go k.reap(ctx)
	return k
}

// SetServers replaces the set of servers. Idle connections of a removed server are retired immediately
// and busy ones after their request. They are counted until they are closed, so that a server that is
// added again does not exceed its connection limit.
func (k *Client) SetServers(servers []Server) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := *k.pools.Load()
	next := make(map[netip.AddrPort]*pool, len(servers))
	for _, v := range servers {
		p := old[v.Address]
		if p == nil {
			p = newPool(&k.config, v.Address)
		}
		p.setLimit(option.Positive(v.Connections, k.config.Connections))
		next[v.Address] = p
	}
	for a, p := range old {
		if next[a] == nil && p.remove() > 0 {
			next[a] = p
		}
	}
	k.pools.Store(&next)
}

// Close removes all servers and stops the client. Requests in flight are completed; their connections
// may be closed after Close returns. It may be called more than once.
func (k *Client) Close() {
	k.SetServers(nil)
	k.stop()
	<-k.done
}

// reap retires idle connections that have reached their lifetime.
func (k *Client) reap(ctx context.Context) {
	defer close(k.done)
	t := time.NewTicker(max(k.config.IdleLifetime/4, time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			for p := range maps.Values(*k.pools.Load()) {
				p.reap(now)
			}
		}
	}
}

// Query sends one shard query. The answer is valid only if the outcome of the result is OK. Cancellation
// of ctx also cancels the query at the server.
func (k *Client) Query(
	ctx context.Context, server netip.AddrPort, deadline time.Time, q wire.ShardQuery,
) (wire.ShardAnswer, Result) {
	s := k.scratch.Get().(*scratch)
	defer k.putScratch(s)
	a := wire.ShardAnswer{Hits: make([]wire.Hit, 0, max(0, min(q.TopK, maxPreallocatedHits)))}
	r := k.send(ctx, server, deadline, request{
		path: "/shard", id: q.RequestID, shard: q.Shard, body: &q,
		decodeAnswer: func(b []byte, r *Result) {
			if decode(b, &a, r) {
				checkQueryAnswer(&a, &q, r)
			}
		},
	}, s)
	if r.Outcome != OK {
		return wire.ShardAnswer{}, r
	}
	r.Incarnation, r.Warm, r.Draining = a.Incarnation, a.Warm, a.Draining
	s.pool.setIncarnation(a.Incarnation)
	return a, r
}

// Order sends an order at most once. The answer is valid only if the outcome of the result is OK.
// Result.MayHaveRun reports whether the server may have run the order.
func (k *Client) Order(
	ctx context.Context, server netip.AddrPort, deadline time.Time, o wire.BackendOrder,
) (wire.BackendOrderAnswer, Result) {
	s := k.scratch.Get().(*scratch)
	defer k.putScratch(s)
	var a wire.BackendOrderAnswer
	r := k.send(ctx, server, deadline, request{
		path: "/order", id: o.Key, shard: o.Shard, body: &o, order: true,
		decodeAnswer: func(b []byte, r *Result) {
			if decode(b, &a, r) {
				checkOrderAnswer(&a, &o, r)
			}
		},
	}, s)
	if r.Outcome != OK {
		return wire.BackendOrderAnswer{}, r
	}
	r.Incarnation, r.Warm, r.Draining = a.Incarnation, a.Warm, a.Draining
	s.pool.setIncarnation(a.Incarnation)
	return a, r
}

// Health requests /health from a server. The reported state may be outdated or wrong, so it may only be
// used to send a server fewer requests, never more.
func (k *Client) Health(
	ctx context.Context, server netip.AddrPort, deadline time.Time,
) (wire.Health, Result) {
	return k.getHealth(ctx, server, deadline, "/health")
}

// Load requests /load from a server. The restriction of Health applies to it as well.
func (k *Client) Load(
	ctx context.Context, server netip.AddrPort, deadline time.Time,
) (wire.Health, Result) {
	return k.getHealth(ctx, server, deadline, "/load")
}

func (k *Client) getHealth(
	ctx context.Context, server netip.AddrPort, deadline time.Time, path string,
) (wire.Health, Result) {
	s := k.scratch.Get().(*scratch)
	defer k.putScratch(s)
	var h wire.Health
	r := k.send(ctx, server, deadline, request{
		path: path, decodeAnswer: func(b []byte, r *Result) {
			if decode(b, &h, r) && h.State == "" {
				r.fail(Invalid, "back: answer has no state")
			}
		},
	}, s)
	if r.Outcome != OK {
		return wire.Health{}, r
	}
	r.Incarnation = h.Incarnation
	r.Warm, r.Draining = h.State != wire.ServerCold, h.State == wire.ServerDraining
	return h, r
}

func checkQueryAnswer(a *wire.ShardAnswer, q *wire.ShardQuery, r *Result) {
	switch {
	case !a.Complete:
		r.fail(Invalid, "back: answer is incomplete")
	case a.RequestID != q.RequestID:
		r.fail(Invalid, "back: answer is for another request")
	case a.Shard != q.Shard:
		r.fail(Invalid, "back: answer is for another shard")
	case a.IndexVersion != q.IndexVersion:
		r.fail(Invalid, "back: answer is for another index version")
	}
}

func checkOrderAnswer(a *wire.BackendOrderAnswer, o *wire.BackendOrder, r *Result) {
	switch {
	case !a.Complete:
		r.fail(Invalid, "back: answer is incomplete")
	case a.Key != o.Key:
		r.fail(Invalid, "back: answer is for another key")
	}
}
