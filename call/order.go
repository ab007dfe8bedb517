package call

import (
	"context"
	"encoding/json"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/wire"
)

// Order is a request that must run at most once.
type Order struct {
	Kind string
	Body json.RawMessage
	// Timeout bounds the wait for the result. 0 means Config.Timeout.
	Timeout time.Duration
}

// OrderResult is the known outcome of an order.
type OrderResult struct {
	// Outcome is Answered if the order ran and Result is set, Refused if the order has not run and never
	// will, or Unknown if it may have run or may still run. After Unknown, call Lookup or Resend until
	// Expires. Sending the order with a new key may run it twice.
	Outcome wire.Outcome    `json:"Outcome"`
	Key     string          `json:"Key,omitempty"`
	Expires time.Time       `json:"Expires,omitzero"`
	Result  json.RawMessage `json:"Result,omitempty"`
	// Failure is the reason for an outcome other than Answered.
	Failure *wire.Failure `json:"Failure,omitempty"`
}

// Err returns the failure as an error, or nil for an order that was answered.
func (r OrderResult) Err() error {
	if r.Failure == nil {
		return nil
	}
	return r.Failure
}

const (
	// minOrderTime is the minimum remaining time for a retry of an order. With less, the node would
	// probably refuse it as late, which does not show whether an earlier attempt ran.
	minOrderTime = 20 * time.Millisecond
	// firstOrderBackoff and maxOrderBackoff limit the random wait before the first and later retries of
	// an order. After a node failure a slice may have no lease holder for about 3 s.
	firstOrderBackoff = 10 * time.Millisecond
	maxOrderBackoff   = 500 * time.Millisecond
	// maxUnsentAttempts is the number of attempts with a key if none may have reached its issuer. After
	// that a new key is taken. It equals the default of Attempts but does not depend on
	// Config.Attempts, which callers may set higher for queries.
	maxUnsentAttempts = 3
)

// keyOutcome is the state of an order key after one attempt.
type keyOutcome int

const (
	// keyUncertain means that the order may have run or may still run.
	keyUncertain keyOutcome = iota
	// keyAnswered means that the order has run and its result was received.
	keyAnswered
	// keyClosed means that the issuer reported that the order has not run with this key and never will.
	keyClosed
	// keyUnsent means that this attempt did not run the order. Earlier attempts may have run it.
	keyUnsent
)

// Order runs an order at most once. It retries with the same key after a broken connection or an unknown
// outcome, and uses a new key only if the old one never runs. It retries until the order has run, its
// outcome can no longer be determined, the timeout expires, or the reason of a refusal is permanent.
func (c *Client) Order(ctx context.Context, service string, o Order) OrderResult {
	limit := c.timeout(wire.Duration(o.Timeout))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for n := 1; ; n++ {
		k, err := c.takeKey(ctx, service, limit)
		if err != nil {
			return OrderResult{Outcome: wire.Refused, Failure: asNotRun(wire.AsFailure(err))}
		}
		r := c.sendOrder(ctx, service, k.OrderKey, o, false)
		if r.Outcome != wire.Refused {
			return r
		}
		f := r.Failure
		if !f.Forwarded {
			c.dropBatch(service, k.batch)
		}
		if isPermanent(f.Reason) || !c.waitOrderBackoff(ctx, n, f.RetryAfter.Std()) {
			return r
		}
	}
}

// waitOrderBackoff waits before retry n of an order, for at least the time least. It returns false if less
// than minOrderTime would be left.
func (c *Client) waitOrderBackoff(ctx context.Context, n int, least time.Duration) bool {
	bound := min(maxOrderBackoff, firstOrderBackoff<<min(n-1, 10))
	if !c.waitJitter(ctx, least, bound) {
		return false
	}
	end, ok := ctx.Deadline()
	return !ok || time.Until(end) >= minOrderTime
}

// Resend sends an order again with the key of an order whose outcome is Unknown. The order runs if it has
// not run yet, and at most once. The body must be the same.
func (c *Client) Resend(ctx context.Context, service string, key wire.OrderKey, o Order) OrderResult {
	ctx, cancel := context.WithTimeout(ctx, c.timeout(wire.Duration(o.Timeout)))
	defer cancel()
	return c.sendOrder(ctx, service, key, o, true)
}

// sendOrder sends an order with one key until the outcome is certain, cannot be determined by further
// attempts, or the time is up. The argument mayHaveRun reports whether an earlier attempt may have run the
// order.
func (c *Client) sendOrder(ctx context.Context, service string, key wire.OrderKey, o Order, mayHaveRun bool) OrderResult {
	result := OrderResult{Key: key.Key, Expires: key.Expires}
	var tried []netip.AddrPort
	for n := 1; ; n++ {
		r, f := c.sendOrderOnce(ctx, service, key, o, &tried, &result)
		switch f {
		case keyAnswered:
			result.Outcome, result.Failure = wire.Answered, nil
			return result
		case keyClosed:
			result.Outcome, result.Failure = wire.Refused, r.asFailure()
			return result
		case keyUncertain:
			mayHaveRun = true
		}
		failure := r.asFailure()
		result.Failure = failure
		if !mayHaveRun && n >= maxUnsentAttempts {
			break
		}
		if isFinalForKey(failure.Reason) || !time.Now().Before(key.Expires) || !c.waitOrderBackoff(ctx, n, failure.RetryAfter.Std()) {
			break
		}
	}
	return result.withoutResult(mayHaveRun)
}

// withoutResult returns the result for a key whose issuer gave no definite outcome: Unknown if the order
// may have run, Refused otherwise.
func (r OrderResult) withoutResult(mayHaveRun bool) OrderResult {
	f := *r.Failure
	if mayHaveRun {
		f.Outcome, f.NotRun, f.Forwarded = wire.Unknown, false, true
	} else {
		f.Outcome, f.NotRun, f.Forwarded = wire.Refused, true, false
	}
	r.Outcome, r.Failure = f.Outcome, &f
	return r
}

func (c *Client) sendOrderOnce(
	ctx context.Context, service string, key wire.OrderKey, o Order, tried *[]netip.AddrPort, result *OrderResult,
) (reply, keyOutcome) {
	addresses, err := c.Addresses(ctx, service)
	if err != nil {
		return reply{failure: asNotRun(wire.AsFailure(err))}, keyUnsent
	}
	peer := c.pickAddress(addresses, *tried)
	*tried = append(*tried, peer)
	// The issuer gets the whole remaining time to run the order. Only the wait for this address is shorter.
	body := wire.Order{Key: key.Key, Kind: o.Kind, Body: o.Body}
	if end, ok := ctx.Deadline(); ok && o.Timeout > 0 {
		body.Timeout = nodeTimeout(time.Until(end))
	}
	r := c.send(ctx, peer, ordersPath(service), body, attemptTimeout(ctx, false))
	return r, r.orderOutcome(key.Key, result)
}

// orderOutcome returns the state of the key from a reply to an order or a lookup.
func (r *reply) orderOutcome(key string, result *OrderResult) keyOutcome {
	var got wire.OrderResult
	if r.decode(&got) {
		if got.Outcome == wire.Answered && got.Key == key {
			result.Result = got.Result
			return keyAnswered
		}
		r.reject(errors.Newf("call: result from %s has key %q and outcome %q", r.peer, got.Key, got.Outcome))
	}
	if r.failure == nil {
		if r.sent {
			return keyUncertain
		}
		return keyUnsent
	}
	f := r.failure
	notRun := f.Outcome == wire.Refused && f.NotRun
	switch {
	case notRun && isIssuerRefusal(f):
		return keyClosed
	case notRun, !f.Forwarded && f.Outcome == wire.Unknown:
		return keyUnsent
	default:
		return keyUncertain
	}
}

// isIssuerRefusal reports whether the issuer refused the order because of the state of its key. A refusal
// before the issuer, or a refusal by the issuer because the request arrived too late, applies only to one
// attempt: an earlier attempt with the same key may be running.
func isIssuerRefusal(f *wire.Failure) bool {
	switch f.Step {
	case wire.StepDispatch, wire.StepLease, wire.StepAdmit, wire.StepCanary, wire.StepScatter, wire.StepBackend:
		return true
	case wire.StepOrderKey:
		return f.Forwarded || f.Reason == wire.ReasonKeyClosed
	default:
		return false
	}
}

// isFinalForKey reports whether another attempt with the same key cannot determine the outcome.
func isFinalForKey(r wire.Reason) bool {
	return isPermanent(r) || r == wire.ReasonKeyExpired || r == wire.ReasonKeyForeign
}

func ordersPath(service string) string {
	return "/v1/services/" + url.PathEscape(service) + "/orders"
}

// Lookup requests the outcome of an order key and never runs the order. Refused means that the key never
// runs. If no attempt reaches the issuer, the outcome is Unknown.
func (c *Client) Lookup(ctx context.Context, service, key string) OrderResult {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	result := OrderResult{Key: key}
	var tried []netip.AddrPort
	for n := 1; ; n++ {
		addresses, err := c.Addresses(ctx, service)
		if err != nil {
			result.Failure = wire.AsFailure(err)
			return result.withoutResult(true)
		}
		peer := c.pickAddress(addresses, tried)
		tried = append(tried, peer)
		r := c.send(ctx, peer, ordersPath(service)+"/"+url.PathEscape(key), nil, attemptTimeout(ctx, n == c.config.MaxAttempts))
		switch r.orderOutcome(key, &result) {
		case keyAnswered:
			result.Outcome = wire.Answered
			return result
		case keyClosed:
			result.Outcome, result.Failure = wire.Refused, r.failure
			return result
		}
		result.Failure = r.asFailure()
		answered := r.failure != nil && r.failure.Forwarded
		if answered || n == c.config.MaxAttempts || isFinalForKey(result.Failure.Reason) || !c.waitBackoff(ctx, n, 0) {
			return result.withoutResult(true)
		}
	}
}
