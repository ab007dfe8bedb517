package drill

import (
	"time"

	"github.com/arbutusthread/arbutusthread/gather"
)

// The sizes are those of the Bureau's services cooperative-desk and workshop-ledger, for which the design
// page states the query rate.
const (
	shards      = 20
	pauseEvery  = 3600 * time.Millisecond
	pauseFor    = 150 * time.Millisecond
	retryRatio  = 0.2
	retrySlack  = 52
	retryWindow = 10 * time.Second
)

func bureauCase(name, about string) Case {
	return Case{
		Name: name, About: about, Shards: shards, Duration: 20 * time.Second,
		Model: Model{
			Slots: 2, Queue: 12, Sigma: 0.35, PauseEvery: pauseEvery, PauseFor: pauseFor,
			ColdFor: 3 * time.Second, ColdFactor: 1.6,
		},
		Kinds: []Kind{
			{
				Name: "order-sweep", Rate: 67.4, ServiceTime: 15 * time.Millisecond, Target: 120 * time.Millisecond,
				Deadline: 2 * time.Second, Worth: 2, LateShare: 0.1, MinCoverage: 0.89, Priority: 1,
			},
			{
				Name: "sole-stock-check", Rate: 22.5, ServiceTime: 5 * time.Millisecond, Target: 60 * time.Millisecond,
				Deadline: time.Second, Worth: 1, LateShare: 0.1, MinCoverage: 0.75, Priority: 2,
			},
			{
				Name: "maker-lookup", Rate: 22.5, ServiceTime: 120 * time.Millisecond, Target: 500 * time.Millisecond,
				Deadline: 8 * time.Second, Worth: 1, LateShare: 0.3, MinCoverage: 1, Priority: 2, SingleServer: true, AtMostOnce: true,
			},
		},
		Budget: gather.BudgetConfig{Ratio: retryRatio, Slack: retrySlack, Window: retryWindow},
	}
}

// Calm is normal operation. Servers pause, and most queries are delayed by a pause of the server of one of
// their shards. Hedges to the other replica avoid the delay.
func Calm() Case {
	return bureauCase("calm", "servers pause for 150 ms every 3.6 s on average; handled by hedges within the budget")
}

// SlowServers has servers that become slow, which replica selection must avoid.
func SlowServers() Case {
	c := bureauCase("slow-servers", "15% of the servers take 9 times as long from 4 s to 12 s; handled by replica selection")
	c.Script = []Step{
		{At: 4 * time.Second, Do: func(w *world) { w.forShare(0.15, func(v *server) { v.slow = 9 }) }},
		{At: 12 * time.Second, Do: func(w *world) { w.forShare(1, func(v *server) { v.slow = 1 }) }},
	}
	return c
}

// burstEnd is the time at which the load of Burst returns to 1.
const burstEnd = 10 * time.Second

// Burst is four times the normal load. Requests are queued by priority, and those that cannot be answered
// completely in time get partial answers.
func Burst() Case {
	c := bureauCase("burst", "4 times the load from 5 s to 10 s; handled by queueing by priority and partial answers")
	c.Load = loadBetween(5*time.Second, burstEnd, 4)
	return c
}

// SilentShard has a shard whose servers do not respond. Queries must return partial answers without it at
// the target, not at the deadline.
func SilentShard() Case {
	c := bureauCase("dark-shard", "both servers of a shard are silent from 4 s to 10 s; handled by partial answers at the target")
	c.Script = []Step{
		{At: 4 * time.Second, Do: func(w *world) { w.forShard(0, func(v *server) { v.silent = true }) }},
		{At: 10 * time.Second, Do: func(w *world) { w.forShard(0, func(v *server) { v.silent = false }) }},
	}
	return c
}

// Saturated has four shards whose only responding server is slow. Each query needs two of the four, so the
// remaining capacity must be used for queries that cannot reach their minimum coverage without it.
func Saturated() Case {
	c := bureauCase("saturated", "4 of 20 shards have one server, 9 times as slow, from 4 s to 10 s; handled by sending only what the minimum coverage requires")
	c.Script = []Step{
		{At: 4 * time.Second, Do: func(w *world) {
			for i := range 4 {
				w.forShard(3*i, func(v *server) { v.slow, v.silent = 9, v.domain == i%2 })
			}
		}},
		{At: 10 * time.Second, Do: func(w *world) { w.forShare(1, func(v *server) { v.slow, v.silent = 1, false }) }},
	}
	return c
}

// LostDomain is an outage of a failure domain, whose servers return cold and sustain only a low rate.
func LostDomain() Case {
	c := bureauCase("lost-domain", "the servers of a domain are down from 4 s to 8 s and return cold; handled by ejection and the cold rate")
	c.Model.ColdRate = 40
	c.Script = []Step{
		{At: 4 * time.Second, Do: func(w *world) { w.forDomain(1, func(v *server) { w.stop(v) }) }},
		{At: 8 * time.Second, Do: func(w *world) { w.forDomain(1, func(v *server) { w.start(v) }) }},
	}
	return c
}

// TakenOut takes a failure domain out of service and returns it later. Requests in flight to its servers
// are completed.
func TakenOut() Case {
	c := bureauCase("taken-out", "a domain is out of service from 4 s to 10 s; handled by queueing for the remaining replicas")
	c.Script = []Step{
		{At: 4 * time.Second, Do: func(w *world) { w.setDomainOut(1, true) }},
		{At: 10 * time.Second, Do: func(w *world) { w.setDomainOut(1, false) }},
	}
	return c
}

// Impatient has callers that repeat failed requests immediately, at twice the normal load and with a quarter
// of the servers slow.
func Impatient() Case {
	c := bureauCase("impatient", "twice the load, a quarter of the servers slow, half of the callers repeat immediately; handled by accurate refusals")
	c.Load = loadBetween(4*time.Second, 12*time.Second, 2)
	c.ImpatientShare = 0.5
	c.Script = []Step{
		{At: 4 * time.Second, Do: func(w *world) { w.forShare(0.25, func(v *server) { v.slow = 6 }) }},
		{At: 12 * time.Second, Do: func(w *world) { w.forShare(1, func(v *server) { v.slow = 1 }) }},
	}
	return c
}

// Flapping has servers that alternate between down and up.
func Flapping() Case {
	c := bureauCase("flapping", "a fifth of the servers goes down and up each second from 4 s to 12 s; handled by ejection and retries")
	for i := range 4 {
		at := time.Duration(4+2*i) * time.Second
		c.Script = append(c.Script,
			Step{At: at, Do: func(w *world) { w.forShare(0.2, func(v *server) { w.stop(v) }) }},
			Step{At: at + time.Second, Do: func(w *world) { w.forShare(1, func(v *server) { w.start(v) }) }})
	}
	return c
}

// loadBetween returns a load of factor from from until before to, and of 1 otherwise.
func loadBetween(from, to time.Duration, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return factor
		}
		return 1
	}
}

// Cases returns all cases in the order of the report.
func Cases() []Case {
	return []Case{
		Calm(), SlowServers(), Burst(), SilentShard(), Saturated(), LostDomain(), TakenOut(), Impatient(), Flapping(),
	}
}
