package fleet

import (
	"net/netip"
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
)

// Errors of SetDocument. The document in force stays.
var (
	ErrStale    = errors.New("fleet: document is older than the one in force")
	ErrConflict = errors.New("fleet: another document of the version in force")
)

// Config describes the node itself. Member's Address, Caller, FailureDomain, Region and Weight are
// used; the rest is set by the node.
type Config struct {
	Member Member
	// Start is the start of the process. It gives the incarnation.
	Start time.Time
	// Codec is that of the messages which the node sends.
	Codec Codec
	// Heartbeat is the time between two heartbeats to a watched member; 0 means HeartbeatEvery.
	// Failures are detected after four of them.
	Heartbeat time.Duration
}

// Node is one node's part in the fleet.
type Node struct {
	rules rules
	codec Codec
	self  *record
	table *table
	view  *view
	log   spreadLog
	edges []*edge
	// edgesStale is set when a change of members may have changed the edges.
	edgesStale bool

	now   time.Time
	start time.Time
	// resumed is the end of the last pause.
	resumed time.Time

	version uint64
	hash    string
	config  configWatch
	feed    feedWatch
	boot    bootstrap

	notes      map[string]Note
	noteDigest uint64
	nextExpiry time.Time

	leases map[sliceKey]*lease
	// order lists the leases in a fixed order, so that the same input gives the same output.
	order []*lease
	round uint64
	// claims, answers and releases collect lease items by destination, each kind by itself.
	claims   batch
	answers  batch
	releases batch

	vms       map[netip.AddrPort]wire.VMState
	contacts  []netip.AddrPort
	condemned []*record
	serial    uint64
	nextBeat  time.Time
	nextProbe time.Time
	probes    int
	joined    bool
	tableAt   time.Time

	out []Output
}

// New returns a node that knows only itself.
func New(c Config, now time.Time) *Node {
	r := defaultRules()
	if c.Heartbeat > 0 {
		r.heartbeat, r.refuteTime = c.Heartbeat, c.Heartbeat
	}
	return newNode(c, now, r)
}

func newNode(c Config, now time.Time, r rules) *Node {
	n := &Node{
		rules: r, codec: c.Codec, table: newTable(), now: now, start: now, resumed: now, edgesStale: true,
		notes: make(map[string]Note), leases: make(map[sliceKey]*lease),
		round: uint64(max(0, c.Start.UnixMilli())),
	}
	n.view = newView(n.codec, n.seatsChanged)
	m := c.Member
	m.Incarnation, m.Sequence, m.State = c.Start.UnixNano(), 0, StateAlive
	n.self, _, _ = n.table.apply(now, m)
	n.view.setMember(n.self, true)
	return n
}

// Handle processes one authenticated message from a member.
func (n *Node) Handle(now time.Time, from netip.AddrPort, m Message) []Output {
	n.see(now)
	if from == n.self.Address {
		return n.take()
	}
	if r := n.table.records[from]; r != nil && m.Incarnation < r.Incarnation {
		// A process that replaced another on the same address must raise its incarnation above it.
		n.tell(from, r.Member)
		return n.take()
	}
	n.hearConfig(from, m)
	n.hearFeed(from, m)
	m.Leases = m.items()
	for _, u := range m.Updates {
		n.update(from, u, true)
	}
	for _, k := range m.Notes {
		n.note(from, k)
	}
	r := n.table.records[from]
	switch {
	case r == nil || r.Incarnation < m.Incarnation:
		n.tell(from, Member{Address: from, State: StateDown})
	case !r.isUp() && m.Kind != KindUpdate:
		n.tell(from, r.Member)
	}
	switch m.Kind {
	case KindHeartbeat:
		n.answer(from, m)
	case KindAck:
		n.acked(from, m)
	case KindClaim:
		n.claimed(from, m)
	case KindPromise:
		n.promised(from, m)
	case KindDeny:
		n.denied(from, m)
	case KindRelease:
		n.released(from, m)
	}
	n.checkReady()
	return n.take()
}

// Tick does what time makes due. Call it every TickEvery.
func (n *Node) Tick(now time.Time) []Output {
	n.see(now)
	n.refreshEdges()
	n.condemn()
	n.greet()
	n.beat()
	n.probe()
	n.tickLeases()
	n.expireNotes()
	n.checkReady()
	n.flush()
	return n.take()
}

// Paused tells the node that its clock cannot be trusted since the last call, for example because
// the wall clock and the boot time clock have moved apart. Leases must be renewed before use.
// Handle and Tick notice a long gap between two calls by themselves.
func (n *Node) Paused(now time.Time) {
	n.now = later(n.now, now)
	n.resumed = n.now
	for _, e := range n.edges {
		// What was not received during a pause says nothing about others.
		e.acked, e.misses = true, 0
	}
	for _, r := range n.condemned {
		if !r.condemned.IsZero() {
			r.condemned = n.now
		}
	}
	for _, l := range n.order {
		l.nextClaim = n.now
	}
	n.abstainAll()
}

// SetDocument installs a configuration document with its hash and tells the neighbours at once.
// It returns ErrStale for a lower version and ErrConflict for another document of the version
// in force.
func (n *Node) SetDocument(now time.Time, doc *conf.Document, hash string) ([]Output, error) {
	n.see(now)
	hash = shortHash(hash)
	if n.version != 0 && doc.Version == n.version && hash != n.hash {
		return nil, errors.Wrapf(ErrConflict, "version %d", doc.Version)
	}
	if n.version != 0 && doc.Version == n.version {
		return nil, nil
	}
	if !n.rules.accepts(n.version, doc.Version) {
		return nil, errors.Wrapf(ErrStale, "version %d, in force %d", doc.Version, n.version)
	}
	n.version, n.hash = doc.Version, hash
	n.view.setDocument(doc)
	n.refreshEdges()
	n.checkReady()
	n.flush()
	return n.take(), nil
}

// Leave announces a planned stop. The node gives up its seats, and Draining is true for all its
// leases.
func (n *Node) Leave(now time.Time) []Output {
	n.see(now)
	if n.self.State == StateAlive {
		n.restate(n.self.Sequence+1, StateLeaving)
	}
	n.refreshEdges()
	n.flush()
	return n.take()
}

// see moves the node's clock forward and notices pauses.
func (n *Node) see(now time.Time) {
	if now.Sub(n.now) > n.rules.pauseGap {
		n.Paused(now)
	}
	n.now = later(n.now, now)
}

func (n *Node) take() []Output {
	out := n.out
	n.out = nil
	return out
}

func (n *Node) send(to netip.AddrPort, m *Message) {
	n.out = append(n.out, Output{To: to, Message: m})
}

func (n *Node) emit(e Event) {
	n.out = append(n.out, Output{Event: &e})
}

func (n *Node) message(k Kind) *Message {
	m := &Message{
		Kind: k, Incarnation: n.self.Incarnation, Version: n.version, Hash: n.hash,
		Revision: n.feed.revision, Age: n.feedAge(),
	}
	if n.codec == CBOR && k.isLease() {
		// Heartbeats compare the hashes already. Nodes that know only JSON take a hash that is left out
		// for a conflict.
		m.Hash = ""
	}
	return m
}

// room returns the bytes of a message that its lists may take.
func (n *Node) room() int { return MaxMessage - n.codec.envelopeSize() }

// digest covers the members that are up, and the notes. Messages carry half of the bits, since a
// chance match lasts only until the next change.
func (n *Node) digest() uint32 { return uint32(n.table.digest ^ n.noteDigest) }

// refreshEdges finds the members that this node watches and those that watch it.
func (n *Node) refreshEdges() {
	if !n.edgesStale {
		return
	}
	n.edgesStale = false
	old := n.edges
	n.edges = nil
	add := func(r *record, watched bool) {
		if i := slices.IndexFunc(n.edges, func(e *edge) bool { return e.record == r }); i >= 0 {
			n.edges[i].watched = n.edges[i].watched || watched
			return
		}
		e := &edge{record: r, next: n.log.end() - min(edgeBacklog, uint64(len(n.log.items)))}
		if i := slices.IndexFunc(old, func(e *edge) bool { return e.record == r }); i >= 0 {
			e = old[i]
		}
		if watched && !e.watched {
			e.acked, e.misses, e.suspectWait = true, 0, firstSuspectWait
		}
		e.watched = watched
		n.edges = append(n.edges, e)
	}
	for _, r := range n.table.observedBy(n.self) {
		add(r, true)
	}
	for _, r := range n.table.observersOf(n.self, nil) {
		add(r, false)
	}
}

func (n *Node) edge(a netip.AddrPort) *edge {
	for _, e := range n.edges {
		if e.record.Address == a {
			return e
		}
	}
	return nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
