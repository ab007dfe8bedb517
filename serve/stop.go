package serve

import (
	"context"
	"time"

	"github.com/arbutusthread/arbutusthread/clock"
)

// stopLimit bounds the wait for work in flight and for the hand-over of leases in a planned stop.
// No request may take longer than it.
const stopLimit = 30 * time.Second

// leaveSpread is the time in which all nodes learn that a node leaves; until then their answers name its
// address. A note reached 30 processes in 40 ms; the rest is for processes that wait for a processor.
const leaveSpread = time.Second

// Stop ends the node in a planned way: it announces that the node leaves, ends the issue of order
// keys, waits for the work in flight and for the hand-over of its leases, relays for callers that
// keep its address, and then lets Run return. It returns early when ctx ends.
func (n *Node) Stop(ctx context.Context) {
	if n.stopping.Swap(true) {
		return
	}
	n.log.Info("stopping", "Name", n.settings.Name)
	n.peer.Leave()
	n.orders.stop()
	left := time.Now()
	for ctx.Err() == nil && time.Since(left) < stopLimit && !n.idle() {
		clock.Sleep(ctx, checkInterval)
	}
	// Callers may use the address for KeepFor after the last answer that named it.
	clock.Sleep(ctx, n.settings.KeepFor.Std()+leaveSpread-time.Since(left))
	for ctx.Err() == nil && time.Since(left) < stopLimit && n.orders.running() > 0 {
		clock.Sleep(ctx, checkInterval)
	}
	// Shutdown waits for the requests in flight of callers.
	ctx, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.log.Warn("requests of callers were cut off", "Error", err)
	}
	n.log.Info("stopped", "Name", n.settings.Name, "After", time.Since(left))
	close(n.stopped)
}

// idle reports whether no lease is held and no order runs.
func (n *Node) idle() bool {
	return len(n.peer.Leases()) == 0 && n.orders.running() == 0
}
