package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// Limits of the log of items to flood.
const (
	// logLimit is the number of items that the log keeps for slow edges.
	logLimit = 2048
	// edgeBacklog is the number of recent items that a new edge is sent.
	edgeBacklog = 32
)

// logItem is one update or note to be flooded.
type logItem struct {
	update *Update
	note   *Note
	// from lists the members that have sent the item, so that it is not sent back to them.
	from []netip.AddrPort
	size int
}

// spreadLog holds the recent items in the order in which they came. Each edge has its own place in
// it, so that an item crosses each edge at most once.
type spreadLog struct {
	items []logItem
	// base is the number of the first item.
	base uint64
}

func (l *spreadLog) end() uint64 { return l.base + uint64(len(l.items)) }

func (l *spreadLog) add(it logItem) {
	if len(l.items) >= 2*logLimit {
		drop := len(l.items) - logLimit
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
	// version is the configuration version last told to the member.
	version uint64
	// revision is that of the platform's data last told to the member.
	revision uint64
	// serial is that of the last heartbeat, acked tells whether it was answered.
	serial uint64
	acked  bool
	misses int
	// suspectAt is when a new suspicion may be raised; suspectWait grows while the member refutes.
	suspectAt   time.Time
	suspectWait time.Duration
	// differs counts exchanges in a row with different digests.
	differs int
}

// flood adds an item to the log. The member that it came from is not sent it.
func (n *Node) floodUpdate(u Update, from netip.AddrPort) {
	if u.State == StateDown {
		// Who knows the member has the other fields, and who does not needs no news of its end.
		u.Caller, u.FailureDomain, u.Region, u.Weight = netip.AddrPort{}, "", "", 0
	}
	n.log.add(logItem{update: &u, from: []netip.AddrPort{from}, size: n.codec.size(u)})
	if r := n.table.records[u.Address]; r != nil && u.State != StateSuspect {
		r.logged = n.log.end()
	}
}

// heard notes that a member has sent news that this node has in its log already.
func (n *Node) heard(r *record, from netip.AddrPort) {
	if r.logged > n.log.base {
		it := &n.log.items[r.logged-1-n.log.base]
		it.from = append(it.from, from)
	}
}

func (n *Node) floodNote(note Note, from netip.AddrPort) {
	n.log.add(logItem{note: &note, from: []netip.AddrPort{from}, size: n.codec.size(note)})
}

// isPending reports whether the edge has items to be sent.
func (n *Node) isPending(e *edge) bool {
	e.next = max(e.next, n.log.base)
	for e.next < n.log.end() {
		it := n.log.items[e.next-n.log.base]
		if !slices.Contains(it.from, e.record.Address) && !n.isStale(it) {
			return true
		}
		e.next++
	}
	return false
}

// isStale reports whether newer news has replaced the item.
func (n *Node) isStale(it logItem) bool {
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

// carry moves pending items of the edge into the message as far as they fit.
func (n *Node) carry(e *edge, m *Message, room int) {
	for n.isPending(e) {
		it := n.log.items[e.next-n.log.base]
		if it.size > room {
			if it.size > n.room() {
				e.next++
				continue
			}
			return
		}
		room -= it.size
		e.next++
		if it.note != nil {
			m.Notes = append(m.Notes, *it.note)
			continue
		}
		m.Updates = append(m.Updates, *it.update)
	}
}

// tell sends the records to one member at once, for example to a member that is thought Down.
func (n *Node) tell(to netip.AddrPort, members ...Member) {
	m := n.message(KindUpdate)
	room := n.room()
	for _, k := range members {
		u := Update{Member: k}
		if room -= n.codec.size(u); room < 0 {
			break
		}
		m.Updates = append(m.Updates, u)
	}
	n.send(to, m)
}

// flush sends pending items and news of the configuration's version along all edges.
func (n *Node) flush() {
	for _, e := range n.edges {
		if e.version >= n.version && e.revision >= n.feed.revision && !n.isPending(e) {
			continue
		}
		m := n.message(KindUpdate)
		n.carry(e, m, n.room())
		e.version, e.revision = n.version, n.feed.revision
		n.send(e.record.Address, m)
	}
}
