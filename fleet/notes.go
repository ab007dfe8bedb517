package fleet

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// MaxNoteBytes is the maximum size of a note in bytes, in JSON as well as in CBOR.
	MaxNoteBytes = 800
	// MaxNotes is the maximum number of notes that a node keeps. Further notes are refused.
	MaxNotes = 4096
	// noteExpiryInterval is the time between two scans for expired notes.
	noteExpiryInterval = time.Second
)

// Publish floods a note to all members. It returns an error when the note cannot be encoded, is larger
// than MaxNoteBytes or has expired, or when the node already keeps MaxNotes notes.
func (n *Node) Publish(now time.Time, k Note) ([]Output, error) {
	n.advance(now)
	if _, err := CBOR.marshal(k); err != nil {
		return nil, errors.Wrap(err, "fleet: publish")
	}
	if size := max(JSON.size(k), CBOR.size(k)); size > MaxNoteBytes {
		return nil, errors.Newf("fleet: note %s has %d bytes, limit %d", k.ID, size, MaxNoteBytes)
	}
	if !n.now.Before(k.Expires) {
		return nil, errors.Newf("fleet: note %s has expired", k.ID)
	}
	if _, known := n.notes[k.ID]; !known && len(n.notes) >= MaxNotes {
		return nil, errors.Newf("fleet: %d notes, limit %d", len(n.notes), MaxNotes)
	}
	n.storeNote(netip.AddrPort{}, k)
	n.flush()
	return n.takeOutputs(), nil
}

// storeNote stores a note that is new or expires later than the stored one, and floods it.
func (n *Node) storeNote(from netip.AddrPort, k Note) {
	old, known := n.notes[k.ID]
	if !n.now.Before(k.Expires) || known && !k.Expires.After(old.Expires) {
		return
	}
	if !known && len(n.notes) >= MaxNotes {
		return
	}
	if known {
		n.noteDigest ^= noteDigestTerm(old)
	}
	n.notes[k.ID] = k
	n.noteDigest ^= noteDigestTerm(k)
	n.floodNote(k, from)
	n.emit(Event{Kind: NoteReceived, Peer: from, Note: k})
}

func (n *Node) expireNotes() {
	if len(n.notes) == 0 || n.now.Before(n.nextExpiry) {
		return
	}
	n.nextExpiry = n.now.Add(noteExpiryInterval)
	for id, k := range n.notes {
		if !n.now.Before(k.Expires) {
			n.noteDigest ^= noteDigestTerm(k)
			delete(n.notes, id)
		}
	}
}

func noteDigestTerm(k Note) uint64 {
	return mix(xxhash.Sum64String(k.ID) ^ uint64(k.Expires.UnixNano()))
}
