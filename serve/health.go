package serve

import (
	"context"
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/back"
)

const (
	// healthInterval is how often a home asks its servers for their health.
	healthInterval = time.Second
	healthTimeout  = 500 * time.Millisecond
)

// checkHealth asks the servers of all homes. An endpoint that does not answer tells nothing.
func (n *Node) checkHealth(ctx context.Context) {
	for _, h := range n.homes.all() {
		for _, s := range h.status() {
			go h.checkServer(ctx, s.Server)
		}
	}
}

func (h *home) checkServer(ctx context.Context, a netip.AddrPort) {
	v, r := h.node.backend.Health(ctx, a, time.Now().Add(healthTimeout))
	if r.Class != back.OK {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.apply(h.slice.Health(time.Now(), a, v))
}
