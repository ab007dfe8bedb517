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
	defaultMaxSuccesses    = 50_000
	defaultSuccessLifetime = 10 * time.Minute
	defaultMaxMarks        = 1_000
	defaultMaxWaiting      = 10_000
	// defaultSuspectFor is the time after the end of a canary without an outcome in which a crash of
	// its server is attributed to it. Servers end canceled requests within it.
	defaultSuspectFor = 2 * time.Second
)

// Config holds the limits of a guard. A zero field takes its default.
type Config struct {
	// MaxSuccesses and SuccessLifetime bound the set of fingerprints that have succeeded recently. These
	// run without a canary.
	MaxSuccesses    int
	SuccessLifetime time.Duration
	// MaxMarks bounds the fingerprints with a poison mark.
	MaxMarks int
	// MaxWaiting bounds the requests that wait for canaries; further ones are refused.
	MaxWaiting int
	// SuspectFor is the time for which a canary without an outcome is suspected of a crash of its server.
	SuspectFor time.Duration
}

func (c Config) withDefaults() Config {
	c.MaxSuccesses = option.Positive(c.MaxSuccesses, defaultMaxSuccesses)
	c.SuccessLifetime = option.Positive(c.SuccessLifetime, defaultSuccessLifetime)
	c.MaxMarks = option.Positive(c.MaxMarks, defaultMaxMarks)
	c.MaxWaiting = option.Positive(c.MaxWaiting, defaultMaxWaiting)
	c.SuspectFor = option.Positive(c.SuspectFor, defaultSuspectFor)
	return c
}

// Action is the next step of a request.
type Action int

// Actions of a request.
const (
	// Proceed means that the request may run on any number of servers.
	Proceed Action = iota + 1
	// RunCanary means that the request must first run on one server for which CanRunCanary returns true, and
	// that the result must be reported.
	RunCanary
	// Wait means that the request must wait until its ID is listed in Report.Resume.
	Wait
	// Refuse means that the request must not run.
	Refuse
)

// Decision is the result of Begin.
type Decision struct {
	Action Action
	// Exclusive means that no other request may run on the server of the canary.
	Exclusive bool
	// Until is the end of a refusal, or zero when it is not known.
	Until time.Time
	// Reason is the reason for a refusal, and empty otherwise.
	Reason wire.Reason
}

// Request describes a request to the guard. ID is chosen by the user of the guard and must be unique
// among the requests in flight.
type Request[I comparable] struct {
	ID          I
	Fingerprint Fingerprint
	Service     string
	Kind        string
}

// Report holds the consequences of the end of a canary.
type Report[I comparable] struct {
	// Resume lists the requests that waited for the canary, in the order of their arrival. Begin must
	// be called again for each.
	Resume []I
	// Mark is the changed poison mark, which must be sent to the peers, or nil.
	Mark *PoisonMark
}

type canary[I comparable] struct {
	id        I
	exclusive bool
	waiting   []I
}

// Guard decides whether a request may run, must run as a canary, must wait or is refused. It is not safe
// for concurrent use.
type Guard[I comparable] struct {
	config    Config
	successes *RecentSuccesses
	canaries  map[Fingerprint]*canary[I]
	marks     map[Fingerprint]*PoisonMark
	suspects  []suspect
	waiting   int
}

// New returns a guard without marks and without recorded successes.
func New[I comparable](c Config) *Guard[I] {
	c = c.withDefaults()
	return &Guard[I]{
		config:    c,
		successes: NewRecentSuccesses(c.MaxSuccesses, c.SuccessLifetime),
		canaries:  make(map[Fingerprint]*canary[I]),
		marks:     make(map[Fingerprint]*PoisonMark),
	}
}

// Begin decides how a request proceeds. After RunCanary, exactly one of Succeeded, Crashed and CanaryEnded must
// be called for its ID.
func (g *Guard[I]) Begin(now time.Time, r Request[I]) Decision {
	f := r.Fingerprint
	m := g.mark(now, f)
	crashes := 0
	if m != nil {
		crashes = len(m.Crashes)
		if q := m.QuarantinedUntil(); now.Before(q) {
			return Decision{Action: Refuse, Until: q, Reason: wire.ReasonQuarantine}
		}
	}
	if c := g.canaries[f]; c != nil {
		return g.enqueue(c, r.ID)
	}
	if crashes == 0 && g.successes.Has(now, f) {
		return Decision{Action: Proceed}
	}
	// Suspects count as crashes until SuspectFor has passed, the time in which their servers may still
	// crash. Otherwise a caller with a short timeout could crash a server with each attempt.
	count, until := g.suspectCount(now, f)
	if count > 0 && crashes+count >= quarantineThreshold {
		return Decision{Action: Refuse, Until: until, Reason: wire.ReasonOverload}
	}
	exclusive := crashes+count > 0
	g.canaries[f] = &canary[I]{id: r.ID, exclusive: exclusive}
	return Decision{Action: RunCanary, Exclusive: exclusive}
}

func (g *Guard[I]) enqueue(c *canary[I], id I) Decision {
	if g.waiting >= g.config.MaxWaiting {
		return Decision{Action: Refuse, Reason: wire.ReasonOverload}
	}
	c.waiting = append(c.waiting, id)
	g.waiting++
	return Decision{Action: Wait}
}

// Succeeded records that a request has run without a crash. Only the success of a canary clears the crashes
// of a mark.
func (g *Guard[I]) Succeeded(now time.Time, r Request[I]) Report[I] {
	f := r.Fingerprint
	m := g.mark(now, f)
	if !g.isCanary(r) {
		if m == nil && g.successes.Has(now, f) {
			g.successes.Add(now, f)
		}
		return Report[I]{}
	}
	g.successes.Add(now, f)
	g.removeSuspects(f)
	p := Report[I]{Resume: g.endCanary(f)}
	if m != nil {
		m.clear(now)
		p.Mark = m.copy()
	}
	return p
}

// Crashed records that the server crashed while it ran the request. A canary gets a crash in its mark. Any
// other request may have shared the server with the cause of the crash: it only needs a canary again.
func (g *Guard[I]) Crashed(now time.Time, r Request[I], server netip.AddrPort) Report[I] {
	f := r.Fingerprint
	g.successes.Remove(f)
	if !g.isCanary(r) {
		return Report[I]{}
	}
	return Report[I]{Resume: g.endCanary(f), Mark: g.recordCrash(now, r.Fingerprint, r.Service, r.Kind, server)}
}

// CanaryEnded records that a canary ended without an outcome. If the server may have run it, the canary is a
// suspect for Config.SuspectFor. An invalid server means that nothing was sent.
func (g *Guard[I]) CanaryEnded(now time.Time, r Request[I], server netip.AddrPort, mayHaveRun bool) Report[I] {
	if !g.isCanary(r) {
		return Report[I]{}
	}
	if mayHaveRun && server.IsValid() {
		g.addSuspect(now, r, server)
	}
	return Report[I]{Resume: g.endCanary(r.Fingerprint)}
}

// CancelWait removes a waiting request, for instance at its deadline.
func (g *Guard[I]) CancelWait(r Request[I]) {
	c := g.canaries[r.Fingerprint]
	if c == nil {
		return
	}
	if i := slices.Index(c.waiting, r.ID); i >= 0 {
		c.waiting = slices.Delete(c.waiting, i, i+1)
		g.waiting--
	}
}

// ClearSuccesses deletes the recorded successes, so that every fingerprint needs a canary again, for instance
// after a new index version.
func (g *Guard[I]) ClearSuccesses() {
	g.successes.Clear()
}

func (g *Guard[I]) isCanary(r Request[I]) bool {
	c := g.canaries[r.Fingerprint]
	return c != nil && c.id == r.ID
}

func (g *Guard[I]) endCanary(f Fingerprint) []I {
	c := g.canaries[f]
	delete(g.canaries, f)
	g.waiting -= len(c.waiting)
	return c.waiting
}
