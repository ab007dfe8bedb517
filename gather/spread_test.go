package gather

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against shards that are lost or sent twice when a query is spread, and against a spread that is slower than
// sending all shards directly.
func TestSpreadCountsAllShards(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		cores := rapid.Float64Range(0.05, 4)
		n := rapid.IntRange(1, 300).Draw(t, "shards")
		self := lane{cores: cores.Draw(t, "cores")}
		var relays []lane
		for range rapid.IntRange(0, 15).Draw(t, "relays") {
			relays = append(relays, lane{
				cores: cores.Draw(t, "relay cores"), backlog: rapid.IntRange(0, 200).Draw(t, "backlog"), delay: relayDelay,
			})
		}
		s := spreadShards(n, &self, self.cores, relays)
		total := s.own
		for _, c := range s.counts {
			total += c
		}
		if total != n || s.own < 0 || slices.ContainsFunc(s.counts, func(c int) bool { return c < 0 }) {
			t.Fatalf("%+v for %d shards", s, n)
		}
		if direct := self.finishTime(n); s.time > direct {
			t.Fatalf("%v, and %v without relays", s.time, direct)
		}
	})
}

const (
	// smallCores is the size of the smallest nodes of the users' large deployments.
	smallCores = 0.12
	// burstShards and burstNodes are the shards of a query and the nodes of a failure domain.
	burstShards = 180
	burstNodes  = 9
	// sweepObjective is the objective of the query over all shards.
	sweepObjective = 100 * time.Millisecond
)

// processor is the processor of a simulated node, which does one thing after the other.
type processor struct {
	cores float64
	free  time.Time
}

// run returns the time at which work of the given processor time on one core is done.
func (p *processor) run(now time.Time, work time.Duration) time.Time {
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(work) / p.cores))
	return p.free
}

// burstFleet is a failure domain of small nodes with a server for each shard.
type burstFleet struct {
	engine *Engine
	nodes  []*processor
	byAddr map[netip.AddrPort]*processor
	pools  []string
}

func newBurstFleet(relays bool) *burstFleet {
	f := &burstFleet{
		engine: New(Config{FailureDomain: here, Cores: smallCores}), byAddr: make(map[netip.AddrPort]*processor),
	}
	var list []Relay
	for i := range burstNodes {
		p := &processor{cores: smallCores}
		f.nodes = append(f.nodes, p)
		if i > 0 && relays {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 1)
			f.byAddr[a] = p
			list = append(list, Relay{Address: a, FailureDomain: here, Cores: smallCores})
		}
	}
	var pools []Pool
	for i := range burstShards {
		name := fmt.Sprint("s", i)
		f.pools = append(f.pools, name)
		pools = append(pools, Pool{Name: name, Servers: []Server{testServer(name, here)}})
	}
	f.engine.SetPools(epoch, pools)
	f.engine.SetRelays(list)
	return f
}

// query returns the time that one query takes from its arrival until the last shard has answered, if each server takes
// the service time.
func (f *burstFleet) query(now time.Time, service time.Duration) time.Duration {
	id, act := f.engine.Submit(now, Request{
		Class: "sweep", Pools: f.pools, Idempotent: true, Relayable: true, MinCoverage: 0.95, MaxAttempts: 2,
		Deadline: now.Add(time.Second), Target: now.Add(sweepObjective),
	})
	var answers, merged []time.Time
	for _, r := range act.Relays {
		called := f.nodes[0].run(now, relayCallTime/2)
		p := f.byAddr[r.Address]
		p.run(called.Add(relayDelay/2), relayServeTime/2+time.Duration(len(r.Tasks))*sendTime)
		merged = append(merged, p.run(p.free.Add(service), relayServeTime/2).Add(relayDelay/2))
	}
	for range act.Sends {
		answers = append(answers, f.nodes[0].run(now, sendTime).Add(service))
	}
	slices.SortFunc(merged, time.Time.Compare)
	for _, at := range merged {
		answers = append(answers, f.nodes[0].run(at, relayCallTime/2))
	}
	end := slices.MaxFunc(answers, time.Time.Compare)
	f.engine.Abandon(id)
	for _, r := range act.Relays {
		f.engine.RelayEnd(now, r.Relay, Result{Outcome: Canceled})
	}
	for _, s := range act.Sends {
		f.engine.Done(now, s.Attempt, Result{Outcome: Canceled})
	}
	return end.Sub(now)
}

// Replays queries to 180 shards that arrive at one node of 0.12 cores. Guards against a node that works on its own for
// longer than the objective of the query while its neighbours are idle.
func TestLargeQueryIsSpreadOverSmallNodes(t *testing.T) {
	t.Parallel()
	const service = 11 * time.Millisecond
	// An oracle divides the work evenly, without any cost of a call.
	cores := burstNodes * smallCores
	oracle := time.Duration(burstShards*float64(sendTime)/cores) + service
	direct, spread := newBurstFleet(false), newBurstFleet(true)
	now := epoch
	for i := range 20 {
		alone, together := direct.query(now, service), spread.query(now, service)
		t.Logf("query %d: %v alone, %v spread, %v at best", i, alone, together, oracle)
		if alone <= sweepObjective {
			t.Fatalf("a node alone takes %v: the load does not show the fault", alone)
		}
		if together > sweepObjective*9/10 {
			t.Errorf("query %d takes %v of an objective of %v", i, together, sweepObjective)
		}
		now = now.Add(500 * time.Millisecond)
	}
}

// Guards against relays for a query that a node can send by itself in time: a further node is one more that can fail.
func TestSmallQueryIsSentDirectly(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newBurstFleet(true)
	f.engine.config.Cores = 0.4
	now := epoch
	_, act := f.engine.Submit(now, Request{
		Class: "find", Pools: f.pools[:20], Idempotent: true, Relayable: true, MinCoverage: 0.75, MaxAttempts: 2,
		Deadline: now.Add(time.Second), Target: now.Add(50 * time.Millisecond),
	})
	is.Equal(len(act.Relays), 0)
	is.Equal(len(act.Sends), 20)
}

// Guards against the worst load feeding itself: when a slow relay makes all its shards due for a hedge so late that the
// hedges cannot be answered before the target, they are not sent, and one single hedge is.
func TestHedgesThatCannotArriveInTimeWait(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, n := range []int{burstShards, 1} {
		e := New(Config{FailureDomain: here, Cores: smallCores})
		var pools []Pool
		var names []string
		for i := range n {
			name := fmt.Sprint("s", i)
			names = append(names, name)
			pools = append(pools, pair(name))
		}
		e.SetPools(epoch, pools)
		target := epoch.Add(sweepObjective)
		id, act := e.Submit(epoch, Request{
			Class: "sweep", Pools: names, Idempotent: true, MinCoverage: 0.95, MaxAttempts: 2,
			Deadline: epoch.Add(time.Second), Target: target,
		})
		is.Equal(len(act.Sends), n)
		at := e.NextTick(epoch, id)
		is.True(at.Before(target))
		hedges := e.Tick(at, id)
		if n == 1 {
			is.Equal(len(hedges.Sends), 1)
			continue
		}
		is.Equal(len(hedges.Sends), 0)
		e.Tick(target, id)
		late := e.NextTick(target, id)
		is.True(late.After(target) && late.Before(target.Add(sweepObjective)))
		is.Equal(len(e.Tick(late, id).Sends), n)
	}
}
