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

const (
	// sharedFetchTimeout bounds a fetch of addresses or order keys that is shared by several requests.
	sharedFetchTimeout = 5 * time.Second
	// maxCacheTime limits the time for which addresses are cached, in case a node sends a wrong TTL.
	maxCacheTime = time.Minute
	// staleCacheTime is the time for which cached addresses stay in use after no node answered a refresh.
	staleCacheTime = time.Second
)

// cachedAddresses is the cache entry of a service. It is refreshed after refreshAt and must not be used
// after expires.
type cachedAddresses struct {
	addresses []netip.AddrPort
	refreshAt time.Time
	expires   time.Time
}

// Addresses returns the addresses on which nodes serve callers of the service. They are cached for the
// time that the nodes allow, and refreshed before it ends. The error is a *wire.Failure.
func (c *Client) Addresses(ctx context.Context, service string) ([]netip.AddrPort, error) {
	c.mu.Lock()
	k := c.addressCache[service]
	c.mu.Unlock()
	now := time.Now()
	if now.Before(k.refreshAt) {
		return slices.Clone(k.addresses), nil
	}
	result := c.fetches.DoChan("addresses "+service, func() (any, error) {
		ctx, cancel := context.WithTimeout(c.baseCtx, sharedFetchTimeout)
		defer cancel()
		return c.fetchAddresses(ctx, service, k.addresses)
	})
	if now.Before(k.expires) {
		return slices.Clone(k.addresses), nil
	}
	select {
	case r := <-result:
		if r.Err != nil {
			return nil, r.Err
		}
		return slices.Clone(r.Val.([]netip.AddrPort)), nil
	case <-ctx.Done():
		return nil, wire.Refuse(wire.StepAddresses, "", wire.ReasonDeadline, "fetch addresses of %s: %v", service, ctx.Err())
	}
}

// fetchAddresses requests the addresses from each known address once until one answers. If none answers,
// it uses expired addresses, because a node that is stopping still relays requests for a while.
func (c *Client) fetchAddresses(ctx context.Context, service string, stale []netip.AddrPort) ([]netip.AddrPort, error) {
	candidates := slices.Concat(stale, c.config.Seeds)
	var tried []netip.AddrPort
	failure := wire.Refuse(wire.StepAddresses, "", wire.ReasonDeadline,
		"deadline exceeded before addresses of %s were fetched", service)
	for range candidates {
		if ctx.Err() != nil {
			break
		}
		peer := c.pickAddress(candidates, tried)
		if slices.Contains(tried, peer) {
			break
		}
		tried = append(tried, peer)
		requestedAt := time.Now()
		r := c.send(ctx, peer, "/v1/services/"+url.PathEscape(service)+"/addresses", nil, min(attemptTimeout(ctx, false), c.config.ConnectTimeout))
		var a wire.Addresses
		if r.decode(&a) {
			addresses, err := parseAddresses(a, service)
			if err == nil {
				c.cacheAddresses(service, addresses, requestedAt, min(a.TTL.Std(), maxCacheTime))
				return addresses, nil
			}
			r.reject(errors.Wrapf(err, "call: addresses of %s from %s", service, peer))
		}
		failure = r.asFailure()
		if isPermanent(failure.Reason) {
			return nil, failure
		}
	}
	if len(stale) > 0 {
		c.config.Log.Warn("no node answered; using expired addresses", "service", service, "error", failure.Error())
		c.cacheAddresses(service, stale, time.Now(), staleCacheTime)
		return stale, nil
	}
	return nil, failure
}

// cacheAddresses caches addresses for d from the time of the request. The node counts from the time of its
// answer, which may have been delayed on the network.
func (c *Client) cacheAddresses(service string, addresses []netip.AddrPort, requestedAt time.Time, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addressCache[service] = cachedAddresses{addresses: addresses, refreshAt: requestedAt.Add(d / 2), expires: requestedAt.Add(d)}
}

func parseAddresses(a wire.Addresses, service string) ([]netip.AddrPort, error) {
	if a.Service != service {
		return nil, errors.Newf("response is for service %q", a.Service)
	}
	addresses := make([]netip.AddrPort, 0, len(a.Addresses))
	for _, s := range a.Addresses {
		x, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, errors.Wrap(err, "parse address")
		}
		addresses = append(addresses, x)
	}
	if len(addresses) == 0 {
		return nil, errors.New("response has no addresses")
	}
	return addresses, nil
}
