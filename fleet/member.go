package fleet

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member.
type State string

// States of a member. Suspect appears only in updates: a suspected member stays Alive or Leaving
// until it is Down.
const (
	StateAlive   State = "Alive"
	StateLeaving State = "Leaving"
	StateDown    State = "Down"
	StateSuspect State = "Suspect"
)

func (s State) rank() int {
	switch s {
	case StateDown:
		return 2
	case StateLeaving:
		return 1
	default:
		return 0
	}
}

// Member is the published record of a node. Address is its peer address and its identity; Caller is the
// address for callers. Weight is its share of slices relative to other nodes; 0 means 1. Millicores is its processor
// capacity in thousandths of a core, 0 if it is not known.
type Member struct {
	Address       netip.AddrPort `json:"Address" cbor:"1,keyasint"`
	Caller        netip.AddrPort `json:"Caller,omitzero" cbor:"2,keyasint,omitzero"`
	FailureDomain string         `json:"FailureDomain,omitempty" cbor:"3,keyasint,omitempty"`
	Region        string         `json:"Region,omitempty" cbor:"4,keyasint,omitempty"`
	Weight        int            `json:"Weight,omitempty" cbor:"5,keyasint,omitempty"`
	Incarnation   int64          `json:"Incarnation" cbor:"6,keyasint"`
	Sequence      uint64         `json:"Sequence,omitempty" cbor:"7,keyasint,omitempty"`
	State         State          `json:"State" cbor:"8,keyasint"`
	Millicores    int            `json:"Millicores,omitempty" cbor:"9,keyasint,omitempty"`
	Status
	// Silent means that this node is one of few that are left and the member does not answer. It is local and not sent
	// to other nodes.
	Silent bool `json:"-" cbor:"-"`
}

// Status holds the conditions that a member reports about itself in addition to its state.
type Status struct {
	// Blind means that the member cannot read the platform.
	Blind bool `json:"Blind,omitempty" cbor:"10,keyasint,omitempty"`
	// Busy means that the member has little spare capacity.
	Busy bool `json:"Busy,omitempty" cbor:"11,keyasint,omitempty"`
}

// newerThan reports whether m supersedes o, which has the same address.
func (m Member) newerThan(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	if m.Sequence != o.Sequence {
		return m.Sequence > o.Sequence
	}
	return m.State.rank() > o.State.rank()
}

// record is a member with the local state that this node keeps about it.
type record struct {
	Member
	hash       uint64
	digestTerm uint64
	// downIndex is the index in table.down, or -1.
	downIndex int
	// logEnd is one more than the flood log sequence number of the last update about the member; 0 if
	// there is none.
	logEnd uint64
	// downSince is when this node marked the member Down.
	downSince time.Time
	// leftGracefully is set when the member announced its shutdown before it went Down.
	leftGracefully bool
	// observers are the members that suspect this member at its current incarnation and sequence.
	observers []netip.AddrPort
	// firstSuspectedAt is when the first of them suspected the member; zero if there are none.
	firstSuspectedAt time.Time
	// suspectedAt is when enough observers had suspected the member; zero if too few have.
	suspectedAt time.Time
	// heardAt is when the last message from the member arrived.
	heardAt time.Time
}

func (r *record) isUp() bool       { return r.State == StateAlive || r.State == StateLeaving }
func (r *record) isEligible() bool { return r.State == StateAlive }

// computeDigestTerm returns the member's term in the digest; terms are combined with XOR.
func (r *record) computeDigestTerm() uint64 {
	if !r.isUp() {
		return 0
	}
	return mix(r.hash ^ mix(uint64(r.Incarnation)^mix(r.Sequence<<2|uint64(r.State.rank()))))
}

// table holds the records of all members. Those that are up are also on the rings.
type table struct {
	records map[netip.AddrPort]*record
	rings   [ringCount]ring
	digest  uint64
	// down lists the members that are Down, in no particular order.
	down    []*record
	upCount int
}

func newTable() *table {
	return &table{records: make(map[netip.AddrPort]*record)}
}

// apply stores m if it supersedes the current record. It returns the record, its previous state (empty
// for a new member), and whether m was stored.
func (t *table) apply(now time.Time, m Member) (r *record, previous State, applied bool) {
	r = t.records[m.Address]
	if r == nil {
		r = &record{Member: m, hash: hashAddress(m.Address), downIndex: -1}
		r.State, r.Silent = "", false
		t.records[m.Address] = r
	} else if !m.newerThan(r.Member) {
		return r, r.State, false
	}
	previous = r.State
	wasUp := r.isUp()
	if m.FailureDomain == "" {
		// Down updates are flooded without these fields.
		m.FailureDomain, m.Region, m.Caller = r.FailureDomain, r.Region, r.Caller
		m.Weight, m.Millicores = r.Weight, r.Millicores
	}
	t.digest ^= r.digestTerm
	r.leftGracefully = m.Incarnation == r.Incarnation && m.State == StateDown &&
		(r.leftGracefully || previous == StateLeaving)
	m.Silent = r.Silent && m.State != StateDown
	r.Member = m
	r.observers, r.firstSuspectedAt, r.suspectedAt = nil, time.Time{}, time.Time{}
	r.digestTerm = r.computeDigestTerm()
	t.digest ^= r.digestTerm
	if wasUp != r.isUp() {
		t.updateRings(r)
	}
	if r.State == StateDown {
		r.downSince = now
	}
	t.setDown(r, r.State == StateDown)
	return r, previous, true
}

// updateRings adds the record to the rings if it is up, and removes it otherwise.
func (t *table) updateRings(r *record) {
	if r.isUp() {
		t.upCount++
	} else {
		t.upCount--
	}
	for i := range t.rings {
		if r.isUp() {
			t.rings[i].add(ringPosition(i, r.hash), r)
		} else {
			t.rings[i].remove(ringPosition(i, r.hash), r)
		}
	}
}

func (t *table) setDown(r *record, down bool) {
	if down == (r.downIndex >= 0) {
		return
	}
	if down {
		r.downIndex = len(t.down)
		t.down = append(t.down, r)
		return
	}
	last := t.down[len(t.down)-1]
	t.down[r.downIndex], last.downIndex = last, r.downIndex
	t.down[len(t.down)-1] = nil
	t.down = t.down[:len(t.down)-1]
	r.downIndex = -1
}

// remove deletes a member that is Down.
func (t *table) remove(r *record) {
	t.setDown(r, false)
	delete(t.records, r.Address)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func hashAddress(a netip.AddrPort) uint64 {
	ip := a.Addr().As16()
	var b [18]byte
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
	return xxhash.Sum64(b[:])
}
