package drill

import (
	"github.com/arbutusthread/arbutusthread/gather"
)

// Policy is a way to serve requests that a case is run with.
type Policy struct {
	Name string
	// New returns the policy of one of the nodes, in a failure domain.
	New func(c Case, domain string, nodes int, seed uint64) gatherer
}

// InUse is the policy that nodes run.
func InUse() Policy {
	return Policy{Name: "arbutusthread", New: func(c Case, domain string, nodes int, seed uint64) gatherer {
		e := gather.New(gather.Config{FailureDomain: domain, Budget: c.Budget, Seed: seed})
		e.SetNodes(nodes)
		return e
	}}
}

// Plain sends each shard once to the server with the fewest requests in flight, and again on failure.
func Plain() Policy {
	return Policy{Name: "plain forwarder", New: func(_ Case, _ string, _ int, seed uint64) gatherer {
		return newForwarder(forwarderConfig{seed: seed})
	}}
}

// Hedging prefers servers in its failure domain, hedges after a fixed part of the target and answers
// just before it when it can. It knows no budget.
func Hedging() Policy {
	return Policy{Name: "hedging forwarder", New: func(_ Case, domain string, _ int, seed uint64) gatherer {
		return newForwarder(forwarderConfig{seed: seed, domain: domain, hedgeShare: 0.35, early: true})
	}}
}

// Policies returns all policies, the one in use first.
func Policies() []Policy { return []Policy{InUse(), Plain(), Hedging()} }
