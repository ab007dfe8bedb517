package node

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/panics"
	"github.com/arbutusthread/arbutusthread/table"
)

// Guards against changes that reach only some nodes, and against a fleet in which all nodes read the platform.
func TestChangesReachAllNodes(t *testing.T) {
	t.Parallel()
	published, members := newFleet(t, 81, "lukang", "lukang", "yilan", "yilan", "chiayi", "chiayi")
	for i := range 5 {
		name := fmt.Sprint("s", i)
		published.SetConfig(config(name))
		for _, m := range members {
			waitFor(t, "the configuration", eventTimeout, func() bool { return hasService(m, name) })
		}
	}
	waitFor(t, "full membership on all nodes", eventTimeout, func() bool {
		for _, m := range members {
			if len(m.Members()) != len(members) {
				return false
			}
		}
		return true
	})
	time.Sleep(4 * time.Second) // nodes ignore their reader rank shortly after their start
	before := published.Reads()
	time.Sleep(3 * time.Second)
	if reads := published.Reads() - before; reads < 4 || reads > 9 {
		t.Fatalf("%d reads in 3 s, want about 6 from two readers", reads)
	}
}

// Guards against data that becomes stale repeatedly while the platform refuses the reads of the readers. Two other
// nodes must take over as readers for that time, and no further node may read.
func TestReadersCannotReachPlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	published, members := newFleet(t, 82, "lukang", "lukang", "yilan", "yilan", "chiayi", "chiayi")
	published.SetConfig(config("s"))
	for _, m := range members {
		waitFor(t, "the first configuration", eventTimeout, func() bool { return hasService(m, "s") })
	}
	time.Sleep(4 * time.Second) // nodes ignore their reader rank shortly after their start
	for _, m := range members {
		m.source.unavailable.Store(m.peer.ReaderRank() == 0)
	}
	time.Sleep(applyTime)
	for _, m := range members {
		m.source.reads.Store(0)
	}
	for i := range 6 {
		time.Sleep(time.Second)
		name := fmt.Sprint("s", i)
		published.SetConfig(config(name))
		begin := time.Now()
		for _, m := range members {
			waitFor(t, "the configuration", applyTime-time.Since(begin), func() bool { return hasService(m, name) })
		}
	}
	readers := 0
	for i, m := range members {
		reads := m.source.reads.Load()
		t.Logf("node %d: unavailable %t, %d reads, rank %d", i, m.source.unavailable.Load(), reads, m.peer.ReaderRank())
		if reads > 0 {
			readers++
		}
	}
	is.Equal(readers, 2)
}

// Guards against a node that cannot serve because the platform is down when it starts: it must use the data of a
// peer.
func TestStartDuringPlatformOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	published, members := newFleet(t, 83, "lukang", "yilan")
	published.SetConfig(config("s"))
	waitFor(t, "the configuration", eventTimeout, func() bool { return hasService(members[0], "s") })
	published.SetDown(true)
	is.NoErr(members[1].applyPeerDelta(members[0].feedSince(feed.Position{})))
	// The node may have read the same data from the platform just before, and still be installing it.
	waitFor(t, "the configuration of the peer", eventTimeout, func() bool { return hasService(members[1], "s") })
	is.True(members[1].applyPeerDelta(feed.Delta{Full: true}) != nil) // a peer without data
}

// Guards against nodes that cannot serve, or never receive later changes, because each answer of the platform takes
// longer than the initial read timeout. Found by soak, seed 100.
func TestSlowPlatform(t *testing.T) {
	t.Parallel()
	published, members := newFleet(t, 86, "lukang")
	members[0].source.delay.Store(int64(readGrace + 200*time.Millisecond))
	published.SetConfig(config("a"))
	waitFor(t, "the configuration", eventTimeout, func() bool { return hasService(members[0], "a") })
	published.SetConfig(config("b"))
	waitFor(t, "the next configuration", eventTimeout, func() bool { return hasService(members[0], "b") })
}

// Guards against servers that are dropped because their entries expired during a platform outage, and against removed
// servers that stay listed.
func TestLapsedEntries(t *testing.T) {
	t.Parallel()
	published, members := newFleet(t, 84, "lukang")
	m := members[0]
	listed := func(id string) bool {
		m.feedMu.Lock()
		defer m.feedMu.Unlock()
		for _, s := range m.feed.View(time.Now()).Servers {
			if s.ID == id {
				return true
			}
		}
		return false
	}
	published.SetConfig(config("s"))
	entry := func(id string) feed.Server {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, id[0]}), 9)
		return feed.Server{ID: id, Service: "s", Address: address, FailureDomain: "lukang", Slots: 1}
	}
	for _, id := range []string{"a", "b"} {
		published.PutServer(entry(id))
		waitFor(t, "the server in the list", eventTimeout, func() bool { return listed(id) })
	}
	published.SetDown(true)
	waitFor(t, "a failed platform read", eventTimeout, func() bool {
		m.feedMu.Lock()
		defer m.feedMu.Unlock()
		return m.reader.Failures() > 0
	})
	published.RemoveServer("a")
	published.RemoveServer("b")
	published.SetDown(false)
	waitFor(t, "a successful platform read", eventTimeout, func() bool {
		m.feedMu.Lock()
		defer m.feedMu.Unlock()
		return m.reader.Failures() == 0
	})
	if !listed("a") || !listed("b") {
		t.Fatal("lapsed servers were dropped at once")
	}
	published.PutServer(entry("a"))
	waitFor(t, "removal of the lapsed server", eventTimeout, func() bool { return !listed("b") })
	if !listed("a") {
		t.Fatal("the server that registered again was dropped")
	}
}

// Guards against directory answers that contain a node which is leaving or down.
func TestAddressesFollowMembership(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	published, members := newFleet(t, 85, "lukang", "yilan", "yilan")
	published.SetConfig(config("s"))
	listed := func(m *member, other *member) bool {
		addresses, keep := m.Addresses("h", "tw", "yilan")
		is.True(keep > 0)
		for _, a := range addresses {
			if a == other.config.Settings.CallerAddress {
				return true
			}
		}
		return false
	}
	for _, m := range members {
		waitFor(t, "directory answers with both nodes", eventTimeout, func() bool {
			return hasService(m, "s") && listed(m, members[1]) && listed(m, members[2])
		})
	}
	members[1].Leave(time.Now().Add(time.Minute))
	is.True(!members[1].Ready())
	waitFor(t, "an answer without the leaving node", 2*time.Second, func() bool { return !listed(members[0], members[1]) })
	members[2].stop()
	waitFor(t, "an answer without the stopped node", 4*time.Second, func() bool { return !listed(members[0], members[2]) })
	addresses, _ := members[0].Addresses("h", "tw", "yilan")
	is.Equal(addresses, []netip.AddrPort{members[0].config.Settings.CallerAddress})
	for _, m := range members[0].Members() {
		is.True(m.State != fleet.StateAlive || m.Address == members[0].config.Settings.PeerAddress)
	}
}

// Guards against an answer of the platform that causes a panic and takes the process down, or stops it from following
// the platform.
func TestPanicOfARead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	published, members := newFleet(t, 98, "lukang")
	members[0].source.panics.Store(3)
	published.SetConfig(config("s"))
	waitFor(t, "the configuration", eventTimeout, func() bool { return hasService(members[0], "s") })
	members[0].source.panics.Store(2)
	published.SetConfig(config("s", "later"))
	waitFor(t, "the next configuration", eventTimeout, func() bool { return hasService(members[0], "later") })
	is.True(members[0].source.panics.Load() < 0) // all panics have happened
}

// Guards against an invalid configuration from a peer that takes effect, or that causes a panic while the replica is
// locked: the node must go on with the one that it has.
func TestPanicOfAPeerDelta(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	published, members := newFleet(t, 99, "lukang")
	published.SetConfig(config("s"))
	waitFor(t, "the configuration", eventTimeout, func() bool { return hasService(members[0], "s") })
	valid := members[0].Table().Config().Version
	is.NoErr(panics.Catch(func() error {
		// A route that no check lets pass has neither targets nor shards.
		broken := config("s")
		broken.Version = 1 << 40
		broken.Routes = []table.Route{{Host: "h", Prefix: "/"}, {}}
		return members[0].applyPeerDelta(feed.Delta{From: 0, To: 1 << 40, Changes: []feed.Change{{Revision: 1 << 40, Config: &broken}}})
	}))
	done := make(chan feed.Revision, 1)
	go func() { done <- members[0].revision() }()
	select {
	case <-done:
	case <-time.After(eventTimeout):
		t.Fatal("the replica is locked for good")
	}
	is.Equal(members[0].Table().Config().Version, valid)
}
