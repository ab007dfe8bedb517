package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// pruneDelay is how long a member that is Down and no longer listed by the platform is kept in the
	// table after it went Down. Until then a delayed update cannot resurrect it.
	pruneDelay = time.Minute
	// mergeFloodLimit is the maximum number of changes from a merged table that are flooded. More
	// changes mean that this node was far behind and the other members already have them.
	mergeFloodLimit = 16
)

// applyUpdate applies an update about a member, floods it if flood is set, and reports whether it
// changed the table.
func (n *Node) applyUpdate(from netip.AddrPort, u Update, flood bool) bool {
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
		n.assignment.setMember(old, false)
	}
	r, previous, applied := n.table.apply(n.now, u.Member)
	if !applied {
		if r.Incarnation == u.Incarnation && r.Sequence == u.Sequence && r.State == u.State {
			n.recordSender(r, from)
		}
		return false
	}
	n.assignment.setMember(r, r.isEligible())
	n.edgesStale = true
	if previous != r.State {
		n.emitMember(r, previous)
	}
	if flood {
		n.floodUpdate(Update{Member: r.Member}, from)
	}
	return true
}

func (n *Node) emitMember(r *record, previous State) {
	switch {
	case r.State == StateAlive:
		n.emit(Event{Kind: MemberUp, Member: r.Member})
	case r.State == StateLeaving:
		n.emit(Event{Kind: MemberLeaving, Member: r.Member})
	case previous != "":
		n.emit(Event{Kind: MemberDown, Member: r.Member})
	}
}

// updateSelf processes an update about this node: it refutes a suspicion, raises its incarnation above
// that of another process on its address, and corrects outdated updates.
func (n *Node) updateSelf(from netip.AddrPort, u Update) {
	self := n.self.Member
	switch {
	case u.Incarnation > self.Incarnation:
		self.Incarnation = u.Incarnation + 1
		n.table.apply(n.now, self)
		n.floodUpdate(Update{Member: n.self.Member}, netip.AddrPort{})
	case u.Incarnation == self.Incarnation &&
		(u.Sequence > self.Sequence || u.Sequence == self.Sequence && u.State != self.State):
		n.announceSelf(u.Sequence+1, self.State)
		if u.State == StateDown {
			n.abstainAll()
		}
	case u.Incarnation < self.Incarnation || u.State == StateDown:
		if from.IsValid() {
			n.sendMembers(from, self)
		}
	}
}

// SetStatus sets the status of this node and floods it to the other members if it has changed.
func (n *Node) SetStatus(now time.Time, s Status) []Output {
	n.advance(now)
	if n.self.Status != s {
		self := n.self.Member
		self.Sequence, self.Status = self.Sequence+1, s
		n.table.apply(n.now, self)
		n.floodUpdate(Update{Member: n.self.Member}, netip.AddrPort{})
		n.flush()
	}
	return n.takeOutputs()
}

// announceSelf floods this node's state with the given, higher sequence.
func (n *Node) announceSelf(sequence uint64, s State) {
	self := n.self.Member
	self.Sequence, self.State = sequence, s
	n.table.apply(n.now, self)
	n.assignment.setMember(n.self, n.self.isEligible())
	n.floodUpdate(Update{Member: n.self.Member}, netip.AddrPort{})
}

// Merge applies the table that was fetched from the peer because of a TableWanted event.
func (n *Node) Merge(now time.Time, from netip.AddrPort, t Table) []Output {
	n.advance(now)
	n.joined = true
	inTable := make(map[netip.AddrPort]bool, len(t.Members))
	var changed []netip.AddrPort
	for _, m := range t.Members {
		inTable[m.Address] = true
		if n.applyUpdate(from, Update{Member: m}, false) {
			changed = append(changed, m.Address)
		}
	}
	if inTable[n.self.Address] {
		changed = append(changed, n.dropUnlisted(inTable)...)
	}
	if len(changed) <= mergeFloodLimit {
		for _, a := range changed {
			n.floodUpdate(Update{Member: n.table.records[a].Member}, from)
		}
	}
	for _, k := range t.Notes {
		n.storeNote(from, k)
	}
	n.checkReady()
	return n.takeOutputs()
}

// dropUnlisted declares members Down that are neither in the peer's table nor in the platform's list:
// the other nodes pruned them while this node was partitioned. A member that is still alive refutes this.
func (n *Node) dropUnlisted(inTable map[netip.AddrPort]bool) []netip.AddrPort {
	if n.vms == nil {
		return nil
	}
	var dropped []netip.AddrPort
	for a, r := range n.table.records {
		if _, listed := n.vms[a]; !listed && !inTable[a] && r.isUp() && r != n.self {
			dropped = append(dropped, a)
		}
	}
	slices.SortFunc(dropped, netip.AddrPort.Compare)
	for _, a := range dropped {
		m := n.table.records[a].Member
		m.State = StateDown
		n.applyUpdate(netip.AddrPort{}, Update{Member: m}, false)
	}
	return dropped
}

// Table returns all members sorted by address and all notes sorted by ID, for a joining node to merge.
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

// SetSeeds sets the addresses to contact until this node has joined the fleet. Afterwards, addresses that
// are not members yet are still probed from time to time. Some of the addresses may be unreachable.
func (n *Node) SetSeeds(now time.Time, seeds []netip.AddrPort) []Output {
	n.advance(now)
	n.contacts = n.contacts[:0]
	for _, a := range seeds {
		if a != n.self.Address && n.table.records[a] == nil {
			n.contacts = append(n.contacts, a)
		}
	}
	n.sendHellos()
	return n.takeOutputs()
}

// sendHellos sends a hello to each contact until this node has joined.
func (n *Node) sendHellos() {
	if n.joined {
		return
	}
	for _, a := range n.contacts {
		n.send(a, n.hello())
	}
}

// hello returns a heartbeat that carries this node's member record.
func (n *Node) hello() *Message {
	m := n.newMessage(KindHeartbeat)
	n.serial++
	m.Serial, m.Digest = n.serial, n.digest()
	m.Updates = append(m.Updates, Update{Member: n.self.Member})
	return m
}

// SetVMs applies the platform's list of VMs: live addresses that are not members yet are contacted, and
// members that have been Down for pruneDelay and are no longer listed are removed.
func (n *Node) SetVMs(now time.Time, vms []wire.VM) []Output {
	n.advance(now)
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
	for i := len(n.table.down) - 1; i >= 0; i-- {
		r := n.table.down[i]
		if _, listed := n.vms[r.Address]; !listed && n.now.Sub(r.downSince) >= pruneDelay {
			n.table.remove(r)
		}
	}
	n.chooseSample()
	n.checkReady()
	return n.takeOutputs()
}
