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
	// defaultConnections is the smallest cap among today's servers.
	defaultConnections = 25
	defaultDialTimeout = 500 * time.Millisecond
	// defaultProbeTimeout bounds the check for a crash, which delays the result of an attempt.
	defaultProbeTimeout = 250 * time.Millisecond
	// defaultIdleLifetime is short, so that few connections can go silent unnoticed.
	defaultIdleLifetime = 10 * time.Second
	// defaultCancelTimeout is the time in which a server ends a canceled request.
	defaultCancelTimeout = 200 * time.Millisecond
	// defaultRetireTimeout bounds the wait for the server to close a connection.
	defaultRetireTimeout = 2 * time.Second
	defaultUserTimeout   = 5 * time.Second
	// defaultMaxRequest and defaultMaxAnswer are bytes of body.
	defaultMaxRequest = 1 << 20
	defaultMaxAnswer  = 4 << 20
	// maxHits bounds the hits for which space is made ahead.
	maxHits = 100
)

// Config holds the limits of a client. A zero field takes its default.
type Config struct {
	// Connections is the cap for a server that SetServers names without one.
	Connections int
	// DialTimeout bounds the opening of a connection, including the TLS handshake.
	DialTimeout time.Duration
	// ProbeTimeout bounds the check whether a server crashed.
	ProbeTimeout time.Duration
	// IdleLifetime is the longest time that a connection is kept without use.
	IdleLifetime time.Duration
	// RetireTimeout is the longest time that a retired connection is counted while the server
	// has not closed it. It is then reset.
	RetireTimeout time.Duration
	// CancelTimeout is the longest time that a connection is kept for the answer to a canceled
	// request. It is then retired.
	CancelTimeout time.Duration
	// UserTimeout is TCP_USER_TIMEOUT: the longest time that written data may stay
	// unacknowledged.
	UserTimeout time.Duration
	// MaxRequest and MaxAnswer bound bodies, in bytes.
	MaxRequest int
	MaxAnswer  int
	// TLS enables TLS when it is not nil. An empty ServerName means the server's address.
	TLS *tls.Config
	// Headers are the names by which requests that are passed on speak to servers.
	Headers wire.Headers
	// Logger receives retired connections and crashes. Nil discards them.
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

// Server is a backend server with its cap.
type Server struct {
	Address netip.AddrPort
	// Connections is the most connections that the server accepts. 0 means Config.Connections.
	Connections int
}

// Client sends requests to the servers that SetServers names. Its methods may be called
// concurrently.
type Client struct {
	config  Config
	scratch sync.Pool
	mu      sync.Mutex
	pools   atomic.Pointer[map[netip.AddrPort]*pool]
	stop    context.CancelFunc
	done    chan struct{}
}

// NewClient returns a client without servers. Close ends it.
func NewClient(c Config) *Client {
	ctx, stop := context.WithCancel(context.Background())
	k := &Client{config: c.withDefaults(), stop: stop, done: make(chan struct{})}
	k.scratch.New = func() any { return newScratch() }
	k.pools.Store(&map[netip.AddrPort]*pool{})
	go k.reap(ctx)
	return k
}

// SetServers replaces the set of servers. Idle connections of a server that is no longer listed
// are closed at once and busy ones after their request. They stay counted, so that a server that
// returns is not sent more connections than its cap.
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
		p.setCap(option.Positive(v.Connections, k.config.Connections))
		next[v.Address] = p
	}
	for a, p := range old {
		if next[a] == nil && p.drop() > 0 {
			next[a] = p
		}
	}
	k.pools.Store(&next)
}

// Close drops all servers. Requests in flight are completed, and their connections are closed
// after it returns. It may be called more than once.
func (k *Client) Close() {
	k.SetServers(nil)
	k.stop()
	<-k.done
}

// reap closes idle connections that have reached their lifetime.
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

// Query sends one shard query. The answer is valid only when the class is OK. Cancellation of ctx
// also cancels the query at the server.
func (k *Client) Query(
	ctx context.Context, server netip.AddrPort, deadline time.Time, q wire.ShardQuery,
) (wire.ShardAnswer, Result) {
	s := k.scratch.Get().(*scratch)
	defer k.keep(s)
	a := wire.ShardAnswer{Hits: make([]wire.Hit, 0, max(0, min(q.TopK, maxHits)))}
	r := k.send(ctx, server, deadline, request{
		path: "/shard", id: q.RequestID, shard: q.Shard, body: &q,
		accept: func(b []byte, r *Result) {
			if decode(b, &a, r) {
				matchQuery(&a, &q, r)
			}
		},
	}, s)
	if r.Class != OK {
		return wire.ShardAnswer{}, r
	}
	r.Incarnation, r.Warm, r.Draining = a.Incarnation, a.Warm, a.Draining
	s.pool.learn(a.Incarnation)
	return a, r
}

// Order sends one order once and never again by itself. Result.MayHaveRun tells whether the server
// may have run it.
func (k *Client) Order(
	ctx context.Context, server netip.AddrPort, deadline time.Time, o wire.BackendOrder,
) (wire.BackendOrderAnswer, Result) {
	s := k.scratch.Get().(*scratch)
	defer k.keep(s)
	var a wire.BackendOrderAnswer
	r := k.send(ctx, server, deadline, request{
		path: "/order", id: o.Key, shard: o.Shard, body: &o, order: true,
		accept: func(b []byte, r *Result) {
			if decode(b, &a, r) {
				matchOrder(&a, &o, r)
			}
		},
	}, s)
	if r.Class != OK {
		return wire.BackendOrderAnswer{}, r
	}
	r.Incarnation, r.Warm, r.Draining = a.Incarnation, a.Warm, a.Draining
	s.pool.learn(a.Incarnation)
	return a, r
}

// Health asks a server for its health. The state may lag or mislead, so it is a reason to send
// less to a server, never more.
func (k *Client) Health(
	ctx context.Context, server netip.AddrPort, deadline time.Time,
) (wire.Health, Result) {
	return k.state(ctx, server, deadline, "/health")
}

// Load asks a server for its load, with the limits of Health.
func (k *Client) Load(
	ctx context.Context, server netip.AddrPort, deadline time.Time,
) (wire.Health, Result) {
	return k.state(ctx, server, deadline, "/load")
}

func (k *Client) state(
	ctx context.Context, server netip.AddrPort, deadline time.Time, path string,
) (wire.Health, Result) {
	s := k.scratch.Get().(*scratch)
	defer k.keep(s)
	var h wire.Health
	r := k.send(ctx, server, deadline, request{
		path: path, accept: func(b []byte, r *Result) {
			if decode(b, &h, r) && h.State == "" {
				r.fail(Invalid, "back: the answer has no state")
			}
		},
	}, s)
	if r.Class != OK {
		return wire.Health{}, r
	}
	r.Incarnation = h.Incarnation
	r.Warm, r.Draining = h.State != wire.ServerCold, h.State == wire.ServerDraining
	return h, r
}

func matchQuery(a *wire.ShardAnswer, q *wire.ShardQuery, r *Result) {
	switch {
	case !a.Complete:
		r.fail(Invalid, "back: the answer is not complete")
	case a.RequestID != q.RequestID:
		r.fail(Invalid, "back: the answer names another request")
	case a.Shard != q.Shard:
		r.fail(Invalid, "back: the answer names another shard")
	case a.IndexVersion != q.IndexVersion:
		r.fail(Invalid, "back: the answer names another index version")
	}
}

func matchOrder(a *wire.BackendOrderAnswer, o *wire.BackendOrder, r *Result) {
	switch {
	case !a.Complete:
		r.fail(Invalid, "back: the answer is not complete")
	case a.Key != o.Key:
		r.fail(Invalid, "back: the answer names another key")
	}
}
