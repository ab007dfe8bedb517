package sched

import (
	"net/netip"
	"slices"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/limit"
	"github.com/arbutusthread/arbutusthread/route"
	"github.com/arbutusthread/arbutusthread/wire"
)

// minDrainTime is the minimum time for which a draining server gets no work. A report of ready from its
// health endpoint does not shorten it, because the endpoint lags; a restart does.
const minDrainTime = 10 * time.Second

// maxAgeFactor limits the latency estimate based on the age of an outstanding request to this multiple
// of the average latency.
const maxAgeFactor = 2

// ServerView is a backend server as described by the configuration and the platform.
type ServerView struct {
	conf.BackendServer
	// Unusable is the reason why the server must not get new work; empty means that it is usable.
	Unusable string
}

type server struct {
	address    netip.AddrPort
	permits    *limit.Server
	average    route.MovingAverage
	unusable   string
	drainUntil time.Time
	// committedLoad is the expected number of requests to this server from admitted work.
	committedLoad float64
	waiting       []*task
	// inFlight holds the attempts in flight, oldest first.
	inFlight []*attempt
	// reservedFor is the canary task that must be the only request on this server.
	reservedFor *task
	removed     bool
	draining    bool
}

func (v *server) usable() bool {
	return v.unusable == "" && !v.removed && !v.draining
}

// limit returns the current concurrency limit. Each in-flight request that is already slow lowers it by
// one step before its response arrives, so that a server that has become cold or slow gets less work
// as soon as this is detectable.
func (v *server) limit(now time.Time) int {
	n := v.permits.Limit()
	for _, a := range v.inFlight {
		if !v.permits.Slow(now.Sub(a.sent)) {
			break
		}
		n = v.permits.Reduced(n)
	}
	return n
}

// latency returns the moving average or the age of the oldest request in flight, whichever is greater.
// The age counts up to maxAgeFactor times the average, so that one straggler does not rank a fast
// server below a server that is known to be slow.
func (v *server) latency(now time.Time) time.Duration {
	d := v.average.Value()
	if len(v.inFlight) > 0 {
		d = max(d, min(now.Sub(v.inFlight[0].sent), maxAgeFactor*d))
	}
	return d
}

// SetServers replaces the server set of the slice. A server that becomes usable again is marked cold,
// so that a returning failure domain is not overloaded.
func (s *Slice) SetServers(now time.Time, views []ServerView) Actions {
	var out Actions
	listed := make(map[netip.AddrPort]bool, len(views))
	for _, w := range views {
		listed[w.Address] = true
		s.setServer(w)
	}
	for a, v := range s.servers {
		if !listed[a] {
			v.removed = true
			delete(s.servers, a)
		}
	}
	s.serversVersion++
	s.outlier.SetServers(s.addresses())
	s.relaunchWaiting(now, &out)
	s.admitQueued(now, &out)
	return out
}

func (s *Slice) setServer(w ServerView) {
	limits := limit.ServerConfig{Slots: w.Slots, ColdSlots: w.ColdSlots, Warmup: &s.warmup}
	if s.config.DisableSlowStart {
		limits.ColdSlots = w.Slots
	}
	if s.config.LimitOverride != nil {
		limits.LimitOverride = func() int { return s.config.LimitOverride(w.Address) }
	}
	v := s.servers[w.Address]
	if v == nil {
		v = &server{address: w.Address, permits: limit.NewServer(limits)}
		s.servers[w.Address] = v
	}
	v.permits.SetConfig(limits)
	if v.unusable != "" && w.Unusable == "" {
		v.permits.SetCold(limit.ColdDomainReturn)
	}
	v.unusable = w.Unusable
}

func (s *Slice) addresses() []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(s.servers))
	for a := range s.servers {
		list = append(list, a)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

// Health processes a report of a health endpoint. Because such reports can lag or be wrong, they only
// reduce the load of a server: a ready report does not end a cold start, and it ends a drain only after
// minDrainTime. A report for an unknown server is ignored.
func (s *Slice) Health(now time.Time, address netip.AddrPort, h wire.Health) Actions {
	var out Actions
	v := s.servers[address]
	if v == nil {
		return out
	}
	if v.permits.UpdateIncarnation(h.Incarnation) {
		v.draining = false
		s.markCold(now, v, limit.ColdNewIncarnation, &out)
	}
	switch h.State {
	case wire.ServerDraining:
		s.drain(now, v, &out)
	case wire.ServerCold:
		// The report may predate the latest responses, so it lowers the limit by only one step, and not
		// at all for a server that is already cold.
		if !s.config.DisableSlowStart && !v.permits.Cold() && v.permits.Reduce() {
			s.cancelExcess(now, v, &out)
		}
	case wire.ServerReady:
		if v.draining && !now.Before(v.drainUntil) {
			v.draining = false
		}
	}
	return out
}

func (s *Slice) drain(now time.Time, v *server, out *Actions) {
	if !v.draining {
		out.event("server drains", "", v.address, "")
	}
	v.draining = true
	v.drainUntil = now.Add(minDrainTime)
	s.relaunchWaiting(now, out)
}

// markCold resets the server to its cold concurrency limit and cancels the requests in flight above it.
// Only idempotent requests are cancelled, because they are run again on another server.
func (s *Slice) markCold(now time.Time, v *server, cause limit.ColdCause, out *Actions) {
	if s.config.DisableSlowStart {
		return
	}
	v.permits.SetCold(cause)
	s.cancelExcess(now, v, out)
}

func (s *Slice) cancelExcess(now time.Time, v *server, out *Actions) {
	out.event("server cold", "", v.address, string(v.permits.Cause()))
	excess := v.permits.Excess()
	if excess == 0 {
		return
	}
	for _, a := range v.newestFirst() {
		if excess == 0 {
			return
		}
		if !a.task.job.Idempotent || a.cancelled {
			continue
		}
		excess--
		s.cancel(a, out)
		// The task did not fail, so the cancelled attempt does not count toward MaxAttempts.
		if a.purpose != Hedge {
			a.task.attemptCount--
		}
		// A canary is not retried until its attempt has ended, because a crash must still be recorded.
		if a.task.open && a.task.inFlight() == 0 && a.task.job.canary != a.task {
			s.retry(now, a.task, wire.ReasonBackend, true, out)
		}
	}
}

func (v *server) newestFirst() []*attempt {
	list := slices.Clone(v.inFlight)
	slices.Reverse(list)
	return list
}

func (out *Actions) event(name, request string, address netip.AddrPort, detail string) {
	out.Events = append(out.Events, Event{Name: name, RequestID: request, Server: address, Detail: detail})
}

// ServerStatus is the state of a server as shown to operators.
type ServerStatus struct {
	Server           netip.AddrPort `json:"Server"`
	ConcurrencyLimit int            `json:"Allowance"`
	InUse            int            `json:"InUse"`
	Cold             bool           `json:"Cold"`
	Ejected          bool           `json:"Ejected"`
	Unusable         string         `json:"Unusable,omitempty"`
	Draining         bool           `json:"Draining,omitempty"`
	Latency          wire.Duration  `json:"Latency"`
}

// ConcurrencyLimit returns the current concurrency limit of the server in requests, or 0 for an unknown server.
func (s *Slice) ConcurrencyLimit(address netip.AddrPort) int {
	if v := s.servers[address]; v != nil {
		return v.permits.Limit()
	}
	return 0
}

// Status returns the state of all servers, sorted by address.
func (s *Slice) Status(now time.Time) []ServerStatus {
	list := make([]ServerStatus, 0, len(s.servers))
	for _, a := range s.addresses() {
		v := s.servers[a]
		list = append(list, ServerStatus{
			Server: a, ConcurrencyLimit: v.permits.Limit(), InUse: v.permits.InUse(), Cold: v.permits.Cold(),
			Ejected: s.outlier.Ejected(now, a), Unusable: v.unusable, Draining: v.draining,
			Latency: wire.Duration(v.average.Value()),
		})
	}
	return list
}
