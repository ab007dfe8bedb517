package trial

import (
	"net/netip"
	"time"

	"github.com/arbutusthread/arbutusthread/route"
	"github.com/arbutusthread/arbutusthread/sched"
)

// Policy is a way to schedule that a case is run with.
type Policy struct {
	Name string
	// Senders is the number of nodes that send to the same servers without knowing of each
	// other; 0 means 1, the holder of the lease.
	Senders int
	Apply   func(*sched.Config, *world)
}

// fixedDelay is the hedge delay of the baseline: twice the median service time of the cases.
const fixedDelay = 10 * time.Millisecond

// InUse is the policy that nodes run.
func InUse() Policy {
	return Policy{Name: "arbutusthread", Apply: func(*sched.Config, *world) {}}
}

// NoHedging is the policy in use without hedges.
func NoHedging() Policy {
	return Policy{Name: "no hedging", Apply: func(c *sched.Config, _ *world) {
		c.Hedge = route.NoHedge{}
	}}
}

// RoundRobin takes replicas in turn and never hedges.
func RoundRobin() Policy {
	return Policy{Name: "round robin", Apply: func(c *sched.Config, _ *world) {
		c.Replica = &route.RoundRobin{}
		c.Hedge = route.NoHedge{}
		c.AdmitAll = true
		c.IgnoreCold = true
	}}
}

// LeastOutstanding looks at requests in flight only and hedges after a fixed delay.
func LeastOutstanding() Policy {
	return Policy{Name: "least outstanding, fixed hedge", Apply: func(c *sched.Config, _ *world) {
		c.Replica = &route.LeastOutstanding{}
		c.Hedge = route.FixedHedge{Delay: fixedDelay}
		c.AdmitAll = true
		c.IgnoreCold = true
	}}
}

// BestRamp is the policy in use with servers that always get exactly what they bear.
func BestRamp() Policy {
	return Policy{Name: "best ramp", Apply: func(c *sched.Config, w *world) {
		c.Bears = func(a netip.AddrPort) int { return w.servers[a].bears() }
	}}
}

// Uncoordinated is the policy in use on n nodes that all send to the same servers, each within its
// own limits.
func Uncoordinated(n int) Policy {
	return Policy{Name: "per-node limits, no lease", Senders: n, Apply: func(*sched.Config, *world) {}}
}

// Oracle knows the present state of each server, slow or cold, and sends to the one that will
// answer first on average. Neither admission nor cold starts hold it up, and it hedges within the
// same budget as the policy in use, so it bounds what a choice by latency can reach.
func Oracle() Policy {
	return Policy{Name: "oracle of server states", Apply: func(c *sched.Config, w *world) {
		c.Replica = &oracle{world: w}
		c.AdmitAll = true
		c.IgnoreCold = true
	}}
}

type oracle struct {
	world *world
}

// Decide returns the candidate with the lowest expected service time times its load.
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
	return p.world.servers[a].factor(p.world.now)
}
