package trial

import (
	"fmt"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
)

// Kind is a stream of requests of one kind.
type Kind struct {
	Name  string
	Worth float64
	// Rate is the number of requests a second.
	Rate        float64
	Timeout     time.Duration
	MinCoverage float64
	Idempotent  bool
}

// Step is something that happens in a run.
type Step struct {
	At time.Duration
	Do func(*world)
}

// Case is a workload with the servers that it meets.
type Case struct {
	Name string
	// About says what the case is for.
	About                     string
	Shards, Replicas, Servers int
	Model                     Model
	Preset                    conf.Preset
	Kinds                     []Kind
	Duration                  time.Duration
	// Warmup is left out of the figures.
	Warmup time.Duration
	// Proven turns canary requests off, as for fingerprints that have run before.
	Proven bool
	// Ideal also computes the latency of a client that knows each service time beforehand.
	Ideal    bool
	Script   []Step
	Policies []Policy
}

func ordinary() conf.Preset {
	return conf.Preset{Name: "ordinary", HedgeBudget: 0.02, RetryBudget: 0.1, QueueLimit: 200}
}

// wideModel is a server of a service with very many shards: most answers near the median, one
// request in 1,000 slow, and each server slow for one two-hundredth of the time. Both replicas of a
// shard are slow together for 25 in a million, below the 1 in 14,000 that p99 of 140 shards leaves.
func wideModel() Model {
	return Model{
		Slots: 6, ColdSlots: 1, Service: 5 * time.Millisecond, Sigma: 0.25,
		StragglerShare: 0.001, StragglerFactor: 8,
		SlowEvery: 40 * time.Second, SlowFor: 200 * time.Millisecond, SlowFactor: 6,
		WarmAfter: 40, ColdFactor: 3, Network: 1400 * time.Microsecond, Restart: 300 * time.Millisecond,
	}
}

// smallModel is a server of cooperative-desk or dispatch-desk.
func smallModel() Model {
	m := wideModel()
	m.Slots = 2
	return m
}

func reading(rate float64) []Kind {
	return []Kind{{
		Name: "stock", Worth: 1, Rate: rate, Timeout: 250 * time.Millisecond, MinCoverage: 0.99, Idempotent: true,
	}}
}

// Tail is a query to 140 shards under moderate load.
func Tail(proven bool) Case {
	name, about := "tail", "140 shards, 2 replicas each, each query text is new"
	if proven {
		name, about = "tail-proven", "140 shards, 2 replicas each, query texts that have run before"
	}
	return Case{
		Name: name, About: about,
		Shards: 140, Replicas: 2, Servers: 280, Model: wideModel(), Preset: ordinary(),
		Kinds: reading(300), Duration: 14 * time.Second, Warmup: 2 * time.Second, Proven: proven, Ideal: true,
		Policies: []Policy{InUse(), NoHedging(), RoundRobin(), LeastOutstanding(), Oracle()},
	}
}

// mixed is a load of three kinds, a twentieth of it most worthy.
func mixed(factor, capacity float64) []Kind {
	rate := factor * capacity
	return []Kind{
		{Name: "order-status", Worth: 10, Rate: 0.05 * capacity, Timeout: 150 * time.Millisecond, MinCoverage: 1, Idempotent: true},
		{Name: "stock", Worth: 3, Rate: 0.35*rate - 0.05*capacity + 0.05*capacity/factor, Timeout: 150 * time.Millisecond, MinCoverage: 1, Idempotent: true},
		{Name: "browse", Worth: 1, Rate: 0.65 * rate, Timeout: 150 * time.Millisecond, MinCoverage: 1, Idempotent: true},
	}
}

// Overload is a small service at a multiple of the load that it can just carry.
func Overload(factor float64) Case {
	return Case{
		Name:   "overload-" + formatFactor(factor),
		About:  "2 servers with 2 slots, 4 shards on both, at a multiple of 90% of its capacity of 122 queries/s",
		Shards: 4, Replicas: 2, Servers: 2, Model: smallModel(), Preset: ordinary(),
		Kinds: mixed(factor, 110), Duration: 22 * time.Second, Warmup: 2 * time.Second, Proven: true,
		Policies: []Policy{InUse(), RoundRobin(), LeastOutstanding()},
	}
}

// Cold is a small service whose servers start cold, and one of which turns cold again later.
func Cold() Case {
	m := smallModel()
	m.Slots, m.StartCold = 6, true
	return Case{
		Name: "cold", About: "3 servers with 6 slots start cold; each turns cold again without a sign",
		Shards: 3, Replicas: 3, Servers: 3, Model: m, Preset: ordinary(),
		Kinds: reading(200), Duration: 20 * time.Second, Proven: true,
		Script: []Step{
			{At: 6 * time.Second, Do: func(w *world) { w.turnCold(w.order[0]) }},
			{At: 9 * time.Second, Do: func(w *world) { w.turnCold(w.order[1]) }},
			{At: 12 * time.Second, Do: func(w *world) { w.turnCold(w.order[2]) }},
		},
		Policies: []Policy{InUse(), BestRamp(), LeastOutstanding(), Uncoordinated(6)},
	}
}

// ColdSilent is Cold with servers that claim to be warm.
func ColdSilent() Case {
	c := Cold()
	c.Name, c.About = "cold-silent", c.About+", and claims to be warm"
	c.Model.SayWarm = true
	return c
}

// Ramp is one server that is cold at the start, turns cold at 3 s and restarts at 6 s, under more load
// than it can carry cold, so that only the ramp decides when it is in full use. With first only the
// start counts, where the scheduler has seen no cold start yet, else only the later ones.
func Ramp(first bool) Case {
	c := Cold()
	c.Name, c.About = "ramp", "1 server with 6 slots under 500 requests/s turns cold at 3 s and restarts at 6 s"
	c.Shards, c.Replicas, c.Servers, c.Duration, c.Warmup = 1, 1, 1, 10*time.Second, 2*time.Second
	c.Kinds = reading(500)
	c.Script = []Step{
		{At: 3 * time.Second, Do: func(w *world) { w.turnCold(w.order[0]) }},
		{At: 6 * time.Second, Do: func(w *world) { w.crash(w.order[0]) }},
	}
	if first {
		c.Name, c.About = "ramp-first", "1 server with 6 slots under 500 requests/s starts cold"
		c.Duration, c.Warmup, c.Script = 2*time.Second, 0, nil
	}
	c.Policies = []Policy{InUse(), BestRamp(), LeastOutstanding()}
	return c
}

// Crash is a request that crashes each server that runs it and is sent again by its caller.
func Crash() Case {
	c := Case{
		Name: "crash", About: "16 shards on 8 servers; one request crashes servers and is sent 10 times",
		Shards: 16, Replicas: 2, Servers: 8, Model: wideModel(), Preset: ordinary(),
		Kinds: reading(200), Duration: 12 * time.Second, Warmup: time.Second,
		Policies: []Policy{InUse(), RoundRobin(), LeastOutstanding()},
	}
	for i := range 10 {
		c.Script = append(c.Script, Step{At: 3*time.Second + time.Duration(i)*500*time.Millisecond, Do: func(w *world) {
			w.submit(&w.setup.Kinds[0], "poison", true)
		}})
	}
	return c
}

// Domain takes a third of the servers out and brings them back.
func Domain() Case {
	m := smallModel()
	m.Slots = 6
	return Case{
		Name: "domain", About: "6 servers in 3 domains; one domain is taken out at 4 s and returns cold at 10 s",
		Shards: 6, Replicas: 3, Servers: 6, Model: m, Preset: ordinary(),
		Kinds: reading(150), Duration: 16 * time.Second, Warmup: time.Second, Proven: true,
		Script: []Step{
			{At: 4 * time.Second, Do: func(w *world) { w.takeOut(2) }},
			{At: 10 * time.Second, Do: func(w *world) { w.bringBack(2) }},
		},
		Policies: []Policy{InUse(), BestRamp(), LeastOutstanding(), Uncoordinated(6)},
	}
}

// DomainLoaded is Domain under a load that the remaining servers can just carry, so the servers of the
// returning domain would all be overrun at once by a sender that gives them their share.
func DomainLoaded() Case {
	c := Domain()
	c.Name = "domain-loaded"
	c.About = "6 servers in 3 domains under 400 queries/s; one domain is taken out at 4 s and returns cold at 10 s"
	c.Kinds = reading(400)
	return c
}

// Partial is an outage of a third of the servers: each request to them fails after a byte was sent.
func Partial() Case {
	c := Domain()
	c.Name, c.About = "partial", "6 servers; 2 of them fail each request from 4 s to 10 s"
	c.Kinds = reading(100)
	c.Script = []Step{
		{At: 4 * time.Second, Do: func(w *world) { w.setFailing(2, true) }},
		{At: 10 * time.Second, Do: func(w *world) { w.setFailing(2, false) }},
	}
	return c
}

func (w *world) setFailing(n int, failing bool) {
	for _, v := range w.order[:n] {
		v.failing = failing
	}
}

// group is a service of section 1.6 of the design page with its own servers: each shard has a replica
// on every server. The load is half of what the servers carry, and a domain leaves for 4 s.
func group(name string, servers, slots int) Case {
	m := wideModel()
	m.Slots = slots
	perQuery := time.Duration(servers) * (m.Service + 2*m.Network)
	c := Case{
		Name: name, About: fmt.Sprintf("%d servers with %d slots at half load; the first is out from 4 s to 8 s", servers, slots),
		Shards: servers, Replicas: servers, Servers: servers, Model: m, Preset: ordinary(),
		Duration: 12 * time.Second, Warmup: time.Second, Proven: true,
		Script: []Step{
			{At: 4 * time.Second, Do: func(w *world) { w.takeOut(1) }},
			{At: 8 * time.Second, Do: func(w *world) { w.bringBack(1) }},
		},
		Policies: []Policy{InUse(), RoundRobin(), LeastOutstanding()},
	}
	c.Kinds = mixed(0.5, float64(servers*slots)/perQuery.Seconds())
	return c
}

// Groups are the groups of both deployments: cooperative-desk and festival-board, as well as
// dispatch-desk and member-portal, have the same sizes.
func Groups() []Case {
	return []Case{
		group("cooperative-desk", 2, 2), group("workshop-ledger", 5, 6), group("school-buying", 3, 6),
		group("dispatch-desk", 2, 2), group("billing-office", 4, 6), group("grinder-yard", 3, 6),
	}
}

// Leave has a server that drains: it says so in its answers only.
func Leave() Case {
	c := Domain()
	c.Name, c.About = "leave", "6 servers; one drains at 4 s and says so in its answers only"
	c.Script = []Step{{At: 4 * time.Second, Do: func(w *world) {
		w.order[0].leaving = true
		w.mark(w.order[0])
	}}}
	return c
}

// takeOut makes the first n servers unusable, as a configuration with the domain out does.
func (w *world) takeOut(n int) {
	for _, v := range w.order[:n] {
		w.unused[v.address] = "failure domain out"
		w.mark(v)
	}
	w.update()
}

// bringBack makes the first n servers usable again; they have turned cold in the meantime.
func (w *world) bringBack(n int) {
	for _, v := range w.order[:n] {
		delete(w.unused, v.address)
		v.markedAt = 0
		w.turnCold(v)
	}
	w.returned = w.now
	w.update()
}

func (w *world) mark(v *modelServer) {
	v.markedAt = w.now
}

func (w *world) update() {
	for _, s := range w.senders {
		w.carryOut(s, s.slice.SetServers(w.time(), w.views()))
	}
}

// Cases returns all cases in the order of the report.
func Cases() []Case {
	return append([]Case{
		Tail(false), Tail(true), Overload(1), Overload(2), Overload(5), Cold(), ColdSilent(), Ramp(true), Ramp(false),
		Crash(), Domain(), DomainLoaded(), Leave(), Partial(),
	}, Groups()...)
}
