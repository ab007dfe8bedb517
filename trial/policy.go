package trial

import (
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/route"
	"github.com/arbutusthread/arbutusthread/sched"
)

// Policy is a scheduler configuration under test.
type Policy struct {
	Name string
	// Senders is the number of nodes that send to the same servers without coordination; 0 means 1, the
	// lease holder.
	Senders int
	Apply   func(*sched.Config, *world)
}

// fixedHedgeDelay is the hedge delay of the baseline, twice the median service time of the cases.
const fixedHedgeDelay = 10 * time.Millisecond

// Production is the production policy, as run by nodes.
func Production() Policy {
	return Policy{Name: "arbutusthread", Apply: func(*sched.Config, *world) {}}
}

// NoHedging is the production policy without hedges.
func NoHedging() Policy {
	return Policy{Name: "no hedging", Apply: func(c *sched.Config, _ *world) {
		c.Hedge = route.NoHedge{}
	}}
}

// RoundRobin selects replicas by round robin, without hedges, admission control and slow start.
func RoundRobin() Policy {
	return Policy{Name: "round robin", Apply: func(c *sched.Config, _ *world) {
		c.Replica = &route.RoundRobin{}
		c.Hedge = route.NoHedge{}
		c.DisableAdmission = true
		c.DisableSlowStart = true
	}}
}

// LeastOutstanding selects the replica with the fewest outstanding requests and hedges after a fixed
// delay, without admission control and slow start.
func LeastOutstanding() Policy {
	return Policy{Name: "least outstanding, fixed hedge", Apply: func(c *sched.Config, _ *world) {
		c.Replica = &route.LeastOutstanding{}
		c.Hedge = route.FixedHedge{Delay: fixedHedgeDelay}
		c.DisableAdmission = true
		c.DisableSlowStart = true
	}}
}

// BestRamp is the production policy with the true concurrency limit of each server in place of slow
// start.
func BestRamp() Policy {
	return Policy{Name: "best ramp", Apply: func(c *sched.Config, w *world) {
		c.LimitOverride = func(a netip.AddrPort) int { return w.servers[a].concurrencyLimit() }
	}}
}

// Uncoordinated is the production policy on n nodes that send to the same servers, each with separate
// concurrency limits.
func Uncoordinated(n int) Policy {
	return Policy{Name: "per-node limits, no lease", Senders: n, Apply: func(*sched.Config, *world) {}}
}

// Oracle selects the server with the lowest expected latency, based on the true current state of each
// server, slow or cold. It runs without admission control and slow start and hedges within the same
// budget as the production policy, so it bounds what replica selection by latency can achieve.
func Oracle() Policy {
	return Policy{Name: "oracle of server states", Apply: func(c *sched.Config, w *world) {
		c.Replica = &oracle{world: w}
		c.DisableAdmission = true
		c.DisableSlowStart = true
	}}
}

type oracle struct {
	world *world
}

// Decide returns the index of the candidate with the lowest product of slowdown and outstanding
// requests, the new one included.
func (p *oracle) Decide(_ time.Time, cands []route.Candidate) int {
	best, least := route.NoChoice, 0.0
	for i, c := range cands {
		v := p.expected(c.Server) * float64(c.Outstanding+1)
		if best == route.NoChoice || v < least {
			best, least = i, v
		}
	}
	return best
}

func (p *oracle) expected(a netip.AddrPort) float64 {
	return p.world.servers[a].slowdown(p.world.now)
}
