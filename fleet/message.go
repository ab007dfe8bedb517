package fleet

import (
	"encoding/json"
	"net/netip"
	"slices"
	"time"
)

// MaxMessage is the largest control message in bytes as encoded by its codec.
const MaxMessage = 1200

// Kind is the type of a control message.
type Kind string

// Kinds of control messages. Update carries piggybacked items only and is not acknowledged.
const (
	KindHeartbeat Kind = "Heartbeat"
	KindAck       Kind = "Ack"
	KindUpdate    Kind = "Update"
	KindClaim     Kind = "Claim"
	KindPromise   Kind = "Promise"
	KindDeny      Kind = "Deny"
	KindRelease   Kind = "Release"
)

// isLease reports whether messages of the kind carry lease items.
func (k Kind) isLease() bool {
	return k == KindClaim || k == KindPromise || k == KindDeny || k == KindRelease
}

// Message is one control message. Each carries the sender's incarnation, the version and hash of
// its configuration and a digest of its view, and any of them may carry updates and notes.
type Message struct {
	Kind        Kind  `json:"Kind" cbor:"1,keyasint"`
	Incarnation int64 `json:"Incarnation" cbor:"2,keyasint"`
	// Serial numbers heartbeats; an Ack repeats the number that it answers.
	Serial  uint64 `json:"Serial,omitempty" cbor:"3,keyasint,omitempty"`
	Version uint64 `json:"Version,omitempty" cbor:"4,keyasint,omitempty"`
	// Hash is left out of messages about leases as CBOR.
	Hash string `json:"Hash,omitempty" cbor:"5,keyasint,omitempty"`
	// Digest covers the members that are not Down, and the notes. It is set in Heartbeat and Ack.
	Digest uint32 `json:"Digest,omitempty" cbor:"6,keyasint,omitempty"`
	// Round is that of the lease items which name none.
	Round   uint64      `json:"Round,omitempty" cbor:"7,keyasint,omitempty"`
	Leases  []LeaseItem `json:"Leases,omitempty" cbor:"8,keyasint,omitempty"`
	Updates []Update    `json:"Updates,omitempty" cbor:"9,keyasint,omitempty"`
	Notes   []Note      `json:"Notes,omitempty" cbor:"10,keyasint,omitempty"`
	// Revision is that of the sender's copy of what the platform publishes, and Age the number of
	// milliseconds since it was known to be current. An Age of 0 means that it never was.
	Revision uint64 `json:"Revision,omitempty" cbor:"11,keyasint,omitempty"`
	Age      uint32 `json:"Age,omitempty" cbor:"12,keyasint,omitempty"`
}

// items returns the lease items with their rounds.
func (m *Message) items() []LeaseItem {
	items := slices.Clone(m.Leases)
	for i := range items {
		if items[i].Round == 0 {
			items[i].Round = m.Round
		}
	}
	return items
}

// LeaseItem is the part of a Claim, Promise, Deny or Release that concerns one slice.
type LeaseItem struct {
	Service string `json:"Service" cbor:"1,keyasint"`
	Slice   int    `json:"Slice,omitempty" cbor:"2,keyasint,omitempty"`
	// Round numbers the claims of a claimant. Answers repeat it.
	Round uint64 `json:"Round,omitempty" cbor:"3,keyasint,omitempty"`
	// Held in a Claim means that the claimant holds the lease and renews it.
	Held bool `json:"Held,omitempty" cbor:"4,keyasint,omitempty"`
	// Weak in a Claim means that the claimant's own seat does not promise it the slice yet.
	Weak bool `json:"Weak,omitempty" cbor:"5,keyasint,omitempty"`
	// Provisional in a Promise means that a node which may still live has a better right to the
	// seat, so that the promise counts only together with those of all other seats.
	Provisional bool `json:"Provisional,omitempty" cbor:"6,keyasint,omitempty"`
	// Holder in a Deny is the node to which the seat has promised the slice.
	Holder netip.AddrPort `json:"Holder,omitzero" cbor:"7,keyasint,omitzero"`
	// Left in a Deny is the number of milliseconds for which the promise lasts.
	Left int64 `json:"Left,omitempty" cbor:"8,keyasint,omitempty"`
}

// Update is news about a member. Observer is set when the state is Suspect.
type Update struct {
	Member
	Observer netip.AddrPort `json:"Observer,omitzero" cbor:"9,keyasint,omitzero"`
}

// Note is a small item that is flooded to all members and kept until it expires. A note replaces
// one with the same ID that expires earlier.
type Note struct {
	ID      string          `json:"Id"`
	Kind    string          `json:"Kind"`
	Body    json.RawMessage `json:"Body,omitempty"`
	Expires time.Time       `json:"Expires"`
}

// Table is the whole view of a node, which a joining node gets from one peer.
type Table struct {
	Members []Member `json:"Members"`
	Notes   []Note   `json:"Notes,omitempty"`
}

// Output is one reaction of a Node: a message to send to To, or an event.
type Output struct {
	To      netip.AddrPort
	Message *Message
	Event   *Event
}

// EventKind is the type of an event.
type EventKind string

// Kinds of events.
const (
	// MemberUp, MemberLeaving and MemberDown tell of a member's change of state.
	MemberUp      EventKind = "MemberUp"
	MemberLeaving EventKind = "MemberLeaving"
	MemberDown    EventKind = "MemberDown"
	// LeaseGained and LeaseRenewed carry the end of the lease of Service and Slice.
	LeaseGained  EventKind = "LeaseGained"
	LeaseRenewed EventKind = "LeaseRenewed"
	// LeaseLost tells that the lease has ended or was released.
	LeaseLost EventKind = "LeaseLost"
	// ConfigNewer asks the caller to pull the configuration from Peer, which has Version.
	ConfigNewer EventKind = "ConfigNewer"
	// ConfigConflict tells that Peer has another document of the version in force here.
	ConfigConflict EventKind = "ConfigConflict"
	// FeedNewer asks the caller to pull changes from Peer, whose copy has the revision Version.
	FeedNewer EventKind = "FeedNewer"
	// TableWanted asks the caller to get the member table from Peer and to call Merge.
	TableWanted EventKind = "TableWanted"
	// NoteReceived carries a note that is new here.
	NoteReceived EventKind = "NoteReceived"
	// BecameReady tells that the node may serve.
	BecameReady EventKind = "BecameReady"
)

// Event is something that the caller may act on or log.
type Event struct {
	Kind    EventKind
	Member  Member
	Service string
	Slice   int
	End     time.Time
	Peer    netip.AddrPort
	Version uint64
	Hash    string
	Note    Note
}
