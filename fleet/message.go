package fleet

import (
	"encoding/json"
	"net/netip"
	"slices"
	"time"
)

// MaxMessageBytes is the maximum size of an encoded control message in bytes.
const MaxMessageBytes = 1200

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

// isLease reports whether messages of this kind carry lease items.
func (k Kind) isLease() bool {
	return k == KindClaim || k == KindPromise || k == KindDeny || k == KindRelease
}

// Message is a control message. It carries the sender's incarnation and the version and hash of its
// configuration. Messages of any kind may carry updates and notes.
type Message struct {
	Kind        Kind  `json:"Kind" cbor:"1,keyasint"`
	Incarnation int64 `json:"Incarnation" cbor:"2,keyasint"`
	// Serial is the sequence number of a Heartbeat; an Ack repeats the number of its Heartbeat.
	Serial  uint64 `json:"Serial,omitempty" cbor:"3,keyasint,omitempty"`
	Version uint64 `json:"Version,omitempty" cbor:"4,keyasint,omitempty"`
	// Hash is the shortened hash of the configuration. It is omitted from lease messages in CBOR.
	Hash string `json:"Hash,omitempty" cbor:"5,keyasint,omitempty"`
	// Digest covers the members that are not Down, and the notes. It is set in Heartbeat and Ack.
	Digest uint32 `json:"Digest,omitempty" cbor:"6,keyasint,omitempty"`
	// Round is the round of the lease items that have no round of their own.
	Round   uint64      `json:"Round,omitempty" cbor:"7,keyasint,omitempty"`
	Leases  []LeaseItem `json:"Leases,omitempty" cbor:"8,keyasint,omitempty"`
	Updates []Update    `json:"Updates,omitempty" cbor:"9,keyasint,omitempty"`
	Notes   []Note      `json:"Notes,omitempty" cbor:"10,keyasint,omitempty"`
	// Revision is the revision of the sender's copy of the platform data, and Age the time in
	// milliseconds since the copy was last known to be current. An Age of 0 means that it never was.
	Revision uint64 `json:"Revision,omitempty" cbor:"11,keyasint,omitempty"`
	Age      uint32 `json:"Age,omitempty" cbor:"12,keyasint,omitempty"`
}

// items returns a copy of the lease items with Round filled in.
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
	// Round is the sequence number of the claimant's claim. Answers repeat it.
	Round uint64 `json:"Round,omitempty" cbor:"3,keyasint,omitempty"`
	// Held in a Claim means that the claimant holds the lease and renews it. In a Release it means that
	// the sender held the lease.
	Held bool `json:"Held,omitempty" cbor:"4,keyasint,omitempty"`
	// Weak in a Claim means that the claimant may be unable to obtain the lease: it abstains as a voter,
	// or fewer than a majority of the voters answered its last claim.
	Weak bool `json:"Weak,omitempty" cbor:"5,keyasint,omitempty"`
	// Provisional in a Promise means that a higher-ranked voter is Down but may still be running. The
	// promise counts only if all other voters promise as well.
	Provisional bool `json:"Provisional,omitempty" cbor:"6,keyasint,omitempty"`
	// Holder in a Deny is the node to which the voter has promised the slice.
	Holder netip.AddrPort `json:"Holder,omitzero" cbor:"7,keyasint,omitzero"`
	// Left in a Deny is the remaining time of that promise in milliseconds.
	Left int64 `json:"Left,omitempty" cbor:"8,keyasint,omitempty"`
}

// Update is a state update about a member. Observer is the suspecting node when the state is Suspect.
type Update struct {
	Member
	Observer netip.AddrPort `json:"Observer,omitzero" cbor:"9,keyasint,omitzero"`
}

// Note is a small item that is flooded to all members and kept until it expires. A note replaces a
// note with the same ID that expires earlier.
type Note struct {
	ID      string          `json:"Id"`
	Kind    string          `json:"Kind"`
	Body    json.RawMessage `json:"Body,omitempty"`
	Expires time.Time       `json:"Expires"`
}

// Table is a snapshot of a node's members and notes. A joining node fetches it from one peer.
type Table struct {
	Members []Member `json:"Members"`
	Notes   []Note   `json:"Notes,omitempty"`
}

// Output is one effect of a call to a Node: either a message to send to To, or an event.
type Output struct {
	To      netip.AddrPort
	Message *Message
	Event   *Event
}

// EventKind is the type of an event.
type EventKind string

// Kinds of events.
const (
	// MemberUp, MemberLeaving and MemberDown report a state change of a member. MemberDown with Silent set reports
	// that a member does not answer this node, which is one of few that are left, and MemberUp that it answers again.
	MemberUp      EventKind = "MemberUp"
	MemberLeaving EventKind = "MemberLeaving"
	MemberDown    EventKind = "MemberDown"
	// LeaseGained and LeaseRenewed report a new or renewed lease of Service and Slice, valid until End.
	LeaseGained  EventKind = "LeaseGained"
	LeaseRenewed EventKind = "LeaseRenewed"
	// LeaseLost reports that the lease has expired or was released.
	LeaseLost EventKind = "LeaseLost"
	// ConfigNewer requests a pull of the configuration from Peer, which has Version.
	ConfigNewer EventKind = "ConfigNewer"
	// ConfigConflict reports that Peer has a different document with the active version.
	ConfigConflict EventKind = "ConfigConflict"
	// FeedNewer requests a pull of the platform data from Peer, whose copy has the revision Version.
	FeedNewer EventKind = "FeedNewer"
	// TableWanted requests a fetch of the member table from Peer, followed by a call of Merge.
	TableWanted EventKind = "TableWanted"
	// NoteReceived carries a note that was stored on this node.
	NoteReceived EventKind = "NoteReceived"
	// BecameReady reports that the node may serve requests.
	BecameReady EventKind = "BecameReady"
)

// Event is a state change, or a request to the calling code. Kind determines which fields are set.
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
