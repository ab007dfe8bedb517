package fleet

import (
	"net/netip"
	"time"
)

// feedPullEvery is the least time between two requests to pull the same revision from a peer.
const feedPullEvery = 200 * time.Millisecond

// feedWatch is what the node knows of the copies of what the platform publishes, its own and those
// of others.
type feedWatch struct {
	revision uint64
	// confirmed is the last time at which this node's copy was known to be current.
	confirmed time.Time
	wanted    uint64
	wantedAt  time.Time
}

// SetFeed tells the node the revision of its copy and how long ago it was known to be current, and
// tells the neighbours at once when the revision is new.
func (n *Node) SetFeed(now time.Time, revision uint64, age time.Duration) []Output {
	n.see(now)
	f := &n.feed
	f.confirmed = later(f.confirmed, n.now.Add(-age))
	if revision > f.revision {
		f.revision = revision
		n.flush()
	}
	return n.take()
}

// FeedAge returns how long ago this node's copy was known to be current. It returns false when it
// never was.
func (n *Node) FeedAge(now time.Time) (time.Duration, bool) {
	if n.feed.confirmed.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(n.feed.confirmed)), true
}

// hearFeed compares the sender's copy with that of this node.
func (n *Node) hearFeed(from netip.AddrPort, m Message) {
	f := &n.feed
	if e := n.edge(from); e != nil {
		e.revision = max(e.revision, m.Revision)
	}
	if m.Revision <= f.revision {
		if m.Age > 0 {
			f.confirmed = later(f.confirmed, n.now.Add(-time.Duration(m.Age)*time.Millisecond))
		}
		return
	}
	if m.Revision <= f.wanted && n.now.Sub(f.wantedAt) < feedPullEvery {
		return
	}
	f.wanted, f.wantedAt = m.Revision, n.now
	n.emit(Event{Kind: FeedNewer, Peer: from, Version: m.Revision})
}

// feedAge returns the age to be sent, at least 1 when the copy was ever current.
func (n *Node) feedAge() uint32 {
	age, ok := n.FeedAge(n.now)
	if !ok {
		return 0
	}
	return uint32(min(max(age.Milliseconds(), 1), int64(^uint32(0))))
}
