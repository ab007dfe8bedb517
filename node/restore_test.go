package node

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/fake"
	"github.com/arbutusthread/arbutusthread/feed"
	"github.com/arbutusthread/arbutusthread/table"
)

// restoreFleet is a fleet whose platform comes back from copies.
type restoreFleet struct {
	*testing.T
	published *fake.MemoryPlatform
	members   []*member
	version   uint64
}

// configure publishes the next version of the configuration, with one service.
func (f *restoreFleet) configure() table.Config {
	f.version++
	c := config(fmt.Sprint("s", f.version))
	c.Version = f.version
	f.published.SetConfig(c)
	return c
}

func (f *restoreFleet) waitForVersion() {
	f.Helper()
	for _, m := range f.members {
		waitFor(f.T, fmt.Sprint("version ", f.version), applyTime, func() bool { return m.Table() != nil && m.Table().Config().Version == f.version })
	}
}

// restore brings the platform back from the copy and publishes the configuration and the server again.
func (f *restoreFleet) restore(from fake.MemoryCopy, c table.Config, s feed.Server) {
	f.Helper()
	if err := f.published.Restore(from); err != nil {
		f.Fatal(err)
	}
	time.AfterFunc(500*time.Millisecond, func() {
		f.published.SetConfig(c)
		f.published.PutServer(s)
	})
}

// Guards against nodes that ignore what the platform publishes after it has come back from a copy, until its revisions have
// caught up, that return to what the copy says, or that all load it.
func TestNodesFollowARestoredPlatform(t *testing.T) {
	t.Parallel()
	// readers is the number of nodes of a region that read the platform.
	const readers = 2
	for name, play := range map[string]func(f *restoreFleet, restore func()){
		"after an outage": func(f *restoreFleet, restore func()) {
			f.published.SetDown(true)
			time.Sleep(time.Second)
			restore()
			f.published.SetDown(false)
		},
		"at once": func(_ *restoreFleet, restore func()) { restore() },
		"twice in a second": func(_ *restoreFleet, restore func()) {
			restore()
			time.Sleep(300 * time.Millisecond)
			restore()
		},
		"while the readers are cut off": func(f *restoreFleet, restore func()) {
			for _, m := range f.members {
				m.source.unavailable.Store(m.peer.ReaderRank() == 0)
			}
			restore()
			time.Sleep(applyTime)
			for _, m := range f.members {
				m.source.unavailable.Store(false)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			// Each subtest has a network of its own.
			nodes := newTestFleet(t, 100+byte(len(name)), 6)
			published := nodes.published
			f := &restoreFleet{T: t, published: published}
			for _, domain := range []string{"lukang", "lukang", "yilan", "yilan", "chiayi", "chiayi"} {
				f.members = append(f.members, nodes.start(domain))
			}
			members := f.members
			f.configure()
			f.waitForVersion()
			time.Sleep(4 * time.Second) // nodes ignore their reader rank shortly after their start
			from := published.Copy()
			late := feed.Server{ID: "late", Service: "s2", Address: netip.MustParseAddrPort("127.0.0.1:9"), FailureDomain: "lukang", Slots: 2}
			c := f.configure()
			for range 10 {
				published.PutServer(late)
			}
			f.waitForVersion()
			for _, m := range members {
				m.source.loads.Store(0)
				waitFor(t, "the server", eventTimeout, func() bool { return len(m.Status().Servers) == 1 })
			}

			stop := make(chan struct{})
			lost := make(chan string, 1)
			go func() {
				defer close(lost)
				for {
					for i, m := range members {
						switch {
						case m.Table().Config().Version < c.Version:
							lost <- fmt.Sprint("node ", i, " has returned to version ", m.Table().Config().Version)
							return
						case len(m.Status().Servers) != 1:
							lost <- fmt.Sprint("node ", i, " has lost the server")
							return
						}
					}
					select {
					case <-stop:
						return
					case <-time.After(5 * time.Millisecond):
					}
				}
			}()
			play(f, func() { f.restore(from, c, late) })
			time.Sleep(time.Second)
			loads := int64(0)
			for _, m := range members {
				loads += m.source.loads.Load()
			}
			f.configure()
			f.waitForVersion()
			time.Sleep(3 * time.Second) // beyond the hold of a lapsed entry
			close(stop)
			for text := range lost {
				t.Error(text)
			}
			t.Logf("%d loads", loads)
			eras := members[0].Status().Era
			is.True(eras >= 1)
			is.True(loads <= readers*int64(eras)) // a load of each reader in each new era, not of each node
			for _, m := range members {
				is.Equal(m.Status().Era, eras)
			}
			is.True(strings.Count(nodes.logs.String(), "platform restored from a copy") >= len(members))
		})
	}
}
