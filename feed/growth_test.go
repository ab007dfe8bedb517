package feed

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/table"
)

// maxReplica is the heap, in bytes, that a replica may take in the test: a full log of small changes and maxConfigs
// configurations of 20 KB.
const maxReplica = 10 << 20

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a replica that remembers each failure domain that was ever taken out, also those of another writer's entries.
func TestReplicaForgetsFailureDomains(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := NewState()
	apply(t, s, 0, Delta{Full: true, To: 1})
	revision := Revision(1)
	for i := range 1000 {
		name := fmt.Sprint("d-", i)
		apply(t, s, 0, Delta{From: revision, To: revision + 2, Changes: []Change{
			{Revision: revision + 1, Out: name}, {Revision: revision + 2, In: name},
		}})
		revision += 2
	}
	apply(t, s, 0, Delta{From: revision, To: revision + 1, Changes: []Change{{Revision: revision + 1, Out: "d-999"}}})
	apply(t, s, 2*tombstoneTTL, Delta{From: revision + 1, To: revision + 1})
	is.Equal(len(s.revisions), 1) // d-999 is out again
}

// Guards against memory that grows with the history of a replica: with the versions of the configuration, and with the
// servers and failure domains that come and go.
func TestReplicaDoesNotGrowWithItsHistory(t *testing.T) {
	is := is.New(t)
	before := heapBytes()
	s := NewState()
	apply(t, s, 0, Delta{Full: true, To: 1})
	at, revision := time.Duration(0), Revision(1)
	step := func(i int) {
		at += 100 * time.Millisecond
		d := Delta{From: revision}
		add := func(c Change) {
			revision++
			c.Revision = revision
			d.Changes = append(d.Changes, c)
		}
		config := &table.Config{Version: uint64(revision)}
		for k := range 200 {
			config.Services = append(config.Services, table.Service{Name: fmt.Sprint("s-", i, "-", k)})
		}
		add(Change{Config: config})
		added := server(fmt.Sprint("i-", i))
		added.Address = netip.AddrPortFrom(added.Address.Addr(), uint16(i%60_000+1))
		add(Change{Server: added})
		if i >= 50 {
			add(Change{Removed: fmt.Sprint("i-", i-50), Lapsed: i%2 == 0})
		}
		add(Change{Out: fmt.Sprint("d-", i%7)})
		add(Change{In: fmt.Sprint("d-", i%7)})
		d.To = revision
		apply(t, s, at, d)
		s.View(epoch.Add(at))
	}
	for i := range 10_000 {
		step(i)
		if i%2_500 == 0 {
			taken := heapBytes() - before
			t.Logf("after %d versions: %d KB", i+1, taken>>10)
			is.True(taken < maxReplica)
		}
	}
	lapsed := int(lapseHoldTime / (200 * time.Millisecond)) // each second removal, and there are ten a second
	is.Equal(len(s.View(epoch.Add(at)).Servers), 50+lapsed)
}
