package fleet

import (
	"net/netip"
	"time"
)

// claimant is a process that claims a slice. A restarted process on the same address is a different
// claimant.
type claimant struct {
	address     netip.AddrPort
	incarnation int64
}

// voterState is the voter's part of a lease: one promise to grantee for grantedRound, valid until
// expires.
type voterState struct {
	grantee      claimant
	grantedRound uint64
	expires      time.Time
	// Until holderOnlyUntil the voter promises the slice only to its current holder, because the
	// previous voter may have given a promise that is still valid.
	holderOnlyUntil time.Time
	// Until noNewPromiseUntil the voter gives no new promise for the slice, because nodes with an
	// older document may ask a different set of voters.
	noNewPromiseUntil time.Time
	// Until frozenUntil the voter neither gives nor renews a promise, because a new document has
	// changed the number of voters and with it the majority.
	frozenUntil time.Time
	// idleSince is when the slice lost its holder according to this node. It is in the future while a
	// promise is valid or a holder may exist.
	idleSince time.Time
	// releasedBy is the holder that last released the slice, releasedAt when its Release was received.
	releasedBy netip.AddrPort
	releasedAt time.Time
}

// abstains reports whether the voter gives no new promise now. held is the Held field of the claim.
func (n *Node) abstains(l *lease, held bool) bool {
	if n.now.Before(n.start.Add(n.rules.startAbstention)) || n.now.Before(l.noNewPromiseUntil) {
		return true
	}
	return !held && n.now.Before(l.holderOnlyUntil)
}

// abstainAll restricts new promises of this node to current holders for voterAbstention. While it was
// paused or considered Down, other nodes may have voted in its place and given promises.
func (n *Node) abstainAll() {
	for _, l := range n.leaseList {
		l.holderOnlyUntil = later(l.holderOnlyUntil, n.now.Add(n.rules.voterAbstention))
	}
}

// promise decides on a claim. It returns the item for the Promise and true, or the item for the Deny
// and false.
func (n *Node) promise(l *lease, c claimant, it LeaseItem) (LeaseItem, bool) {
	deny := LeaseItem{Service: it.Service, Slice: it.Slice, Round: it.Round}
	if l == nil || l.voterIndex < 0 || n.now.Before(l.frozenUntil) {
		return deny, false
	}
	current := n.now.Before(l.expires)
	if current && l.grantee == c && it.Round < l.grantedRound {
		return deny, false
	}
	if current && l.grantee != c && !n.yieldsTo(l, c) {
		deny.Holder = l.grantee.address
		deny.Left = max(1, l.expires.Sub(n.now).Milliseconds())
		return deny, false
	}
	if renews := current && l.grantee == c; !renews && n.abstains(l, it.Held) {
		return deny, false
	}
	l.grantee, l.grantedRound = c, it.Round
	l.expires = n.now.Add(n.rules.promiseDuration)
	l.idleSince = l.expires
	it.Provisional = n.isProvisional(l)
	return it, true
}

// isProvisional reports whether this node is a voter only because a higher-ranked member is Down.
// That member may still run behind a partition and promise the slice there.
func (n *Node) isProvisional(l *lease) bool {
	g := l.voters.groups[l.voterIndex%len(l.voters.groups)]
	rank := l.voterIndex / len(l.voters.groups)
	for _, r := range n.table.down {
		_, listed := n.vms[r.Address]
		if r.FailureDomain != g.domain.name || r.leftGracefully || n.vms != nil && !listed {
			continue
		}
		if n.now.Sub(r.downSince) < n.rules.provisionalDuration && l.voters.ranksBefore(g.domain, r, n.self) {
			rank++
		}
	}
	return rank >= g.count
}

// yieldsTo cancels this node's own claim in favor of a claimant that ranks higher among the voters,
// unless the claim has already been granted. It reports whether it did.
func (n *Node) yieldsTo(l *lease, c claimant) bool {
	own := claimant{n.self.Address, n.self.Incarnation}
	if l.grantee != own || l.held || l.voters == nil {
		return false
	}
	r := n.table.records[c.address]
	if r == nil {
		return false
	}
	if index := l.voters.indexOf(r); index < 0 || index > l.voterIndex {
		return false
	}
	n.cancelClaim(l)
	return true
}

// handleClaim answers the claims in a message.
func (n *Node) handleClaim(from netip.AddrPort, m Message) {
	c := claimant{from, m.Incarnation}
	granted, refused := n.newMessage(KindPromise), n.newMessage(KindDeny)
	for _, it := range m.Leases {
		l := n.leases[sliceKey{it.Service, it.Slice}]
		if l != nil {
			n.recordPreferredClaim(l, from, it)
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

// sendSplit sends the answers in several messages when they are longer than the claims and do not
// fit in one.
func (n *Node) sendSplit(to netip.AddrPort, m *Message) {
	for _, it := range m.Leases {
		n.answers.add(to, it, n.maxLeaseItemSize(it.Service, it.Slice))
	}
	if len(m.Leases) > 0 {
		n.sendBatch(&n.answers, m.Kind)
	}
}

// recordPreferredClaim records that the preferred holder claims a slice that this node holds. Weak
// claims are ignored, since the claimant could not obtain the lease yet.
func (n *Node) recordPreferredClaim(l *lease, from netip.AddrPort, it LeaseItem) {
	if !l.held || l.voters == nil || it.Weak || it.Held {
		return
	}
	if r := l.voters.preferredHolder(); r != nil && r != n.self && r.Address == from {
		l.preferredClaimAt = n.now
	}
}

// maxLeaseItemSize returns the maximum encoded size in bytes of a lease item of the slice.
func (n *Node) maxLeaseItemSize(service string, slice int) int {
	if s := n.assignment.voters[sliceKey{service, slice}]; s != nil {
		return s.itemSize
	}
	return n.codec.maxLeaseItemSize(service)
}

// handleRelease ends the promises to a claimant that releases slices. The preferred holder claims
// them immediately.
func (n *Node) handleRelease(from netip.AddrPort, m Message) {
	for _, it := range m.Leases {
		l := n.leases[sliceKey{it.Service, it.Slice}]
		if l == nil {
			continue
		}
		n.releasePromise(l, claimant{from, m.Incarnation}, it)
	}
	n.claimDue()
}

// releasePromise ends the promise to the claimant, unless a later claim has renewed it. A Release
// from the holder proves that no other lease is valid, so the voter may give new promises again.
func (n *Node) releasePromise(l *lease, c claimant, it LeaseItem) {
	if l.grantee != c || it.Round < l.grantedRound || !n.now.Before(l.expires) {
		return
	}
	l.expires, l.idleSince = n.now, n.now
	if it.Held {
		l.holderOnlyUntil = n.now
		l.releasedBy, l.releasedAt = c.address, n.now
	}
	if l.voters != nil && l.voters.preferredHolder() == n.self && !l.held {
		l.nextClaim = earlier(l.nextClaim, n.now)
	}
}
