// Package plat is a read-only client of the platform's configuration service and VM list.
//
// GET /v1/config?after=V&wait=20s returns 200 with the configuration document
// ({"Version":1,"Preset":...}) if its version is above V, and 304 without a body if there was no
// newer version within the wait. GET /v1/vms?domain=D returns 200 with
// {"Vms":[{"Address":"127.0.0.1:7000","Role":"Entry"|"Backend","FailureDomain":"Lukang",
// "State":"Live"|"Leaving"}]}; without a domain it lists all VMs. Both return 429 above the
// platform's read rate limit and 503 while the platform is down.
package plat

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/arbutusthread/arbutusthread/clock"
	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
)

const (
	// MaxDocument is the maximum size of a configuration document in bytes.
	MaxDocument = 1 << 20
	// MaxVMs is the maximum size of a VM list in bytes. It is sufficient for 87,700 VMs of 100 bytes.
	MaxVMs = 16 << 20

	defaultWait       = 20 * time.Second
	defaultGrace      = 5 * time.Second
	defaultBackoffMin = 100 * time.Millisecond
	defaultBackoffMax = 10 * time.Second
)

// Classes of errors, to be tested with errors.Is.
var (
	// ErrDown means that the platform could not be reached, the response was interrupted, or its status was 502,
	// 503 or 504.
	ErrDown = errors.New("plat: platform is down")
	// ErrLimited means that all readers together exceed the platform's read rate limit (status 429).
	ErrLimited = errors.New("plat: read rate exceeded")
	// ErrTooLarge means that a response body exceeds MaxDocument or MaxVMs.
	ErrTooLarge = errors.New("plat: response body is too large")
	// ErrInvalid means that a response violates the documented format or has an unexpected status.
	ErrInvalid = errors.New("plat: invalid response")
)

// Config holds the settings of a Client.
type Config struct {
	// URL is the base URL of the platform, such as "http://10.0.0.1:8000".
	URL string
	// HTTP is the HTTP client to use; nil means a new client with its own connections.
	HTTP *http.Client
	// Wait is the long-poll duration of a watch request; 0 means 20 s.
	Wait time.Duration
	// Grace is the time added to the wait to get the timeout of a read; 0 means 5 s.
	Grace time.Duration
	// BackoffMin and BackoffMax bound the backoff after a failure; 0 means 100 ms and 10 s. The backoff is drawn
	// uniformly between half of BackoffMin and an upper limit, which is BackoffMin doubled once for each consecutive
	// failure and at most BackoffMax.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// Seed is the seed of the random number generator for the backoff jitter.
	Seed uint64
}

// Stats holds the counters of a Client.
type Stats struct {
	// Reads counts the requests sent, in the same way as the platform counts them for its rate limit.
	Reads uint64
	// Documents, Unchanged and VMLists count the responses with a document, without a newer document, and with a
	// VM list.
	Documents uint64
	Unchanged uint64
	VMLists   uint64
	// IncompleteVMLists counts the VM lists with entries that were skipped because they are invalid.
	IncompleteVMLists uint64
	// Failures counts the failed reads, FailuresInRow those since the last successful one.
	Failures      uint64
	FailuresInRow int
	// LastAnswer is the time of the last successful read. LastError is the last failure, nil before the first one.
	LastAnswer time.Time
	LastError  error
}

// Client reads the platform. It is safe for concurrent use.
type Client struct {
	config Config
	base   *url.URL

	mu    sync.Mutex
	rng   *rand.Rand
	stats Stats
	// deliveredAfter is the version passed to the last watch that returned a document.
	deliveredAfter uint64
	hasDelivered   bool
}

// New returns a client. It returns an error if the URL is not an absolute http or https URL.
func New(c Config) (*Client, error) {
	u, err := url.Parse(c.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, errors.Newf("plat: platform URL %q is not an absolute http or https URL", c.URL)
	}
	if c.HTTP == nil {
		c.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}}
	}
	c.Wait = cmp.Or(c.Wait, defaultWait)
	c.Grace = cmp.Or(c.Grace, defaultGrace)
	c.BackoffMin = cmp.Or(c.BackoffMin, defaultBackoffMin)
	c.BackoffMax = cmp.Or(c.BackoffMax, defaultBackoffMax)
	return &Client{config: c, base: u, rng: rand.New(rand.NewPCG(c.Seed, 0))}, nil
}

// Watch waits until the platform has a document with a version above after, and returns its bytes. It retries
// failures with backoff until ctx ends; the error then includes the last failure. Only the version of the document
// is validated. If a watch is called with the same version as the previous watch that returned a document, the
// caller did not install that document, and the watch starts with a backoff.
func (c *Client) Watch(ctx context.Context, after uint64) ([]byte, error) {
	if c.isRepeatedWatch(after) && !c.sleepBackoff(ctx, 1) {
		return nil, c.contextError(ctx, nil)
	}
	var last error
	for failures := 0; ; {
		raw, err := c.Read(ctx, after, c.config.Wait)
		switch {
		case ctx.Err() != nil:
			return nil, c.contextError(ctx, last)
		case err != nil:
			failures++
			last = err
			if !c.sleepBackoff(ctx, failures) {
				continue
			}
		case raw != nil:
			c.recordDelivery(after)
			return raw, nil
		default:
			failures = 0
		}
	}
}

// contextError returns the error of a watch whose context has ended. The argument last is the last failure of the
// watch, or nil.
func (c *Client) contextError(ctx context.Context, last error) error {
	err := errors.Wrapf(ctx.Err(), "plat: watch configuration at %s", c.base.Host)
	if last == nil {
		return err
	}
	return errors.WithSecondaryError(errors.Wrapf(err, "last failure: %v", last), last)
}

func (c *Client) isRepeatedWatch(after uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasDelivered && c.deliveredAfter == after
}

func (c *Client) recordDelivery(after uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliveredAfter, c.hasDelivered = after, true
}

// Read sends one long-poll request for a document with a version above after. It returns nil without an error if
// there is none within the wait. With a wait of 0 the platform responds immediately.
func (c *Client) Read(ctx context.Context, after uint64, wait time.Duration) ([]byte, error) {
	const step = "read configuration"
	q := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	raw, err := c.get(ctx, step, "/v1/config", q, wait, MaxDocument)
	if err != nil {
		return nil, err
	}
	if raw == nil {
		c.recordSuccess(func(s *Stats) { s.Unchanged++ })
		return nil, nil
	}
	if err := checkDocument(raw, after); err != nil {
		return nil, c.recordFailure(step, err)
	}
	c.recordSuccess(func(s *Stats) { s.Documents++ })
	return raw, nil
}

// VMs sends one request for the VMs of the failure domain, or for all VMs if domain is empty. The list lags behind
// the actual state of the fleet. Invalid entries are skipped and counted in Stats.
func (c *Client) VMs(ctx context.Context, domain string) ([]wire.VM, error) {
	const step = "read VM list"
	q := url.Values{}
	if domain != "" {
		q.Set("domain", domain)
	}
	raw, err := c.get(ctx, step, "/v1/vms", q, 0, MaxVMs)
	if err != nil {
		return nil, err
	}
	vms, skipped, err := decodeVMs(raw)
	if err != nil {
		return nil, c.recordFailure(step, err)
	}
	c.recordSuccess(func(s *Stats) {
		s.VMLists++
		if skipped != nil {
			s.IncompleteVMLists++
			s.LastError = errors.Wrapf(skipped, "plat: %s at %s", step, c.base.Host)
		}
	})
	return vms, nil
}

// Stats returns a snapshot of the counters.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// get sends one request and returns the response body, or nil for status 304. The request times out after wait
// plus the configured grace time.
func (c *Client) get(ctx context.Context, step, path string, q url.Values, wait time.Duration, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.config.Grace)
	defer cancel()
	u := c.base.JoinPath(path)
	u.RawQuery = q.Encode()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, c.recordFailure(step, err)
	}
	c.mu.Lock()
	c.stats.Reads++
	c.mu.Unlock()
	res, err := c.config.HTTP.Do(r)
	if err != nil {
		return nil, c.recordFailure(step, errors.Mark(err, ErrDown))
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotModified {
		return nil, nil
	}
	raw, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return nil, c.recordFailure(step, errors.Mark(errors.Wrap(err, "read body"), ErrDown))
	}
	if res.StatusCode != http.StatusOK {
		return nil, c.recordFailure(step, statusError(res.StatusCode, raw))
	}
	if int64(len(raw)) > limit {
		return nil, c.recordFailure(step, errors.Wrapf(ErrTooLarge, "limit is %d bytes", limit))
	}
	return raw, nil
}

func statusError(status int, body []byte) error {
	// detailLimit is the maximum number of bytes of the response body in an error message. The start of an error
	// page is sufficient for diagnosis.
	const detailLimit = 200
	detail := strings.TrimSpace(string(body[:min(len(body), detailLimit)]))
	err := errors.Newf("status %d: %q", status, detail)
	switch status {
	case http.StatusTooManyRequests:
		return errors.Mark(err, ErrLimited)
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout:
		return errors.Mark(err, ErrDown)
	}
	return errors.Mark(err, ErrInvalid)
}

func (c *Client) recordFailure(step string, err error) error {
	err = errors.Wrapf(err, "plat: %s at %s", step, c.base.Host)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Failures++
	c.stats.FailuresInRow++
	c.stats.LastError = err
	return err
}

func (c *Client) recordSuccess(update func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(&c.stats)
	c.stats.FailuresInRow = 0
	c.stats.LastAnswer = time.Now()
}

// sleepBackoff waits for the backoff time and returns false if ctx ends first.
func (c *Client) sleepBackoff(ctx context.Context, failures int) bool {
	return clock.Sleep(ctx, c.backoff(failures))
}

// backoff returns the backoff time after a number of consecutive failures. It uses full jitter, so that
// readers which failed at the same time do not retry at the same time. The floor of half of BackoffMin prevents
// immediate retries.
func (c *Client) backoff(failures int) time.Duration {
	limit := c.config.BackoffMin
	for range failures {
		limit = min(2*limit, c.config.BackoffMax)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	floor := min(c.config.BackoffMin, limit) / 2
	return floor + time.Duration(c.rng.Int64N(int64(limit-floor)+1))
}
