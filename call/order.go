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
	// Timeout bounds the wait for the result; 0 means that of the client.
	Timeout time.Duration
}

// OrderResult is what is known of an order.
type OrderResult struct {
	// Outcome is Answered with Result; Refused, and then the order has not run and never will;
	// or Unknown, and then it may have run or may still run. After Unknown ask with Lookup or
	// Resend until Expires. To place the order again with a new key may run it twice.
	Outcome wire.Outcome    `json:"Outcome"`
	Key     string          `json:"Key,omitempty"`
	Expires time.Time       `json:"Expires,omitzero"`
	Result  json.RawMessage `json:"Result,omitempty"`
	// Failure gives the reason of an outcome other than Answered.
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
	// shortestOrder is the least time for which an order is sent. With less, the refusal of a
	// late request is the likely reply and tells nothing.
	shortestOrder = 20 * time.Millisecond
	// firstOrderPause and longestOrderPause bound the wait before an order is sent again. After
	// the loss of a node a slice may have no home for about 3 s.
	firstOrderPause   = 10 * time.Millisecond
	longestOrderPause = 500 * time.Millisecond
	// unsentAttempts is the number of attempts with a key that has reached no issuer, before a new key
	// of another node is taken: the default of Attempts, which callers may set higher for queries.
	unsentAttempts = 3
)

// keyOutcome is what one attempt tells of its order key.
type keyOutcome int

const (
	// keyOpen: the order may have run or may still run.
	keyOpen keyOutcome = iota
	// keyDone: the order has run and the result is at hand.
	keyDone
	// keyClosed: the issuer says that the order has not run under this key and never will.
	keyClosed
	// keyUnsent: this attempt sent nothing towards the issuer. Earlier ones may have.
	keyUnsent
)

// Order runs an order at most once. It sends the same key again after a broken connection or an
// unknown outcome, and takes a new key only if the old one never runs. It goes on until the order
// has run, the timeout ends, or a refusal is such that no other attempt can help.
func (c *Client) Order(ctx context.Context, service string, o Order) OrderResult {
	limit := c.timeout(wire.Duration(o.Timeout))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for n := 1; ; n++ {
		k, err := c.takeKey(ctx, service, limit)
		if err != nil {
			return OrderResult{Outcome: wire.Refused, Failure: refusedKey(wire.AsFailure(err))}
		}
		r := c.place(ctx, service, k.OrderKey, o, false)
		if r.Outcome != wire.Refused {
			return r
		}
		f := r.Failure
		if !f.Forwarded {
			c.dropBatch(service, k.batch)
		}
		if isPermanent(f.Reason) || !c.pauseOrder(ctx, n, f.RetryIn.Std()) {
			return r
		}
	}
}

// pauseOrder waits before an order is sent again. It returns false if too little time is left.
func (c *Client) pauseOrder(ctx context.Context, n int, least time.Duration) bool {
	bound := min(longestOrderPause, firstOrderPause<<min(n-1, 10))
	if !c.wait(ctx, least, bound) {
		return false
	}
	end, ok := ctx.Deadline()
	return !ok || time.Until(end) >= shortestOrder
}

// Resend sends an order again with the key of an unknown outcome. The order runs if it has not
// run yet, and at most once. The body must be the same.
func (c *Client) Resend(ctx context.Context, service string, key wire.OrderKey, o Order) OrderResult {
	ctx, cancel := context.WithTimeout(ctx, c.timeout(wire.Duration(o.Timeout)))
	defer cancel()
	return c.place(ctx, service, key, o, true)
}

// place sends one key until its outcome is certain or the time is up. The argument open tells that
// an earlier attempt may have run the order.
func (c *Client) place(ctx context.Context, service string, key wire.OrderKey, o Order, open bool) OrderResult {
	result := OrderResult{Key: key.Key, Expires: key.Expires}
	var tried []netip.AddrPort
	for n := 1; ; n++ {
		r, f := c.placeOnce(ctx, service, key, o, &tried, &result)
		switch f {
		case keyDone:
			result.Outcome, result.Failure = wire.Answered, nil
			return result
		case keyClosed:
			result.Outcome, result.Failure = wire.Refused, r.asFailure()
			return result
		case keyOpen:
			open = true
		}
		failure := r.asFailure()
		result.Failure = failure
		if !open && n >= unsentAttempts {
			break
		}
		if isFinal(failure.Reason) || !time.Now().Before(key.Expires) || !c.pauseOrder(ctx, n, failure.RetryIn.Std()) {
			break
		}
	}
	return result.end(open)
}

// end states the outcome of a key whose issuer gave no result.
func (r OrderResult) end(open bool) OrderResult {
	f := *r.Failure
	if open {
		f.Outcome, f.NotRun, f.Forwarded = wire.Unknown, false, true
	} else {
		f.Outcome, f.NotRun, f.Forwarded = wire.Refused, true, false
	}
	r.Outcome, r.Failure = f.Outcome, &f
	return r
}

func (c *Client) placeOnce(
	ctx context.Context, service string, key wire.OrderKey, o Order, tried *[]netip.AddrPort, result *OrderResult,
) (reply, keyOutcome) {
	addresses, err := c.Addresses(ctx, service)
	if err != nil {
		return reply{failure: refusedKey(wire.AsFailure(err))}, keyUnsent
	}
	peer := c.pick(addresses, *tried)
	*tried = append(*tried, peer)
	// The issuer runs the order for the whole time; only the wait for this address is shorter.
	body := wire.Order{Key: key.Key, Kind: o.Kind, Body: o.Body}
	if end, ok := ctx.Deadline(); ok && o.Timeout > 0 {
		body.Timeout = nodeTime(time.Until(end))
	}
	r := c.send(ctx, peer, ordersPath(service), body, attemptTime(ctx, false))
	return r, r.orderOutcome(key.Key, result)
}

// orderOutcome judges a reply to an order or to a look-up.
func (r *reply) orderOutcome(key string, result *OrderResult) keyOutcome {
	var got wire.OrderResult
	if r.decode(&got) {
		if got.Outcome == wire.Answered && got.Key == key {
			result.Result = got.Result
			return keyDone
		}
		r.reject(errors.Newf("call: result of %s has key %q and outcome %q", r.peer, got.Key, got.Outcome))
	}
	if r.failure == nil {
		if r.sent {
			return keyOpen
		}
		return keyUnsent
	}
	f := r.failure
	notRun := f.Outcome == wire.Refused && f.NotRun
	switch {
	case notRun && isByIssuer(f):
		return keyClosed
	case notRun, !f.Forwarded && f.Outcome == wire.Unknown:
		return keyUnsent
	default:
		return keyOpen
	}
}

// isByIssuer reports whether the issuer refused the order by the state of its key. A refusal on
// the way to the issuer, or one that arrives there too late, is true of one attempt only: an
// earlier attempt with the same key may be running.
func isByIssuer(f *wire.Failure) bool {
	switch f.Step {
	case wire.StepDispatch, wire.StepLease, wire.StepAdmit, wire.StepCanary, wire.StepScatter, wire.StepBackend:
		return true
	case wire.StepOrderKey:
		return f.Forwarded || f.Reason == wire.ReasonKeyClosed
	default:
		return false
	}
}

// isFinal reports whether sending the same key again cannot tell more.
func isFinal(r wire.Reason) bool {
	return isPermanent(r) || r == wire.ReasonKeyExpired || r == wire.ReasonKeyForeign
}

func ordersPath(service string) string {
	return "/v1/services/" + url.PathEscape(service) + "/orders"
}

// Lookup asks for the outcome of an order key and never starts the order. Refused means that the
// key never runs. An attempt that reaches no issuer leaves the outcome Unknown.
func (c *Client) Lookup(ctx context.Context, service, key string) OrderResult {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	result := OrderResult{Key: key}
	var tried []netip.AddrPort
	for n := 1; ; n++ {
		addresses, err := c.Addresses(ctx, service)
		if err != nil {
			result.Failure = wire.AsFailure(err)
			return result.end(true)
		}
		peer := c.pick(addresses, tried)
		tried = append(tried, peer)
		r := c.send(ctx, peer, ordersPath(service)+"/"+url.PathEscape(key), nil, attemptTime(ctx, n == c.config.Attempts))
		switch r.orderOutcome(key, &result) {
		case keyDone:
			result.Outcome = wire.Answered
			return result
		case keyClosed:
			result.Outcome, result.Failure = wire.Refused, r.failure
			return result
		}
		result.Failure = r.asFailure()
		answered := r.failure != nil && r.failure.Forwarded
		if answered || n == c.config.Attempts || isFinal(result.Failure.Reason) || !c.pause(ctx, n, 0) {
			return result.end(true)
		}
	}
}
