package serve

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fake"
)

func coldLayout() (fake.Layout, fake.ServerConfig) {
	return fake.Layout{Servers: 6, Replicas: 3, Slots: 4, ColdSlots: 1}, fake.ServerConfig{
		StartWarm: true, Latency: fake.Latency{Median: 20 * time.Millisecond, Sigma: -1, StragglerShare: -1},
	}
}

// A server in a cold start must not get more load than its limit for cold servers: a server that becomes cold without
// notice, from its first response that reports it, and a restarted server, at any time.
func TestColdServerIsNotOverrun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	layout, server := coldLayout()
	f := startFleetWith(t, layout, server, "Lukang", "Yilan", "Chiayi")
	load := f.startTraffic(16, 2, 0)
	load.waitForAnswers(600) // the concurrency limits have ramped up
	turned, restarted := f.Servers()[0], f.Servers()[1]
	f.eventually("load on the server above its cold limit", func() bool { return turned.Record().MaxConcurrent > 1 })
	turned.MakeCold()
	restarted.Crash()
	load.waitForAnswers(400)
	load.stop()
	is.Equal(load.incorrect, nil)
	load.checkOrders()
	for _, c := range restarted.Record().Cold {
		is.Equal(c.Cause, fake.ColdStart)
		is.Equal(c.OverLimit, 0) // the refused connection is the first indication
	}
	is.Equal(restarted.Record().Crashes, 1)
	is.Equal(turned.Record().Crashes, 0)
	c := turned.Record().Cold[0]
	t.Logf("became cold with %d requests in flight, %d requests over the limit", c.InFlight, c.OverLimit)
	// A permit is freed only by a response, and each response sent after the server became cold reports that it is cold.
	// So at most the permits that were free at that time, or whose responses were already in transit, can still be used.
	is.True(c.OverLimit <= layout.Slots)
}

// A failure domain must get no new requests later than 2 s after it is taken out, no request may be lost with it,
// and its cold servers must not be overloaded when it returns.
func TestDomainOutAndBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	layout, server := coldLayout()
	f := startFleetWith(t, layout, server, "Lukang", "Yilan", "Chiayi")
	load := f.startTraffic(8, 2, 0)
	holder := f.leaseHolder()
	// First the domain of the lease holder, whose lease must move, then another domain, which returns while the holder
	// keeps its lease.
	for _, domain := range []string{holder.settings.FailureDomain, f.nodesExcept(holder)[0].settings.FailureDomain} {
		load.waitForAnswers(400)
		servers := f.servers(t, domain)
		is.True(servers[0].Record().MaxConcurrent > 1) // above its cold limit
		is.NoErr(f.SetDomain(domain, conf.DomainOut))
		time.Sleep(2 * time.Second) // limit in the requirement
		for _, s := range servers {
			s.Mark()
		}
		is.True(f.leaseHolder().settings.FailureDomain != domain)
		load.waitForAnswers(200)
		for _, s := range servers {
			is.Equal(s.Record().AfterMark, 0)
			s.MakeCold()
		}
		is.NoErr(f.SetDomain(domain, conf.DomainIn))
		f.eventually("new requests for the domain", func() bool { return servers[0].Record().AfterMark > 50 })
	}
	load.stop()
	for _, s := range f.Servers() {
		for _, c := range s.Record().Cold {
			if c.OverLimit > 0 {
				t.Logf("server %s: %+v; lease holder was %s, is now %s", s.Address(), c, holder.settings.Name, f.leaseHolder().settings.Name)
			}
			is.Equal(c.OverLimit, 0)
		}
	}
	is.Equal(load.incorrect, nil)
	is.Equal(load.failedQueries, nil)
	is.Equal(load.failedOrders, nil)
	load.checkOrders()
}

// A backend server must get no new requests later than 2 s after the list of VMs marks it as leaving or after it starts
// to drain.
func TestLeavingServer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, fake.Layout{Servers: 6, Replicas: 3}, "Lukang", "Yilan", "Chiayi")
	load := f.startTraffic(6, 2, 0)
	load.waitForAnswers(100)
	leaving, drained := f.Servers()[0], f.Servers()[1]
	f.MarkLeaving(leaving.Address())
	drained.Drain()
	time.Sleep(2 * time.Second) // limit in the requirement
	leaving.Mark()
	drained.Mark()
	load.waitForAnswers(200)
	is.Equal(leaving.Record().AfterMark, 0)
	is.Equal(drained.Record().AfterMark, 0)
	load.stop()
	is.Equal(load.incorrect, nil)
	is.Equal(load.failedQueries, nil)
	is.Equal(load.failedOrders, nil)
	load.checkOrders()
}

// A graceful shutdown must not abort a query or an order of a caller that follows the directory, and a node that is
// shutting down must not issue order keys.
func TestPlannedStopUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, fake.Layout{Servers: 6, Replicas: 3}, "Lukang", "Yilan", "Chiayi", "Lukang", "Yilan", "Chiayi")
	load := f.startTraffic(3, 4, 0)
	load.waitForAnswers(100)
	for range 2 {
		holder := f.leaseHolder()
		f.nodes = f.nodesExcept(holder)
		holder.Stop(t.Context())
		is.Equal(len(holder.peer.Leases()), 0) // handed over before the shutdown completes
		load.waitForAnswers(100)
	}
	load.stop()
	is.Equal(load.incorrect, nil)
	is.Equal(load.failedQueries, nil)
	is.Equal(load.failedOrders, nil)
	load.checkOrders()
	t.Logf("%d answers, %d orders", load.answered, len(load.orders))
}
