package serve

import (
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/guard"
	"github.com/arbutusthread/arbutusthread/stand"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Guards against a crashing query that takes more than two servers when its caller sends it again to
// each node, also after a loss of its home, and against harm to its neighbours.
func TestCrashingQuery(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, stand.Layout{Servers: 6, Replicas: 3}, "Lukang", "Yilan", "Chiayi")
	for _, s := range f.Servers() {
		s.SetFaults(stand.ServerFaults{CrashMark: "poison"})
	}
	crashes := func() int { return f.total(func(r stand.Record) int { return r.Crashes }) }
	load := f.traffic(4, 1, 0)
	load.more(50)
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
		f.until("the mark at "+n.settings.Name, func() bool {
			n.homes.mu.Lock()
			defer n.homes.mu.Unlock()
			return len(n.homes.marks[fp].Crashes) == 2
		})
	}
	home := f.home()
	f.kill(home)
	f.nodes = f.others(home)
	f.home()
	for range 5 {
		send(f.nodes)
	}
	is.Equal(crashes(), 2)
	load.more(50)
	load.stop()
	is.Equal(load.wrong, nil)
	is.Equal(load.refused, nil)
	load.checkOrders()
}
