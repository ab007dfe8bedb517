package fleet

import (
	"net/netip"
	"time"
)

// feedPullInterval is the minimum time between two requests to pull the same revision from a peer.
const feedPullInterval = 200 * time.Millisecond

// feedState tracks the revision and age of the platform data on this node and on its peers.
type feedState struct {
	revision uint64
	// currentAt is the last time at which this node's copy was known to be current.
	currentAt time.Time
	// newest is the newest revision advertised by a peer, pulledAt is when a pull of it was last
	// requested, and newestCurrentAt is the last time at which it was known to be current.
	newest          uint64
	pulledAt        time.Time
	newestCurrentAt time.Time
}

// SetFeed sets the revision of this node's copy of the platform data. read means that the copy was just
// read from the platform. A new revision is sent to the neighbors immediately.
func (n *Node) SetFeed(now time.Time, revision uint64, read bool) []Output {
	n.advance(now)
	f := &n.feed
	if read {
		f.currentAt = n.now
	}
	if revision >= f.newest {
		f.currentAt = later(f.currentAt, f.newestCurrentAt)
	}
	if revision > f.revision {
		f.revision = revision
		n.flush()
	}
	return n.takeOutputs()
}

// FeedAge returns the time since this node's copy of the platform data was last known to be current. It
// returns false when it never was.
func (n *Node) FeedAge(now time.Time) (time.Duration, bool) {
	if n.feed.currentAt.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(n.feed.currentAt)), true
}

// compareFeed compares the revision and age of the sender's copy with those of this node.
func (n *Node) compareFeed(from netip.AddrPort, m Message) {
	f := &n.feed
	if e := n.edge(from); e != nil {
		e.revision = max(e.revision, m.Revision)
	}
	var currentAt time.Time
	if m.Age > 0 {
		currentAt = n.now.Add(-time.Duration(m.Age) * time.Millisecond)
	}
	if m.Revision <= f.revision {
		f.currentAt = later(f.currentAt, currentAt)
		return
	}
	if m.Revision >= f.newest {
		f.newestCurrentAt = later(f.newestCurrentAt, currentAt)
	}
	if m.Revision <= f.newest && n.now.Sub(f.pulledAt) < feedPullInterval {
		return
	}
	f.newest, f.pulledAt = m.Revision, n.now
	n.emit(Event{Kind: FeedNewer, Peer: from, Version: m.Revision})
}

// feedAge returns the age to send in milliseconds: at least 1, or 0 when the copy was never known to be
// current.
func (n *Node) feedAge() uint32 {
	age, ok := n.FeedAge(n.now)
	if !ok {
		return 0
	}
	return uint32(min(max(age.Milliseconds(), 1), int64(^uint32(0))))
}
