package serve

import (
	"context"
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/back"
)

const (
	// healthInterval is the interval at which a node checks the health of the servers of its slices.
	healthInterval = time.Second
	healthTimeout  = 500 * time.Millisecond
)

// checkHealth requests the health of the servers of all holders. A failed health check has no effect.
func (n *Node) checkHealth(ctx context.Context) {
	for _, h := range n.holders.all() {
		for _, s := range h.status() {
			go h.checkServer(ctx, s.Server)
		}
	}
}

func (h *sliceHolder) checkServer(ctx context.Context, a netip.AddrPort) {
	v, r := h.node.backend.Health(ctx, a, time.Now().Add(healthTimeout))
	if r.Outcome != back.OK {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.apply(h.scheduler.Health(time.Now(), a, v))
}
