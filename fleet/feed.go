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
	// wanted is the newest revision that was heard of, and wantedConfirmed the time at which it was
	// known to be current.
	wanted          uint64
	wantedAt        time.Time
	wantedConfirmed time.Time
}

// SetFeed tells the node the revision of its copy, and whether the copy was just read from the
// platform. It tells the neighbours at once when the revision is new.
func (n *Node) SetFeed(now time.Time, revision uint64, read bool) []Output {
	n.see(now)
	f := &n.feed
	if read {
		f.confirmed = n.now
	}
	if revision >= f.wanted {
		f.confirmed = later(f.confirmed, f.wantedConfirmed)
	}
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
	var confirmed time.Time
	if m.Age > 0 {
		confirmed = n.now.Add(-time.Duration(m.Age) * time.Millisecond)
	}
	if m.Revision <= f.revision {
		f.confirmed = later(f.confirmed, confirmed)
		return
	}
	if m.Revision >= f.wanted {
		f.wantedConfirmed = later(f.wantedConfirmed, confirmed)
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
