package guard

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// crashWindow is the longest time between a broken connection and the first refused connection
	// for which the crash of the server is attributed to the request that it was running.
	crashWindow = 3 * time.Second
	// refusalThreshold is the number of crashed server processes at which a request is refused.
	refusalThreshold = 2
	// singleServerThreshold is the number of crashes at which a request that has crashed only one server is refused for
	// refusalPeriod. The server may have crashed for another reason, so it takes one more than with several servers.
	singleServerThreshold = 3
	// refusalPeriod is the retention of crash records and the duration of the refusal of a request that has
	// crashed servers in two incidents. After one incident the request is refused only for
	// initialRefusalPeriod and then tried, because many servers may have crashed together for another reason; that is
	// longer than it takes to propagate crash records between nodes.
	refusalPeriod        = 10 * time.Minute
	initialRefusalPeriod = 5 * time.Second
	// incidentWindow is the longest time from the first crash of an incident to its last: a request is retried
	// on other servers as long as its caller waits.
	incidentWindow = 2 * time.Second
	// maxSuspectFingerprints bounds the fingerprints with crash records, and maxInterruptedRuns the records of
	// broken connections.
	maxSuspectFingerprints = 10_000
	maxInterruptedRuns     = 10_000
	// maxCrashRecords bounds the crash records of one request. The newest are kept.
	maxCrashRecords = 32
)

// PoisonDetector detects poison requests, which crash each server that runs them. The crash of a server is attributed
// to every request that it was running. A success on any server deletes the crash records of a request, so
// that a request which was only in flight during an unrelated crash is soon cleared. Nodes exchange crashes and successes;
// the order in which a node merges them doesn't matter. A PoisonDetector is not safe for concurrent use.
type PoisonDetector struct {
	interrupted []interruptedRun
	// crashes holds the crashes of each request since its last success, oldest first.
	crashes map[Fingerprint][]Crash
	// cleared holds the last success of each request that had crash records.
	cleared map[Fingerprint]time.Time
	// trials holds the end of the trial of each request with crash records that is on trial.
	trials map[Fingerprint]time.Time
}

// interruptedRun is a connection that broke while a server was running a request.
type interruptedRun struct {
	request Fingerprint
	crash   Crash
}

// CrashNotice is the message that reports a crash to other nodes.
type CrashNotice struct {
	Fingerprint Fingerprint `json:"Fingerprint"`
	Crash       Crash       `json:"Crash"`
}

// ClearNotice is the message that reports to other nodes that a request with crash records has succeeded.
type ClearNotice struct {
	Fingerprint Fingerprint `json:"Fingerprint"`
	At          time.Time   `json:"At"`
}

// NewPoisonDetector returns a detector without crash records.
func NewPoisonDetector() *PoisonDetector {
	return &PoisonDetector{
		crashes: make(map[Fingerprint][]Crash), cleared: make(map[Fingerprint]time.Time), trials: make(map[Fingerprint]time.Time),
	}
}

// ConnectionBroken records that a connection, which was opened at the given time, broke while the server may have been
// running the request.
func (d *PoisonDetector) ConnectionBroken(now time.Time, f Fingerprint, server netip.AddrPort, opened time.Time) {
	d.interrupted = slices.DeleteFunc(d.interrupted, func(r interruptedRun) bool { return now.Sub(r.crash.At) > crashWindow })
	if len(d.interrupted) < maxInterruptedRuns {
		d.interrupted = append(d.interrupted, interruptedRun{f, Crash{Server: server, At: now, Opened: opened}})
	}
}

// ConnectionRefused records that the server refuses connections. It attributes the crash to the requests whose
// connections to the server broke within crashWindow, and returns the new crash records for the other nodes.
func (d *PoisonDetector) ConnectionRefused(now time.Time, server netip.AddrPort) []CrashNotice {
	var notices []CrashNotice
	d.interrupted = slices.DeleteFunc(d.interrupted, func(r interruptedRun) bool {
		if r.crash.Server != server {
			return false
		}
		n := CrashNotice{Fingerprint: r.request, Crash: r.crash}
		if now.Sub(r.crash.At) <= crashWindow && d.Merge(now, n) {
			notices = append(notices, n)
		}
		return true
	})
	return notices
}

// Merge adds a crash that this node or a peer has observed, and reports whether it is new.
func (d *PoisonDetector) Merge(now time.Time, n CrashNotice) bool {
	if now.Sub(n.Crash.At) > refusalPeriod || n.Crash.At.Sub(now) > maxClockSkew || !n.Crash.At.After(d.cleared[n.Fingerprint]) {
		return false
	}
	list := d.crashes[n.Fingerprint]
	i, known := slices.BinarySearchFunc(list, n.Crash, compareCrashes)
	if known || list == nil && len(d.crashes) >= maxSuspectFingerprints {
		return false
	}
	list = slices.Insert(list, i, n.Crash)
	d.crashes[n.Fingerprint] = list[max(0, len(list)-maxCrashRecords):]
	return true
}

func compareCrashes(a, b Crash) int {
	return cmp.Or(a.At.Compare(b.At), a.Server.Compare(b.Server), a.Opened.Compare(b.Opened))
}

// Succeeded deletes the crash records of a request. It returns a notice for the other nodes and true if there were any.
func (d *PoisonDetector) Succeeded(now time.Time, f Fingerprint) (ClearNotice, bool) {
	list := d.crashes[f]
	if list == nil {
		return ClearNotice{}, false
	}
	n := ClearNotice{Fingerprint: f, At: now}
	if last := list[len(list)-1].At; last.After(now) {
		// The crash comes from a node whose clock is ahead.
		n.At = last
	}
	return n, d.MergeClear(now, n)
}

// MergeClear deletes the crashes of a request up to a success that this node or a peer has observed, and reports whether
// it is newer than the last known success. Earlier crashes that are reported later are ignored.
func (d *PoisonDetector) MergeClear(now time.Time, n ClearNotice) bool {
	last, known := d.cleared[n.Fingerprint]
	if now.Sub(n.At) > refusalPeriod || n.At.Sub(now) > maxClockSkew || !n.At.After(last) {
		return false
	}
	if !known && len(d.cleared) >= maxSuspectFingerprints {
		return false
	}
	d.cleared[n.Fingerprint] = n.At
	d.keepCrashes(n.Fingerprint, func(c Crash) bool { return c.At.After(n.At) })
	return true
}

func (d *PoisonDetector) keepCrashes(f Fingerprint, keep func(Crash) bool) {
	list := slices.DeleteFunc(d.crashes[f], func(c Crash) bool { return !keep(c) })
	if len(list) == 0 {
		delete(d.crashes, f)
		delete(d.trials, f)
		return
	}
	d.crashes[f] = list
}

// RefusedFor returns the time for which the request is still refused because it has crashed servers, or 0 when
// it may run.
func (d *PoisonDetector) RefusedFor(now time.Time, f Fingerprint) time.Duration {
	if d.crashes[f] == nil {
		return 0
	}
	d.keepCrashes(f, func(c Crash) bool { return now.Sub(c.At) <= refusalPeriod })
	list := countedCrashes(d.crashes[f])
	if len(list) < refusalThreshold {
		return 0
	}
	first, last := list[0], list[len(list)-1]
	end := last.At.Add(initialRefusalPeriod)
	several := slices.ContainsFunc(list, func(c Crash) bool { return c.Server != first.Server })
	if last.At.Sub(first.At) > incidentWindow && (several || len(list) >= singleServerThreshold) {
		end = last.At.Add(refusalPeriod)
	}
	return max(0, end.Sub(now))
}

// countedCrashes returns the crashes that count against a request: one of each server process in each incident.
func countedCrashes(list []Crash) []Crash {
	var counted []Crash
	for _, c := range list {
		if !slices.ContainsFunc(counted, func(k Crash) bool {
			return k.Server == c.Server && !isLaterCrash(k, c, len(counted) >= refusalThreshold)
		}) {
			counted = append(counted, c)
		}
	}
	return counted
}

// isLaterCrash reports whether c is a crash of the server after k, in another incident and of another process. A node that
// was suspended may report the same crash late. If it is not known when the connection was opened, the processes are taken
// for different ones only if the request has been refused since.
func isLaterCrash(k, c Crash, refused bool) bool {
	if c.At.Sub(k.At) <= incidentWindow {
		return false
	}
	if c.Opened.IsZero() {
		return refused
	}
	return c.Opened.After(k.At)
}

// Expire deletes records older than refusalPeriod. It may be called at any interval.
func (d *PoisonDetector) Expire(now time.Time) {
	for f := range d.crashes {
		d.keepCrashes(f, func(c Crash) bool { return now.Sub(c.At) <= refusalPeriod })
	}
	for f, at := range d.cleared {
		if now.Sub(at) > refusalPeriod {
			delete(d.cleared, f)
		}
	}
}
