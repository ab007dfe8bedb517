package proof

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/wire"
)

const (
	// maxControlRate is the objective for the control traffic that a node sends at the target fleet size, in bytes
	// per second.
	maxControlRate = 5 << 10
	// maxPlatformReads is the number of reads per second that the platform answers for all readers together.
	maxPlatformReads = 2000
	steadyStateTime  = 5 * time.Second
	configRuns       = 5
)

// Guards against control traffic above its limit and late configuration changes with 3, 6 and 9 nodes, and measures
// the cost of a configuration change, a drained failure domain and the loss of a lease holder.
func TestFleetSizes(t *testing.T) {
	t.Parallel()
	for _, count := range fleetSizes(t) {
		t.Run(fmt.Sprint(count, " nodes"), func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, count, fake.Layout{Services: 3, Servers: 6, Replicas: 3, Slots: 6, ColdSlots: 1})
			rows := [][]string{{"nodes", fmt.Sprint(count)}}
			rows = append(rows, f.measureControl(), f.measureConfig())
			rows = append(rows, f.measureLoad()...)
			logTable(t, rows)
		})
	}
}

// fleetSizes returns 3, 6 and 9, or the number of nodes in ARBUTUSTHREAD_PROOF_NODES.
func fleetSizes(t *testing.T) []int {
	text := os.Getenv("ARBUTUSTHREAD_PROOF_NODES")
	if text == "" {
		return []int{3, 6, 9}
	}
	count, err := strconv.Atoi(text)
	is.New(t).NoErr(err)
	return []int{count}
}

// measureControl returns the control bytes per second that each node sends in steady state.
func (f *fleet) measureControl() []string {
	sent := func() []uint64 {
		var list []uint64
		for _, p := range f.nodes {
			s, ok := f.status(p)
			is.New(f.t).True(ok)
			list = append(list, s.Control.SentBytes)
		}
		return list
	}
	time.Sleep(steadyStateTime) // wait until all nodes have joined
	before, begin := sent(), time.Now()
	time.Sleep(steadyStateTime)
	after, took := sent(), time.Since(begin)
	var rates []int
	for i := range after {
		rates = append(rates, int(float64(after[i]-before[i])/took.Seconds()))
	}
	is.New(f.t).True(slices.Max(rates) <= maxControlRate)
	return []string{"control bytes a second of each node", fmt.Sprint(rates)}
}

// measureConfig returns the propagation times of configuration changes to all nodes, and the number of platform
// reads that they cause.
func (f *fleet) measureConfig() []string {
	is := is.New(f.t)
	reads := func() (r fake.Reads) {
		is.True(f.get(f.platform, "/v1/reads", &r))
		return r
	}
	var times []time.Duration
	before, begin := reads(), time.Now()
	for range configRuns {
		start := time.Now()
		f.publish(func(d *conf.Document) { d.Preset = "peak" })
		f.waitUntil("the change active on all nodes", func() bool {
			for _, p := range f.nodes {
				if s, ok := f.status(p); !ok || s.Version != f.version() {
					return false
				}
			}
			return true
		})
		times = append(times, time.Since(start).Round(time.Millisecond))
	}
	after := reads()
	is.True(slices.Max(times) <= convergenceObjective)
	is.True(after.MaxPerSecond <= maxPlatformReads)
	rate := float64(after.Total-before.Total) / time.Since(begin).Seconds()
	return []string{"configuration to all nodes; reads for 5 changes, a second, busiest second", fmt.Sprint(
		times, "; ", after.Total-before.Total, ", ", int(rate), ", ", after.MaxPerSecond)}
}

// measureLoad sets a failure domain to out and kills a lease holder while callers send requests.
func (f *fleet) measureLoad() [][]string {
	is := is.New(f.t)
	c := f.callers(defaultSeed, 4, 4)
	time.Sleep(2 * time.Second)
	f.setDomain(domains[0], conf.DomainOut)
	out := time.Now()
	time.Sleep(convergenceObjective + time.Second)
	var last time.Duration
	for _, a := range f.servers(domains[0]) {
		for _, r := range f.record(a).Shards {
			last = max(last, r.At.Sub(out))
		}
	}
	is.True(last <= convergenceObjective)
	f.setDomain(domains[0], conf.DomainIn)
	f.waitUntil("the domain is back", f.converged)
	time.Sleep(time.Second)
	holder := f.nodes[slices.IndexFunc(f.nodes, func(p *process) bool { s, _ := f.status(p); return len(s.Slices) > 0 })]
	service := ""
	if s, ok := f.status(holder); ok {
		service = s.Slices[0].Service
	}
	holder.kill()
	killed := time.Now()
	f.waitUntil("another lease holder", func() bool {
		for _, p := range f.nodes {
			s, _ := f.status(p)
			for _, h := range s.Slices {
				if p != holder && h.Service == service {
					return true
				}
			}
		}
		return false
	})
	failover := time.Since(killed)
	time.Sleep(2 * time.Second)
	c.stop()
	c.resolveUnknown()
	is.Equal(c.wrongAnswers, nil)
	records := map[string]fake.Record{}
	for _, a := range f.servers("") {
		records[a.String()] = f.record(a)
	}
	doubled := c.reconcile(records)
	c.orders.check(f.t, "orders", orderModel)
	_, _ = checkCold(f.t, records)
	return [][]string{
		{"last work in a domain after it was published as out", last.Round(time.Millisecond).String()},
		{"time without a lease holder after a kill", failover.Round(10 * time.Millisecond).String()},
		{"longest time without answers of a service after it", c.longestAnswerGap(killed, 5*time.Second).Round(10 * time.Millisecond).String()},
		{"queries: sent, answered, refused", fmt.Sprint(c.queries, " ", c.answered, " ", c.refused)},
		{"orders: answered, refused, unknown, doubled", fmt.Sprint(
			c.count(wire.Answered), " ", c.count(wire.Refused), " ", c.count(wire.Unknown), " ", doubled)},
		{"CPU, memory of each node", f.resourceUsage()},
	}
}
