package node

import (
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/fleet"
)

// keepFor is how long callers keep an answer of the directory.
const keepFor = time.Second

// Addresses returns the addresses for callers of a host in a failure domain, and how long the
// answer holds.
func (n *Node) Addresses(_, region, domain string) ([]netip.AddrPort, time.Duration) {
	var near, far []netip.AddrPort
	for _, m := range n.peer.Members() {
		if m.State != fleet.StateAlive || !m.Caller.IsValid() {
			continue
		}
		if m.FailureDomain == domain && m.Region == region {
			near = append(near, m.Caller)
		} else {
			far = append(far, m.Caller)
		}
	}
	if len(near) > 0 {
		return near, keepFor
	}
	return far, keepFor
}
