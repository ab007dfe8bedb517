// Package plat is the client of the platform: the configuration service and the list of VMs. It
// only reads.
//
// GET /v1/config?after=V&wait=20s answers 200 with the configuration document
// ({"Version":1,"Preset":...}) when its version is above V, and 304 without a body when there was
// no newer one within the wait. GET /v1/vms?domain=D answers 200 with
// {"Vms":[{"Address":"127.0.0.1:7000","Role":"Entry"|"Backend","FailureDomain":"Lukang",
// "State":"Live"|"Leaving"}]}; without a domain it lists all of them. Both answer 429 above the
// platform's rate of reads and 503 while it is down.
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
	// MaxDocument is the size of the largest configuration document in bytes.
	MaxDocument = 1 << 20
	// MaxVMs is the size of the largest VM list in bytes. 87,700 VMs of 100 bytes fit.
	MaxVMs = 16 << 20

	defaultWait       = 20 * time.Second
	defaultGrace      = 5 * time.Second
	defaultBackoffMin = 100 * time.Millisecond
	defaultBackoffMax = 10 * time.Second
)

// Errors that a caller can tell apart with errors.Is.
var (
	// ErrDown means that the platform was not reached or answered 503.
	ErrDown = errors.New("plat: platform is down")
	// ErrLimited means that all readers together exceed the platform's rate.
	ErrLimited = errors.New("plat: read rate exceeded")
	// ErrTooLarge means that a body exceeds its limit.
	ErrTooLarge = errors.New("plat: body is too large")
	// ErrInvalid means that an answer breaks the published format.
	ErrInvalid = errors.New("plat: invalid answer")
)

// Config holds the settings of a Client.
type Config struct {
	// URL is the base URL of the platform, such as "http://10.0.0.1:8000".
	URL string
	// HTTP is the client to use; nil means one with its own connections.
	HTTP *http.Client
	// Wait is how long a watch waits at the platform; 0 means 20 s.
	Wait time.Duration
	// Grace is how long a read may take beyond the wait; 0 means 5 s.
	Grace time.Duration
	// BackoffMin and BackoffMax bound the pause after a failure; 0 means 100 ms and 10 s. The pause
	// is drawn evenly from 0 to a limit that doubles with each failure in a row.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// Seed seeds the jitter.
	Seed uint64
}

// Stats counts the reads of a Client.
type Stats struct {
	// Reads counts the requests sent, as the platform counts them.
	Reads uint64
	// Documents, Unchanged and VMLists count the answers with a document, without one and with a
	// VM list.
	Documents uint64
	Unchanged uint64
	VMLists   uint64
	// Failures counts the reads that failed, FailuresInRow those since the last answer.
	Failures      uint64
	FailuresInRow int
	// LastAnswer is the time of the last answer, LastError the last failure, nil before the first.
	LastAnswer time.Time
	LastError  error
}

// Client reads the platform. It is safe for concurrent use.
type Client struct {
	config Config
	base   *url.URL

	mu     sync.Mutex
	random *rand.Rand
	stats  Stats
	// given is the version after which the last watch returned a document.
	given    uint64
	hasGiven bool
}

// New returns a client. The error names what is wrong with the URL.
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
	return &Client{config: c, base: u, random: rand.New(rand.NewPCG(c.Seed, 0))}, nil
}

// Watch waits until the platform has a document above the version after, and returns its bytes.
// It goes on through failures, with backoff, until ctx ends; the error then has the last failure
// as well. The document is checked for its version only. When a watch repeats the version of the
// one before, the caller has not taken the document, and the watch starts with a pause.
func (c *Client) Watch(ctx context.Context, after uint64) ([]byte, error) {
	if c.repeated(after) && !c.pause(ctx, 1) {
		return nil, c.ended(ctx, nil)
	}
	var last error
	for failures := 0; ; {
		raw, err := c.Read(ctx, after, c.config.Wait)
		switch {
		case ctx.Err() != nil:
			return nil, c.ended(ctx, last)
		case err != nil:
			failures++
			last = err
			if !c.pause(ctx, failures) {
				continue
			}
		case raw != nil:
			c.remember(after)
			return raw, nil
		default:
			failures = 0
		}
	}
}

// ended is the error of a watch whose ctx has ended. last is its last failure, or nil.
func (c *Client) ended(ctx context.Context, last error) error {
	err := errors.Wrapf(ctx.Err(), "plat: watch configuration at %s", c.base.Host)
	if last == nil {
		return err
	}
	return errors.WithSecondaryError(errors.Wrapf(err, "last failure: %v", last), last)
}

func (c *Client) repeated(after uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasGiven && c.given == after
}

func (c *Client) remember(after uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.given, c.hasGiven = after, true
}

// Read asks once for a document above the version after and lets the platform wait for it. It
// returns nil without an error when there is none. A wait of 0 asks for the present state.
func (c *Client) Read(ctx context.Context, after uint64, wait time.Duration) ([]byte, error) {
	const step = "read configuration"
	q := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	raw, err := c.get(ctx, step, "/v1/config", q, wait, MaxDocument)
	if err != nil {
		return nil, err
	}
	if raw == nil {
		c.count(func(s *Stats) { s.Unchanged++ })
		return nil, nil
	}
	if err := checkDocument(raw, after); err != nil {
		return nil, c.fail(step, err)
	}
	c.count(func(s *Stats) { s.Documents++ })
	return raw, nil
}

// VMs asks once for the VMs of the failure domain, or for all VMs when domain is empty. The list
// lags behind the fleet.
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
	vms, err := decodeVMs(raw)
	if err != nil {
		return nil, c.fail(step, err)
	}
	c.count(func(s *Stats) { s.VMLists++ })
	return vms, nil
}

// Stats returns the counters.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// get sends one request. It returns nil bytes for 304.
func (c *Client) get(ctx context.Context, step, path string, q url.Values, wait time.Duration, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.config.Grace)
	defer cancel()
	u := c.base.JoinPath(path)
	u.RawQuery = q.Encode()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, c.fail(step, err)
	}
	c.mu.Lock()
	c.stats.Reads++
	c.mu.Unlock()
	res, err := c.config.HTTP.Do(r)
	if err != nil {
		return nil, c.fail(step, errors.Mark(err, ErrDown))
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotModified {
		return nil, nil
	}
	raw, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return nil, c.fail(step, errors.Mark(errors.Wrap(err, "body"), ErrDown))
	}
	if res.StatusCode != http.StatusOK {
		return nil, c.fail(step, statusError(res.StatusCode, raw))
	}
	if int64(len(raw)) > limit {
		return nil, c.fail(step, errors.Wrapf(ErrTooLarge, "more than %d bytes", limit))
	}
	return raw, nil
}

func statusError(status int, body []byte) error {
	// detailLimit is in bytes. The rest of an error page helps nobody.
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

func (c *Client) fail(step string, err error) error {
	err = errors.Wrapf(err, "plat: %s at %s", step, c.base.Host)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Failures++
	c.stats.FailuresInRow++
	c.stats.LastError = err
	return err
}

func (c *Client) count(add func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	add(&c.stats)
	c.stats.FailuresInRow = 0
	c.stats.LastAnswer = time.Now()
}

// pause waits for a random time and returns false when ctx ends first.
func (c *Client) pause(ctx context.Context, failures int) bool {
	return clock.Sleep(ctx, c.backoff(failures))
}

// backoff uses full jitter, so that readers which failed together do not return together. A
// floor keeps a reader from asking at once again and again.
func (c *Client) backoff(failures int) time.Duration {
	limit := c.config.BackoffMin
	for range failures {
		limit = min(2*limit, c.config.BackoffMax)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	floor := min(c.config.BackoffMin, limit) / 2
	return floor + time.Duration(c.random.Int64N(int64(limit-floor)+1))
}
