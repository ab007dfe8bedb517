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
	DefaultSilence        = 3 * time.Second
	DefaultAttempts       = 3
	DefaultKeyBatch       = 8
)

const (
	// retryShare bounds the extra queries that retries cause when nodes are overloaded.
	retryShare = 0.1
	// retryBurst lets a new or quiet client retry at once.
	retryBurst = 10
	// avoidFor is how long an address that failed is used only if there is no other.
	avoidFor = time.Second
	// longestWay is several times the round trip of 2 ms between callers and nodes.
	longestWay = 20 * time.Millisecond
	// shortestAttempt is the least time for which an attempt is made when others may follow.
	shortestAttempt = 50 * time.Millisecond
)

// Config describes a client. Only Seeds and Key are required.
type Config struct {
	// Seeds are callers' addresses of some nodes. Any one of them tells the others.
	Seeds []netip.AddrPort
	// Key is the caller's secret key.
	Key string
	// TLS is used for all connections; nil means plain TCP.
	TLS *tls.Config
	// Timeout bounds a request that has no shorter timeout or context deadline.
	Timeout time.Duration
	// ConnectTimeout bounds a new connection with its TLS handshake.
	ConnectTimeout time.Duration
	// Silence is how long a connection may leave sent data unacknowledged, or keepalive probes
	// unanswered, before it is closed.
	Silence time.Duration
	// Attempts is the most times that a query is sent, or a request for order keys or for the outcome
	// of an order.
	Attempts int
	// KeyBatch is the number of order keys that are fetched at once, ahead of use.
	KeyBatch int
	// Seed makes the choice of addresses and the jitter repeatable; 0 means a random seed.
	Seed uint64
	// Log receives a line for each attempt that fails; nil means none.
	Log *slog.Logger
}

func (c *Config) setDefaults() error {
	if len(c.Seeds) == 0 {
		return errors.New("call: config has no seed address")
	}
	if c.Key == "" {
		return errors.New("call: config has no key")
	}
	if c.Timeout < 0 || c.ConnectTimeout < 0 || c.Silence < 0 || c.Attempts < 0 || c.KeyBatch < 0 {
		return errors.New("call: config has a negative value")
	}
	option.Default(&c.Timeout, DefaultTimeout)
	option.Default(&c.ConnectTimeout, DefaultConnectTimeout)
	option.Default(&c.Silence, DefaultSilence)
	option.Default(&c.Attempts, DefaultAttempts)
	option.Default(&c.KeyBatch, DefaultKeyBatch)
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
	// flights merges concurrent fetches of the same addresses or order keys.
	flights singleflight.Group
	// life ends with Close and bounds the fetches that several requests share.
	life context.Context
	end  context.CancelFunc

	mu     sync.Mutex
	random *rand.Rand
	budget *route.Budget
	known  map[string]knownAddresses
	avoid  map[netip.AddrPort]time.Time
	keys   map[string][]heldKey
	batch  uint64
}

// New returns a client. It makes no connection yet.
func New(config Config) (*Client, error) {
	if err := config.setDefaults(); err != nil {
		return nil, err
	}
	c := &Client{
		config: config,
		http:   &http.Client{Transport: newTransport(config), CheckRedirect: refuseRedirect},
		random: rand.New(rand.NewPCG(config.Seed, 0)),
		budget: route.NewBudget(retryShare, retryBurst),
		known:  map[string]knownAddresses{},
		avoid:  map[netip.AddrPort]time.Time{},
		keys:   map[string][]heldKey{},
	}
	c.budget.Earn(retryBurst / retryShare)
	c.life, c.end = context.WithCancel(context.Background())
	return c, nil
}

// Close ends background fetches and closes idle connections. Requests in flight go on.
func (c *Client) Close() {
	c.end()
	c.http.CloseIdleConnections()
}

// pick returns an address for the next attempt: one that this request has not tried and that has
// not failed lately, if there is one.
func (c *Client) pick(addresses, tried []netip.AddrPort) netip.AddrPort {
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
		if now.After(c.avoid[a]) {
			s++
		}
		if s > score {
			best, score = a, s
		}
	}
	return best
}

// shun makes other addresses preferred for a while.
func (c *Client) shun(a netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for x, until := range c.avoid {
		if now.After(until) {
			delete(c.avoid, x)
		}
	}
	c.avoid[a] = now.Add(avoidFor)
}

// pause waits before retry n of a request that is quick to repeat. It returns false if the wait
// would outlast the context.
func (c *Client) pause(ctx context.Context, n int, least time.Duration) bool {
	c.mu.Lock()
	d := route.Backoff(c.random, n)
	c.mu.Unlock()
	return sleep(ctx, least+d)
}

// wait is pause with another bound for the jitter.
func (c *Client) wait(ctx context.Context, least, bound time.Duration) bool {
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

// attemptTime returns the time for one attempt. Half of what remains is left to later ones, so
// that a silent node does not use up the whole deadline.
func attemptTime(ctx context.Context, last bool) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return DefaultTimeout
	}
	left := time.Until(end)
	if last || left/2 < shortestAttempt {
		return left
	}
	return left / 2
}

// nodeTime returns the time that a node is given when the client waits for d. The rest is for the
// way, so that an answer or a refusal at the node's deadline still arrives.
func nodeTime(d time.Duration) wire.Duration {
	return wire.Duration(d - min(longestWay, d/10))
}
