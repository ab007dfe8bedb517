package guard

import (
	"net/netip"
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/option"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Defaults of Config.
const (
	defaultMaxProven  = 50_000
	defaultProvenFor  = 10 * time.Minute
	defaultMaxNotes   = 1_000
	defaultMaxWaiting = 10_000
	// defaultSuspectFor is the time after a canary without an outcome in which a crash of its
	// server is blamed on it. Servers end canceled requests within it.
	defaultSuspectFor = 2 * time.Second
)

// Config holds the bounds of a guard. A zero field takes its default.
type Config struct {
	// MaxProven and ProvenFor bound the set of proven fingerprints.
	MaxProven int
	ProvenFor time.Duration
	// MaxNotes bounds the fingerprints with marks.
	MaxNotes int
	// MaxWaiting bounds the requests that wait for canaries.
	MaxWaiting int
	// SuspectFor is the time for which a canary without an outcome stays suspect.
	SuspectFor time.Duration
}

func (c Config) withDefaults() Config {
	c.MaxProven = option.Positive(c.MaxProven, defaultMaxProven)
	c.ProvenFor = option.Positive(c.ProvenFor, defaultProvenFor)
	c.MaxNotes = option.Positive(c.MaxNotes, defaultMaxNotes)
	c.MaxWaiting = option.Positive(c.MaxWaiting, defaultMaxWaiting)
	c.SuspectFor = option.Positive(c.SuspectFor, defaultSuspectFor)
	return c
}

// Action is what a request must do.
type Action int

// Actions of a request.
const (
	// Proceed means that the request may run on any number of servers.
	Proceed Action = iota + 1
	// RunCanary means that the request must first run on one server, for which Fits is true, and
	// report the end of that.
	RunCanary
	// Wait means that the request waits until a report on the canary returns its id.
	Wait
	// Refuse means that the request must not run.
	Refuse
)

// Decision is the answer to Begin.
type Decision struct {
	Action Action
	// Alone means that no other request may run on the server of the canary.
	Alone bool
	// Until is the time at which a refusal ends, zero when it is not known.
	Until time.Time
	// Reason is that of a refusal.
	Reason wire.Reason
}

// Request is what the guard must know of a request. ID is chosen by the user of the guard and is
// different for each request.
type Request[I comparable] struct {
	ID          I
	Fingerprint Fingerprint
	Service     string
	Kind        string
}

// Report is what follows from the end of a canary.
type Report[I comparable] struct {
	// Resume lists the requests that waited, in the order of their arrival. Each must call Begin
	// again.
	Resume []I
	// Note, when it is not nil, has changed and goes to the peers.
	Note *Note
}

type canary[I comparable] struct {
	id      I
	alone   bool
	waiting []I
}

// Guard decides which requests run. It is not safe for concurrent use.
type Guard[I comparable] struct {
	config   Config
	proven   *Proven
	canaries map[Fingerprint]*canary[I]
	notes    map[Fingerprint]*Note
	suspects []suspect
	waiting  int
}

// New returns a guard that knows no fingerprint.
func New[I comparable](c Config) *Guard[I] {
	c = c.withDefaults()
	return &Guard[I]{
		config:   c,
		proven:   NewProven(c.MaxProven, c.ProvenFor),
		canaries: make(map[Fingerprint]*canary[I]),
		notes:    make(map[Fingerprint]*Note),
	}
}

// Begin decides on a request. After RunCanary, exactly one of Succeeded, Crashed and Ended must
// follow for its id.
func (g *Guard[I]) Begin(now time.Time, r Request[I]) Decision {
	f := r.Fingerprint
	n := g.note(now, f)
	crashes := 0
	if n != nil {
		crashes = len(n.Crashes)
		if q := n.QuarantinedUntil(); now.Before(q) {
			return Decision{Action: Refuse, Until: q, Reason: wire.ReasonQuarantine}
		}
	}
	if c := g.canaries[f]; c != nil {
		return g.wait(c, r.ID)
	}
	if crashes == 0 && g.proven.Has(now, f) {
		return Decision{Action: Proceed}
	}
	// Suspect canaries count as crashes until their servers have had time to fail. Otherwise a
	// caller with a short timeout could lose a server with each attempt.
	count, until := g.suspicions(now, f)
	if count > 0 && crashes+count >= crashLimit {
		return Decision{Action: Refuse, Until: until, Reason: wire.ReasonOverload}
	}
	alone := crashes+count > 0
	g.canaries[f] = &canary[I]{id: r.ID, alone: alone}
	return Decision{Action: RunCanary, Alone: alone}
}

func (g *Guard[I]) wait(c *canary[I], id I) Decision {
	if g.waiting >= g.config.MaxWaiting {
		return Decision{Action: Refuse, Reason: wire.ReasonOverload}
	}
	c.waiting = append(c.waiting, id)
	g.waiting++
	return Decision{Action: Wait}
}

// Succeeded records that a request has run without a crash. Only the success of a canary clears a
// mark.
func (g *Guard[I]) Succeeded(now time.Time, r Request[I]) Report[I] {
	f := r.Fingerprint
	n := g.note(now, f)
	if !g.isCanary(r) {
		if n == nil && g.proven.Has(now, f) {
			g.proven.Add(now, f)
		}
		return Report[I]{}
	}
	g.proven.Add(now, f)
	g.forgetSuspects(f)
	p := Report[I]{Resume: g.end(f)}
	if n != nil {
		n.clear(now)
		p.Note = n.copy()
	}
	return p
}

// Crashed records that the server crashed while it ran the request. A canary is marked. Any other
// request was one of several on the server and is only no longer proven.
func (g *Guard[I]) Crashed(now time.Time, r Request[I], server netip.AddrPort) Report[I] {
	f := r.Fingerprint
	g.proven.Remove(f)
	if !g.isCanary(r) {
		return Report[I]{}
	}
	return Report[I]{Resume: g.end(f), Note: g.mark(now, r.Fingerprint, r.Service, r.Kind, server)}
}

// Ended records that a canary ended without an outcome. If the server may have run it, the canary
// stays suspect for a time. A server that is not valid means that nothing was sent.
func (g *Guard[I]) Ended(now time.Time, r Request[I], server netip.AddrPort, mayHaveRun bool) Report[I] {
	if !g.isCanary(r) {
		return Report[I]{}
	}
	if mayHaveRun && server.IsValid() {
		g.suspect(now, r, server)
	}
	return Report[I]{Resume: g.end(r.Fingerprint)}
}

// Leave removes a request that waits, for instance at its deadline.
func (g *Guard[I]) Leave(r Request[I]) {
	c := g.canaries[r.Fingerprint]
	if c == nil {
		return
	}
	if i := slices.Index(c.waiting, r.ID); i >= 0 {
		c.waiting = slices.Delete(c.waiting, i, i+1)
		g.waiting--
	}
}

// ClearProven makes every fingerprint run a canary again, for instance after a new index version.
func (g *Guard[I]) ClearProven() {
	g.proven.Clear()
}

func (g *Guard[I]) isCanary(r Request[I]) bool {
	c := g.canaries[r.Fingerprint]
	return c != nil && c.id == r.ID
}

func (g *Guard[I]) end(f Fingerprint) []I {
	c := g.canaries[f]
	delete(g.canaries, f)
	g.waiting -= len(c.waiting)
	return c.waiting
}
