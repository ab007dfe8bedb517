package serve

import (
	"bytes"
	"net/netip"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/arbutusthread/arbutusthread/conf"
	"github.com/arbutusthread/arbutusthread/stand"
)

// silentTime is the time after a silence in which a query that is sent may be lost: two timeouts of the
// kind.
const silentTime = 2 * time.Second

// Guards against connections to backend servers that go silent for good: they must be found and
// replaced within the cap, and their servers must not be ejected.
func TestSilentServerConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const connections = 6
	f := startFleet(t, stand.Layout{Servers: 3, Replicas: 3, Connections: connections}, "Lukang", "Yilan", "Chiayi")
	// Without hedges, which would hide lost shard requests.
	is.NoErr(f.Update(func(d *conf.Document) { d.Preset = "maintenance" }))
	f.inForce(2)
	load := f.traffic(4, 2, 0)
	silent := 0
	var silences []time.Time
	for range 3 {
		load.more(50)
		before := silent
		for _, s := range f.Servers() {
			silent += s.Silence()
		}
		is.True(silent > before)
		silences = append(silences, time.Now())
		// Each request that finds a silent connection ends at its timeout, so that all are found
		// within two timeouts of the kind, and no later request may be lost.
		time.Sleep(silentTime)
		load.more(100)
		is.Equal(f.ejected(), nil)
	}
	load.stop()
	is.Equal(load.lostOutside(silences, silentTime), nil)
	is.Equal(load.wrong, nil)
	is.True(len(load.refused) <= silent) // one request finds each connection
	load.checkOrders()
	for _, s := range f.Servers() {
		r := s.Record()
		is.True(r.MostConnections <= connections)
		is.Equal(r.ClosedConnections, 0)
	}
}

// dropPackets makes the kernel drop all that arrives on the open connections of this process to the
// address, so that they are silent without an error. It returns their number.
func dropPackets(t *testing.T, remote netip.AddrPort) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	is.New(t).NoErr(err)
	count := 0
	for _, e := range entries {
		fd, _ := strconv.Atoi(e.Name())
		peer, err := unix.Getpeername(fd)
		a, ok := peer.(*unix.SockaddrInet4)
		if err != nil || !ok || a.Port != int(remote.Port()) || !bytes.Equal(a.Addr[:], remote.Addr().AsSlice()) {
			continue
		}
		// BPF: return 0, which accepts no byte of any packet.
		drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		is.New(t).NoErr(unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop}))
		count++
	}
	return count
}

// Guards against connections between nodes that go silent: requests to the home must pass on new
// ones while the old ones stay open without an error.
func TestSilentPeerConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, stand.Layout{Servers: 3, Replicas: 3}, "Lukang", "Yilan", "Chiayi")
	home := f.home()
	load := f.traffic(4, 2, 0)
	load.more(50)
	silent := dropPackets(t, home.PeerAddress())
	is.True(silent > 0)
	begin := time.Now()
	load.more(50)
	t.Logf("50 answers %v after the silence", time.Since(begin).Round(time.Millisecond))
	time.Sleep(time.Until(begin.Add(silentTime)))
	load.more(100)
	load.stop()
	is.Equal(load.lostOutside([]time.Time{begin}, silentTime), nil)
	is.Equal(load.wrong, nil)
	is.True(len(load.refused) <= silent) // one request finds each connection
	load.checkOrders()
}
