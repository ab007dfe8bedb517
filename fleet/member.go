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

// Member is a node as others know it. Address is its peer address and its identity; Caller is the
// address for callers. Weight is its share of slices relative to others; 0 means 1.
type Member struct {
	Address       netip.AddrPort `json:"Address" cbor:"1,keyasint"`
	Caller        netip.AddrPort `json:"Caller,omitzero" cbor:"2,keyasint,omitzero"`
	FailureDomain string         `json:"FailureDomain,omitempty" cbor:"3,keyasint,omitempty"`
	Region        string         `json:"Region,omitempty" cbor:"4,keyasint,omitempty"`
	Weight        int            `json:"Weight,omitempty" cbor:"5,keyasint,omitempty"`
	Incarnation   int64          `json:"Incarnation" cbor:"6,keyasint"`
	Sequence      uint64         `json:"Sequence,omitempty" cbor:"7,keyasint,omitempty"`
	State         State          `json:"State" cbor:"8,keyasint"`
	Status
}

// Status is what a member says of itself beside its state.
type Status struct {
	// Blind means that the member cannot read the platform.
	Blind bool `json:"Blind,omitempty" cbor:"10,keyasint,omitempty"`
	// Busy means that the member has little capacity left.
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

// record is a member with what this node keeps about it.
type record struct {
	Member
	hash uint64
	mark uint64
	// lost is the index among the lost members, or -1.
	lost int
	// logged is the number after that of the last item in the log about the member; 0 without one.
	logged uint64
	// downSince is when the member became Down here.
	downSince time.Time
	// left is set when the member announced that it leaves before it went Down.
	left bool
	// observers suspect the member at its present incarnation and sequence.
	observers []netip.AddrPort
	// condemned is when enough observers had suspected it; zero when they have not.
	condemned time.Time
}

func (r *record) isUp() bool   { return r.State == StateAlive || r.State == StateLeaving }
func (r *record) isSeat() bool { return r.State == StateAlive }

// digestPart is what the member adds to the digest of the view.
func (r *record) digestPart() uint64 {
	if !r.isUp() {
		return 0
	}
	return mix(r.hash ^ mix(uint64(r.Incarnation)^mix(r.Sequence<<2|uint64(r.State.rank()))))
}

// table holds the records of all members, ordered on the rings where they are up.
type table struct {
	records map[netip.AddrPort]*record
	rings   [ringCount]ring
	digest  uint64
	// lost are the members that are Down, in no particular order.
	lost []*record
	up   int
}

func newTable() *table {
	return &table{records: make(map[netip.AddrPort]*record)}
}

// apply takes over m when it is news and returns the record with its former state; the former
// state is empty for a new member.
func (t *table) apply(now time.Time, m Member) (r *record, before State, news bool) {
	r = t.records[m.Address]
	if r == nil {
		r = &record{Member: m, hash: hashAddress(m.Address), lost: -1}
		r.State = ""
		t.records[m.Address] = r
	} else if !m.newerThan(r.Member) {
		return r, r.State, false
	}
	before = r.State
	wasUp := r.isUp()
	if m.FailureDomain == "" {
		// A Down update of a suspect may lack the fields that the record has.
		m.FailureDomain, m.Region, m.Caller, m.Weight = r.FailureDomain, r.Region, r.Caller, r.Weight
	}
	t.digest ^= r.mark
	r.left = m.Incarnation == r.Incarnation && m.State == StateDown && (r.left || before == StateLeaving)
	r.Member = m
	r.observers, r.condemned = nil, time.Time{}
	r.mark = r.digestPart()
	t.digest ^= r.mark
	if wasUp != r.isUp() {
		t.place(r)
	}
	if r.State == StateDown {
		r.downSince = now
	}
	t.setLost(r, r.State == StateDown)
	return r, before, true
}

// place puts the record on the rings when it is up, and takes it off otherwise.
func (t *table) place(r *record) {
	if r.isUp() {
		t.up++
	} else {
		t.up--
	}
	for i := range t.rings {
		if r.isUp() {
			t.rings[i].add(ringPosition(i, r.hash), r)
		} else {
			t.rings[i].remove(ringPosition(i, r.hash), r)
		}
	}
}

func (t *table) setLost(r *record, lost bool) {
	if lost == (r.lost >= 0) {
		return
	}
	if lost {
		r.lost = len(t.lost)
		t.lost = append(t.lost, r)
		return
	}
	last := t.lost[len(t.lost)-1]
	t.lost[r.lost], last.lost = last, r.lost
	t.lost[len(t.lost)-1] = nil
	t.lost = t.lost[:len(t.lost)-1]
	r.lost = -1
}

// remove forgets a member that is Down.
func (t *table) remove(r *record) {
	t.setLost(r, false)
	delete(t.records, r.Address)
}

// mix spreads the bits of x (the finaliser of SplitMix64).
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
