package drill

import (
	"time"

	"github.com/arbutusthread/arbutusthread/gather"
)

// The sizes are those of cooperative-desk and workshop-ledger of the Bureau, whose query rate the
// design page gives.
const (
	shards      = 20
	pauseEvery  = 3600 * time.Millisecond
	pauseFor    = 150 * time.Millisecond
	retryRatio  = 0.2
	retrySlack  = 52
	retryWindow = 10 * time.Second
)

func bureau(name, about string) Case {
	return Case{
		Name: name, About: about, Shards: shards, Duration: 20 * time.Second,
		Model: Model{
			Slots: 2, Queue: 12, Sigma: 0.35, PauseEvery: pauseEvery, PauseFor: pauseFor,
			ColdFor: 3 * time.Second, ColdFactor: 1.6,
		},
		Kinds: []Kind{
			{
				Name: "order-sweep", Rate: 67.4, Work: 15 * time.Millisecond, Target: 120 * time.Millisecond,
				Deadline: 2 * time.Second, Worth: 2, LateWorth: 0.1, MinCoverage: 0.89, Priority: 1,
			},
			{
				Name: "sole-stock-check", Rate: 22.5, Work: 5 * time.Millisecond, Target: 60 * time.Millisecond,
				Deadline: time.Second, Worth: 1, LateWorth: 0.1, MinCoverage: 0.75, Priority: 2,
			},
			{
				Name: "maker-lookup", Rate: 22.5, Work: 120 * time.Millisecond, Target: 500 * time.Millisecond,
				Deadline: 8 * time.Second, Worth: 1, LateWorth: 0.3, MinCoverage: 1, Priority: 2, Single: true, Once: true,
			},
		},
		Budget: gather.BudgetConfig{Ratio: retryRatio, Slack: retrySlack, Window: retryWindow},
	}
}

// Calm is an ordinary day: servers pause, so that most queries meet a pause at one of their shards. A
// hedge to the other replica answers it.
func Calm() Case {
	return bureau("calm", "servers pause for 150 ms each 3.6 s; answered by hedges within the budget")
}

// SlowServers has servers that turn slow. The choice of replicas answers it.
func SlowServers() Case {
	c := bureau("slow-servers", "15% of the servers take 9 times as long from 4 s to 12 s; answered by the choice of replicas")
	c.Script = []Step{
		{At: 4 * time.Second, Do: func(w *world) { w.each(0.15, func(v *server) { v.slow = 9 }) }},
		{At: 12 * time.Second, Do: func(w *world) { w.each(1, func(v *server) { v.slow = 1 }) }},
	}
	return c
}

// burstEnd is when the load of Burst falls back.
const burstEnd = 10 * time.Second

// Burst is four times the load. Requests wait by priority, and what cannot be answered in time is
// answered in part.
func Burst() Case {
	c := bureau("burst", "4 times the load from 5 s to 10 s; answered by the order of waiting and partial answers")
	c.Load = between(5*time.Second, burstEnd, 4)
	return c
}

// DarkShard has no server for one shard. Answers leave it out at the target, not at the deadline.
func DarkShard() Case {
	c := bureau("dark-shard", "both servers of a shard go silent from 4 s to 10 s; answered by partial answers at the target")
	c.Script = []Step{
		{At: 4 * time.Second, Do: func(w *world) { w.eachOf(0, func(v *server) { v.dark = true }) }},
		{At: 10 * time.Second, Do: func(w *world) { w.eachOf(0, func(v *server) { v.dark = false }) }},
	}
	return c
}

// Saturated has shards with one slow server and no other. Each query needs two of the four: what they
// can still do must go to queries that cannot be answered without it.
func Saturated() Case {
	c := bureau("saturated", "4 of 20 shards have one server, 9 times as slow, from 4 s to 10 s; answered by sending only what the coverage needs")
	c.Script = []Step{
		{At: 4 * time.Second, Do: func(w *world) {
			for i := range 4 {
				w.eachOf(3*i, func(v *server) { v.slow, v.dark = 9, v.domain == i%2 })
			}
		}},
		{At: 10 * time.Second, Do: func(w *world) { w.each(1, func(v *server) { v.slow, v.dark = 1, false }) }},
	}
	return c
}

// LostDomain loses the servers of a failure domain, which come back cold and bear only a little work.
func LostDomain() Case {
	c := bureau("lost-domain", "the servers of a domain are down from 4 s to 8 s and return cold; answered by ejection and the cold rate")
	c.Model.ColdRate = 40
	c.Script = []Step{
		{At: 4 * time.Second, Do: func(w *world) { w.eachIn(1, func(v *server) { w.stop(v) }) }},
		{At: 8 * time.Second, Do: func(w *world) { w.eachIn(1, func(v *server) { w.start(v) }) }},
	}
	return c
}

// TakenOut takes a failure domain out and brings it back. Requests that run there are finished.
func TakenOut() Case {
	c := bureau("taken-out", "a domain is taken out from 4 s to 10 s; answered by waiting at the replicas that are left")
	c.Script = []Step{
		{At: 4 * time.Second, Do: func(w *world) { w.takeOut(1, true) }},
		{At: 10 * time.Second, Do: func(w *world) { w.takeOut(1, false) }},
	}
	return c
}

// Impatient has callers that repeat failed requests at once, under twice the load on slow servers.
func Impatient() Case {
	c := bureau("impatient", "twice the load, a quarter of the servers slow, half of the callers repeat at once; answered by true refusals")
	c.Load = between(4*time.Second, 12*time.Second, 2)
	c.Impatient = 0.5
	c.Script = []Step{
		{At: 4 * time.Second, Do: func(w *world) { w.each(0.25, func(v *server) { v.slow = 6 }) }},
		{At: 12 * time.Second, Do: func(w *world) { w.each(1, func(v *server) { v.slow = 1 }) }},
	}
	return c
}

// Flapping has servers that go down and up by turns.
func Flapping() Case {
	c := bureau("flapping", "a fifth of the servers goes down and up each second from 4 s to 12 s; answered by ejection and retries")
	for i := range 4 {
		at := time.Duration(4+2*i) * time.Second
		c.Script = append(c.Script,
			Step{At: at, Do: func(w *world) { w.each(0.2, func(v *server) { w.stop(v) }) }},
			Step{At: at + time.Second, Do: func(w *world) { w.each(1, func(v *server) { w.start(v) }) }})
	}
	return c
}

// between returns a load of the factor between two times and of 1 otherwise.
func between(from, to time.Duration, factor float64) func(time.Duration) float64 {
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
		Calm(), SlowServers(), Burst(), DarkShard(), Saturated(), LostDomain(), TakenOut(), Impatient(), Flapping(),
	}
}
