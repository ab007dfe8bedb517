package serve

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// healthInterval is how often a home asks its servers for their health.
	healthInterval = time.Second
	healthTimeout  = 500 * time.Millisecond
	healthBytes    = 4 << 10
)

func newHealthClient() *http.Client {
	return &http.Client{Timeout: healthTimeout, Transport: &http.Transport{
		MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: 2 * healthInterval,
	}}
}

// checkHealth asks the servers of all homes. An endpoint that does not answer tells nothing.
func (n *Node) checkHealth(ctx context.Context) {
	for _, h := range n.homes.all() {
		for _, s := range h.status() {
			go h.checkServer(ctx, s.Server)
		}
	}
}

func (h *home) checkServer(ctx context.Context, a netip.AddrPort) {
	v, err := h.node.readHealth(ctx, a)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.apply(h.slice.Health(time.Now(), a, v))
}

func (n *Node) readHealth(ctx context.Context, a netip.AddrPort) (wire.Health, error) {
	var v wire.Health
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+"/health", http.NoBody)
	if err != nil {
		return v, errors.Wrapf(err, "serve: health of %s", a)
	}
	r, err := n.health.Do(q)
	if err != nil {
		return v, errors.Wrapf(err, "serve: health of %s", a)
	}
	defer r.Body.Close()
	err = json.NewDecoder(io.LimitReader(r.Body, healthBytes)).Decode(&v)
	return v, errors.Wrapf(err, "serve: health of %s", a)
}
