package call

import (
	"context"
	crand "crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"encoding/hex"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"

	"github.com/arbutusthread/arbutusthread/clock"
	"github.com/arbutusthread/arbutusthread/option"
	"github.com/arbutusthread/arbutusthread/route"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Defaults of Config.
const (
	DefaultTimeout        = 10 * time.Second
	DefaultConnectTimeout = time.Second
	DefaultUserTimeout    = 3 * time.Second
	DefaultMaxAttempts    = 3
	DefaultKeyBatchSize   = 8
)

const (
	// retryRatio is the number of retries per query that the retry budget allows. It limits the extra
	// load on overloaded nodes.
	retryRatio = 0.1
	// retryBurst is the size of the retry budget. It lets a new or idle client retry immediately.
	retryBurst = 10
	// avoidFor is the time after a failure during which an address is used only if there is no other.
	avoidFor = time.Second
	// maxNetworkTime is the largest part of a timeout that is reserved for the network, several times
	// the round trip of 2 ms between callers and nodes.
	maxNetworkTime = 20 * time.Millisecond
	// minAttemptTime is the shortest timeout of an attempt that may be followed by others.
	minAttemptTime = 50 * time.Millisecond
)

// Config describes a client. Only Seeds and Key are required.
type Config struct {
	// Seeds are the addresses of some nodes for callers. The other addresses are fetched from any of them.
	Seeds []netip.AddrPort
	// Key is the caller's secret key.
	Key string
	// TLS is used for all connections. Nil means plain TCP.
	TLS *tls.Config
	// Timeout bounds a request without its own timeout. A shorter context deadline still applies.
	Timeout time.Duration
	// ConnectTimeout bounds the time to open a connection, and separately that of the TLS handshake.
	ConnectTimeout time.Duration
	// UserTimeout is the time after which a connection is closed when sent data is not acknowledged or
	// keepalive probes are not answered.
	UserTimeout time.Duration
	// MaxAttempts is the maximum number of attempts for a query, a fetch of order keys, or a lookup of the
	// outcome of an order.
	MaxAttempts int
	// KeyBatchSize is the number of order keys that are prefetched with one request.
	KeyBatchSize int
	// Seed is the random seed for the choice of addresses, jitter and request IDs. 0 means a random seed.
	Seed uint64
	// Log logs each failed attempt and the use of expired addresses. Nil disables logging.
	Log *slog.Logger
}

func (c *Config) setDefaults() error {
	if len(c.Seeds) == 0 {
		return errors.New("call: no seed address configured")
	}
	if c.Key == "" {
		return errors.New("call: no key configured")
	}
	if c.Timeout < 0 || c.ConnectTimeout < 0 || c.UserTimeout < 0 || c.MaxAttempts < 0 || c.KeyBatchSize < 0 {
		return errors.New("call: negative timeout, attempts or key batch")
	}
	option.Default(&c.Timeout, DefaultTimeout)
	option.Default(&c.ConnectTimeout, DefaultConnectTimeout)
	option.Default(&c.UserTimeout, DefaultUserTimeout)
	option.Default(&c.MaxAttempts, DefaultMaxAttempts)
	option.Default(&c.KeyBatchSize, DefaultKeyBatchSize)
	if c.Seed == 0 {
		var b [8]byte
		if _, err := crand.Read(b[:]); err != nil {
			return errors.Wrap(err, "call: random seed")
		}
		c.Seed = binary.LittleEndian.Uint64(b[:])
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return nil
}

// Client sends the requests of one caller. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
	// fetches deduplicates concurrent fetches of addresses or order keys of the same service.
	fetches singleflight.Group
	// baseCtx is the parent context of fetches that are shared by several requests. Close cancels it.
	baseCtx    context.Context
	cancelBase context.CancelFunc

	mu           sync.Mutex
	random       *rand.Rand
	budget       *route.Budget
	addressCache map[string]cachedAddresses
	avoidUntil   map[netip.AddrPort]time.Time
	keys         map[string][]unusedKey
	lastBatch    uint64
}

// New returns a client. It opens no connection. The error reports an invalid configuration or the
// failure to read a random seed.
func New(config Config) (*Client, error) {
	if err := config.setDefaults(); err != nil {
		return nil, err
	}
	c := &Client{
		config:       config,
		http:         &http.Client{Transport: newTransport(config), CheckRedirect: refuseRedirect},
		random:       rand.New(rand.NewPCG(config.Seed, 0)),
		budget:       route.NewBudget(retryRatio, retryBurst),
		addressCache: map[string]cachedAddresses{},
		avoidUntil:   map[netip.AddrPort]time.Time{},
		keys:         map[string][]unusedKey{},
	}
	c.budget.Deposit(retryBurst / retryRatio)
	c.baseCtx, c.cancelBase = context.WithCancel(context.Background())
	return c, nil
}

// Close cancels shared fetches and closes idle connections. Requests in flight continue.
func (c *Client) Close() {
	c.cancelBase()
	c.http.CloseIdleConnections()
}

// pickAddress returns a random address for the next attempt. It prefers addresses that this request has
// not tried and, among these, addresses without a recent failure.
func (c *Client) pickAddress(addresses, tried []netip.AddrPort) netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	best, score := netip.AddrPort{}, -1
	for _, i := range c.random.Perm(len(addresses)) {
		a := addresses[i]
		s := 0
		if !slices.Contains(tried, a) {
			s += 2
		}
		if now.After(c.avoidUntil[a]) {
			s++
		}
		if s > score {
			best, score = a, s
		}
	}
	return best
}

// avoidPeer gives preference to other addresses for avoidFor.
func (c *Client) avoidPeer(a netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for x, until := range c.avoidUntil {
		if now.After(until) {
			delete(c.avoidUntil, x)
		}
	}
	c.avoidUntil[a] = now.Add(avoidFor)
}

// waitBackoff waits before retry n for at least the time least plus a random backoff. It returns false
// if the wait would exceed the deadline of the context, or is canceled.
func (c *Client) waitBackoff(ctx context.Context, n int, least time.Duration) bool {
	c.mu.Lock()
	d := route.Backoff(c.random, n)
	c.mu.Unlock()
	return sleep(ctx, least+d)
}

// waitJitter is like waitBackoff, but adds a random time of at most bound.
func (c *Client) waitJitter(ctx context.Context, least, bound time.Duration) bool {
	c.mu.Lock()
	d := time.Duration(c.random.Int64N(int64(bound) + 1))
	c.mu.Unlock()
	return sleep(ctx, least+d)
}

func sleep(ctx context.Context, d time.Duration) bool {
	if end, ok := ctx.Deadline(); ok && time.Until(end) <= d {
		return false
	}
	return clock.Sleep(ctx, d)
}

func (c *Client) newRequestID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], c.random.Uint64())
	binary.BigEndian.PutUint64(b[8:], c.random.Uint64())
	return hex.EncodeToString(b[:])
}

// attemptTimeout returns the timeout of one attempt. Unless the attempt is the last, half of the remaining
// time is reserved for later ones, so that an unresponsive node does not use up the whole deadline.
func attemptTimeout(ctx context.Context, last bool) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return DefaultTimeout
	}
	left := time.Until(end)
	if last || left/2 < minAttemptTime {
		return left
	}
	return left / 2
}

// nodeTimeout returns the timeout that is sent to a node when the client waits for d. The difference
// covers the network, so that an answer or a refusal sent at the node's deadline still arrives.
func nodeTimeout(d time.Duration) wire.Duration {
	return wire.Duration(d - min(maxNetworkTime, d/10))
}
