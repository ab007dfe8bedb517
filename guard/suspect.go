package guard

import (
	"net/netip"
	"slices"
	"time"
)

// suspect is a canary that ended without an outcome on a server that may still be running it.
type suspect struct {
	fingerprint Fingerprint
	service     string
	kind        string
	server      netip.AddrPort
	exclusive   bool
	until       time.Time
}

func (g *Guard[I]) addSuspect(now time.Time, r Request[I], server netip.AddrPort) {
	g.suspects = slices.DeleteFunc(g.suspects, func(s suspect) bool { return !now.Before(s.until) })
	// MaxMarks also limits the number of suspects. The oldest one is evicted.
	if len(g.suspects) >= g.config.MaxMarks {
		g.suspects = slices.Delete(g.suspects, 0, 1)
	}
	g.suspects = append(g.suspects, suspect{
		fingerprint: r.Fingerprint, service: r.Service, kind: r.Kind, server: server,
		exclusive: g.canaries[r.Fingerprint].exclusive, until: now.Add(g.config.SuspectFor),
	})
}

// suspectCount returns the number of suspects with the fingerprint and the time at which the first of
// them expires.
func (g *Guard[I]) suspectCount(now time.Time, f Fingerprint) (count int, until time.Time) {
	for _, s := range g.suspects {
		if s.fingerprint != f || !now.Before(s.until) {
			continue
		}
		if count == 0 || s.until.Before(until) {
			until = s.until
		}
		count++
	}
	return count, until
}

// CanRunCanary reports whether a canary may run on the server. It must not run on a server that may still be running
// an earlier canary if both have the same fingerprint, which would have the same crash recorded twice. Nor may
// it if one of the two runs alone, because a fingerprint with an earlier crash or suspect could be quarantined
// for a crash that the other caused.
func (g *Guard[I]) CanRunCanary(now time.Time, f Fingerprint, exclusive bool, server netip.AddrPort) bool {
	return !slices.ContainsFunc(g.suspects, func(s suspect) bool {
		return s.server == server && now.Before(s.until) &&
			(exclusive || s.exclusive || s.fingerprint == f)
	})
}

func (g *Guard[I]) removeSuspects(f Fingerprint) {
	g.suspects = slices.DeleteFunc(g.suspects, func(s suspect) bool { return s.fingerprint == f })
}

// ServerCrashed records a crash of the server for each suspect: a canary that ended without an outcome and that
// the server may still have been running. It returns the changed marks for the peers. If there are several
// suspects, each of them may have caused the crash. CanRunCanary allows that only if their fingerprints differ and none
// has to run alone, that is, none had an earlier crash or suspect when it began.
func (g *Guard[I]) ServerCrashed(now time.Time, server netip.AddrPort) []*PoisonMark {
	var marks []*PoisonMark
	kept := g.suspects[:0]
	for _, s := range g.suspects {
		if s.server != server || !now.Before(s.until) {
			kept = append(kept, s)
			continue
		}
		marks = append(marks, g.recordCrash(now, s.fingerprint, s.service, s.kind, server))
	}
	g.suspects = kept
	return marks
}

func (g *Guard[I]) recordCrash(now time.Time, f Fingerprint, service, kind string, server netip.AddrPort) *PoisonMark {
	m := g.mark(now, f)
	if m == nil {
		g.evictMark()
		m = &PoisonMark{Fingerprint: f, Service: service, Kind: kind}
		g.marks[f] = m
	}
	m.addCrash(now, server)
	return m.copy()
}

// Merge applies a mark from a peer and reports whether it changed anything. Crashes up to the later of
// both Cleared times are dropped. The expiry is recomputed; that of the received mark is ignored.
func (g *Guard[I]) Merge(now time.Time, m PoisonMark) bool {
	if !m.valid(now) {
		return false
	}
	known := g.mark(now, m.Fingerprint)
	merged := PoisonMark{Fingerprint: m.Fingerprint, Service: m.Service, Kind: m.Kind}
	if known != nil {
		// Merge into a copy, which is compared with the known mark below.
		merged = *known
	}
	merged.merge(m.Crashes, m.Cleared)
	if !now.Before(merged.Expires) || known != nil && known.equal(&merged) {
		return false
	}
	if known == nil {
		g.evictMark()
	}
	if len(merged.Crashes) > 0 {
		// The fingerprint needs a canary again, also after the mark has expired or been evicted.
		g.successes.Remove(m.Fingerprint)
	}
	g.marks[m.Fingerprint] = &merged
	return true
}

// mark returns the unexpired mark of a fingerprint, or nil.
func (g *Guard[I]) mark(now time.Time, f Fingerprint) *PoisonMark {
	m := g.marks[f]
	if m != nil && !now.Before(m.Expires) {
		delete(g.marks, f)
		return nil
	}
	return m
}

// evictMark deletes a mark if the limit is reached: the one with the fewest crashes, and among these the
// one that expires first.
func (g *Guard[I]) evictMark() {
	if len(g.marks) < g.config.MaxMarks {
		return
	}
	var victim *PoisonMark
	for _, n := range g.marks {
		if victim == nil || lessMark(n, victim) {
			victim = n
		}
	}
	delete(g.marks, victim.Fingerprint)
}

// lessMark reports whether a is evicted before b.
func lessMark(a, b *PoisonMark) bool {
	if len(a.Crashes) != len(b.Crashes) {
		return len(a.Crashes) < len(b.Crashes)
	}
	if !a.Expires.Equal(b.Expires) {
		return a.Expires.Before(b.Expires)
	}
	return a.Fingerprint < b.Fingerprint
}

// Expire deletes expired marks, successes and suspects. It may be called at any interval.
func (g *Guard[I]) Expire(now time.Time) {
	g.successes.Expire(now)
	for f := range g.marks {
		g.mark(now, f)
	}
	g.suspects = slices.DeleteFunc(g.suspects, func(s suspect) bool { return !now.Before(s.until) })
}

// List returns the unexpired marks for operators and for new peers. Those with the most crashes, which
// have the longest quarantine, come first.
func (g *Guard[I]) List(now time.Time) []PoisonMark {
	list := make([]PoisonMark, 0, len(g.marks))
	for _, n := range g.marks {
		if now.Before(n.Expires) {
			list = append(list, *n)
		}
	}
	slices.SortFunc(list, func(a, b PoisonMark) int {
		if lessMark(&a, &b) {
			return 1
		}
		return -1
	})
	return list
}

func (m *PoisonMark) copy() *PoisonMark {
	v := *m
	return &v
}

func (m *PoisonMark) equal(o *PoisonMark) bool {
	return m.Cleared.Equal(o.Cleared) && slices.EqualFunc(m.Crashes, o.Crashes, func(a, b Crash) bool {
		return a.Server == b.Server && a.At.Equal(b.At)
	})
}
