package node

import (
	"context"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/wire"
)

// Guards against a node that takes the bounds of the whole fleet because it has not contacted any other node yet, as
// after a restart behind a partition, and against a single node that never gets a share of the bounds.
func TestNodeCountForBounds(t *testing.T) {
	t.Parallel()
	self, other := netip.MustParseAddrPort("127.0.85.1:0"), netip.MustParseAddrPort("127.0.85.2:1")
	for name, c := range map[string]struct {
		seeds []netip.AddrPort
		age   time.Duration
		want  int
	}{
		"other seeds":           {[]netip.AddrPort{self, other}, 0, 0},
		"alone for a minute":    {[]netip.AddrPort{self, other}, discoveryTimeout, 1},
		"only seed":             {[]netip.AddrPort{self}, 0, 1},
		"single node, no seeds": {nil, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			n, err := New(Config{
				Headers: wire.DefaultHeaders(), Log: slog.New(slog.DiscardHandler),
				Settings: &conf.Settings{
					Name: "n", FailureDomain: "lukang", Region: "tw", PeerAddress: self, Seeds: c.seeds,
					FleetKeys: []string{strings.Repeat("ab", 16)},
				},
			})
			if err != nil {
				t.Fatal(err)
			}
			ended, end := context.WithCancel(t.Context())
			end()
			t.Cleanup(func() {
				if err := n.Run(ended); err != nil { // closes the sockets
					t.Error(err)
				}
			})
			n.started = n.started.Add(-c.age)
			n.countNodes()
			if got := n.engine.Load(time.Now()).Nodes; got != c.want {
				t.Fatalf("the bounds are divided by %d nodes, want %d", got, c.want)
			}
			if met := n.discovered.Load(); met != (c.age >= discoveryTime) {
				t.Fatalf("discovered is %v after %v", met, c.age)
			}
		})
	}
}

// Guards against a new node that takes its share of the bounds while a member behind a partition still divides the
// bounds by the number of nodes without it.
func TestNewNodeWaitsForLostMembers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	up, lost := fleet.Member{State: fleet.StateAlive}, fleet.Member{State: fleet.StateDown}
	is.True(!mayBeUnknown([]fleet.Member{up, up}, true))
	is.True(mayBeUnknown([]fleet.Member{up, up, lost}, true))
	is.True(mayBeUnknown([]fleet.Member{up}, true))
	is.True(!mayBeUnknown([]fleet.Member{up}, false))
}
