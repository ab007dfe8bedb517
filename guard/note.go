package guard

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// markLifetime is the time for which a mark lasts after the crash or the quarantine.
	markLifetime = 1 * time.Hour
	// quarantineTime is the first quarantine. Each further crash doubles it.
	quarantineTime = 10 * time.Minute
	// crashLimit is the number of crashes that leads to quarantine.
	crashLimit = 2
	// maxCrashes bounds the crashes that are kept for a fingerprint, so that a note fits into a
	// datagram of 1,200 bytes with other content. It bounds a quarantine to 160 min.
	maxCrashes = 6
	// maxSkew is the most by which the time of a note may lie ahead of the own clock.
	maxSkew = 1 * time.Minute
)

// Crash is one crash of a server that was running a canary.
type Crash struct {
	Server netip.AddrPort `json:"Server"`
	At     time.Time      `json:"At"`
}

// Note is what a node knows of a fingerprint that has crashed servers. Nodes pass notes to each
// other; merging them in any order gives the same state.
type Note struct {
	Fingerprint Fingerprint `json:"Fingerprint"`
	Service     string      `json:"Service"`
	Kind        string      `json:"Kind"`
	// Crashes are the crashes since the last success, oldest first.
	Crashes []Crash `json:"Crashes,omitempty"`
	// Cleared is the time of the last success, which makes older crashes void.
	Cleared time.Time `json:"Cleared,omitzero"`
	// Expires is the time from which on the note has no effect.
	Expires time.Time `json:"Expires"`
}

// latest returns the latest time in the note.
func (n *Note) latest() time.Time {
	if last := len(n.Crashes) - 1; last >= 0 {
		return n.Crashes[last].At
	}
	return n.Cleared
}

// crash includes a crash that was seen now. It comes after all that the note holds, even if the
// clock of a peer is ahead.
func (n *Note) crash(now time.Time, server netip.AddrPort) {
	if last := n.latest(); !now.After(last) {
		now = last.Add(1)
	}
	n.add([]Crash{{Server: server, At: now}}, time.Time{})
}

// clear includes a success that was seen now, which makes all known crashes void.
func (n *Note) clear(now time.Time) {
	if last := n.latest(); last.After(now) {
		now = last
	}
	n.add(nil, now)
}

// QuarantinedUntil returns the end of the quarantine, or the zero time without one.
func (n *Note) QuarantinedUntil() time.Time {
	count := len(n.Crashes)
	if count < crashLimit {
		return time.Time{}
	}
	return n.Crashes[count-1].At.Add(quarantineTime << (count - crashLimit))
}

// add includes crashes and a success, and derives the expiry.
func (n *Note) add(crashes []Crash, cleared time.Time) {
	if cleared.After(n.Cleared) {
		n.Cleared = cleared
	}
	// A copy keeps notes that were handed out unchanged.
	all := slices.Concat(n.Crashes, crashes)
	all = slices.DeleteFunc(all, func(c Crash) bool { return !c.At.After(n.Cleared) })
	slices.SortFunc(all, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), a.Server.Compare(b.Server))
	})
	all = slices.CompactFunc(all, func(a, b Crash) bool { return a.At.Equal(b.At) && a.Server == b.Server })
	n.Crashes = all[max(0, len(all)-maxCrashes):]
	last := n.latest()
	if q := n.QuarantinedUntil(); q.After(last) {
		last = q
	}
	n.Expires = last.Add(markLifetime)
}

// sane reports whether the note can be merged: its times must not lie ahead of the own clock.
func (n *Note) sane(now time.Time) bool {
	limit := now.Add(maxSkew)
	if len(n.Crashes) > maxCrashes || n.Cleared.After(limit) {
		return false
	}
	return !slices.ContainsFunc(n.Crashes, func(c Crash) bool { return c.At.After(limit) })
}
