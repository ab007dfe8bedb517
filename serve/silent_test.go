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
	"github.com/arbutusthread/arbutusthread/fake"
)

// silenceDetectionTime is the time after connections go silent in which queries that are sent may fail: two timeouts
// of the kind.
const silenceDetectionTime = 2 * time.Second

// Connections to backend servers that go silent permanently must be detected and replaced without exceeding the
// connection limit, and their servers must not be ejected.
func TestSilentServerConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const connections = 6
	f := startFleet(t, fake.Layout{Servers: 3, Replicas: 3, Connections: connections}, "Lukang", "Yilan", "Chiayi")
	// This preset disables hedges, which would hide lost shard requests.
	is.NoErr(f.Update(func(d *conf.Document) { d.Preset = "maintenance" }))
	f.waitForVersion(2)
	load := f.startTraffic(4, 2, 0)
	silent := 0
	var silences []time.Time
	for range 3 {
		load.waitForAnswers(50)
		before := silent
		for _, s := range f.Servers() {
			silent += s.Silence()
		}
		is.True(silent > before)
		silences = append(silences, time.Now())
		// Each request on a silent connection ends at its timeout, so all silent connections are detected within two
		// timeouts of the kind, and no later request may fail.
		time.Sleep(silenceDetectionTime)
		load.waitForAnswers(100)
		is.Equal(f.ejected(), nil)
	}
	load.stop()
	is.Equal(load.failedOutside(silences, silenceDetectionTime), nil)
	is.Equal(load.incorrect, nil)
	is.True(len(load.failedQueries) <= silent) // at most one request fails per silent connection
	load.checkOrders()
	for _, s := range f.Servers() {
		r := s.Record()
		is.True(r.MaxConnections <= connections)
		is.Equal(r.ClosedConnections, 0)
	}
}

// dropPackets makes the kernel drop all packets received on the open connections of this process to the address, so
// that they are silent without an error. It returns the number of connections.
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
		// BPF program: return 0, which accepts no byte of any packet.
		drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		is.New(t).NoErr(unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop}))
		count++
	}
	return count
}

// If connections between nodes go silent, requests to the lease holder must succeed on new connections while the old
// ones stay open without an error.
func TestSilentPeerConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, fake.Layout{Servers: 3, Replicas: 3}, "Lukang", "Yilan", "Chiayi")
	holder := f.leaseHolder()
	load := f.startTraffic(4, 2, 0)
	load.waitForAnswers(50)
	silent := dropPackets(t, holder.PeerAddress())
	is.True(silent > 0)
	begin := time.Now()
	load.waitForAnswers(50)
	t.Logf("50 responses %v after the connections went silent", time.Since(begin).Round(time.Millisecond))
	time.Sleep(time.Until(begin.Add(silenceDetectionTime)))
	load.waitForAnswers(100)
	load.stop()
	is.Equal(load.failedOutside([]time.Time{begin}, silenceDetectionTime), nil)
	is.Equal(load.incorrect, nil)
	is.True(len(load.failedQueries) <= silent) // at most one request fails per silent connection
	load.checkOrders()
}
