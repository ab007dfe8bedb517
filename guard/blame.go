package guard

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// blameTime is the time between a broken connection and the first refused one within which the
	// server counts as crashed by what it was running.
	blameTime = 3 * time.Second
	// crashesToRefuse is the number of servers that a request may crash before it is refused.
	crashesToRefuse = 2
	// refuseTime is how long a crash is remembered, and a request refused that has crashed servers at two
	// moments. After one moment it is refused for firstRefuse, as many servers may have crashed together
	// for another reason; the time is above that in which nodes tell each other of crashes.
	refuseTime  = 10 * time.Minute
	firstRefuse = 5 * time.Second
	// momentTime is the longest time from the first crash of a moment to its last: a request is sent to
	// other servers again as long as its caller waits.
	momentTime = 2 * time.Second
	// maxBlamed bounds the requests that are remembered, and maxBroken the broken connections.
	maxBlamed = 10_000
	maxBroken = 10_000
)

// Blame finds requests that crash each server which runs them. A request is blamed for the crash of a
// server that was running it, and cleared when it succeeds anywhere, so that a request which was only
// beside a crash is soon cleared. It is not safe for concurrent use.
type Blame struct {
	broken  []brokenRun
	blamed  map[Fingerprint][]Crash
	cleared map[Fingerprint]time.Time
}

// brokenRun is a connection that broke while a server was running a request.
type brokenRun struct {
	request Fingerprint
	server  netip.AddrPort
	at      time.Time
}

// CrashNote tells other nodes of a crash.
type CrashNote struct {
	Fingerprint Fingerprint `json:"Fingerprint"`
	Crash       Crash       `json:"Crash"`
}

// NewBlame returns an empty record.
func NewBlame() *Blame {
	return &Blame{blamed: make(map[Fingerprint][]Crash), cleared: make(map[Fingerprint]time.Time)}
}

// Broke records that a connection broke while the server may have been running the request.
func (b *Blame) Broke(now time.Time, f Fingerprint, server netip.AddrPort) {
	b.broken = slices.DeleteFunc(b.broken, func(r brokenRun) bool { return now.Sub(r.at) > blameTime })
	if len(b.broken) < maxBroken {
		b.broken = append(b.broken, brokenRun{f, server, now})
	}
}

// Down records that the server refuses connections, and returns what other nodes should know: it has
// crashed with the requests whose connections have just broken.
func (b *Blame) Down(now time.Time, server netip.AddrPort) []CrashNote {
	var notes []CrashNote
	b.broken = slices.DeleteFunc(b.broken, func(r brokenRun) bool {
		if r.server != server {
			return false
		}
		n := CrashNote{Fingerprint: r.request, Crash: Crash{Server: server, At: r.at}}
		if now.Sub(r.at) <= blameTime && b.Merge(now, n) {
			notes = append(notes, n)
		}
		return true
	})
	return notes
}

// Merge includes a crash that this node or another one has seen, and reports whether it is new.
func (b *Blame) Merge(now time.Time, n CrashNote) bool {
	if now.Sub(n.Crash.At) > refuseTime || !n.Crash.At.After(b.cleared[n.Fingerprint]) {
		return false
	}
	list := b.blamed[n.Fingerprint]
	again := slices.ContainsFunc(list, func(c Crash) bool {
		// Once the request has been refused, a server that it crashes again is at another moment.
		return c.Server == n.Crash.Server && (len(list) < crashesToRefuse || n.Crash.At.Sub(c.At) <= momentTime)
	})
	if again {
		return false
	}
	if list == nil && len(b.blamed) >= maxBlamed {
		return false
	}
	b.blamed[n.Fingerprint] = append(list, n.Crash)
	return true
}

// Succeeded clears a request.
func (b *Blame) Succeeded(now time.Time, f Fingerprint) {
	if b.blamed[f] != nil {
		delete(b.blamed, f)
		b.cleared[f] = now
	}
}

// Refuses returns how long the request is not to be run again because it has crashed servers, 0 when it
// may run.
func (b *Blame) Refuses(now time.Time, f Fingerprint) time.Duration {
	list := b.blamed[f]
	if list == nil {
		return 0
	}
	list = slices.DeleteFunc(list, func(c Crash) bool { return now.Sub(c.At) > refuseTime })
	if len(list) == 0 {
		delete(b.blamed, f)
		return 0
	}
	b.blamed[f] = list
	if len(list) < crashesToRefuse {
		return 0
	}
	first, last := list[0].At, list[0].At
	for _, c := range list {
		if c.At.Before(first) {
			first = c.At
		}
		if c.At.After(last) {
			last = c.At
		}
	}
	end := last.Add(firstRefuse)
	if last.Sub(first) > momentTime {
		end = last.Add(refuseTime)
	}
	return max(0, end.Sub(now))
}

// Expire forgets what is long past. It may be called at any interval.
func (b *Blame) Expire(now time.Time) {
	for f := range b.blamed {
		b.Refuses(now, f)
	}
	for f, at := range b.cleared {
		if now.Sub(at) > refuseTime {
			delete(b.cleared, f)
		}
	}
}
