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
	// addressTimeout bounds a fetch of addresses or order keys that several requests wait for.
	addressTimeout = 5 * time.Second
	// longestKeep bounds the effect of a wrong KeepFor.
	longestKeep = time.Minute
	// staleKeep is how long addresses stay in use after a refresh that no node answered.
	staleKeep = time.Second
)

// knownAddresses are asked for again after refresh, and must not be used after until.
type knownAddresses struct {
	addresses []netip.AddrPort
	refresh   time.Time
	until     time.Time
}

// Addresses returns the callers' addresses of the nodes that serve the service. They are kept for
// the time that nodes allow, and asked for again ahead of its end. The error is a *wire.Failure.
func (c *Client) Addresses(ctx context.Context, service string) ([]netip.AddrPort, error) {
	c.mu.Lock()
	k := c.known[service]
	c.mu.Unlock()
	now := time.Now()
	if now.Before(k.refresh) {
		return slices.Clone(k.addresses), nil
	}
	result := c.flights.DoChan("addresses "+service, func() (any, error) {
		ctx, cancel := context.WithTimeout(c.life, addressTimeout)
		defer cancel()
		return c.fetchAddresses(ctx, service, k.addresses)
	})
	if now.Before(k.until) {
		return slices.Clone(k.addresses), nil
	}
	select {
	case r := <-result:
		if r.Err != nil {
			return nil, r.Err
		}
		return slices.Clone(r.Val.([]netip.AddrPort)), nil
	case <-ctx.Done():
		return nil, wire.Refuse(wire.StepAddresses, "", wire.ReasonDeadline, "ask for addresses of %s: %v", service, ctx.Err())
	}
}

// fetchAddresses asks each address once until one answers. Addresses that were kept too long are
// used when no node answers, because a stopping node relays for a while.
func (c *Client) fetchAddresses(ctx context.Context, service string, stale []netip.AddrPort) ([]netip.AddrPort, error) {
	candidates := slices.Concat(stale, c.config.Seeds)
	var tried []netip.AddrPort
	failure := wire.Refuse(wire.StepAddresses, "", wire.ReasonDeadline, "no time to ask for addresses of %s", service)
	for range candidates {
		if ctx.Err() != nil {
			break
		}
		peer := c.pick(candidates, tried)
		if slices.Contains(tried, peer) {
			break
		}
		tried = append(tried, peer)
		asked := time.Now()
		r := c.send(ctx, peer, "/v1/services/"+url.PathEscape(service)+"/addresses", nil, min(attemptTime(ctx, false), c.config.ConnectTimeout))
		var a wire.Addresses
		if r.decode(&a) {
			addresses, err := parseAddresses(a, service)
			if err == nil {
				c.keep(service, addresses, asked, min(a.KeepFor.Std(), longestKeep))
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
		c.config.Log.Warn("addresses are kept too long", "service", service, "error", failure.Error())
		c.keep(service, stale, time.Now(), staleKeep)
		return stale, nil
	}
	return nil, failure
}

// keep keeps addresses from the time at which they were asked for: a node counts from its answer, which
// may have been long on the way.
func (c *Client) keep(service string, addresses []netip.AddrPort, asked time.Time, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known[service] = knownAddresses{addresses: addresses, refresh: asked.Add(d / 2), until: asked.Add(d)}
}

func parseAddresses(a wire.Addresses, service string) ([]netip.AddrPort, error) {
	if a.Service != service {
		return nil, errors.Newf("answer is for service %q", a.Service)
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
		return nil, errors.New("no address")
	}
	return addresses, nil
}
