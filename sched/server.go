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

// drainMemory is how long a server that said that it drains gets no work, whatever its health
// endpoint says, unless it restarts: the endpoint lags.
const drainMemory = 10 * time.Second

// suspicionFactor bounds how much slower a server looks for a request that is not yet answered.
const suspicionFactor = 2

// ServerView is a backend server with what the configuration and the platform say of it.
type ServerView struct {
	conf.BackendServer
	// Unusable is why the server must get no new work; empty means that it may.
	Unusable string
}

type server struct {
	address  netip.AddrPort
	permits  *limit.Server
	average  route.Average
	unusable string
	draining time.Time
	// committed is the number of requests that admitted work is expected to send here.
	committed float64
	waiting   []*task
	// flights are the attempts in flight in the order of their sends.
	flights []*attempt
	// reserved is a task that must run here alone.
	reserved *task
	removed  bool
	stops    bool
}

func (v *server) usable() bool {
	return v.unusable == "" && !v.removed && !v.stops
}

// allowance is the number of requests that may be in flight now. Each request that is slow already
// lowers it by a step before its answer does, so that a server that has turned cold or slow gets
// less work as soon as it can be seen.
func (v *server) allowance(now time.Time) int {
	n := v.permits.Allowance()
	for _, a := range v.flights {
		if !v.permits.Slow(now.Sub(a.sent)) {
			break
		}
		n = v.permits.Lower(n)
	}
	return n
}

// latency is the moving average, raised by the age of the oldest request in flight, but to no more
// than suspicionFactor times the average: one straggler must not make a fast server look worse than
// one that is known to be slow.
func (v *server) latency(now time.Time) time.Duration {
	d := v.average.Value()
	if len(v.flights) > 0 {
		d = max(d, min(now.Sub(v.flights[0].sent), suspicionFactor*d))
	}
	return d
}

// SetServers makes the slice use exactly these servers. A server that becomes usable again counts
// as cold, so that a returning failure domain is not overrun.
func (s *Slice) SetServers(now time.Time, views []ServerView) Actions {
	var out Actions
	known := make(map[netip.AddrPort]bool, len(views))
	for _, w := range views {
		known[w.Address] = true
		s.setServer(w)
	}
	for a, v := range s.servers {
		if !known[a] {
			v.removed = true
			delete(s.servers, a)
		}
	}
	s.moves++
	s.outlier.SetServers(s.addresses())
	s.rewait(now, &out)
	s.pump(now, &out)
	return out
}

func (s *Slice) setServer(w ServerView) {
	limits := limit.ServerConfig{Slots: w.Slots, ColdSlots: w.ColdSlots, Warming: &s.warming}
	if s.config.IgnoreCold {
		limits.ColdSlots = w.Slots
	}
	if s.config.Bears != nil {
		limits.Known = func() int { return s.config.Bears(w.Address) }
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

// Health includes a report of a health endpoint. It can only take work away from a server, since
// such reports lag or mislead: Ready does not end a cold start, and ends a drain only after a
// while.
func (s *Slice) Health(now time.Time, address netip.AddrPort, h wire.Health) Actions {
	var out Actions
	v := s.servers[address]
	if v == nil {
		return out
	}
	if v.permits.Restarted(h.Incarnation) {
		v.stops = false
		s.turnCold(now, v, limit.ColdNewIncarnation, &out)
	}
	switch h.State {
	case wire.ServerDraining:
		s.drain(now, v, &out)
	case wire.ServerCold:
		// The report may be older than the last answers, so it takes away only a step, and nothing
		// from a server that is known to be cold.
		if !s.config.IgnoreCold && !v.permits.Cold() && v.permits.StepDown() {
			s.cancelExcess(now, v, &out)
		}
	case wire.ServerReady:
		if v.stops && !now.Before(v.draining) {
			v.stops = false
		}
	}
	return out
}

func (s *Slice) drain(now time.Time, v *server, out *Actions) {
	if !v.stops {
		out.event("server drains", "", v.address, "")
	}
	v.stops = true
	v.draining = now.Add(drainMemory)
	s.rewait(now, out)
}

// turnCold lowers the allowance and cancels the requests above it. Only idempotent requests can
// be cancelled, because they run again elsewhere.
func (s *Slice) turnCold(now time.Time, v *server, cause limit.ColdCause, out *Actions) {
	if s.config.IgnoreCold {
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
	for _, a := range v.newestAttempts() {
		if excess == 0 {
			return
		}
		if !a.task.job.Idempotent || a.cancelled {
			continue
		}
		excess--
		s.cancel(a, out)
		// The server did not fail the task, so the attempt does not count toward its tries.
		if a.purpose != Hedge {
			a.task.tries--
		}
		// A canary waits for the end of its attempt, which may be a crash to be marked.
		if a.task.open && a.task.inFlight() == 0 && a.task.job.canary != a.task {
			s.retry(now, a.task, wire.ReasonBackend, true, out)
		}
	}
}

func (v *server) newestAttempts() []*attempt {
	list := slices.Clone(v.flights)
	slices.Reverse(list)
	return list
}

func (out *Actions) event(name, request string, address netip.AddrPort, detail string) {
	out.Events = append(out.Events, Event{Name: name, RequestID: request, Server: address, Detail: detail})
}

// ServerStatus is what operators see of a server.
type ServerStatus struct {
	Server    netip.AddrPort `json:"Server"`
	Allowance int            `json:"Allowance"`
	InUse     int            `json:"InUse"`
	Cold      bool           `json:"Cold"`
	Ejected   bool           `json:"Ejected"`
	Unusable  string         `json:"Unusable,omitempty"`
	Draining  bool           `json:"Draining,omitempty"`
	Latency   wire.Duration  `json:"Latency"`
}

// Allowance returns the number of requests that the server may run at once now, 0 for an unknown one.
func (s *Slice) Allowance(address netip.AddrPort) int {
	if v := s.servers[address]; v != nil {
		return v.permits.Allowance()
	}
	return 0
}

// Status returns the state of all servers in the order of their addresses.
func (s *Slice) Status(now time.Time) []ServerStatus {
	list := make([]ServerStatus, 0, len(s.servers))
	for _, a := range s.addresses() {
		v := s.servers[a]
		list = append(list, ServerStatus{
			Server: a, Allowance: v.permits.Allowance(), InUse: v.permits.InUse(), Cold: v.permits.Cold(),
			Ejected: s.outlier.Ejected(now, a), Unusable: v.unusable, Draining: v.stops,
			Latency: wire.Duration(v.average.Value()),
		})
	}
	return list
}
