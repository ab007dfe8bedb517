package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// Limits of the flood log.
const (
	// floodLogLimit is the number of items that the log retains for slow edges.
	floodLogLimit = 2048
	// edgeBacklog is the number of recent items sent on a new edge.
	edgeBacklog = 32
)

// floodItem is an update or a note to be flooded.
type floodItem struct {
	update *Update
	note   *Note
	// from lists the members that sent the item, to avoid sending it back to them.
	from []netip.AddrPort
	size int
}

// floodLog holds the recent items in order of arrival. Each edge has its own position in the log, so
// an item is sent at most once on each edge.
type floodLog struct {
	items []floodItem
	// base is the sequence number of the first item.
	base uint64
}

func (l *floodLog) end() uint64 { return l.base + uint64(len(l.items)) }

func (l *floodLog) add(it floodItem) {
	if len(l.items) >= 2*floodLogLimit {
		drop := len(l.items) - floodLogLimit
		l.items = append(l.items[:0:0], l.items[drop:]...)
		l.base += uint64(drop)
	}
	l.items = append(l.items, it)
}

// edge is a connection of the flooding graph: a member that this node watches, or one that
// watches it.
type edge struct {
	record  *record
	watched bool
	next    uint64
	// version is the configuration version last sent to or received from the member.
	version uint64
	// revision is the revision of the platform data last sent to or received from the member.
	revision uint64
	// serial is the serial of the last heartbeat; acked is set once the member has answered it.
	serial uint64
	acked  bool
	misses int
	// nextSuspicion is when a new suspicion may be raised. suspectBackoff doubles with each suspicion
	// and is reset when the member answers a heartbeat.
	nextSuspicion  time.Time
	suspectBackoff time.Duration
	// digestMismatches counts consecutive exchanges with different digests.
	digestMismatches int
}

// floodUpdate adds an update to the flood log. It is not sent back to from.
func (n *Node) floodUpdate(u Update, from netip.AddrPort) {
	if u.State == StateDown {
		// Nodes that know the member have the other fields, and other nodes do not need the update.
		u.Caller, u.FailureDomain, u.Region, u.Weight, u.Millicores = netip.AddrPort{}, "", "", 0, 0
	}
	n.floodLog.add(floodItem{update: &u, from: []netip.AddrPort{from}, size: n.codec.size(u)})
	if r := n.table.records[u.Address]; r != nil && u.State != StateSuspect {
		r.logEnd = n.floodLog.end()
	}
}

// recordSender records that from also has the last logged update about r, so that it is not sent to it.
func (n *Node) recordSender(r *record, from netip.AddrPort) {
	if r.logEnd > n.floodLog.base {
		it := &n.floodLog.items[r.logEnd-1-n.floodLog.base]
		it.from = append(it.from, from)
	}
}

func (n *Node) floodNote(note Note, from netip.AddrPort) {
	n.floodLog.add(floodItem{note: &note, from: []netip.AddrPort{from}, size: n.codec.size(note)})
}

// hasPending reports whether the edge has items to send. It skips superseded items.
func (n *Node) hasPending(e *edge) bool {
	e.next = max(e.next, n.floodLog.base)
	for e.next < n.floodLog.end() {
		it := n.floodLog.items[e.next-n.floodLog.base]
		if !slices.Contains(it.from, e.record.Address) && !n.isSuperseded(it) {
			return true
		}
		e.next++
	}
	return false
}

// isSuperseded reports whether a newer update or note has replaced the item.
func (n *Node) isSuperseded(it floodItem) bool {
	if it.note != nil {
		k, ok := n.notes[it.note.ID]
		return !ok || !k.Expires.Equal(it.note.Expires)
	}
	r := n.table.records[it.update.Address]
	if r == nil {
		return true
	}
	if it.update.State == StateSuspect && r.isUp() {
		return r.Incarnation != it.update.Incarnation || r.Sequence != it.update.Sequence
	}
	return r.Incarnation != it.update.Incarnation || r.Sequence != it.update.Sequence ||
		r.State.rank() > it.update.State.rank()
}

// piggyback adds pending items of the edge to the message, up to remaining bytes. It drops items that
// do not fit in an empty message.
func (n *Node) piggyback(e *edge, m *Message, remaining int) {
	for n.hasPending(e) {
		it := n.floodLog.items[e.next-n.floodLog.base]
		if it.size > remaining {
			if it.size > n.maxListBytes() {
				e.next++
				continue
			}
			return
		}
		remaining -= it.size
		e.next++
		if it.note != nil {
			m.Notes = append(m.Notes, *it.note)
			continue
		}
		m.Updates = append(m.Updates, *it.update)
	}
}

// sendMembers sends member updates to one node immediately, for example to a node that is considered
// Down. Updates that do not fit in one message are dropped.
func (n *Node) sendMembers(to netip.AddrPort, members ...Member) {
	m := n.newMessage(KindUpdate)
	remaining := n.maxListBytes()
	for _, k := range members {
		u := Update{Member: k}
		if remaining -= n.codec.size(u); remaining < 0 {
			break
		}
		m.Updates = append(m.Updates, u)
	}
	n.send(to, m)
}

// flush sends pending items, a new configuration version and a new platform revision on all edges.
func (n *Node) flush() {
	for _, e := range n.edges {
		if e.version >= n.version && e.revision >= n.feed.revision && !n.hasPending(e) {
			continue
		}
		m := n.newMessage(KindUpdate)
		n.piggyback(e, m, n.maxListBytes())
		e.version, e.revision = n.version, n.feed.revision
		n.send(e.record.Address, m)
	}
}
