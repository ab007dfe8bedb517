package trial

import (
	"fmt"
	"time"

	"github.com/arbutusthread/arbutusthread/conf"
)

// Kind is a stream of requests of one kind with Poisson arrivals.
type Kind struct {
	Name  string
	Worth float64
	// Rate is the mean number of requests per second.
	Rate        float64
	Timeout     time.Duration
	MinCoverage float64
	Idempotent  bool
}

// Step is an action performed at a fixed time of a run.
type Step struct {
	At time.Duration
	Do func(*world)
}

// Case is a workload and the servers that process it.
type Case struct {
	Name string
	// About describes the case.
	About                     string
	Shards, Replicas, Servers int
	Model                     Model
	Preset                    conf.Preset
	Kinds                     []Kind
	Duration                  time.Duration
	// Warmup is the initial time whose requests are excluded from the results.
	Warmup time.Duration
	// SkipCanary disables canary requests, as for fingerprints that have succeeded recently.
	SkipCanary bool
	// ComputeIdeal also computes the latency for a client with advance knowledge of each service time.
	ComputeIdeal bool
	Script       []Step
	Policies     []Policy
}

func ordinaryPreset() conf.Preset {
	return conf.Preset{Name: "ordinary", HedgeBudget: 0.02, RetryBudget: 0.1, QueueLimit: 200}
}

// wideModel models a server of a service with many shards. Most service times are near the median, one
// request in 1,000 is a straggler, and each server is slow for one two-hundredth of the time. Both
// replicas of a shard are slow at the same time for a fraction of 25 in a million, which is below the
// 1 in 14,000 that the p99 of a query to 140 shards allows per shard.
func wideModel() Model {
	return Model{
		Slots: 6, ColdSlots: 1, ServiceTime: 5 * time.Millisecond, Sigma: 0.25,
		StragglerShare: 0.001, StragglerFactor: 8,
		SlowEvery: 40 * time.Second, SlowFor: 200 * time.Millisecond, SlowFactor: 6,
		WarmAfter: 40, ColdFactor: 3, Network: 1400 * time.Microsecond, Restart: 300 * time.Millisecond,
	}
}

// smallModel models a server of cooperative-desk or dispatch-desk.
func smallModel() Model {
	m := wideModel()
	m.Slots = 2
	return m
}

func readKinds(rate float64) []Kind {
	return []Kind{{
		Name: "stock", Worth: 1, Rate: rate, Timeout: 250 * time.Millisecond, MinCoverage: 0.99, Idempotent: true,
	}}
}

// Tail measures the tail latency of queries to 140 shards under moderate load.
func Tail(proven bool) Case {
	name, about := "tail", "140 shards, 2 replicas each, each query text is new"
	if proven {
		name, about = "tail-proven", "140 shards, 2 replicas each, query texts that have run before"
	}
	return Case{
		Name: name, About: about,
		Shards: 140, Replicas: 2, Servers: 280, Model: wideModel(), Preset: ordinaryPreset(),
		Kinds: readKinds(300), Duration: 14 * time.Second, Warmup: 2 * time.Second, SkipCanary: proven, ComputeIdeal: true,
		Policies: []Policy{Production(), NoHedging(), RoundRobin(), LeastOutstanding(), Oracle()},
	}
}

// mixedKinds returns a load of three kinds at about factor times capacity, in requests per second. The
// rate of the kind with the highest worth is a twentieth of the capacity.
func mixedKinds(factor, capacity float64) []Kind {
	rate := factor * capacity
	return []Kind{
		{Name: "order-status", Worth: 10, Rate: 0.05 * capacity, Timeout: 150 * time.Millisecond, MinCoverage: 1, Idempotent: true},
		{Name: "stock", Worth: 3, Rate: 0.35*rate - 0.05*capacity + 0.05*capacity/factor, Timeout: 150 * time.Millisecond, MinCoverage: 1, Idempotent: true},
		{Name: "browse", Worth: 1, Rate: 0.65 * rate, Timeout: 150 * time.Millisecond, MinCoverage: 1, Idempotent: true},
	}
}

// Overload is a small service at a multiple of the highest load that it can sustain.
func Overload(factor float64) Case {
	return Case{
		Name:   "overload-" + formatFactor(factor),
		About:  "2 servers with 2 slots, 4 shards on both, at a multiple of 90% of the capacity of 122 queries/s",
		Shards: 4, Replicas: 2, Servers: 2, Model: smallModel(), Preset: ordinaryPreset(),
		Kinds: mixedKinds(factor, 110), Duration: 22 * time.Second, Warmup: 2 * time.Second, SkipCanary: true,
		Policies: []Policy{Production(), RoundRobin(), LeastOutstanding()},
	}
}

// Cold is a small service whose servers start cold and each become cold again later, one at a time.
func Cold() Case {
	m := smallModel()
	m.Slots, m.StartCold = 6, true
	return Case{
		Name: "cold", About: "3 servers with 6 slots start cold; each becomes cold again without a restart",
		Shards: 3, Replicas: 3, Servers: 3, Model: m, Preset: ordinaryPreset(),
		Kinds: readKinds(200), Duration: 20 * time.Second, SkipCanary: true,
		Script: []Step{
			{At: 6 * time.Second, Do: func(w *world) { w.startColdPhase(w.serverList[0]) }},
			{At: 9 * time.Second, Do: func(w *world) { w.startColdPhase(w.serverList[1]) }},
			{At: 12 * time.Second, Do: func(w *world) { w.startColdPhase(w.serverList[2]) }},
		},
		Policies: []Policy{Production(), BestRamp(), LeastOutstanding(), Uncoordinated(6)},
	}
}

// ColdSilent is Cold with servers that always report themselves as warm.
func ColdSilent() Case {
	c := Cold()
	c.Name, c.About = "cold-silent", c.About+", and reports itself as warm"
	c.Model.ReportWarm = true
	return c
}

// Ramp is one server that starts cold, becomes cold again at 3 s and restarts at 6 s. The load is above
// its cold capacity, so that only the slow start of the scheduler determines when all slots are used.
// With first, only the cold start at the beginning is measured, before the scheduler has observed any
// other; without it, only the later ones are measured.
func Ramp(first bool) Case {
	c := Cold()
	c.Name, c.About = "ramp", "1 server with 6 slots under 500 requests/s becomes cold at 3 s and restarts at 6 s"
	c.Shards, c.Replicas, c.Servers, c.Duration, c.Warmup = 1, 1, 1, 10*time.Second, 2*time.Second
	c.Kinds = readKinds(500)
	c.Script = []Step{
		{At: 3 * time.Second, Do: func(w *world) { w.startColdPhase(w.serverList[0]) }},
		{At: 6 * time.Second, Do: func(w *world) { w.crash(w.serverList[0]) }},
	}
	if first {
		c.Name, c.About = "ramp-first", "1 server with 6 slots under 500 requests/s starts cold"
		c.Duration, c.Warmup, c.Script = 2*time.Second, 0, nil
	}
	c.Policies = []Policy{Production(), BestRamp(), LeastOutstanding()}
	return c
}

// Crash has a poison request, which crashes each server that runs it and is repeated by its caller.
func Crash() Case {
	c := Case{
		Name: "crash", About: "16 shards on 8 servers; a poison request that crashes servers is sent 10 times",
		Shards: 16, Replicas: 2, Servers: 8, Model: wideModel(), Preset: ordinaryPreset(),
		Kinds: readKinds(200), Duration: 12 * time.Second, Warmup: time.Second,
		Policies: []Policy{Production(), RoundRobin(), LeastOutstanding()},
	}
	for i := range 10 {
		c.Script = append(c.Script, Step{At: 3*time.Second + time.Duration(i)*500*time.Millisecond, Do: func(w *world) {
			w.submit(&w.config.Kinds[0], "poison", true)
		}})
	}
	return c
}

// Domain takes a failure domain with a third of the servers out of service and returns it later.
func Domain() Case {
	m := smallModel()
	m.Slots = 6
	return Case{
		Name: "domain", About: "6 servers in 3 domains; one domain is taken out at 4 s and returns cold at 10 s",
		Shards: 6, Replicas: 3, Servers: 6, Model: m, Preset: ordinaryPreset(),
		Kinds: readKinds(150), Duration: 16 * time.Second, Warmup: time.Second, SkipCanary: true,
		Script: []Step{
			{At: 4 * time.Second, Do: func(w *world) { w.disableServers(2) }},
			{At: 10 * time.Second, Do: func(w *world) { w.enableServers(2) }},
		},
		Policies: []Policy{Production(), BestRamp(), LeastOutstanding(), Uncoordinated(6)},
	}
}

// DomainLoaded is Domain under the highest load that the remaining servers can sustain. A sender that
// immediately gives the servers of the returning domain their full share overloads all of them.
func DomainLoaded() Case {
	c := Domain()
	c.Name = "domain-loaded"
	c.About = "6 servers in 3 domains under 400 queries/s; one domain is taken out at 4 s and returns cold at 10 s"
	c.Kinds = readKinds(400)
	return c
}

// Partial is an outage of a third of the servers: each request to them fails after a byte was sent, so
// that it may have run.
func Partial() Case {
	c := Domain()
	c.Name, c.About = "partial", "6 servers; 2 of them fail each request from 4 s to 10 s"
	c.Kinds = readKinds(100)
	c.Script = []Step{
		{At: 4 * time.Second, Do: func(w *world) { w.setFailing(2, true) }},
		{At: 10 * time.Second, Do: func(w *world) { w.setFailing(2, false) }},
	}
	return c
}

func (w *world) setFailing(n int, failing bool) {
	for _, v := range w.serverList[:n] {
		v.failing = failing
	}
}

// groupCase returns a service of section 1.6 of the design page with dedicated servers. Each shard has a
// replica on every server. The load is half of the capacity, and a failure domain is out of service for
// 4 s.
func groupCase(name string, servers, slots int) Case {
	m := wideModel()
	m.Slots = slots
	perQuery := time.Duration(servers) * (m.ServiceTime + 2*m.Network)
	c := Case{
		Name: name, About: fmt.Sprintf("%d servers with %d slots at half load; the first is out from 4 s to 8 s", servers, slots),
		Shards: servers, Replicas: servers, Servers: servers, Model: m, Preset: ordinaryPreset(),
		Duration: 12 * time.Second, Warmup: time.Second, SkipCanary: true,
		Script: []Step{
			{At: 4 * time.Second, Do: func(w *world) { w.disableServers(1) }},
			{At: 8 * time.Second, Do: func(w *world) { w.enableServers(1) }},
		},
		Policies: []Policy{Production(), RoundRobin(), LeastOutstanding()},
	}
	c.Kinds = mixedKinds(0.5, float64(servers*slots)/perQuery.Seconds())
	return c
}

// Groups returns a case for each server group of both deployments. cooperative-desk also stands for
// festival-board, and dispatch-desk for member-portal, which have the same sizes.
func Groups() []Case {
	return []Case{
		groupCase("cooperative-desk", 2, 2), groupCase("workshop-ledger", 5, 6), groupCase("school-buying", 3, 6),
		groupCase("dispatch-desk", 2, 2), groupCase("billing-office", 4, 6), groupCase("grinder-yard", 3, 6),
	}
}

// Leave has a draining server that announces it only in its responses, not in the configuration.
func Leave() Case {
	c := Domain()
	c.Name, c.About = "leave", "6 servers; one drains at 4 s and announces it only in its responses"
	c.Script = []Step{{At: 4 * time.Second, Do: func(w *world) {
		w.serverList[0].leaving = true
		w.recordWithdrawal(w.serverList[0])
	}}}
	return c
}

// disableServers makes the first n servers unusable, as a configuration with their failure domain out of
// service does.
func (w *world) disableServers(n int) {
	for _, v := range w.serverList[:n] {
		w.unusable[v.address] = "failure domain out"
		w.recordWithdrawal(v)
	}
	w.updateServers()
}

// enableServers makes the first n servers usable again, in a new cold phase.
func (w *world) enableServers(n int) {
	for _, v := range w.serverList[:n] {
		delete(w.unusable, v.address)
		v.withdrawnAt = 0
		w.startColdPhase(v)
	}
	w.domainReturnedAt = w.now
	w.updateServers()
}

func (w *world) recordWithdrawal(v *modelServer) {
	v.withdrawnAt = w.now
}

func (w *world) updateServers() {
	for _, s := range w.senders {
		w.applyActions(s, s.slice.SetServers(w.time(), w.serverViews()))
	}
}

// Cases returns all cases in the order of the report.
func Cases() []Case {
	return append([]Case{
		Tail(false), Tail(true), Overload(1), Overload(2), Overload(5), Cold(), ColdSilent(), Ramp(true), Ramp(false),
		Crash(), Domain(), DomainLoaded(), Leave(), Partial(),
	}, Groups()...)
}
