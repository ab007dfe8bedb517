package guard

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// crashWindow is the longest time between a broken connection and the first refused connection
	// for which the crash of the server is attributed to the request that it was running.
	crashWindow = 3 * time.Second
	// refusalThreshold is the number of crashed servers at which a request is refused.
	refusalThreshold = 2
	// refusalPeriod is the retention of crash records and the duration of the refusal of a request that has
	// crashed servers in two incidents. After one incident the request is refused only for
	// initialRefusalPeriod, because many servers may have crashed together for another reason; that is longer
	// than it takes to propagate crash records between nodes.
	refusalPeriod        = 10 * time.Minute
	initialRefusalPeriod = 5 * time.Second
	// incidentWindow is the longest time from the first crash of an incident to its last: a request is retried
	// on other servers as long as its caller waits.
	incidentWindow = 2 * time.Second
	// maxSuspectFingerprints bounds the fingerprints with crash records, and maxInterruptedRuns the records of
	// broken connections.
	maxSuspectFingerprints = 10_000
	maxInterruptedRuns     = 10_000
)

// PoisonDetector detects poison requests, which crash each server that runs them. The crash of a server is attributed
// to every request that it was running. A success on any server deletes the crash records of a request, so
// that a request which was only in flight during an unrelated crash is soon cleared. It is not safe for
// concurrent use.
type PoisonDetector struct {
	interrupted []interruptedRun
	crashes     map[Fingerprint][]Crash
	cleared     map[Fingerprint]time.Time
}

// interruptedRun is a connection that broke while a server was running a request.
type interruptedRun struct {
	request Fingerprint
	server  netip.AddrPort
	at      time.Time
}

// CrashNotice is the message that reports a crash to other nodes.
type CrashNotice struct {
	Fingerprint Fingerprint `json:"Fingerprint"`
	Crash       Crash       `json:"Crash"`
}

// NewPoisonDetector returns a detector without crash records.
func NewPoisonDetector() *PoisonDetector {
	return &PoisonDetector{crashes: make(map[Fingerprint][]Crash), cleared: make(map[Fingerprint]time.Time)}
}

// ConnectionBroken records that a connection broke while the server may have been running the request.
func (d *PoisonDetector) ConnectionBroken(now time.Time, f Fingerprint, server netip.AddrPort) {
	d.interrupted = slices.DeleteFunc(d.interrupted, func(r interruptedRun) bool { return now.Sub(r.at) > crashWindow })
	if len(d.interrupted) < maxInterruptedRuns {
		d.interrupted = append(d.interrupted, interruptedRun{f, server, now})
	}
}

// ConnectionRefused records that the server refuses connections. It attributes the crash to the requests whose
// connections to the server broke within crashWindow, and returns the new crash records for the other nodes.
func (d *PoisonDetector) ConnectionRefused(now time.Time, server netip.AddrPort) []CrashNotice {
	var notices []CrashNotice
	d.interrupted = slices.DeleteFunc(d.interrupted, func(r interruptedRun) bool {
		if r.server != server {
			return false
		}
		n := CrashNotice{Fingerprint: r.request, Crash: Crash{Server: server, At: r.at}}
		if now.Sub(r.at) <= crashWindow && d.Merge(now, n) {
			notices = append(notices, n)
		}
		return true
	})
	return notices
}

// Merge adds a crash that this node or a peer has observed, and reports whether it is new.
func (d *PoisonDetector) Merge(now time.Time, n CrashNotice) bool {
	if now.Sub(n.Crash.At) > refusalPeriod || !n.Crash.At.After(d.cleared[n.Fingerprint]) {
		return false
	}
	list := d.crashes[n.Fingerprint]
	duplicate := slices.ContainsFunc(list, func(c Crash) bool {
		// Once the request has been refused, a further crash of the same server counts if it belongs to another
		// incident.
		return c.Server == n.Crash.Server && (len(list) < refusalThreshold || n.Crash.At.Sub(c.At) <= incidentWindow)
	})
	if duplicate {
		return false
	}
	if list == nil && len(d.crashes) >= maxSuspectFingerprints {
		return false
	}
	d.crashes[n.Fingerprint] = append(list, n.Crash)
	return true
}

// Succeeded deletes the crash records of a request. If there were any, crashes up to now that are reported
// later are ignored.
func (d *PoisonDetector) Succeeded(now time.Time, f Fingerprint) {
	if d.crashes[f] != nil {
		delete(d.crashes, f)
		d.cleared[f] = now
	}
}

// RefusedFor returns the time for which the request is still refused because it has crashed servers, or 0 when
// it may run.
func (d *PoisonDetector) RefusedFor(now time.Time, f Fingerprint) time.Duration {
	list := d.crashes[f]
	if list == nil {
		return 0
	}
	list = slices.DeleteFunc(list, func(c Crash) bool { return now.Sub(c.At) > refusalPeriod })
	if len(list) == 0 {
		delete(d.crashes, f)
		return 0
	}
	d.crashes[f] = list
	if len(list) < refusalThreshold {
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
	end := last.Add(initialRefusalPeriod)
	if last.Sub(first) > incidentWindow {
		end = last.Add(refusalPeriod)
	}
	return max(0, end.Sub(now))
}

// Expire deletes records older than refusalPeriod. It may be called at any interval.
func (d *PoisonDetector) Expire(now time.Time) {
	for f := range d.crashes {
		d.RefusedFor(now, f)
	}
	for f, at := range d.cleared {
		if now.Sub(at) > refusalPeriod {
			delete(d.cleared, f)
		}
	}
}
