package drill

import (
	"github.com/arbutusthread/arbutusthread/gather"
)

// Policy is an implementation of request serving under test.
type Policy struct {
	Name string
	// New returns the engine of one node in the given failure domain. nodes is the number of nodes.
	New func(c Case, domain string, nodes int, seed uint64) engine
}

// Production is the policy that nodes run in production.
func Production() Policy {
	return Policy{Name: "arbutusthread", New: func(c Case, domain string, nodes int, seed uint64) engine {
		e := gather.New(gather.Config{FailureDomain: domain, Budget: c.Budget, Seed: seed})
		e.SetNodes(nodes)
		return e
	}}
}

// Plain sends the request for each shard to the server with the fewest requests in flight and retries on
// failure, without hedges.
func Plain() Policy {
	return Policy{Name: "plain forwarder", New: func(_ Case, _ string, _ int, seed uint64) engine {
		return newForwarder(forwarderConfig{seed: seed})
	}}
}

// Hedging prefers servers in its own failure domain, hedges after a fixed share of the target, and returns
// a partial answer at the target if the minimum coverage is reached. Its hedges have no budget.
func Hedging() Policy {
	return Policy{Name: "hedging forwarder", New: func(_ Case, domain string, _ int, seed uint64) engine {
		return newForwarder(forwarderConfig{seed: seed, domain: domain, hedgeShare: 0.35, partialAtTarget: true})
	}}
}

// Policies returns all policies, the production policy first.
func Policies() []Policy { return []Policy{Production(), Plain(), Hedging()} }
