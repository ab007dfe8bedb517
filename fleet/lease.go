package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// lease is what this node keeps about a slice of which it has a seat or the lease.
type lease struct {
	sliceKey
	// slot is nil when the document in force lacks the slice.
	slot *slot
	// seat is the number of this node's seat, or -1.
	seat int
	seatState
	holderState
}

// holderState is the claimant's side.
type holderState struct {
	held bool
	end  time.Time
	// round, sentAt, asked and votes describe the last claim; round is 0 when it was given up.
	round  uint64
	sentAt time.Time
	asked  []netip.AddrPort
	votes  []netip.AddrPort
	// firm is the number of votes that are not provisional.
	firm int
	// renewedAt is when the claim that gave the present lease was sent.
	renewedAt time.Time
	nextClaim time.Time
	// answers are the seats that answered the last claim, unreached counts the claims in a row that
	// fewer than a majority answered.
	answers   []netip.AddrPort
	unreached int
	// rival is the holder that a seat named in a denial, rivalAt is when it did.
	rival   netip.AddrPort
	rivalAt time.Time
	// betterAt is when a better claimant last claimed the slice that this node holds.
	betterAt time.Time
}

// Waiting times of claimants.
const (
	// unreachedLimit is the number of claims without answers from a majority of the seats after which
	// a claimant gives up for unreachedWait, so that one with broken links does not bind the seats that
	// it reaches.
	unreachedLimit = 4
	unreachedWait  = 5 * time.Second
)

// betterWindow is how long a claim of a better claimant keeps the holder draining. The claimant
// repeats its claim every RenewEvery.
const betterWindow = 3 * RenewEvery

// seatsChanged follows a change of the seats of a slice.
func (n *Node) seatsChanged(s *slot, reshaped bool) {
	l := n.leases[s.sliceKey]
	seat := -1
	if n.self != nil && len(s.groups) > 0 {
		seat = s.seatOf(n.self)
	}
	if l == nil {
		if seat < 0 {
			return
		}
		l = &lease{sliceKey: s.sliceKey, seat: -1}
		n.leases[s.sliceKey] = l
		n.order = append(n.order, l)
	}
	if reshaped && l.slot != nil && l.slot.seats != s.seats {
		l.frozenUntil = n.now.Add(n.rules.documentAbstention)
	}
	l.slot = s
	if len(s.groups) == 0 {
		l.slot = nil
	}
	if seat >= 0 && l.seat < 0 {
		l.abstainUntil = n.now.Add(n.rules.seatAbstention)
		l.idleSince = n.now.Add(LeaseTime)
		if reshaped {
			l.strictUntil = n.now.Add(n.rules.documentAbstention)
		}
	}
	l.seat = seat
}

// tickLeases ends leases, sends the claims that are due and forgets what is no longer needed.
func (n *Node) tickLeases() {
	n.order = slices.DeleteFunc(n.order, func(l *lease) bool {
		if l.held && !n.now.Before(l.end) {
			n.lose(l)
		}
		if l.seat >= 0 || l.held || n.now.Before(l.expires) {
			return false
		}
		delete(n.leases, l.sliceKey)
		return true
	})
	n.claimDue()
}

func (n *Node) claimDue() {
	for _, l := range n.order {
		if l.slot == nil || n.now.Before(l.nextClaim) || !l.held && !n.mayClaim(l) {
			continue
		}
		n.claim(l)
	}
	n.sendBatch(&n.claims, KindClaim)
}

// mayClaim reports whether this node is the claimant of the slice: the first seat, or a lower one
// after the promise that it gave has expired without renewal.
func (n *Node) mayClaim(l *lease) bool {
	if l.seat < 0 || n.self.State != StateAlive || n.view.domain(n.self.FailureDomain).out {
		return false
	}
	if l.slot.first() == n.self {
		return true
	}
	if n.now.Before(l.expires) && l.to.address != n.self.Address {
		return false
	}
	wait := RenewEvery * time.Duration(max(1, l.seat))
	return !n.now.Before(l.idleSince.Add(wait))
}

// claim asks all seats for a promise.
func (n *Node) claim(l *lease) {
	if !n.reaches(l) {
		return
	}
	if n.claims.empty() {
		n.round++
	}
	l.round, l.sentAt, l.nextClaim = n.round, n.now, n.now.Add(RenewEvery)
	l.asked, l.votes, l.firm = l.asked[:0], l.votes[:0], 0
	item := LeaseItem{
		Service: l.service, Slice: l.slice, Round: l.round, Held: l.isUsable(n), Weak: n.isWeak(l),
	}
	for i := range l.slot.seats {
		if r := l.slot.seat(i); r != nil {
			l.asked = append(l.asked, r.Address)
		}
	}
	if n.knowsRival(l) && !slices.Contains(l.asked, l.rival) && !l.held {
		// The holder may have no seat any more; it has to hear of the better claimant.
		n.claims.add(l.rival, item, l.slot.size)
	}
	for _, a := range l.asked {
		if a != n.self.Address {
			n.claims.add(a, item, l.slot.size)
			continue
		}
		l.answered(a)
		if answer, ok := n.promise(l, claimant{a, n.self.Incarnation}, item); ok {
			n.vote(l, a, answer.Provisional)
		}
	}
}

// reaches counts the answers to the last claim. It returns false when the claimant has given up
// because too few seats answer.
func (n *Node) reaches(l *lease) bool {
	answers := len(l.answers)
	l.answers = l.answers[:0]
	if l.round == 0 {
		return true
	}
	if answers >= n.rules.quorum(l.slot.seats) {
		l.unreached = 0
		return true
	}
	if l.unreached++; l.held || l.unreached < unreachedLimit {
		return true
	}
	n.giveUp(l)
	n.sendBatch(&n.releases, KindRelease)
	l.nextClaim = n.now.Add(unreachedWait)
	return false
}

// knowsRival reports whether a seat has lately named another holder.
func (n *Node) knowsRival(l *lease) bool {
	return l.rival.IsValid() && n.now.Sub(l.rivalAt) <= betterWindow
}

// isWeak reports whether the claimant may be unable to get the lease: its own seat abstains, or the
// last claim was not answered by a majority of the seats.
func (n *Node) isWeak(l *lease) bool {
	return l.unreached > 0 || !n.now.Before(l.expires) && n.abstains(l, false)
}

// answered counts an answer to the last claim, whichever it is.
func (l *lease) answered(from netip.AddrPort) {
	if slices.Contains(l.asked, from) && !slices.Contains(l.answers, from) {
		l.answers = append(l.answers, from)
	}
}

// vote counts a promise and takes the lease when a majority of the seats has promised firmly, or
// all have. So two holders need a partition that cuts through two seat domains.
func (n *Node) vote(l *lease, from netip.AddrPort, provisional bool) {
	if !slices.Contains(l.asked, from) || slices.Contains(l.votes, from) || l.slot == nil {
		return
	}
	l.votes = append(l.votes, from)
	if !provisional {
		l.firm++
	}
	end := l.sentAt.Add(n.rules.holderTime)
	enough := l.firm >= n.rules.quorum(l.slot.seats) || len(l.votes) >= l.slot.seats
	if !enough || !n.now.Before(end) || l.sentAt.Before(n.resumed) {
		return
	}
	e := Event{Kind: LeaseRenewed, Service: l.service, Slice: l.slice, End: end}
	if !l.held {
		e.Kind = LeaseGained
		l.betterAt = time.Time{}
	}
	if l.held && !end.After(l.end) {
		return
	}
	l.held, l.end, l.renewedAt = true, end, l.sentAt
	n.emit(e)
}

// lose ends the lease on this side.
func (n *Node) lose(l *lease) {
	l.held, l.round = false, 0
	l.idleSince = later(l.idleSince, n.now)
	n.emit(Event{Kind: LeaseLost, Service: l.service, Slice: l.slice, End: l.end})
}

// promised counts the promises in a message.
func (n *Node) promised(from netip.AddrPort, m Message) {
	for _, it := range m.Leases {
		l := n.leases[sliceKey{it.Service, it.Slice}]
		if l != nil && l.round == it.Round && l.round != 0 {
			l.answered(from)
			n.vote(l, from, it.Provisional)
		}
	}
}

// denied handles refused claims. A lower seat gives way to the claimant that the seat has promised
// the slice; the first seat tries again when the promise expires.
func (n *Node) denied(from netip.AddrPort, m Message) {
	for _, it := range m.Leases {
		l := n.leases[sliceKey{it.Service, it.Slice}]
		if l == nil || l.slot == nil || l.held || l.round != it.Round || l.round == 0 {
			continue
		}
		l.answered(from)
		left := time.Duration(it.Left) * time.Millisecond
		if it.Holder.IsValid() && it.Holder != n.self.Address {
			l.rival, l.rivalAt = it.Holder, n.now
		}
		if l.slot.first() == n.self {
			if it.Left > 0 && left < RenewEvery {
				l.nextClaim = earlier(l.nextClaim, n.now.Add(left))
			}
			if it.Holder == l.freedBy && n.now.Sub(l.freedAt) < RenewEvery {
				// The claim has overtaken the holder's Release on its way to this seat.
				l.nextClaim = earlier(l.nextClaim, n.now.Add(TickEvery))
			}
			continue
		}
		if it.Holder.IsValid() {
			n.giveUp(l)
			l.idleSince = later(l.idleSince, n.now.Add(left))
		}
	}
	n.sendBatch(&n.releases, KindRelease)
}

// giveUp cancels a claim that was not granted and frees the seats that promised.
func (n *Node) giveUp(l *lease) {
	item := LeaseItem{Service: l.service, Slice: l.slice, Round: l.round}
	for _, a := range l.asked {
		if a != n.self.Address {
			n.releases.add(a, item, l.slot.size)
		}
	}
	if l.to == (claimant{n.self.Address, n.self.Incarnation}) {
		l.expires = n.now
	}
	l.round = 0
}

// Release gives the lease back when the holder has finished its work.
func (n *Node) Release(now time.Time, service string, slice int) []Output {
	n.see(now)
	l := n.leases[sliceKey{service, slice}]
	if l == nil || !l.held {
		return n.take()
	}
	item := LeaseItem{Service: service, Slice: slice, Round: l.round, Held: true}
	for _, a := range l.asked {
		if a != n.self.Address {
			n.releases.add(a, item, n.codec.leaseSize(service))
		}
	}
	n.free(l, claimant{n.self.Address, n.self.Incarnation}, item)
	n.lose(l)
	l.nextClaim = n.now.Add(LeaseTime)
	n.sendBatch(&n.releases, KindRelease)
	return n.take()
}

// isUsable reports whether the holder may send work now. After a pause it must renew first.
func (l *lease) isUsable(n *Node) bool {
	return l.held && n.now.Before(l.end) && !l.renewedAt.Before(n.resumed)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
