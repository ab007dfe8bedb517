package call

import (
	"context"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Query sends a query and returns its answer. After a failure it retries at another address, within the
// timeout, Config.Attempts and the retry budget. Each attempt but the last gets half of the remaining
// time. The error is a *wire.Failure. If RequestID is empty, a random one is used.
func (c *Client) Query(ctx context.Context, service string, q wire.Query) (*wire.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout(q.Timeout))
	defer cancel()
	if q.RequestID == "" {
		q.RequestID = c.newRequestID()
	}
	c.mu.Lock()
	c.budget.Deposit(1)
	c.mu.Unlock()
	var tried []netip.AddrPort
	for n := 1; ; n++ {
		addresses, err := c.Addresses(ctx, service)
		if err != nil {
			return nil, err
		}
		peer := c.pickAddress(addresses, tried)
		tried = append(tried, peer)
		answer, r := c.queryOnce(ctx, peer, service, q, n == c.config.MaxAttempts)
		if answer != nil {
			return answer, nil
		}
		f := r.asFailure()
		if n == c.config.MaxAttempts || !c.mayRetry(r) || !c.waitBackoff(ctx, n, f.RetryAfter.Std()) {
			return nil, f
		}
	}
}

func (c *Client) queryOnce(ctx context.Context, peer netip.AddrPort, service string, q wire.Query, last bool) (*wire.Answer, reply) {
	limit := attemptTimeout(ctx, last)
	if q.Timeout != 0 {
		q.Timeout = nodeTimeout(limit)
	}
	r := c.send(ctx, peer, "/v1/services/"+url.PathEscape(service)+"/query", q, limit)
	var a wire.Answer
	if !r.decode(&a) {
		return nil, r
	}
	if err := checkAnswer(q, a); err != nil {
		r.reject(errors.Wrapf(err, "call: answer from %s", peer))
		return nil, r
	}
	return &a, r
}

// checkAnswer returns an error for an answer without the outcome Answered, an answer to another request,
// and an answer whose covered and missing shards do not add up to the number of shards.
func checkAnswer(q wire.Query, a wire.Answer) error {
	switch {
	case a.Outcome != wire.Answered:
		return errors.Newf("unexpected outcome %q", a.Outcome)
	case a.RequestID != q.RequestID:
		return errors.Newf("request ID is %q, want %q", a.RequestID, q.RequestID)
	case len(a.Coverage.Covered)+len(a.Coverage.Missing) != a.Coverage.Shards:
		return errors.Newf("coverage of %d shards lists %d covered and %d missing",
			a.Coverage.Shards, len(a.Coverage.Covered), len(a.Coverage.Missing))
	}
	return nil
}

// mayRetry reports whether a retry is allowed and may succeed. Retries after an attempt that may have
// cost the nodes work are limited by the retry budget, so that callers do not amplify an overload.
func (c *Client) mayRetry(r reply) bool {
	if r.failure != nil {
		switch {
		case isPermanent(r.failure.Reason), r.failure.Reason == wire.ReasonDeadline, r.failure.Reason == wire.ReasonCoverage:
			return false
		case r.failure.NotRun && r.failure.Reason != wire.ReasonOverload:
			return true
		}
	}
	if !r.sent {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Withdraw()
}

// isPermanent reports whether the request fails with the same reason at every node.
func isPermanent(r wire.Reason) bool {
	switch r {
	case wire.ReasonBadRequest, wire.ReasonTooLarge, wire.ReasonUnauthorized, wire.ReasonForbidden,
		wire.ReasonNotFound, wire.ReasonQuarantine:
		return true
	default:
		return false
	}
}

func (c *Client) timeout(requested wire.Duration) time.Duration {
	if requested > 0 {
		return requested.Std()
	}
	return c.config.Timeout
}
