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

// longestReserve bounds the lifetime that a key needs at first use, because keys live 60 s.
const longestReserve = 30 * time.Second

// heldKey is an order key that has not been used. Keys of one batch have the same issuer.
type heldKey struct {
	wire.OrderKey
	batch uint64
}

// takeKey returns an unused key that lives long enough for an order with the timeout. It starts
// to fetch more keys when half a batch is left. The error is a *wire.Failure.
func (c *Client) takeKey(ctx context.Context, service string, timeout time.Duration) (heldKey, error) {
	for n := 1; ; n++ {
		k, left, ok := c.popKey(service, timeout)
		if ok && left >= c.config.KeyBatch/2 {
			return k, nil
		}
		fetched := c.flights.DoChan("keys "+service, func() (any, error) {
			ctx, cancel := context.WithTimeout(c.life, addressTimeout)
			defer cancel()
			return nil, c.fetchKeys(ctx, service)
		})
		if ok {
			return k, nil
		}
		select {
		case r := <-fetched:
			if r.Err != nil {
				return heldKey{}, r.Err
			}
		case <-ctx.Done():
			return heldKey{}, wire.Refuse(wire.StepOrderKey, "", wire.ReasonDeadline, "wait for a key: %v", ctx.Err())
		}
		// Other requests may have used up the batch, or the keys end too soon.
		if !c.pause(ctx, n, 0) {
			return heldKey{}, wire.Refuse(wire.StepOrderKey, "", wire.ReasonDeadline, "no key that lives for %v", timeout)
		}
	}
}

func (c *Client) popKey(service string, timeout time.Duration) (heldKey, int, bool) {
	need := time.Now().Add(min(timeout, longestReserve))
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := slices.DeleteFunc(c.keys[service], func(k heldKey) bool { return k.Expires.Before(need) })
	if len(keys) == 0 {
		c.keys[service] = nil
		return heldKey{}, 0, false
	}
	c.keys[service] = keys[1:]
	return keys[0], len(keys) - 1, true
}

// dropBatch forgets the unused keys of an issuer that cannot be reached.
func (c *Client) dropBatch(service string, batch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys[service] = slices.DeleteFunc(c.keys[service], func(k heldKey) bool { return k.batch == batch })
}

// fetchKeys adds one batch. Keys that are lost with a broken reply expire unused.
func (c *Client) fetchKeys(ctx context.Context, service string) error {
	var tried []netip.AddrPort
	for n := 1; ; n++ {
		addresses, err := c.Addresses(ctx, service)
		if err != nil {
			return err
		}
		peer := c.pick(addresses, tried)
		tried = append(tried, peer)
		body := struct{ Count int }{c.config.KeyBatch}
		r := c.send(ctx, peer, "/v1/services/"+url.PathEscape(service)+"/order-keys", body, attemptTime(ctx, n == c.config.Attempts))
		var got wire.OrderKeys
		if r.decode(&got) {
			if len(got.Keys) > 0 {
				c.addKeys(service, got.Keys)
				return nil
			}
			r.reject(errors.Newf("call: no order key from %s", peer))
		}
		f := r.asFailure()
		if n == c.config.Attempts || isPermanent(f.Reason) || !c.pause(ctx, n, f.RetryIn.Std()) {
			return refusedKey(f)
		}
	}
}

// refusedKey says that the order has not run, since without a key it cannot have been sent.
func refusedKey(f *wire.Failure) *wire.Failure {
	x := *f
	x.Outcome, x.NotRun, x.Forwarded = wire.Refused, true, false
	return &x
}

func (c *Client) addKeys(service string, keys []wire.OrderKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.batch++
	for _, k := range keys {
		c.keys[service] = append(c.keys[service], heldKey{OrderKey: k, batch: c.batch})
	}
}
