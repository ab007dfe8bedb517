package guard

import (
	"net/netip"
	"slices"
	"time"
)

// suspect is a canary that ended without an outcome on a server that may still run it.
type suspect struct {
	fingerprint Fingerprint
	service     string
	kind        string
	server      netip.AddrPort
	alone       bool
	until       time.Time
}

func (g *Guard[I]) suspect(now time.Time, r Request[I], server netip.AddrPort) {
	g.suspects = slices.DeleteFunc(g.suspects, func(s suspect) bool { return !now.Before(s.until) })
	if len(g.suspects) >= g.config.MaxNotes {
		g.suspects = slices.Delete(g.suspects, 0, 1)
	}
	g.suspects = append(g.suspects, suspect{
		fingerprint: r.Fingerprint, service: r.Service, kind: r.Kind, server: server,
		alone: g.canaries[r.Fingerprint].alone, until: now.Add(g.config.SuspectFor),
	})
}

// suspicions returns the number of suspect canaries of a fingerprint and the first time at which
// one of them ends.
func (g *Guard[I]) suspicions(now time.Time, f Fingerprint) (count int, until time.Time) {
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

// Fits reports whether a canary may run on the server. A crash of a server that may still run an
// earlier canary could not be blamed on one of them: the same fingerprint would be marked twice,
// and a marked one could be convicted by a crash that another caused.
func (g *Guard[I]) Fits(now time.Time, f Fingerprint, alone bool, server netip.AddrPort) bool {
	return !slices.ContainsFunc(g.suspects, func(s suspect) bool {
		return s.server == server && now.Before(s.until) &&
			(alone || s.alone || s.fingerprint == f)
	})
}

func (g *Guard[I]) forgetSuspects(f Fingerprint) {
	g.suspects = slices.DeleteFunc(g.suspects, func(s suspect) bool { return s.fingerprint == f })
}

// ServerCrashed records that a server was found to have crashed, by whatever request. It marks
// the canaries that ended on it shortly before without an outcome, and returns their notes.
func (g *Guard[I]) ServerCrashed(now time.Time, server netip.AddrPort) []*Note {
	var notes []*Note
	kept := g.suspects[:0]
	for _, s := range g.suspects {
		if s.server != server || !now.Before(s.until) {
			kept = append(kept, s)
			continue
		}
		notes = append(notes, g.mark(now, s.fingerprint, s.service, s.kind, server))
	}
	g.suspects = kept
	return notes
}

func (g *Guard[I]) mark(now time.Time, f Fingerprint, service, kind string, server netip.AddrPort) *Note {
	n := g.note(now, f)
	if n == nil {
		g.makeRoom()
		n = &Note{Fingerprint: f, Service: service, Kind: kind}
		g.notes[f] = n
	}
	n.crash(now, server)
	return n.copy()
}

// Merge includes a note from a peer and reports whether it changed anything.
func (g *Guard[I]) Merge(now time.Time, n Note) bool {
	if !n.sane(now) {
		return false
	}
	own := g.note(now, n.Fingerprint)
	v := Note{Fingerprint: n.Fingerprint, Service: n.Service, Kind: n.Kind}
	if own != nil {
		v = *own
	}
	v.add(n.Crashes, n.Cleared)
	if !now.Before(v.Expires) || own != nil && own.equal(&v) {
		return false
	}
	if own == nil {
		g.makeRoom()
	}
	if len(v.Crashes) > 0 {
		g.proven.Remove(n.Fingerprint)
	}
	g.notes[n.Fingerprint] = &v
	return true
}

// note returns the note of a fingerprint that is in effect, or nil.
func (g *Guard[I]) note(now time.Time, f Fingerprint) *Note {
	n := g.notes[f]
	if n != nil && !now.Before(n.Expires) {
		delete(g.notes, f)
		return nil
	}
	return n
}

// makeRoom drops the note that matters least when there are too many: one with the fewest
// crashes, and among these the one that expires first.
func (g *Guard[I]) makeRoom() {
	if len(g.notes) < g.config.MaxNotes {
		return
	}
	var least *Note
	for _, n := range g.notes {
		if least == nil || lessNote(n, least) {
			least = n
		}
	}
	delete(g.notes, least.Fingerprint)
}

func lessNote(a, b *Note) bool {
	if len(a.Crashes) != len(b.Crashes) {
		return len(a.Crashes) < len(b.Crashes)
	}
	if !a.Expires.Equal(b.Expires) {
		return a.Expires.Before(b.Expires)
	}
	return a.Fingerprint < b.Fingerprint
}

// Expire drops what is no longer in effect. It may be called at any interval.
func (g *Guard[I]) Expire(now time.Time) {
	g.proven.Expire(now)
	for f := range g.notes {
		g.note(now, f)
	}
	g.suspects = slices.DeleteFunc(g.suspects, func(s suspect) bool { return !now.Before(s.until) })
}

// List returns the notes in effect for operators and for new peers, with those in quarantine the
// longest first.
func (g *Guard[I]) List(now time.Time) []Note {
	list := make([]Note, 0, len(g.notes))
	for _, n := range g.notes {
		if now.Before(n.Expires) {
			list = append(list, *n)
		}
	}
	slices.SortFunc(list, func(a, b Note) int {
		if lessNote(&a, &b) {
			return 1
		}
		return -1
	})
	return list
}

func (n *Note) copy() *Note {
	v := *n
	return &v
}

func (n *Note) equal(o *Note) bool {
	return n.Cleared.Equal(o.Cleared) && slices.EqualFunc(n.Crashes, o.Crashes, func(a, b Crash) bool {
		return a.Server == b.Server && a.At.Equal(b.At)
	})
}
