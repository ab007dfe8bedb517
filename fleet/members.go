package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// pruneAfter is how long a member stays in the table after it went Down and left the
	// platform's list. Until then late news about it cannot bring it back.
	pruneAfter = time.Minute
	// mergeFlood is the most news from a merged table that is flooded on. More of it means that
	// this node was far behind, so that others know it already.
	mergeFlood = 16
)

// update takes over news about a member and floods it on.
func (n *Node) update(from netip.AddrPort, u Update, flood bool) bool {
	if u.Address == n.self.Address {
		n.updateSelf(from, u)
		return false
	}
	if u.State == StateSuspect {
		n.suspect(from, u)
		return false
	}
	old := n.table.records[u.Address]
	if !u.Address.IsValid() || u.Incarnation <= 0 || old == nil && u.FailureDomain == "" {
		return false
	}
	if u.State != StateAlive && u.State != StateLeaving && u.State != StateDown {
		return false
	}
	if old != nil && u.newerThan(old.Member) && u.FailureDomain != "" &&
		(u.FailureDomain != old.FailureDomain || u.Weight != old.Weight) {
		n.view.setMember(old, false)
	}
	r, before, news := n.table.apply(n.now, u.Member)
	if !news {
		if r.Incarnation == u.Incarnation && r.Sequence == u.Sequence && r.State == u.State {
			n.heard(r, from)
		}
		return false
	}
	n.view.setMember(r, r.isSeat())
	n.edgesStale = true
	if before != r.State {
		n.emitMember(r, before)
	}
	if flood {
		n.floodUpdate(Update{Member: r.Member}, from)
	}
	return true
}

func (n *Node) emitMember(r *record, before State) {
	switch {
	case r.State == StateAlive:
		n.emit(Event{Kind: MemberUp, Member: r.Member})
	case r.State == StateLeaving:
		n.emit(Event{Kind: MemberLeaving, Member: r.Member})
	case before != "":
		n.emit(Event{Kind: MemberDown, Member: r.Member})
	}
}

// updateSelf answers what others say about this node: it refutes a suspicion, raises its
// incarnation above that of another process on its address, and corrects older news.
func (n *Node) updateSelf(from netip.AddrPort, u Update) {
	me := n.self.Member
	switch {
	case u.Incarnation > me.Incarnation:
		me.Incarnation = u.Incarnation + 1
		n.table.apply(n.now, me)
		n.floodUpdate(Update{Member: n.self.Member}, netip.AddrPort{})
	case u.Incarnation == me.Incarnation &&
		(u.Sequence > me.Sequence || u.Sequence == me.Sequence && u.State != me.State):
		n.restate(u.Sequence+1, me.State)
		if u.State == StateDown {
			n.abstainAll()
		}
	case u.Incarnation < me.Incarnation || u.State == StateDown:
		if from.IsValid() {
			n.tell(from, me)
		}
	}
}

// SetStatus tells the other members what has changed about this node.
func (n *Node) SetStatus(now time.Time, s Status) []Output {
	n.see(now)
	if n.self.Status != s {
		me := n.self.Member
		me.Sequence, me.Status = me.Sequence+1, s
		n.table.apply(n.now, me)
		n.floodUpdate(Update{Member: n.self.Member}, netip.AddrPort{})
		n.flush()
	}
	return n.take()
}

// restate announces this node with a higher sequence.
func (n *Node) restate(sequence uint64, s State) {
	me := n.self.Member
	me.Sequence, me.State = sequence, s
	n.table.apply(n.now, me)
	n.view.setMember(n.self, n.self.isSeat())
	n.floodUpdate(Update{Member: n.self.Member}, netip.AddrPort{})
}

// Merge takes over the table that a TableWanted event asked for.
func (n *Node) Merge(now time.Time, from netip.AddrPort, t Table) []Output {
	n.see(now)
	n.joined = true
	named := make(map[netip.AddrPort]bool, len(t.Members))
	var news []netip.AddrPort
	for _, m := range t.Members {
		named[m.Address] = true
		if n.update(from, Update{Member: m}, false) {
			news = append(news, m.Address)
		}
	}
	if named[n.self.Address] {
		news = append(news, n.dropUnnamed(named)...)
	}
	if len(news) <= mergeFlood {
		for _, a := range news {
			n.floodUpdate(Update{Member: n.table.records[a].Member}, from)
		}
	}
	for _, k := range t.Notes {
		n.note(from, k)
	}
	n.checkReady()
	return n.take()
}

// dropUnnamed declares members Down that neither the peer's table nor the platform's list names:
// the others have pruned them while this node was cut off. A member that lives refutes it.
func (n *Node) dropUnnamed(named map[netip.AddrPort]bool) []netip.AddrPort {
	if n.vms == nil {
		return nil
	}
	var dropped []netip.AddrPort
	for a, r := range n.table.records {
		if _, listed := n.vms[a]; !listed && !named[a] && r.isUp() && r != n.self {
			dropped = append(dropped, a)
		}
	}
	slices.SortFunc(dropped, netip.AddrPort.Compare)
	for _, a := range dropped {
		m := n.table.records[a].Member
		m.State = StateDown
		n.update(netip.AddrPort{}, Update{Member: m}, false)
	}
	return dropped
}

// Table returns the members and notes that a joining node needs, sorted by address and ID.
func (n *Node) Table() Table {
	t := Table{Members: n.Members()}
	for _, k := range n.notes {
		t.Notes = append(t.Notes, k)
	}
	slices.SortFunc(t.Notes, func(a, b Note) int { return cmp.Compare(a.ID, b.ID) })
	return t
}

// Members returns all known members, sorted by address.
func (n *Node) Members() []Member {
	all := make([]Member, 0, len(n.table.records))
	for _, r := range n.table.records {
		all = append(all, r.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return a.Address.Compare(b.Address) })
	return all
}

// SetSeeds names addresses to contact until this node has joined the fleet, and now and then
// afterwards while the node does not know them. Some of them may be dead.
func (n *Node) SetSeeds(now time.Time, seeds []netip.AddrPort) []Output {
	n.see(now)
	n.contacts = n.contacts[:0]
	for _, a := range seeds {
		if a != n.self.Address && n.table.records[a] == nil {
			n.contacts = append(n.contacts, a)
		}
	}
	n.greet()
	return n.take()
}

// greet sends a heartbeat to each contact while this node has not joined.
func (n *Node) greet() {
	if n.joined {
		return
	}
	for _, a := range n.contacts {
		n.send(a, n.hello())
	}
}

// hello returns a heartbeat that introduces this node.
func (n *Node) hello() *Message {
	m := n.message(KindHeartbeat)
	n.serial++
	m.Serial, m.Digest = n.serial, n.digest()
	m.Updates = append(m.Updates, Update{Member: n.self.Member})
	return m
}

// SetVMs takes over the platform's list of VMs: addresses that the node does not know are
// contacted, and members that are Down and no longer listed are removed.
func (n *Node) SetVMs(now time.Time, vms []wire.VM) []Output {
	n.see(now)
	n.vms = make(map[netip.AddrPort]wire.VMState, len(vms))
	n.contacts = n.contacts[:0]
	for _, v := range vms {
		if v.Role != wire.RoleEntry {
			continue
		}
		n.vms[v.Address] = v.State
		if n.table.records[v.Address] == nil && v.State == wire.VMLive {
			n.contacts = append(n.contacts, v.Address)
		}
	}
	for i := len(n.table.lost) - 1; i >= 0; i-- {
		r := n.table.lost[i]
		if _, listed := n.vms[r.Address]; !listed && n.now.Sub(r.downSince) >= pruneAfter {
			n.table.remove(r)
		}
	}
	n.chooseSample()
	n.checkReady()
	return n.take()
}
