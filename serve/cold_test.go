package serve

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/stand"
)

func coldLayout() (stand.Layout, stand.ServerConfig) {
	return stand.Layout{Servers: 6, Replicas: 3, Slots: 4, ColdSlots: 1}, stand.ServerConfig{
		StartWarm: true, Latency: stand.Latency{Median: 20 * time.Millisecond, Sigma: -1, StragglerShare: -1},
	}
}

// Guards against load on a server in a cold start above what it bears: one that turned cold without
// notice, after its first answer that says so, and one that restarted, at any time.
func TestColdServerIsNotOverrun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	layout, server := coldLayout()
	f := startFleetWith(t, layout, server, "Lukang", "Yilan", "Chiayi")
	load := f.traffic(16, 2, 0)
	load.more(600) // the allowances have ramped up
	turned, restarted := f.Servers()[0], f.Servers()[1]
	f.until("load on the server above what it bears when cold", func() bool { return turned.Record().MostAtOnce > 1 })
	turned.TurnCold()
	restarted.Crash()
	load.more(400)
	load.stop()
	is.Equal(load.wrong, nil)
	load.checkOrders()
	for _, c := range restarted.Record().Cold {
		is.Equal(c.Cause, stand.ColdStart)
		is.Equal(c.Over, 0) // the refused connection is the first sign
	}
	is.Equal(restarted.Record().Crashes, 1)
	is.Equal(turned.Record().Crashes, 0)
	c := turned.Record().Cold[0]
	t.Logf("turned cold with %d in flight, %d requests over", c.InFlight, c.Over)
	// A permit comes free only with an answer, and each answer that left after the turn is a sign. So
	// at most the permits that were free then, or whose answers were on their way, can be used.
	is.True(c.Over <= layout.Slots)
}

// Guards against new work for a failure domain more than 2 s after it was taken out, a request that
// is lost with it, and a rush on its cold servers when it returns.
func TestDomainOutAndBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	layout, server := coldLayout()
	f := startFleetWith(t, layout, server, "Lukang", "Yilan", "Chiayi")
	load := f.traffic(8, 2, 0)
	home := f.home()
	// The domain of the home, which must move, and another one, which its home sees return.
	for _, domain := range []string{home.settings.FailureDomain, f.others(home)[0].settings.FailureDomain} {
		load.more(400)
		servers := f.servers(t, domain)
		is.True(servers[0].Record().MostAtOnce > 1) // more than it bears when cold
		is.NoErr(f.SetDomain(domain, conf.DomainOut))
		time.Sleep(2 * time.Second) // the objective
		for _, s := range servers {
			s.Mark()
		}
		is.True(f.home().settings.FailureDomain != domain)
		load.more(200)
		for _, s := range servers {
			is.Equal(s.Record().AfterMark, 0)
			s.TurnCold()
		}
		is.NoErr(f.SetDomain(domain, conf.DomainIn))
		f.until("new work for the domain", func() bool { return servers[0].Record().AfterMark > 50 })
	}
	load.stop()
	for _, s := range f.Servers() {
		for _, c := range s.Record().Cold {
			if c.Over > 0 {
				t.Logf("server %s: %+v; home was %s, is %s", s.Address(), c, home.settings.Name, f.home().settings.Name)
			}
			is.Equal(c.Over, 0)
		}
	}
	is.Equal(load.wrong, nil)
	is.Equal(load.refused, nil)
	is.Equal(load.lost, nil)
	load.checkOrders()
}

// Guards against new work for a backend server more than 2 s after the list of VMs has it as leaving,
// or after it began to drain.
func TestLeavingServer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, stand.Layout{Servers: 6, Replicas: 3}, "Lukang", "Yilan", "Chiayi")
	load := f.traffic(6, 2, 0)
	load.more(100)
	leaving, drained := f.Servers()[0], f.Servers()[1]
	f.Leave(leaving.Address())
	drained.Drain()
	time.Sleep(2 * time.Second) // the objective
	leaving.Mark()
	drained.Mark()
	load.more(200)
	is.Equal(leaving.Record().AfterMark, 0)
	is.Equal(drained.Record().AfterMark, 0)
	load.stop()
	is.Equal(load.wrong, nil)
	is.Equal(load.refused, nil)
	is.Equal(load.lost, nil)
	load.checkOrders()
}

// Guards against a planned stop that cuts off a query or an order of a caller that follows the
// addresses, and against an order key that is issued by a node that stops.
func TestPlannedStopUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, stand.Layout{Servers: 6, Replicas: 3}, "Lukang", "Yilan", "Chiayi", "Lukang", "Yilan", "Chiayi")
	load := f.traffic(3, 4, 0)
	load.more(100)
	for range 2 {
		home := f.home()
		f.nodes = f.others(home)
		home.Stop(t.Context())
		is.Equal(len(home.peer.Leases()), 0) // handed over before the end
		load.more(100)
	}
	load.stop()
	is.Equal(load.wrong, nil)
	is.Equal(load.refused, nil)
	is.Equal(load.lost, nil)
	load.checkOrders()
	t.Logf("%d answers, %d orders", load.answered, len(load.orders))
}
