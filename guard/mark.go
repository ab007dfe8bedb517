package guard

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// markLifetime is the time from the last crash or success, or from the end of the quarantine if that is
	// later, to the expiry of the mark.
	markLifetime = 1 * time.Hour
	// quarantineTime is the duration of the first quarantine. Each further crash doubles it.
	quarantineTime = 10 * time.Minute
	// quarantineThreshold is the number of crashes at which a fingerprint is quarantined.
	quarantineThreshold = 2
	// maxCrashes bounds the crashes in a mark, so that the mark and other content fit into a datagram of
	// 1,200 bytes. It limits a quarantine to 160 min.
	maxCrashes = 6
	// maxClockSkew bounds how far the times in a mark may be ahead of the local clock.
	maxClockSkew = 1 * time.Minute
)

// Crash is one crash of a server that was running a request.
type Crash struct {
	Server netip.AddrPort `json:"Server"`
	At     time.Time      `json:"At"`
	// Opened is the time at which the connection was opened on which the request ran, zero if it is not known. A process
	// accepts no connection after its end, so that a crash with a later Opened is that of another process.
	Opened time.Time `json:"Opened,omitzero"`
}

// PoisonMark is the crash record of a fingerprint. Nodes replicate marks; merging is commutative: the order of
// arrival does not change the resulting state.
type PoisonMark struct {
	Fingerprint Fingerprint `json:"Fingerprint"`
	Service     string      `json:"Service"`
	Kind        string      `json:"Kind"`
	// Crashes are the crashes since the last success, oldest first.
	Crashes []Crash `json:"Crashes,omitempty"`
	// Cleared is the time of the last success. Crashes up to then do not count.
	Cleared time.Time `json:"Cleared,omitzero"`
	// Expires is the time from which the mark is ignored.
	Expires time.Time `json:"Expires"`
}

// latest returns the time of the last crash, or of the last success if there is no crash since.
func (m *PoisonMark) latest() time.Time {
	if last := len(m.Crashes) - 1; last >= 0 {
		return m.Crashes[last].At
	}
	return m.Cleared
}

// addCrash adds a crash that was observed now. Its time is set later than all others in the mark, because
// these may come from a peer whose clock is ahead of the local one.
func (m *PoisonMark) addCrash(now time.Time, server netip.AddrPort) {
	if last := m.latest(); !now.After(last) {
		now = last.Add(1)
	}
	m.merge([]Crash{{Server: server, At: now}}, time.Time{})
}

// clear adds a success that was observed now and voids all crashes in the mark.
func (m *PoisonMark) clear(now time.Time) {
	if last := m.latest(); last.After(now) {
		now = last
	}
	m.merge(nil, now)
}

// QuarantinedUntil returns the end of the quarantine, or the zero time if there are too few crashes for one.
func (m *PoisonMark) QuarantinedUntil() time.Time {
	count := len(m.Crashes)
	if count < quarantineThreshold {
		return time.Time{}
	}
	return m.Crashes[count-1].At.Add(quarantineTime << (count - quarantineThreshold))
}

// merge adds crashes and the time of a success, and recomputes the expiry.
func (m *PoisonMark) merge(crashes []Crash, cleared time.Time) {
	if cleared.After(m.Cleared) {
		m.Cleared = cleared
	}
	// Concat copies the list, because copies of the mark that were returned earlier share it.
	all := slices.Concat(m.Crashes, crashes)
	all = slices.DeleteFunc(all, func(c Crash) bool { return !c.At.After(m.Cleared) })
	slices.SortFunc(all, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), a.Server.Compare(b.Server))
	})
	all = slices.CompactFunc(all, func(a, b Crash) bool { return a.At.Equal(b.At) && a.Server == b.Server })
	m.Crashes = all[max(0, len(all)-maxCrashes):]
	last := m.latest()
	if q := m.QuarantinedUntil(); q.After(last) {
		last = q
	}
	m.Expires = last.Add(markLifetime)
}

// valid reports whether the mark may be merged: it must have at most maxCrashes crashes, and its times must
// not be ahead of the local clock by more than maxClockSkew.
func (m *PoisonMark) valid(now time.Time) bool {
	limit := now.Add(maxClockSkew)
	if len(m.Crashes) > maxCrashes || m.Cleared.After(limit) {
		return false
	}
	return !slices.ContainsFunc(m.Crashes, func(c Crash) bool { return c.At.After(limit) })
}
