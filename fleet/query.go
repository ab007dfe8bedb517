package fleet

import (
	"net/netip"
	"time"
)

// ExpectedHolder returns the member to which requests for the slice should be sent: this node if it holds the
// lease, otherwise the claimant to which this node has promised the slice, the holder that another
// voter has named, or the preferred holder. It returns false when the slice is unknown or has no voter
// in a domain that is in.
func (n *Node) ExpectedHolder(now time.Time, service string, slice int) (Member, bool) {
	if _, ok := n.Lease(now, service, slice); ok {
		return n.self.Member, true
	}
	key := sliceKey{service, slice}
	if l := n.leases[key]; l != nil && now.Before(l.expires) && l.grantee.address != n.self.Address {
		if r := n.table.records[l.grantee.address]; r != nil && r.isUp() && r.Incarnation == l.grantee.incarnation {
			return r.Member, true
		}
	}
	if l := n.leases[key]; l != nil && n.hasOtherHolder(l) {
		if r := n.table.records[l.otherHolder]; r != nil && r.isUp() {
			return r.Member, true
		}
	}
	s := n.assignment.voters[key]
	if s == nil {
		return Member{}, false
	}
	if r := s.preferredHolder(); r != nil {
		return r.Member, true
	}
	return Member{}, false
}

// Lease returns the end of this node's lease of the slice. It returns false when the node does not hold
// the lease, or has not renewed it since a pause.
func (n *Node) Lease(now time.Time, service string, slice int) (time.Time, bool) {
	l := n.leases[sliceKey{service, slice}]
	if l == nil || !l.isUsable(n) || !now.Before(l.end) || now.Sub(n.now) > n.rules.pauseThreshold {
		return time.Time{}, false
	}
	return l.end, true
}

// Draining reports whether this node holds the lease of the slice but should finish its work on it and
// call Release: the node is leaving, its domain is out, the slice was removed, or the preferred holder
// claims it.
func (n *Node) Draining(now time.Time, service string, slice int) bool {
	l := n.leases[sliceKey{service, slice}]
	if l == nil || !l.held {
		return false
	}
	if l.voters == nil || n.self.State != StateAlive || n.assignment.domain(n.self.FailureDomain).out {
		return true
	}
	return !l.preferredClaimAt.IsZero() && now.Sub(l.preferredClaimAt) <= preferredClaimWindow
}

// Voters returns the voters of the slice in order of their index.
func (n *Node) Voters(service string, slice int) []Member {
	s := n.assignment.voters[sliceKey{service, slice}]
	if s == nil {
		return nil
	}
	var members []Member
	for i := range s.count {
		if r := s.voter(i); r != nil {
			members = append(members, r.Member)
		}
	}
	return members
}

// Addresses returns the caller addresses of the service's voters in order of voter index, without
// duplicates. Nodes that are leaving or whose domain is out are omitted.
func (n *Node) Addresses(service string) []netip.AddrPort {
	return n.assignment.addresses(service)
}

// WatchesPlatform reports whether this node is one of the two nodes of its domain that watch the platform.
func (n *Node) WatchesPlatform() bool { return n.assignment.isReader(n.self) }

// blindThreshold is the number of blind members of a region at which the platform itself is considered
// unavailable. Blind members are then no longer excluded as readers, so that no further members take over.
const blindThreshold = 8

// ReaderRank returns 0 for the two nodes that read the platform: of the live members of the region that
// are not blind, the one with the lowest hash, and the one with the lowest hash in the other failure
// domains. Other nodes take over in order of their rank when the platform data becomes stale. An isolated node
// counts only the members that answer it.
func (n *Node) ReaderRank() int {
	blind := 0
	for _, r := range n.table.records {
		if r.State == StateAlive && r.Region == n.self.Region && r.Blind {
			blind++
		}
	}
	var first, second *record
	rank := 1
	reads := func(r *record) bool {
		return r.State == StateAlive && r.Region == n.self.Region && n.isReachable(r) &&
			(!r.Blind || blind >= blindThreshold)
	}
	for _, r := range n.table.records {
		if !reads(r) {
			continue
		}
		if first == nil || r.hash < first.hash {
			first = r
		}
		if r.FailureDomain == n.self.FailureDomain && r.hash < n.self.hash {
			rank++
		}
	}
	for _, r := range n.table.records {
		if reads(r) && r.FailureDomain != first.FailureDomain && (second == nil || r.hash < second.hash) {
			second = r
		}
	}
	if first == nil || n.self == first || n.self == second {
		return 0
	}
	return rank
}

// Ready reports whether the node may serve requests: a majority of the bootstrap sample had answered
// while the highest version received was active.
func (n *Node) Ready() bool { return n.boot.ready }

// Self returns the member record that this node publishes.
func (n *Node) Self() Member { return n.self.Member }

// Version returns the version and the shortened hash of the active document. The version is 0 and the
// hash empty before the first document.
func (n *Node) Version() (uint64, string) { return n.version, n.hash }

// Member returns the member with the address. It returns false when there is none.
func (n *Node) Member(a netip.AddrPort) (Member, bool) {
	r := n.table.records[a]
	if r == nil {
		return Member{}, false
	}
	return r.Member, true
}

// Held is a lease held by this node.
type Held struct {
	Service string
	Slice   int
	End     time.Time
}

// Leases returns the leases that this node may use now, in a fixed order.
func (n *Node) Leases(now time.Time) []Held {
	var held []Held
	for _, l := range n.leaseList {
		if end, ok := n.Lease(now, l.service, l.slice); ok {
			held = append(held, Held{l.service, l.slice, end})
		}
	}
	return held
}
