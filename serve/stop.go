package serve

import (
	"context"
	"time"

	"github.com/arbutusthread/arbutusthread/clock"
)

// stopTimeout bounds the wait for work in flight and for the handover of leases in a graceful shutdown. No request may
// take longer.
const stopTimeout = 30 * time.Second

// leavePropagationTime is the time within which all nodes are informed that a node is leaving; until then they may
// return its address to callers. A note reached 30 processes in 40 ms; the rest allows for processes that wait for a
// processor.
const leavePropagationTime = time.Second

// Stop shuts the node down gracefully: it announces that the node is leaving, stops issuing order keys, waits for
// work in flight and for the handover of its leases, relays requests of callers that still use its address, and then
// makes Run return. It stops waiting when ctx is canceled.
func (n *Node) Stop(ctx context.Context) {
	if n.stopping.Swap(true) {
		return
	}
	n.log.Info("stopping", "Name", n.settings.Name)
	n.peer.Leave(time.Time{})
	n.orders.stopIssuing()
	begin := time.Now()
	for ctx.Err() == nil && time.Since(begin) < stopTimeout && !n.idle() {
		clock.Sleep(ctx, checkInterval)
	}
	// Callers may use the address for AddressTTL after the last directory response that contained it.
	clock.Sleep(ctx, n.settings.AddressTTL.Std()+leavePropagationTime-time.Since(begin))
	for ctx.Err() == nil && time.Since(begin) < stopTimeout && n.orders.running() > 0 {
		clock.Sleep(ctx, checkInterval)
	}
	// Shutdown waits for requests of callers in flight.
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.log.Warn("requests of callers were aborted by the shutdown", "Error", err)
	}
	n.log.Info("stopped", "Name", n.settings.Name, "After", time.Since(begin))
	close(n.stopped)
}

// idle reports whether the node holds no lease and runs no order.
func (n *Node) idle() bool {
	return len(n.peer.Leases()) == 0 && n.orders.running() == 0
}
