package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// Waiting times of failure detection.
const (
	// firstSuspectWait and lastSuspectWait bound the time between two suspicions that one observer
	// raises against a member that refutes them, so that a broken link floods little.
	firstSuspectWait = 4 * time.Second
	lastSuspectWait  = 16 * time.Second
	// probeEvery is the time between two heartbeats to members that are Down or only listed by the
	// platform. They rejoin the views after a partition.
	probeEvery = 2 * time.Second
	// tableEvery is the least time between two fetches of a table.
	tableEvery = 10 * time.Second
	// joinEvery is the least time between two attempts to get the first table.
	joinEvery = time.Second
)

// beat sends a heartbeat to each watched member, and suspects those that do not answer.
func (n *Node) beat() {
	if n.now.Before(n.nextBeat) {
		return
	}
	n.nextBeat = n.now.Add(n.rules.heartbeat)
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
		if e.misses >= n.rules.misses {
			n.raise(e)
		}
		n.serial++
		e.serial, e.acked = n.serial, false
		m := n.message(KindHeartbeat)
		m.Serial, m.Digest = n.serial, n.digest()
		n.carry(e, m, n.room())
		e.version, e.revision = n.version, n.feed.revision
		n.send(e.record.Address, m)
	}
}

// raise suspects the member of the edge, again only after a while if it has refuted.
func (n *Node) raise(e *edge) {
	if n.now.Before(e.suspectAt) {
		return
	}
	e.suspectAt = n.now.Add(e.suspectWait)
	e.suspectWait = min(2*e.suspectWait, lastSuspectWait)
	r := e.record
	n.suspect(netip.AddrPort{}, Update{
		Member: Member{
			Address: r.Address, Incarnation: r.Incarnation, Sequence: r.Sequence, State: StateSuspect,
		},
		Observer: n.self.Address,
	})
}

// suspect notes a suspicion, unless the member has refuted it already.
func (n *Node) suspect(from netip.AddrPort, u Update) {
	r := n.table.records[u.Address]
	if r == nil || !r.isUp() || r.Incarnation != u.Incarnation || r.Sequence != u.Sequence {
		return
	}
	if u.Observer == u.Address || slices.Contains(r.observers, u.Observer) {
		return
	}
	r.observers = append(r.observers, u.Observer)
	n.floodUpdate(u, from)
	// A fleet of two has one observer for each member.
	needed := max(1, min(n.rules.observers, n.table.up-1))
	if len(r.observers) >= needed && r.condemned.IsZero() {
		r.condemned = n.now
		n.condemned = append(n.condemned, r)
	}
}

// condemn declares members Down that have not refuted in time.
func (n *Node) condemn() {
	n.condemned = slices.DeleteFunc(n.condemned, func(r *record) bool {
		if r.condemned.IsZero() {
			return true
		}
		if n.now.Sub(r.condemned) < n.rules.refuteTime {
			return false
		}
		m := r.Member
		m.State = StateDown
		n.update(netip.AddrPort{}, Update{Member: m}, true)
		return true
	})
}

// answer acknowledges a heartbeat.
func (n *Node) answer(from netip.AddrPort, h Message) {
	m := n.message(KindAck)
	m.Serial, m.Digest = h.Serial, n.digest()
	e := n.edge(from)
	if e == nil {
		m.Updates = append(m.Updates, Update{Member: n.self.Member})
	} else {
		n.carry(e, m, n.room())
		e.version, e.revision = n.version, n.feed.revision
	}
	n.send(from, m)
	n.compareDigest(from, e, h.Digest)
}

// acked notes the answer to a heartbeat.
func (n *Node) acked(from netip.AddrPort, m Message) {
	e := n.edge(from)
	if e != nil && m.Serial == e.serial {
		e.acked, e.misses, e.suspectWait = true, 0, firstSuspectWait
	}
	n.compareDigest(from, e, m.Digest)
}

// compareDigest asks for the member's table when the views have differed for a while. A joining
// node asks at once.
func (n *Node) compareDigest(from netip.AddrPort, e *edge, digest uint32) {
	if digest == n.digest() {
		n.joined = true
		if e != nil {
			e.differs = 0
		}
		return
	}
	if e != nil {
		e.differs++
	}
	wait := tableEvery
	if !n.joined {
		wait = joinEvery
	} else if e == nil || e.differs < n.rules.digestStreak {
		return
	}
	if !n.tableAt.IsZero() && n.now.Sub(n.tableAt) < wait {
		return
	}
	n.tableAt = n.now
	if e != nil {
		e.differs = 0
	}
	n.emit(Event{Kind: TableWanted, Peer: from})
}

// probe sends a heartbeat to one address that is Down or only listed by the platform.
func (n *Node) probe() {
	if n.now.Before(n.nextProbe) {
		return
	}
	n.nextProbe = n.now.Add(probeEvery)
	n.contacts = slices.DeleteFunc(n.contacts, func(a netip.AddrPort) bool { return n.table.records[a] != nil })
	count := len(n.table.lost) + len(n.contacts)
	if count == 0 {
		return
	}
	// Each node begins at another place, so that an address is probed by different nodes in turn.
	n.probes++
	at := int((n.self.hash>>1 + uint64(n.probes)) % uint64(count))
	m := n.hello()
	if at >= len(n.table.lost) {
		n.send(n.contacts[at-len(n.table.lost)], m)
		return
	}
	r := n.table.lost[at]
	m.Updates = append(m.Updates, Update{Member: r.Member})
	n.send(r.Address, m)
}
