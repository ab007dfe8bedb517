package call

import (
	"context"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/wire"
)

// maxRequiredLifetime limits the remaining lifetime that is required of a key at its first use, because
// keys live 60 s.
const maxRequiredLifetime = 30 * time.Second

// unusedKey is an order key that has not been used. All keys of a batch have the same issuer.
type unusedKey struct {
	wire.OrderKey
	batch uint64
}

// takeKey returns an unused key that lives long enough for an order with the timeout. It starts
// to fetch more keys when fewer than half a batch remain. The error is a *wire.Failure.
func (c *Client) takeKey(ctx context.Context, service string, timeout time.Duration) (unusedKey, error) {
	for n := 1; ; n++ {
		k, remaining, ok := c.popKey(service, timeout)
		if ok && remaining >= c.config.KeyBatchSize/2 {
			return k, nil
		}
		fetched := c.fetches.DoChan("keys "+service, func() (any, error) {
			ctx, cancel := context.WithTimeout(c.baseCtx, sharedFetchTimeout)
			defer cancel()
			return nil, c.fetchKeys(ctx, service)
		})
		if ok {
			return k, nil
		}
		select {
		case r := <-fetched:
			if r.Err != nil {
				return unusedKey{}, r.Err
			}
		case <-ctx.Done():
			return unusedKey{}, wire.Refuse(wire.StepOrderKey, "", wire.ReasonDeadline, "wait for an order key: %v", ctx.Err())
		}
		// Other requests may have used up the batch, or its keys may expire too soon.
		if !c.waitBackoff(ctx, n, 0) {
			return unusedKey{}, wire.Refuse(wire.StepOrderKey, "", wire.ReasonDeadline, "no order key remains valid for %v", timeout)
		}
	}
}

func (c *Client) popKey(service string, timeout time.Duration) (unusedKey, int, bool) {
	need := time.Now().Add(min(timeout, maxRequiredLifetime))
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := slices.DeleteFunc(c.keys[service], func(k unusedKey) bool { return k.Expires.Before(need) })
	if len(keys) == 0 {
		c.keys[service] = nil
		return unusedKey{}, 0, false
	}
	c.keys[service] = keys[1:]
	return keys[0], len(keys) - 1, true
}

// dropBatch discards the unused keys of a batch whose issuer is unreachable.
func (c *Client) dropBatch(service string, batch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys[service] = slices.DeleteFunc(c.keys[service], func(k unusedKey) bool { return k.batch == batch })
}

// fetchKeys fetches one batch of keys. Keys lost in a failed response expire unused.
func (c *Client) fetchKeys(ctx context.Context, service string) error {
	var tried []netip.AddrPort
	for n := 1; ; n++ {
		addresses, err := c.Addresses(ctx, service)
		if err != nil {
			return err
		}
		peer := c.pickAddress(addresses, tried)
		tried = append(tried, peer)
		body := struct{ Count int }{c.config.KeyBatchSize}
		r := c.send(ctx, peer, "/v1/services/"+url.PathEscape(service)+"/order-keys", body, attemptTimeout(ctx, n == c.config.MaxAttempts))
		var got wire.OrderKeys
		if r.decode(&got) {
			if len(got.Keys) > 0 {
				c.addKeys(service, got.Keys)
				return nil
			}
			r.reject(errors.Newf("call: response from %s has no order keys", peer))
		}
		f := r.asFailure()
		if n == c.config.MaxAttempts || isPermanent(f.Reason) || !c.waitBackoff(ctx, n, f.RetryAfter.Std()) {
			return asNotRun(f)
		}
	}
}

// asNotRun returns a copy of the failure that reports the order as not run, because without a key it
// cannot have been sent.
func asNotRun(f *wire.Failure) *wire.Failure {
	x := *f
	x.Outcome, x.NotRun, x.Forwarded = wire.Refused, true, false
	return &x
}

func (c *Client) addKeys(service string, keys []wire.OrderKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastBatch++
	for _, k := range keys {
		c.keys[service] = append(c.keys[service], unusedKey{OrderKey: k, batch: c.lastBatch})
	}
}
