package peer

import (
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/fleet"
)

// ask runs a query on the state machine.
func ask[T any](n *Node, query func(now time.Time, f *fleet.Node) T) T {
	n.mu.Lock()
	defer n.mu.Unlock()
	return query(n.read(), n.fleet)
}

// Home returns the member to ask for the slice; see fleet.Node.Home.
func (n *Node) Home(service string, slice int) (fleet.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fleet.Home(n.read(), service, slice)
}

// Lease returns the end of this node's lease in the time of time.Now, without the reading of the
// monotonic clock. Work on the slice must end 50 ms before it.
func (n *Node) Lease(service string, slice int) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	end, ok := n.fleet.Lease(n.read(), service, slice)
	return end.Add(n.clock.offset), ok
}

// Leases returns the leases that this node may use now. Ends are as in Lease.
func (n *Node) Leases() []fleet.Held {
	n.mu.Lock()
	defer n.mu.Unlock()
	held := n.fleet.Leases(n.read())
	for i := range held {
		held[i].End = held[i].End.Add(n.clock.offset)
	}
	return held
}

// Draining reports whether this node should finish its work on the slice and call Release.
func (n *Node) Draining(service string, slice int) bool {
	return ask(n, func(now time.Time, f *fleet.Node) bool { return f.Draining(now, service, slice) })
}

// Addresses returns the callers' addresses of the nodes on the service's seats.
func (n *Node) Addresses(service string) []netip.AddrPort {
	return ask(n, func(_ time.Time, f *fleet.Node) []netip.AddrPort { return f.Addresses(service) })
}

// IsReader reports whether this node should watch the platform.
func (n *Node) IsReader() bool {
	return ask(n, func(_ time.Time, f *fleet.Node) bool { return f.IsReader() })
}

// ReaderRank returns 0 when this node reads the platform; see fleet.Node.ReaderRank.
func (n *Node) ReaderRank() int {
	return ask(n, func(_ time.Time, f *fleet.Node) int { return f.ReaderRank() })
}

// Ready reports whether the node may serve.
func (n *Node) Ready() bool {
	return ask(n, func(_ time.Time, f *fleet.Node) bool { return f.Ready() })
}

// FeedAge returns how long ago this node's copy of what the platform publishes was known to be
// current. It returns false when it never was.
func (n *Node) FeedAge() (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fleet.FeedAge(n.read())
}

// Settled reports whether a fresh node may take a document from the platform; see
// fleet.Node.Settled.
func (n *Node) Settled() bool {
	return ask(n, func(_ time.Time, f *fleet.Node) bool { return f.Settled() })
}

// Self returns this node as others know it. Its address and incarnation name it in order keys.
func (n *Node) Self() fleet.Member {
	return ask(n, func(_ time.Time, f *fleet.Node) fleet.Member { return f.Self() })
}

// Members returns all known members, sorted by address.
func (n *Node) Members() []fleet.Member {
	return ask(n, func(_ time.Time, f *fleet.Node) []fleet.Member { return f.Members() })
}

// Version returns the version and the shortened hash of the document in force.
func (n *Node) Version() (uint64, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fleet.Version()
}

// Counters returns the counts of datagrams.
func (n *Node) Counters() Counters { return n.counters.snapshot() }
