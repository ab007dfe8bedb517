package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// Intervals and backoff of failure detection.
const (
	// minSuspectBackoff and maxSuspectBackoff bound the time between two suspicions that an observer
	// raises against a member that refutes them. They limit the updates flooded because of a broken link.
	minSuspectBackoff = 4 * time.Second
	maxSuspectBackoff = 16 * time.Second
	// probeInterval is the time between two heartbeats to members that are Down or only listed by the
	// platform. These probes let members rejoin after a partition.
	probeInterval = 2 * time.Second
	// tableInterval is the minimum time between two fetches of a table.
	tableInterval = 10 * time.Second
	// joinInterval is the minimum time between two attempts to fetch the first table.
	joinInterval = time.Second
)

// sendHeartbeats sends a heartbeat to each watched member and suspects members that do not answer.
func (n *Node) sendHeartbeats() {
	if n.now.Before(n.nextHeartbeat) {
		return
	}
	n.nextHeartbeat = n.now.Add(n.rules.heartbeat)
	n.contactSample()
	for _, e := range n.edges {
		if !e.watched {
			continue
		}
		if e.acked {
			e.misses = 0
		} else {
			e.misses++
		}
		if e.misses >= n.rules.missLimit {
			n.raiseSuspicion(e)
		}
		n.serial++
		e.serial, e.acked = n.serial, false
		m := n.newMessage(KindHeartbeat)
		m.Serial, m.Digest = n.serial, n.digest()
		n.piggyback(e, m, n.maxListBytes())
		e.version, e.revision = n.version, n.feed.revision
		n.send(e.record.Address, m)
	}
}

// raiseSuspicion suspects the member of the edge, unless its suspicion backoff has not elapsed.
func (n *Node) raiseSuspicion(e *edge) {
	if n.now.Before(e.nextSuspicion) {
		return
	}
	e.nextSuspicion = n.now.Add(e.suspectBackoff)
	e.suspectBackoff = min(2*e.suspectBackoff, maxSuspectBackoff)
	r := e.record
	n.suspect(netip.AddrPort{}, Update{
		Member: Member{
			Address: r.Address, Incarnation: r.Incarnation, Sequence: r.Sequence, State: StateSuspect,
		},
		Observer: n.self.Address,
	})
}

// suspect records and floods a suspicion, unless the member has already refuted it.
func (n *Node) suspect(from netip.AddrPort, u Update) {
	r := n.table.records[u.Address]
	if r == nil || !r.isUp() || r.Incarnation != u.Incarnation || r.Sequence != u.Sequence {
		return
	}
	if u.Observer == u.Address || slices.Contains(r.observers, u.Observer) {
		return
	}
	if len(r.observers) == 0 {
		r.firstSuspectedAt = n.now
		n.unresolved = append(n.unresolved, r)
	}
	r.observers = append(r.observers, u.Observer)
	n.floodUpdate(u, from)
	// A fleet of two has one observer for each member.
	needed := max(1, min(n.rules.observers, n.table.upCount-1))
	if len(r.observers) >= needed && r.suspectedAt.IsZero() {
		r.suspectedAt = n.now
		n.suspects = append(n.suspects, r)
	}
}

// expireSuspects declares suspected members Down that have not refuted within refuteTimeout.
func (n *Node) expireSuspects() {
	n.suspects = slices.DeleteFunc(n.suspects, func(r *record) bool {
		if r.suspectedAt.IsZero() {
			return true
		}
		if n.now.Sub(r.suspectedAt) < n.rules.refuteTimeout {
			return false
		}
		m := r.Member
		m.State = StateDown
		n.applyUpdate(netip.AddrPort{}, Update{Member: m}, true)
		return true
	})
}

// handleHeartbeat acknowledges a heartbeat and compares digests.
func (n *Node) handleHeartbeat(from netip.AddrPort, h Message) {
	m := n.newMessage(KindAck)
	m.Serial, m.Digest = h.Serial, n.digest()
	e := n.edge(from)
	if e == nil {
		m.Updates = append(m.Updates, Update{Member: n.self.Member})
	} else {
		n.piggyback(e, m, n.maxListBytes())
		e.version, e.revision = n.version, n.feed.revision
	}
	n.send(from, m)
	n.compareDigest(from, e, h.Digest)
}

// handleAck records the acknowledgement of a heartbeat and compares digests.
func (n *Node) handleAck(from netip.AddrPort, m Message) {
	e := n.edge(from)
	if e != nil && m.Serial == e.serial {
		e.acked, e.misses, e.suspectBackoff = true, 0, minSuspectBackoff
	}
	n.compareDigest(from, e, m.Digest)
}

// compareDigest requests the member's table after digestMismatchLimit consecutive mismatches, or
// immediately while this node is joining.
func (n *Node) compareDigest(from netip.AddrPort, e *edge, digest uint32) {
	if digest == n.digest() {
		n.joined = true
		if e != nil {
			e.digestMismatches = 0
		}
		return
	}
	if e != nil {
		e.digestMismatches++
	}
	wait := tableInterval
	if !n.joined {
		wait = joinInterval
	} else if e == nil || e.digestMismatches < n.rules.digestMismatchLimit {
		return
	}
	if !n.tableRequestedAt.IsZero() && n.now.Sub(n.tableRequestedAt) < wait {
		return
	}
	n.tableRequestedAt = n.now
	if e != nil {
		e.digestMismatches = 0
	}
	n.emit(Event{Kind: TableWanted, Peer: from})
}

// probe sends a heartbeat to one member that is Down or to one address that is only listed by the
// platform.
func (n *Node) probe() {
	if n.now.Before(n.nextProbe) {
		return
	}
	n.nextProbe = n.now.Add(probeInterval)
	n.contacts = slices.DeleteFunc(n.contacts, func(a netip.AddrPort) bool { return n.table.records[a] != nil })
	count := len(n.table.down) + len(n.contacts)
	if count == 0 {
		return
	}
	// Each node starts at a different offset, so that different nodes probe an address in turn.
	n.probeCount++
	at := int((n.self.hash>>1 + uint64(n.probeCount)) % uint64(count))
	m := n.hello()
	if at >= len(n.table.down) {
		n.send(n.contacts[at-len(n.table.down)], m)
		return
	}
	r := n.table.down[at]
	m.Updates = append(m.Updates, Update{Member: r.Member})
	n.send(r.Address, m)
}
