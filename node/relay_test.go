package node

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/back"
	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/gather"
	"github.com/arbutusthread/arbutusthread/table"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Guards against a relay that reports a shard as not sent although a server has refused it: the requesting node would
// not count the arrival in its retry budget. Guards also against misreported answers, failures, shards without a
// server and shards of a service that the relay does not know.
func TestRelayReportsShardOutcomes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	published, members := newFleet(t, 86, "lukang")
	m := members[0]
	servers := make(map[string]*fake.RoutedServer)
	for _, service := range []string{"answers", "refuses", "breaks"} {
		s, err := fake.NewRoutedServer(netip.MustParseAddrPort("127.0.0.1:0"), fake.RoutedConfig{ID: service})
		is.NoErr(err)
		defer s.Close()
		servers[service] = s
		published.PutServer(feed.Server{ID: service, Service: service, Address: s.Address(), FailureDomain: "lukang", Slots: 2})
	}
	published.PutServer(feed.Server{
		ID: "far", Service: "elsewhere", Address: netip.MustParseAddrPort("127.0.0.1:9"), FailureDomain: "yilan", Slots: 2,
	})
	servers["refuses"].SetID("another")
	servers["breaks"].SetFaults(fake.RoutedFaults{ResetAfterRun: 1})
	published.SetConfig(config("answers", "refuses", "breaks", "elsewhere"))
	waitFor(t, "the list of servers", eventTimeout, func() bool {
		return hasService(m, "elsewhere") && len(m.Status().Servers) == 4
	})

	var all wire.GatherPart
	q := &wire.GatherQuery{
		RequestID: "r1", Pools: []string{"answers", "refuses", "breaks", "elsewhere", "dropped"}, Class: "r", TopK: 3,
		ReplyIn: 500, Timeout: 1000, Method: http.MethodGet, URI: "/x", Host: "h",
	}
	err := m.serveRelay(context.Background(), q, func(p wire.GatherPart) error {
		all.Answered = append(all.Answered, p.Answered...)
		all.Refused = append(all.Refused, p.Refused...)
		all.Failed = append(all.Failed, p.Failed...)
		all.Declined = append(all.Declined, p.Declined...)
		all.Records = append(all.Records, p.Records...)
		all.Seals = append(all.Seals, p.Seals...)
		return nil
	})
	is.NoErr(err)
	is.Equal(all.Answered, []int{0})
	is.Equal(all.Refused, []int{1})
	is.Equal(all.Failed, []int{2})
	is.Equal(slices.Sorted(slices.Values(all.Declined)), []int{3, 4})
	is.Equal(all.Seals, []string{fake.RoutedSeal("answers", "r1")})
	is.True(slices.Equal(all.Records, gather.TopK([][]byte{fake.RoutedBody("answers", "/x", 8)}, 3)))
}

// Guards against a relay with a single shard that reports the failure of its server as a part of the answer.
func TestRelayReportsTheFailureOfASingleShard(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	published, members := newFleet(t, 90, "lukang")
	m := members[0]
	s, err := fake.NewRoutedServer(netip.MustParseAddrPort("127.0.0.1:0"), fake.RoutedConfig{
		ID: "fails", Faults: fake.RoutedFaults{InternalError: 1, FailureStatus: http.StatusNotFound},
	})
	is.NoErr(err)
	defer s.Close()
	published.PutServer(feed.Server{ID: "fails", Service: "fails", Address: s.Address(), FailureDomain: "lukang", Slots: 2})
	published.SetConfig(config("fails"))
	waitFor(t, "the list of servers", eventTimeout, func() bool { return hasService(m, "fails") && len(m.Status().Servers) == 1 })
	var all wire.GatherPart
	err = m.serveRelay(t.Context(), &wire.GatherQuery{
		RequestID: "r1", Pools: []string{"fails"}, Class: "r", TopK: 3, ReplyIn: 50, Timeout: 1000, Method: http.MethodGet, URI: "/x", Host: "h",
	}, func(p wire.GatherPart) error {
		all.Answered = append(all.Answered, p.Answered...)
		all.Failed = append(all.Failed, p.Failed...)
		return nil
	})
	is.NoErr(err)
	is.Equal(len(all.Answered), 0)
	is.Equal(all.Failed, []int{0})
}

// Guards against a poison request that crashes one server after another through any node.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	published, members := newFleet(t, 87, "lukang", "lukang")
	var servers []*fake.RoutedServer
	for i := range 6 {
		id := fmt.Sprint("i-", i)
		s, err := fake.NewRoutedServer(netip.MustParseAddrPort("127.0.0.1:0"), fake.RoutedConfig{ID: id})
		is.NoErr(err)
		defer s.Close()
		servers = append(servers, s)
		published.PutServer(feed.Server{ID: id, Service: "s", Address: s.Address(), FailureDomain: "lukang", Slots: 2})
	}
	c := config("s")
	c.Routes = []table.Route{{
		Name: "r", Host: "h", Prefix: "/", Idempotent: true, MaxAttempts: 2, Targets: []table.Target{{Service: "s", Weight: 1}},
	}}
	published.SetConfig(c)
	for _, m := range members {
		waitFor(t, "the list of servers", eventTimeout, func() bool { return hasService(m, "s") && len(m.Status().Servers) == 6 })
	}
	call := func(m *member, uri string) Outcome {
		out, err := m.Serve(t.Context(), &Request{
			Route: &m.Table().Config().Routes[0], Deadline: time.Now().Add(300 * time.Millisecond),
			Forward: back.Forward{Method: http.MethodGet, URI: uri, Host: "h", RequestID: "r"},
		})
		is.NoErr(err)
		return out
	}
	for _, s := range servers {
		s.SetFaults(fake.RoutedFaults{CrashURI: "/poison"})
	}
	crashed := 0
	for i := range 12 {
		call(members[i%2], "/poison")
		crashed = 0
		for _, s := range servers {
			if s.Crashed() {
				crashed++
			}
		}
	}
	// Two crashes quarantine the request; each node may have sent it once more before it received the crash notes.
	is.True(crashed <= 4)
	is.Equal(call(members[0], "/poison").End, gather.Refused)
	waitFor(t, "the other node to refuse the request", eventTimeout, func() bool {
		return call(members[1], "/poison").End == gather.Refused
	})
	is.Equal(call(members[0], "/other").End, gather.Complete)
}

// Guards against a poison request that reaches the only server of its service again each time that the server is back.
func TestPoisonRequestOfOneServerIsQuarantined(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	published, members := newFleet(t, 91, "lukang", "yilan")
	c := config("s")
	c.Routes = []table.Route{{Name: "r", Host: "h", Prefix: "/", MaxAttempts: 2, Targets: []table.Target{{Service: "s", Weight: 1}}}}
	published.SetConfig(c)
	address := netip.MustParseAddrPort("127.0.0.1:0")
	start := func(id string) *fake.RoutedServer {
		s, err := fake.NewRoutedServer(address, fake.RoutedConfig{ID: id, Faults: fake.RoutedFaults{CrashURI: "/poison"}})
		is.NoErr(err)
		t.Cleanup(s.Close)
		address = s.Address()
		published.PutServer(feed.Server{ID: id, Service: "s", Address: address, FailureDomain: "lukang", Slots: 2})
		for _, m := range members {
			waitFor(t, "the server", eventTimeout, func() bool {
				list := m.Status().Servers
				return hasService(m, "s") && len(list) == 1 && list[0].ID == id
			})
		}
		return s
	}
	call := func(m *member, uri string) Outcome {
		out, err := m.Serve(t.Context(), &Request{
			Route: &m.Table().Config().Routes[0], Deadline: time.Now().Add(time.Second),
			Forward: back.Forward{Method: http.MethodPost, URI: uri, Host: "h", RequestID: "r", NonIdempotent: true},
		})
		is.NoErr(err)
		return out
	}
	for i := range 2 {
		id := fmt.Sprint("i-", i)
		s := start(id)
		is.Equal(call(members[i], "/other").End, gather.Complete)
		is.Equal(call(members[i], "/poison").End, gather.Failed)
		is.True(s.Crashed())
		time.Sleep(2500 * time.Millisecond) // the server is back after some seconds
		published.RemoveServer(id)
	}
	s := start("i-2")
	for _, m := range members {
		waitFor(t, "the refusal of the request", eventTimeout, func() bool { return call(m, "/poison").End == gather.Refused })
		is.Equal(call(m, "/other").End, gather.Complete)
	}
	is.True(!s.Crashed())
}

// Guards against a poison request that is repeated at once at all nodes and crashes all servers again as soon as its refusal
// ends, before the next crash is known.
func TestRepeatedPoisonRequestIsTriedOnFewServers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	published, members := newFleet(t, 92, "lukang", "yilan", "chiayi")
	c := config("s")
	c.Routes = []table.Route{{Name: "r", Host: "h", Prefix: "/", MaxAttempts: 2, Targets: []table.Target{{Service: "s", Weight: 1}}}}
	published.SetConfig(c)
	start := func(id string, address netip.AddrPort) *fake.RoutedServer {
		s, err := fake.NewRoutedServer(address, fake.RoutedConfig{ID: id, Faults: fake.RoutedFaults{CrashURI: "/poison"}})
		is.NoErr(err)
		t.Cleanup(s.Close)
		published.PutServer(feed.Server{ID: id, Service: "s", Address: s.Address(), FailureDomain: "lukang", Slots: 6})
		return s
	}
	var servers []*fake.RoutedServer
	for i := range 4 {
		servers = append(servers, start(fmt.Sprint("i-", i), netip.MustParseAddrPort("127.0.0.1:0")))
	}
	for _, m := range members {
		waitFor(t, "the list of servers", eventTimeout, func() bool { return hasService(m, "s") && len(m.Status().Servers) == 4 })
	}
	var group sync.WaitGroup
	end := time.Now().Add(13 * time.Second)
	for _, m := range members {
		for range 4 {
			group.Go(func() {
				for time.Now().Before(end) {
					_, _ = m.Serve(t.Context(), &Request{
						Route: &m.Table().Config().Routes[0], Deadline: time.Now().Add(time.Second),
						Forward: back.Forward{Method: http.MethodPost, URI: "/poison", Host: "h", RequestID: "r", NonIdempotent: true},
					})
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2 * time.Second) // the servers are back after some seconds
	var again []*fake.RoutedServer
	for i, s := range servers {
		published.RemoveServer(fmt.Sprint("i-", i))
		s.Close()
		again = append(again, start(fmt.Sprint("j-", i), s.Address()))
	}
	group.Wait()
	crashed := 0
	for _, s := range again {
		if s.Crashed() {
			crashed++
		}
	}
	t.Logf("%d servers crashed again", crashed)
	is.True(crashed <= 3)
	is.True(crashed >= 1) // the request has been tried
}

// Guards against a restarted node that passes a poison request on again: it must learn of both incidents in which the
// request has crashed servers, although the same servers crashed in both.
func TestStartedNodeKnowsAllCrashesOfARequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newTestFleet(t, 95, 2)
	first := f.start("lukang")
	poison := back.Forward{Method: http.MethodGet, URI: "/poison", Host: "h", RequestID: "r"}
	fingerprint := fingerprintOf(&poison)
	now := time.Now()
	for _, ago := range []time.Duration{8 * time.Second, time.Second} {
		for _, host := range []string{"127.0.0.1:1", "127.0.0.1:2"} {
			first.mu.Lock()
			first.quarantine.ConnectionBroken(now.Add(-ago), fingerprint, netip.MustParseAddrPort(host), now.Add(-ago))
			first.serverDown(now.Add(-ago), netip.MustParseAddrPort(host))
			first.mu.Unlock()
		}
	}
	refusedFor := func(m *member) time.Duration {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.quarantine.RefusedFor(time.Now(), fingerprint)
	}
	is.True(refusedFor(first) > time.Minute)
	second := f.start("lukang")
	waitFor(t, "the second node to refuse the request as long as the first", eventTimeout, func() bool {
		return refusedFor(second) > time.Minute
	})

	// The request succeeds after all, and is allowed at both nodes.
	first.mu.Lock()
	first.recordAttempt(time.Now(), &call{fingerprint: fingerprint}, netip.AddrPort{}, gather.OK, back.Result{})
	first.mu.Unlock()
	waitFor(t, "the second node to allow the request", eventTimeout, func() bool { return refusedFor(second) == 0 })
}
