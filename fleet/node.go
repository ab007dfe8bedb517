package fleet

import (
	"net/netip"
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/wire"
	"github.com/cockroachdb/errors"
)

// Errors returned by SetDocument. The active document is kept.
var (
	ErrStale    = errors.New("fleet: document is older than the active one")
	ErrConflict = errors.New("fleet: different document with the active version")
)

// Config is the configuration of a Node. Of Member, only Address, Caller, FailureDomain, Region and
// Weight are used; the node sets the other fields.
type Config struct {
	Member Member
	// Start is the start time of the process. The incarnation is derived from it.
	Start time.Time
	// Codec is the encoding of the messages that the node sends.
	Codec Codec
	// Heartbeat is the time between two heartbeats to a watched member; 0 means HeartbeatInterval.
	// A failure is detected after four heartbeat intervals.
	Heartbeat time.Duration
}

// Node is the state machine of one node of the fleet.
type Node struct {
	rules      rules
	codec      Codec
	self       *record
	table      *table
	assignment *assignment
	floodLog   floodLog
	edges      []*edge
	// edgesStale is set when a change of members may have changed the edges.
	edgesStale bool

	now   time.Time
	start time.Time
	// resumedAt is when the last pause of the process ended.
	resumedAt time.Time

	version uint64
	hash    string
	config  configState
	feed    feedState
	boot    bootstrap

	isolation isolation
	// unresolved lists the members that an observer suspected. Those that were declared Down or have refuted the
	// suspicion are removed at the next tick.
	unresolved []*record

	notes      map[string]Note
	noteDigest uint64
	nextExpiry time.Time

	leases map[sliceKey]*lease
	// leaseList holds the leases in a fixed order, so that the same input gives the same output.
	leaseList []*lease
	round     uint64
	// claims, answers and releases batch lease items by destination, one batch for each message kind.
	claims   batch
	answers  batch
	releases batch

	vms              map[netip.AddrPort]wire.VMState
	contacts         []netip.AddrPort
	suspects         []*record
	serial           uint64
	nextHeartbeat    time.Time
	nextProbe        time.Time
	probeCount       int
	joined           bool
	tableRequestedAt time.Time

	out []Output
}

// New returns a node whose only known member is itself.
func New(c Config, now time.Time) *Node {
	r := defaultRules()
	if c.Heartbeat > 0 {
		r.heartbeat, r.refuteTimeout = c.Heartbeat, c.Heartbeat
	}
	return newNode(c, now, r)
}

func newNode(c Config, now time.Time, r rules) *Node {
	n := &Node{
		rules: r, codec: c.Codec, table: newTable(), now: now, start: now, resumedAt: now, edgesStale: true,
		notes: make(map[string]Note), leases: make(map[sliceKey]*lease),
		round: uint64(max(0, c.Start.UnixMilli())),
	}
	n.assignment = newAssignment(n.codec, n.votersChanged)
	m := c.Member
	m.Incarnation, m.Sequence, m.State = c.Start.UnixNano(), 0, StateAlive
	n.self, _, _ = n.table.apply(now, m)
	n.assignment.setMember(n.self, true)
	return n
}

// Handle processes one authenticated message from the member at address from.
func (n *Node) Handle(now time.Time, from netip.AddrPort, m Message) []Output {
	n.advance(now)
	if from == n.self.Address {
		return n.takeOutputs()
	}
	if r := n.table.records[from]; r != nil && m.Incarnation < r.Incarnation {
		// A restarted process on the same address must raise its incarnation above that of the old one.
		n.sendMembers(from, r.Member)
		return n.takeOutputs()
	}
	n.compareConfig(from, m)
	n.compareFeed(from, m)
	m.Leases = m.items()
	for _, u := range m.Updates {
		n.applyUpdate(from, u, true)
	}
	for _, k := range m.Notes {
		n.storeNote(from, k)
	}
	r := n.table.records[from]
	if r != nil {
		r.heardAt = n.now
	}
	switch {
	case r == nil || r.Incarnation < m.Incarnation:
		n.sendMembers(from, Member{Address: from, State: StateDown})
	case !r.isUp() && m.Kind != KindUpdate:
		n.sendMembers(from, r.Member)
	}
	switch m.Kind {
	case KindHeartbeat:
		n.handleHeartbeat(from, m)
	case KindAck:
		n.handleAck(from, m)
	case KindClaim:
		n.handleClaim(from, m)
	case KindPromise:
		n.handlePromise(from, m)
	case KindDeny:
		n.handleDeny(from, m)
	case KindRelease:
		n.handleRelease(from, m)
	}
	n.checkReady()
	return n.takeOutputs()
}

// Tick runs all work that is due: heartbeats, probes, failure detection, lease claims and expiry. It
// must be called every TickInterval.
func (n *Node) Tick(now time.Time) []Output {
	n.advance(now)
	n.refreshEdges()
	n.expireSuspects()
	n.sendHellos()
	n.sendHeartbeats()
	n.probe()
	n.search()
	n.markSilent()
	n.tickLeases()
	n.expireNotes()
	n.checkReady()
	n.flush()
	return n.takeOutputs()
}

// Paused reports that the time since the last call is unreliable, for example because the wall clock
// and the boot time clock have diverged. Leases must be renewed before they are used again. A long gap
// between two calls of Handle or Tick is detected without it.
func (n *Node) Paused(now time.Time) {
	n.now = later(n.now, now)
	n.resumedAt = n.now
	for _, e := range n.edges {
		// Acks missing during a pause do not indicate a failure of the peer.
		e.acked, e.misses = true, 0
	}
	for _, r := range n.unresolved {
		r.firstSuspectedAt = n.now
	}
	if !n.isolation.isolated {
		n.isolation = isolation{marked: n.isolation.marked}
	}
	for _, r := range n.suspects {
		if !r.suspectedAt.IsZero() {
			r.suspectedAt = n.now
		}
	}
	for _, l := range n.leaseList {
		l.nextClaim = n.now
	}
	n.abstainAll()
}

// SetDocument installs a configuration document with its hash and notifies the neighbors immediately.
// It returns ErrStale for a version below the active one, and ErrConflict for a different document
// with the active version.
func (n *Node) SetDocument(now time.Time, doc *conf.Document, hash string) ([]Output, error) {
	n.advance(now)
	hash = shortHash(hash)
	if n.version != 0 && doc.Version == n.version && hash != n.hash {
		return nil, errors.Wrapf(ErrConflict, "version %d", doc.Version)
	}
	if n.version != 0 && doc.Version == n.version {
		return nil, nil
	}
	if !n.rules.accepts(n.version, doc.Version) {
		return nil, errors.Wrapf(ErrStale, "version %d, active version %d", doc.Version, n.version)
	}
	n.version, n.hash = doc.Version, hash
	n.assignment.setDocument(doc)
	n.refreshEdges()
	n.checkReady()
	n.flush()
	return n.takeOutputs(), nil
}

// Leave announces a planned shutdown. The node stops being a voter, and Draining returns true for all
// of its leases.
func (n *Node) Leave(now time.Time) []Output {
	n.advance(now)
	if n.self.State == StateAlive {
		n.announceSelf(n.self.Sequence+1, StateLeaving)
	}
	n.refreshEdges()
	n.flush()
	return n.takeOutputs()
}

// advance moves the node's clock forward and detects pauses of the process.
func (n *Node) advance(now time.Time) {
	if now.Sub(n.now) > n.rules.pauseThreshold {
		n.Paused(now)
	}
	n.now = later(n.now, now)
}

func (n *Node) takeOutputs() []Output {
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

func (n *Node) newMessage(k Kind) *Message {
	m := &Message{
		Kind: k, Incarnation: n.self.Incarnation, Version: n.version, Hash: n.hash,
		Revision: n.feed.revision, Age: n.feedAge(),
	}
	if n.codec == CBOR && k.isLease() {
		// Heartbeats already compare the hashes. In JSON the hash is required, because JSON-only nodes
		// report a missing hash as a conflict.
		m.Hash = ""
	}
	return m
}

// maxListBytes returns the number of bytes available to the lists of a message.
func (n *Node) maxListBytes() int { return MaxMessageBytes - n.codec.maxEnvelopeSize() }

// digest covers the members that are up, and the notes. Messages carry only half of the bits, since
// an accidental match lasts only until the next change.
func (n *Node) digest() uint32 { return uint32(n.table.digest ^ n.noteDigest) }

// refreshEdges rebuilds the edges to the members that this node watches and to those that watch it.
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
		e := &edge{record: r, next: n.floodLog.end() - min(edgeBacklog, uint64(len(n.floodLog.items)))}
		if i := slices.IndexFunc(old, func(e *edge) bool { return e.record == r }); i >= 0 {
			e = old[i]
		}
		if watched && !e.watched {
			e.acked, e.misses, e.suspectBackoff = true, 0, minSuspectBackoff
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
