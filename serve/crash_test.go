package serve

import (
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/guard"
	"github.com/arbutusthread/arbutusthread/wire"
)

// A query that crashes servers must not crash more than two when its caller resends it to each node, also after its
// lease holder fails, and other requests must not be affected.
func TestCrashingQuery(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, fake.Layout{Servers: 6, Replicas: 3}, "Lukang", "Yilan", "Chiayi")
	for _, s := range f.Servers() {
		s.SetFaults(fake.ServerFaults{CrashMark: "poison"})
	}
	crashes := func() int { return f.sumRecords(func(r fake.Record) int { return r.Crashes }) }
	load := f.startTraffic(4, 1, 0)
	load.waitForAnswers(50)
	last := make(map[*Node]wire.Reason)
	send := func(nodes []*Node) {
		for _, n := range nodes {
			_, v := f.post(n, "/v1/services/service-0/query", wire.Query{Kind: "lookup", Query: "poison"}, nil)
			is.True(v != nil)
			last[n] = v.Reason
		}
	}
	for range 10 {
		send(f.nodes)
	}
	is.Equal(crashes(), 2)
	for _, n := range f.nodes {
		is.Equal(last[n], wire.ReasonQuarantine)
	}
	fp := guard.FingerprintOf(testService, "lookup", "poison")
	for _, n := range f.nodes {
		f.eventually("the poison mark on "+n.settings.Name, func() bool {
			n.holders.mu.Lock()
			defer n.holders.mu.Unlock()
			return len(n.holders.poisonMarks[fp].Crashes) == 2
		})
	}
	holder := f.leaseHolder()
	f.kill(holder)
	f.nodes = f.nodesExcept(holder)
	f.leaseHolder()
	for range 5 {
		send(f.nodes)
	}
	is.Equal(crashes(), 2)
	load.waitForAnswers(50)
	load.stop()
	is.Equal(load.incorrect, nil)
	is.Equal(load.failedQueries, nil)
	load.checkOrders()
}
