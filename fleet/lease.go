package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// lease is the state of a slice for which this node is a voter or the lease holder.
type lease struct {
	sliceKey
	// voters is nil when the active document lacks the slice.
	voters *sliceVoters
	// voterIndex is the index of this node among the voters, or -1.
	voterIndex int
	voterState
	claimantState
}

// claimantState is the part of a lease that belongs to its holder or to a node that claims it.
type claimantState struct {
	held bool
	end  time.Time
	// round, sentAt, asked and votes describe the last claim; round is 0 after the claim was canceled.
	round  uint64
	sentAt time.Time
	asked  []netip.AddrPort
	votes  []netip.AddrPort
	// finalVotes is the number of votes that are not provisional.
	finalVotes int
	// renewedAt is when the claim that obtained or last renewed the lease was sent.
	renewedAt time.Time
	nextClaim time.Time
	// answeredBy lists the voters that answered the last claim. missedQuorums counts consecutive
	// claims that fewer than a majority of the voters answered.
	answeredBy    []netip.AddrPort
	missedQuorums int
	// otherHolder is the holder that a voter last named in a Deny, otherHolderAt the time of the Deny.
	otherHolder   netip.AddrPort
	otherHolderAt time.Time
	// preferredClaimAt is when the preferred holder last claimed the slice while this node held it.
	preferredClaimAt time.Time
}

// Backoff of claimants.
const (
	// missedQuorumLimit is the number of consecutive claims without answers from a majority of the
	// voters after which a claimant that is not the holder backs off for claimBackoff. Otherwise a
	// claimant with broken links would keep renewing promises of the voters that it reaches and block
	// other claimants.
	missedQuorumLimit = 4
	claimBackoff      = 5 * time.Second
)

// preferredClaimWindow is how long a claim of the preferred holder keeps the current holder
// draining. The preferred holder repeats its claim every RenewInterval.
const preferredClaimWindow = 3 * RenewInterval

// votersChanged updates the lease state after the voters of a slice have changed.
func (n *Node) votersChanged(s *sliceVoters, reshaped bool) {
	l := n.leases[s.sliceKey]
	index := -1
	if n.self != nil && len(s.groups) > 0 {
		index = s.indexOf(n.self)
	}
	if l == nil {
		if index < 0 {
			return
		}
		l = &lease{sliceKey: s.sliceKey, voterIndex: -1}
		n.leases[s.sliceKey] = l
		n.leaseList = append(n.leaseList, l)
	}
	if reshaped && l.voters != nil && l.voters.count != s.count {
		l.frozenUntil = n.now.Add(n.rules.documentAbstention)
	}
	l.voters = s
	if len(s.groups) == 0 {
		l.voters = nil
	}
	if index >= 0 && l.voterIndex < 0 {
		l.holderOnlyUntil = n.now.Add(n.rules.voterAbstention)
		l.idleSince = n.now.Add(LeaseDuration)
		if reshaped {
			l.noNewPromiseUntil = n.now.Add(n.rules.documentAbstention)
		}
	}
	l.voterIndex = index
}

// tickLeases ends expired leases, removes state that is no longer needed and sends the claims that
// are due.
func (n *Node) tickLeases() {
	n.leaseList = slices.DeleteFunc(n.leaseList, func(l *lease) bool {
		if l.held && !n.now.Before(l.end) {
			n.endLease(l)
		}
		if l.voterIndex >= 0 || l.held || n.now.Before(l.expires) {
			return false
		}
		delete(n.leases, l.sliceKey)
		return true
	})
	n.claimDue()
}

func (n *Node) claimDue() {
	for _, l := range n.leaseList {
		if l.voters == nil || n.now.Before(l.nextClaim) || !l.held && !n.mayClaim(l) {
			continue
		}
		n.claim(l)
	}
	n.sendBatch(&n.claims, KindClaim)
}

// mayClaim reports whether this node may claim the slice: it is the preferred holder, or a voter
// whose promise has expired without renewal for RenewInterval times its index (at least 1).
func (n *Node) mayClaim(l *lease) bool {
	if l.voterIndex < 0 || n.self.State != StateAlive || n.assignment.domain(n.self.FailureDomain).out {
		return false
	}
	if l.voters.preferredHolder() == n.self {
		return true
	}
	if n.now.Before(l.expires) && l.grantee.address != n.self.Address {
		return false
	}
	wait := RenewInterval * time.Duration(max(1, l.voterIndex))
	return !n.now.Before(l.idleSince.Add(wait))
}

// claim asks all voters for a promise.
func (n *Node) claim(l *lease) {
	if !n.reachesQuorum(l) {
		return
	}
	if n.claims.empty() {
		n.round++
	}
	l.round, l.sentAt, l.nextClaim = n.round, n.now, n.now.Add(RenewInterval)
	l.asked, l.votes, l.finalVotes = l.asked[:0], l.votes[:0], 0
	item := LeaseItem{
		Service: l.service, Slice: l.slice, Round: l.round, Held: l.isUsable(n), Weak: n.isWeak(l),
	}
	for i := range l.voters.count {
		if r := l.voters.voter(i); r != nil {
			l.asked = append(l.asked, r.Address)
		}
	}
	if n.hasOtherHolder(l) && !slices.Contains(l.asked, l.otherHolder) && !l.held {
		// The holder may no longer be a voter, but must receive the claim to start draining.
		n.claims.add(l.otherHolder, item, l.voters.itemSize)
	}
	for _, a := range l.asked {
		if a != n.self.Address {
			n.claims.add(a, item, l.voters.itemSize)
			continue
		}
		l.recordAnswer(a)
		if answer, ok := n.promise(l, claimant{a, n.self.Incarnation}, item); ok {
			n.countVote(l, a, answer.Provisional)
		}
	}
}

// reachesQuorum evaluates the answers to the last claim. It cancels the claim and returns false when this
// node does not hold the lease and missedQuorumLimit consecutive claims were answered by fewer than a
// majority of the voters.
func (n *Node) reachesQuorum(l *lease) bool {
	answered := len(l.answeredBy)
	l.answeredBy = l.answeredBy[:0]
	if l.round == 0 {
		return true
	}
	if answered >= n.rules.quorum(l.voters.count) {
		l.missedQuorums = 0
		return true
	}
	if l.missedQuorums++; l.held || l.missedQuorums < missedQuorumLimit {
		return true
	}
	n.cancelClaim(l)
	n.sendBatch(&n.releases, KindRelease)
	l.nextClaim = n.now.Add(claimBackoff)
	return false
}

// hasOtherHolder reports whether a voter has named another holder within preferredClaimWindow.
func (n *Node) hasOtherHolder(l *lease) bool {
	return l.otherHolder.IsValid() && n.now.Sub(l.otherHolderAt) <= preferredClaimWindow
}

// isWeak reports whether the claimant may be unable to obtain the lease: it abstains as a voter, or
// fewer than a majority of the voters answered its last claim.
func (n *Node) isWeak(l *lease) bool {
	return l.missedQuorums > 0 || !n.now.Before(l.expires) && n.abstains(l, false)
}

// recordAnswer records that a voter answered the last claim, with a Promise or a Deny.
func (l *lease) recordAnswer(from netip.AddrPort) {
	if slices.Contains(l.asked, from) && !slices.Contains(l.answeredBy, from) {
		l.answeredBy = append(l.answeredBy, from)
	}
}

// countVote counts a promise. It starts or renews the lease when a majority of the voters has given
// final promises, or all voters have promised. Two holders at once therefore require a partition that
// splits two failure domains with voters.
func (n *Node) countVote(l *lease, from netip.AddrPort, provisional bool) {
	if !slices.Contains(l.asked, from) || slices.Contains(l.votes, from) || l.voters == nil {
		return
	}
	l.votes = append(l.votes, from)
	if !provisional {
		l.finalVotes++
	}
	end := l.sentAt.Add(n.rules.holderDuration)
	enough := l.finalVotes >= n.rules.quorum(l.voters.count) || len(l.votes) >= l.voters.count
	if !enough || !n.now.Before(end) || l.sentAt.Before(n.resumedAt) {
		return
	}
	e := Event{Kind: LeaseRenewed, Service: l.service, Slice: l.slice, End: end}
	if !l.held {
		e.Kind = LeaseGained
		l.preferredClaimAt = time.Time{}
	}
	if l.held && !end.After(l.end) {
		return
	}
	l.held, l.end, l.renewedAt = true, end, l.sentAt
	n.emit(e)
}

// endLease marks the lease as no longer held by this node and emits LeaseLost.
func (n *Node) endLease(l *lease) {
	l.held, l.round = false, 0
	l.idleSince = later(l.idleSince, n.now)
	n.emit(Event{Kind: LeaseLost, Service: l.service, Slice: l.slice, End: l.end})
}

// handlePromise counts the promises in a message.
func (n *Node) handlePromise(from netip.AddrPort, m Message) {
	for _, it := range m.Leases {
		l := n.leases[sliceKey{it.Service, it.Slice}]
		if l != nil && l.round == it.Round && l.round != 0 {
			l.recordAnswer(from)
			n.countVote(l, from, it.Provisional)
		}
	}
}

// handleDeny processes refused claims. The preferred holder retries when the promise to the other
// claimant expires; any other node cancels its claim when the Deny names a holder.
func (n *Node) handleDeny(from netip.AddrPort, m Message) {
	for _, it := range m.Leases {
		l := n.leases[sliceKey{it.Service, it.Slice}]
		if l == nil || l.voters == nil || l.held || l.round != it.Round || l.round == 0 {
			continue
		}
		l.recordAnswer(from)
		left := time.Duration(it.Left) * time.Millisecond
		if it.Holder.IsValid() && it.Holder != n.self.Address {
			l.otherHolder, l.otherHolderAt = it.Holder, n.now
		}
		if l.voters.preferredHolder() == n.self {
			if it.Left > 0 && left < RenewInterval {
				l.nextClaim = earlier(l.nextClaim, n.now.Add(left))
			}
			if it.Holder == l.releasedBy && n.now.Sub(l.releasedAt) < RenewInterval {
				// The claim reached the voter before the Release that the former holder sent to it.
				l.nextClaim = earlier(l.nextClaim, n.now.Add(TickInterval))
			}
			continue
		}
		if it.Holder.IsValid() {
			n.cancelClaim(l)
			l.idleSince = later(l.idleSince, n.now.Add(left))
		}
	}
	n.sendBatch(&n.releases, KindRelease)
}

// cancelClaim cancels a claim that was not granted and releases the promises of the voters.
func (n *Node) cancelClaim(l *lease) {
	item := LeaseItem{Service: l.service, Slice: l.slice, Round: l.round}
	for _, a := range l.asked {
		if a != n.self.Address {
			n.releases.add(a, item, l.voters.itemSize)
		}
	}
	if l.grantee == (claimant{n.self.Address, n.self.Incarnation}) {
		l.expires = n.now
	}
	l.round = 0
}

// Release ends this node's lease of the slice before it expires, once the work on the slice is
// finished. It does nothing when the node does not hold the lease.
func (n *Node) Release(now time.Time, service string, slice int) []Output {
	n.advance(now)
	l := n.leases[sliceKey{service, slice}]
	if l == nil || !l.held {
		return n.takeOutputs()
	}
	item := LeaseItem{Service: service, Slice: slice, Round: l.round, Held: true}
	for _, a := range l.asked {
		if a != n.self.Address {
			n.releases.add(a, item, n.codec.maxLeaseItemSize(service))
		}
	}
	n.releasePromise(l, claimant{n.self.Address, n.self.Incarnation}, item)
	n.endLease(l)
	l.nextClaim = n.now.Add(LeaseDuration)
	n.sendBatch(&n.releases, KindRelease)
	return n.takeOutputs()
}

// isUsable reports whether the holder may send work now. After a pause it must renew the lease first.
func (l *lease) isUsable(n *Node) bool {
	return l.held && n.now.Before(l.end) && !l.renewedAt.Before(n.resumedAt)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
