package fleet

import (
	"net/netip"
	"time"
)

// claimant is a process that claims a slice. A process that replaces another on the same address
// is another claimant.
type claimant struct {
	address     netip.AddrPort
	incarnation int64
}

// seatState is the seat's side of a lease: one promise, for the round granted, kept until it
// expires.
type seatState struct {
	to      claimant
	granted uint64
	expires time.Time
	// abstainUntil bounds the time in which the seat promises the slice only to its holder, because
	// the node that had the seat before may have given a promise.
	abstainUntil time.Time
	// strictUntil bounds the time in which it promises nobody the slice, because nodes with an older
	// document may ask other seats.
	strictUntil time.Time
	// frozenUntil bounds the time in which it does not even renew a promise, because another document
	// has changed the number of seats and so the majority.
	frozenUntil time.Time
	// idleSince is since when the slice has had no holder as far as the seat knows.
	idleSince time.Time
	// freedBy is the holder that released the slice last, freedAt is when the seat heard of it.
	freedBy netip.AddrPort
	freedAt time.Time
}

// abstains reports whether the seat makes no new promise now. Held is that of the claim.
func (n *Node) abstains(l *lease, held bool) bool {
	if n.now.Before(n.start.Add(n.rules.startAbstention)) || n.now.Before(l.strictUntil) {
		return true
	}
	return !held && n.now.Before(l.abstainUntil)
}

// abstainAll treats all seats of this node as newly taken. While it was paused or thought Down,
// another node may have had them and given promises.
func (n *Node) abstainAll() {
	for _, l := range n.order {
		l.abstainUntil = later(l.abstainUntil, n.now.Add(n.rules.seatAbstention))
	}
}

// promise decides on a claim. The item is the answer to a claimant that is refused.
func (n *Node) promise(l *lease, c claimant, it LeaseItem) (LeaseItem, bool) {
	deny := LeaseItem{Service: it.Service, Slice: it.Slice, Round: it.Round}
	if l == nil || l.seat < 0 || n.now.Before(l.frozenUntil) {
		return deny, false
	}
	current := n.now.Before(l.expires)
	if current && l.to == c && it.Round < l.granted {
		return deny, false
	}
	if current && l.to != c && !n.givesWay(l, c) {
		deny.Holder = l.to.address
		deny.Left = max(1, l.expires.Sub(n.now).Milliseconds())
		return deny, false
	}
	if renews := current && l.to == c; !renews && n.abstains(l, it.Held) {
		return deny, false
	}
	l.to, l.granted = c, it.Round
	l.expires = n.now.Add(n.rules.promiseTime)
	l.idleSince = l.expires
	it.Provisional = n.isProvisional(l)
	return it, true
}

// isProvisional reports whether this node has its seat only because a member with a better right to
// it is Down. That member may live behind a partition and promise the slice there.
func (n *Node) isProvisional(l *lease) bool {
	g := l.slot.groups[l.seat%len(l.slot.groups)]
	rank := l.seat / len(l.slot.groups)
	for _, r := range n.table.lost {
		_, listed := n.vms[r.Address]
		if r.FailureDomain != g.domain.name || r.left || n.vms != nil && !listed {
			continue
		}
		if n.now.Sub(r.downSince) < n.rules.provisionalTime && l.slot.better(g.domain, r, n.self) {
			rank++
		}
	}
	return rank >= g.wanted
}

// givesWay cancels this node's own claim, if it is not granted yet, in favour of a better seat.
func (n *Node) givesWay(l *lease, c claimant) bool {
	own := claimant{n.self.Address, n.self.Incarnation}
	if l.to != own || l.held || l.slot == nil {
		return false
	}
	r := n.table.records[c.address]
	if r == nil {
		return false
	}
	if seat := l.slot.seatOf(r); seat < 0 || seat > l.seat {
		return false
	}
	n.giveUp(l)
	return true
}

// claimed answers the claims in a message.
func (n *Node) claimed(from netip.AddrPort, m Message) {
	c := claimant{from, m.Incarnation}
	granted, refused := n.message(KindPromise), n.message(KindDeny)
	for _, it := range m.Leases {
		l := n.leases[sliceKey{it.Service, it.Slice}]
		if l != nil {
			n.noteRival(l, from, it)
		}
		answer, ok := n.promise(l, c, it)
		if ok {
			answer.Held, answer.Weak = false, false
			granted.Leases = append(granted.Leases, answer)
			continue
		}
		refused.Leases = append(refused.Leases, answer)
	}
	for _, m := range []*Message{granted, refused} {
		n.sendSplit(from, m)
	}
	n.sendBatch(&n.releases, KindRelease)
}

// sendSplit sends the message in parts when its answers are longer than the claims were.
func (n *Node) sendSplit(to netip.AddrPort, m *Message) {
	for _, it := range m.Leases {
		n.answers.add(to, it, n.leaseSize(it.Service, it.Slice))
	}
	if len(m.Leases) > 0 {
		n.sendBatch(&n.answers, m.Kind)
	}
}

// noteRival notes a better claimant of a slice that this node holds: the first seat, when it can
// promise itself the slice.
func (n *Node) noteRival(l *lease, from netip.AddrPort, it LeaseItem) {
	if !l.held || l.slot == nil || it.Weak || it.Held {
		return
	}
	if r := l.slot.first(); r != nil && r != n.self && r.Address == from {
		l.betterAt = n.now
	}
}

// leaseSize returns the most bytes that a lease item of the slice takes.
func (n *Node) leaseSize(service string, slice int) int {
	if s := n.view.slots[sliceKey{service, slice}]; s != nil {
		return s.size
	}
	return n.codec.leaseSize(service)
}

// released frees the slices that a claimant gives back. The first seat claims them at once.
func (n *Node) released(from netip.AddrPort, m Message) {
	for _, it := range m.Leases {
		l := n.leases[sliceKey{it.Service, it.Slice}]
		if l == nil {
			continue
		}
		n.free(l, claimant{from, m.Incarnation}, it)
	}
	n.claimDue()
}

// free ends the promise to the claimant, unless a later claim has renewed it. A holder that
// releases proves that no other lease is in force, which ends the seat's abstention.
func (n *Node) free(l *lease, c claimant, it LeaseItem) {
	if l.to != c || it.Round < l.granted || !n.now.Before(l.expires) {
		return
	}
	l.expires, l.idleSince = n.now, n.now
	if it.Held {
		l.abstainUntil = n.now
		l.freedBy, l.freedAt = c.address, n.now
	}
	if l.slot != nil && l.slot.first() == n.self && !l.held {
		l.nextClaim = earlier(l.nextClaim, n.now)
	}
}
