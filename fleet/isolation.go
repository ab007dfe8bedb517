package fleet

import (
	"slices"
	"time"
)

// Limits of the search for members that answer.
const (
	// searchProbes is the number of members that a search probes per tick. 20 probes per second take less than half of
	// the limit for control traffic.
	searchProbes = 2
	// searchInterval is the minimum time between two searches, so that a permanently broken link causes few probes.
	searchInterval = 2 * time.Second
	// searchSample is the number of probes whose answers decide whether the node is isolated. With a third of the
	// fleet lost, which the others detect as usual, fewer than 1 in 1000 samples reach isolatedEighths.
	searchSample = 16
	// isolatedEighths is how many eighths of the members must be silent or recently lost for a node to become isolated,
	// and censusEighths how many where the sample contains all members, so that it has no random error.
	isolatedEighths = 6
	censusEighths   = 5
	// joinedEighths is how many eighths of the members must answer until a node that marks silent ones is not isolated.
	joinedEighths = 6
	// lossTime is the time for which a member that went Down counts as recently lost. Of a few nodes that are left,
	// two may have declared some of the others Down before they search.
	lossTime = time.Minute
)

// isolation is the state of a search for members that answer. A node searches while a member that it watches is
// silent, or one that others watch stays suspected. It is isolated if most members are silent: then too few
// observers are left to declare them Down, or this node is cut off from them.
type isolation struct {
	// since is when the search began; zero if there is none.
	since    time.Time
	isolated bool
	// position is the position of the last probed member on the first ring.
	position uint64
	// pending are the probes that may still be answered, and outcomes the latest others.
	pending    []searchProbe
	outcomes   []searchProbe
	nextSearch time.Time
	// confirmed is set once the platform was read after the search began. The probes that count are sent afterwards.
	confirmed bool
	// marked is set while members may be marked as silent.
	marked bool
}

// searchProbe is a probe that was sent to a member.
type searchProbe struct {
	record *record
	sentAt time.Time
	// heard is set if the member was heard from within answerTime.
	heard bool
}

// answerTime is the time in which a probe is answered unless it is lost.
func (n *Node) answerTime() time.Duration { return 2 * n.rules.heartbeat }

// silentTime is the time without a message after which an isolated node considers a member silent. Members that
// answer are probed several times in it.
func (n *Node) silentTime() time.Duration {
	return 2 * time.Duration(n.rules.missLimit+1) * n.rules.heartbeat
}

// isReachable reports whether the member may answer: all do unless this node is isolated.
func (n *Node) isReachable(r *record) bool {
	return !n.isolation.isolated || r == n.self || n.now.Sub(r.heardAt) < n.silentTime()
}

// search probes members in turn while there is a reason for it, and decides whether this node is isolated.
func (n *Node) search() {
	s := &n.isolation
	n.unresolved = slices.DeleteFunc(n.unresolved, func(r *record) bool { return len(r.observers) == 0 })
	if s.since.IsZero() {
		if n.now.Before(s.nextSearch) || !n.watchesSilent() && !n.hasUnresolved() {
			return
		}
		*s = isolation{since: n.now, position: ringPosition(0, n.self.hash)}
	}
	if !s.confirmed && !n.feed.currentAt.Before(s.since) {
		s.confirmed, s.pending, s.outcomes = true, nil, nil
	}
	n.sendSearchProbes()
	n.recordOutcomes()
	if !n.isSampled() {
		return
	}
	heard, all := 0, len(s.outcomes)
	for _, p := range s.outcomes {
		if p.heard {
			heard++
		}
	}
	switch {
	case n.areMostLost(all-heard, all):
		s.isolated = true
	case !s.marked || 8*heard >= joinedEighths*all:
		*s = isolation{nextSearch: n.now.Add(searchInterval), marked: s.marked}
	}
}

// isSampled reports whether enough probes have an outcome to decide whether this node is isolated.
func (n *Node) isSampled() bool {
	return len(n.isolation.outcomes) >= min(searchSample, n.table.upCount-1)
}

// areMostLost reports whether most members are lost if the given part of those that are up is silent.
func (n *Node) areMostLost(silent, sampled int) bool {
	if silent == 0 {
		return false
	}
	lost, others := 0, n.table.upCount-1
	for _, r := range n.table.down {
		if n.now.Sub(r.downSince) < lossTime {
			lost++
		}
	}
	needed := isolatedEighths
	if others <= searchSample {
		needed = censusEighths
	}
	return 8*(silent*others+lost*sampled) >= needed*(others+lost)*sampled
}

// watchesSilent reports whether a watched member has missed enough heartbeats to be suspected.
func (n *Node) watchesSilent() bool {
	for _, e := range n.edges {
		if e.watched && e.misses >= n.rules.missLimit {
			return true
		}
	}
	return false
}

// hasUnresolved reports whether a suspicion has stood for longer than the members that watch the suspected one need to
// confirm it, as it does when only one of them is left.
func (n *Node) hasUnresolved() bool {
	confirmTime := time.Duration(n.rules.missLimit+1) * n.rules.heartbeat
	return slices.ContainsFunc(n.unresolved, func(r *record) bool { return n.now.Sub(r.firstSuspectedAt) >= confirmTime })
}

// sendSearchProbes probes the next members on the first ring. On an isolated node, one probe per tick goes to the
// answering member that was not heard from for longest.
func (n *Node) sendSearchProbes() {
	s := &n.isolation
	count := searchProbes
	if s.isolated {
		if r := n.longestUnheard(); r != nil {
			n.sendProbe(r)
			count--
		}
	}
	g := n.table.rings[0]
	for range min(count, len(g)-1) {
		i, found := g.find(s.position)
		if found {
			i++
		}
		r := g.at(i % len(g))
		if r == n.self {
			r = g.at((i + 1) % len(g))
		}
		s.position = ringPosition(0, r.hash)
		s.pending = append(s.pending, searchProbe{record: r, sentAt: n.now})
		n.sendProbe(r)
	}
}

func (n *Node) sendProbe(r *record) {
	m := n.newMessage(KindHeartbeat)
	n.serial++
	m.Serial, m.Digest = n.serial, n.digest()
	n.send(r.Address, m)
}

// longestUnheard returns the answering member that was not heard from for longest, or nil if all were heard from
// within answerTime.
func (n *Node) longestUnheard() *record {
	var oldest *record
	for _, e := range n.table.rings[0] {
		r := e.record
		if r == n.self || !n.isReachable(r) || n.now.Sub(r.heardAt) < n.answerTime() {
			continue
		}
		if oldest == nil || r.heardAt.Before(oldest.heardAt) {
			oldest = r
		}
	}
	return oldest
}

// recordOutcomes records whether the members were heard from that were probed longer than answerTime ago. Members that
// went Down meanwhile are counted as lost instead.
func (n *Node) recordOutcomes() {
	s := &n.isolation
	isDown := func(p searchProbe) bool { return !p.record.isUp() }
	s.pending, s.outcomes = slices.DeleteFunc(s.pending, isDown), slices.DeleteFunc(s.outcomes, isDown)
	for len(s.pending) > 0 && n.now.Sub(s.pending[0].sentAt) >= n.answerTime() {
		p := s.pending[0]
		s.pending = s.pending[1:]
		p.heard = !p.record.heardAt.Before(p.sentAt)
		s.outcomes = append(s.outcomes, p)
	}
	s.outcomes = s.outcomes[max(0, len(s.outcomes)-min(searchSample, n.table.upCount-1)):]
}

// markSilent marks the members that do not answer this isolated node, and reports each change as an event. It marks
// nobody until this node or one that answers it has read the platform since the search began and the members stay
// silent after that, since the node may itself be cut off. Marks are local, so that no other node takes a member for
// Down because of them.
func (n *Node) markSilent() {
	s := &n.isolation
	alone := s.isolated && s.confirmed && (s.marked || n.isSampled())
	if !alone && !s.marked {
		return
	}
	s.marked = alone
	for _, e := range n.table.rings[0] {
		r := e.record
		silent := alone && !n.isReachable(r)
		if silent == r.Silent {
			continue
		}
		r.Silent = silent
		if silent {
			n.emit(Event{Kind: MemberDown, Member: r.Member})
		} else {
			n.emitMember(r, r.State)
		}
	}
}
