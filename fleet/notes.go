package fleet

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// MaxNote is the largest note in bytes, as JSON and as CBOR.
	MaxNote = 800
	// MaxNotes is the number of notes that a node keeps. Further ones are refused.
	MaxNotes = 4096
	// expiryEvery is the time between two searches for expired notes.
	expiryEvery = time.Second
)

// Publish floods a note to all members. It fails when the note is larger than MaxNote, has
// expired, or is one too many.
func (n *Node) Publish(now time.Time, k Note) ([]Output, error) {
	n.see(now)
	if _, err := CBOR.marshal(k); err != nil {
		return nil, errors.Wrap(err, "fleet: publish")
	}
	if size := max(JSON.size(k), CBOR.size(k)); size > MaxNote {
		return nil, errors.Newf("fleet: note %s has %d bytes, limit %d", k.ID, size, MaxNote)
	}
	if !n.now.Before(k.Expires) {
		return nil, errors.Newf("fleet: note %s has expired", k.ID)
	}
	if _, known := n.notes[k.ID]; !known && len(n.notes) >= MaxNotes {
		return nil, errors.Newf("fleet: %d notes, limit %d", len(n.notes), MaxNotes)
	}
	n.note(netip.AddrPort{}, k)
	n.flush()
	return n.take(), nil
}

// note keeps a note that is news and floods it on.
func (n *Node) note(from netip.AddrPort, k Note) {
	old, known := n.notes[k.ID]
	if !n.now.Before(k.Expires) || known && !k.Expires.After(old.Expires) {
		return
	}
	if !known && len(n.notes) >= MaxNotes {
		return
	}
	if known {
		n.noteDigest ^= noteMark(old)
	}
	n.notes[k.ID] = k
	n.noteDigest ^= noteMark(k)
	n.floodNote(k, from)
	n.emit(Event{Kind: NoteReceived, Peer: from, Note: k})
}

func (n *Node) expireNotes() {
	if len(n.notes) == 0 || n.now.Before(n.nextExpiry) {
		return
	}
	n.nextExpiry = n.now.Add(expiryEvery)
	for id, k := range n.notes {
		if !n.now.Before(k.Expires) {
			n.noteDigest ^= noteMark(k)
			delete(n.notes, id)
		}
	}
}

func noteMark(k Note) uint64 {
	return mix(xxhash.Sum64String(k.ID) ^ uint64(k.Expires.UnixNano()))
}
