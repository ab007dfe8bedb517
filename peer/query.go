package peer

import (
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/fleet"
)

// queryFleet runs a query on the state machine while holding n.mu.
func queryFleet[T any](n *Node, query func(now time.Time, f *fleet.Node) T) T {
	n.mu.Lock()
	defer n.mu.Unlock()
	return query(n.readClock(), n.fleet)
}

// ExpectedHolder returns the member that requests for the slice are sent to. It returns false if there is none. See
// fleet.Node.ExpectedHolder.
func (n *Node) ExpectedHolder(service string, slice int) (fleet.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fleet.ExpectedHolder(n.readClock(), service, slice)
}

// Lease returns the expiry of this node's lease as wall clock time, comparable with time.Now, without a monotonic
// clock reading. Work on the slice must end 50 ms before it. It returns false if this node holds no usable lease.
func (n *Node) Lease(service string, slice int) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	end, ok := n.fleet.Lease(n.readClock(), service, slice)
	return end.Add(n.clock.offset), ok
}

// Leases returns the leases that this node may currently use. Expiry times are as in Lease.
func (n *Node) Leases() []fleet.Held {
	n.mu.Lock()
	defer n.mu.Unlock()
	held := n.fleet.Leases(n.readClock())
	for i := range held {
		held[i].End = held[i].End.Add(n.clock.offset)
	}
	return held
}

// Draining reports whether this node should complete its work on the slice and call Release.
func (n *Node) Draining(service string, slice int) bool {
	return queryFleet(n, func(now time.Time, f *fleet.Node) bool { return f.Draining(now, service, slice) })
}

// Addresses returns the caller-facing addresses of the nodes that are voters of the service.
func (n *Node) Addresses(service string) []netip.AddrPort {
	return queryFleet(n, func(_ time.Time, f *fleet.Node) []netip.AddrPort { return f.Addresses(service) })
}

// WatchesPlatform reports whether this node should watch the platform.
func (n *Node) WatchesPlatform() bool {
	return queryFleet(n, func(_ time.Time, f *fleet.Node) bool { return f.WatchesPlatform() })
}

// ReaderRank returns 0 if this node reads the platform; see fleet.Node.ReaderRank.
func (n *Node) ReaderRank() int {
	return queryFleet(n, func(_ time.Time, f *fleet.Node) int { return f.ReaderRank() })
}

// Ready reports whether the node may serve requests.
func (n *Node) Ready() bool {
	return queryFleet(n, func(_ time.Time, f *fleet.Node) bool { return f.Ready() })
}

// FeedAge returns the time since this node's copy of the platform feed was last known to be current. It returns
// false if that was never the case.
func (n *Node) FeedAge() (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fleet.FeedAge(n.readClock())
}

// BootstrapComplete reports whether a newly started node may install a document from the platform; see
// fleet.Node.BootstrapComplete.
func (n *Node) BootstrapComplete() bool {
	return queryFleet(n, func(_ time.Time, f *fleet.Node) bool { return f.BootstrapComplete() })
}

// Self returns this node's member entry as announced to others. Its address and incarnation identify the node in
// order keys.
func (n *Node) Self() fleet.Member {
	return queryFleet(n, func(_ time.Time, f *fleet.Node) fleet.Member { return f.Self() })
}

// Members returns all known members, sorted by address.
func (n *Node) Members() []fleet.Member {
	return queryFleet(n, func(_ time.Time, f *fleet.Node) []fleet.Member { return f.Members() })
}

// Version returns the version and the shortened hash of the active document.
func (n *Node) Version() (uint64, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fleet.Version()
}

// Counters returns a snapshot of the datagram counters.
func (n *Node) Counters() Counters { return n.counters.snapshot() }
