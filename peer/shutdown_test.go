package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/wire"
)

// promptTime is far longer than a shutdown without requests in flight takes, and far shorter than the time for which it
// waits for requests.
const promptTime = time.Second

// startStoppable runs a node until the returned function is called, which returns the time that the shutdown took.
func startStoppable(t *testing.T, h Handlers) (*Node, func() time.Duration) {
	t.Helper()
	n, err := New(Config{
		Member: fleet.Member{
			Address: netip.MustParseAddrPort("127.0.0.1:0"), FailureDomain: "lukang", Caller: netip.MustParseAddrPort("127.0.0.1:1"),
		},
		Keys: [][]byte{testKey}, Handlers: h,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	return n, func() time.Duration {
		begin := time.Now()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		return time.Since(begin)
	}
}

// Guards against a process that is killed at the end of its stop time because another node has opened a connection to it and
// sent no request yet.
func TestUnusedConnectionDoesNotDelayShutdown(t *testing.T) {
	is := is.New(t)
	n, stop := startStoppable(t, Handlers{})
	c, err := new(net.Dialer).DialContext(t.Context(), "tcp", n.Self().Address.String())
	is.NoErr(err)
	defer c.Close()
	time.Sleep(50 * time.Millisecond) // the connection is accepted
	is.True(stop() < promptTime)
}

// Guards against a planned stop that takes longer than its time because a request of another node does not end.
func TestShutdownEndsWithThePlannedStop(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}, 2), make(chan struct{})
	defer close(release)
	gather := func(ctx context.Context, _ *wire.GatherQuery, _ func(wire.GatherPart) error) error {
		started <- struct{}{}
		<-release
		return ctx.Err()
	}
	n, stop := startStoppable(t, Handlers{Gather: gather})
	k := newClient(Config{Keys: [][]byte{testKey}})
	go func() {
		_ = k.Gather(t.Context(), n.Self().Address, &wire.GatherQuery{Method: http.MethodGet}, func(wire.GatherPart) {})
	}()
	<-started
	n.Leave(time.Now().Add(200 * time.Millisecond))
	took := stop()
	is.True(took >= 200*time.Millisecond) // it waits for the request until the end of the stop
	is.True(took < promptTime)
}
