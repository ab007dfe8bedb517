package node

import (
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/fleet"
	"github.com/arbutusthread/arbutusthread/place"
)

// Guards against directory answers of the last node that name dead ones, and against a node that forgets the others.
func TestLastNodeNamesOnlyItself(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	domains := []string{"lukang", "lukang", "lukang", "yilan", "yilan", "yilan", "chiayi", "chiayi", "chiayi"}
	published, members := newFleet(t, 88, domains...)
	published.SetConfig(config("s"))
	last := members[0]
	waitFor(t, "a configuration and all members", eventTimeout, func() bool {
		return hasService(last, "s") && len(nodesOf(last.Members())) == len(domains)
	})
	for _, m := range members[1:] {
		m.stop()
	}
	killed := time.Now()
	waitFor(t, "answers with the last node alone", eventTimeout, func() bool {
		for _, d := range domains {
			addresses, _ := last.Addresses("h", "tw", d)
			if len(addresses) != 1 || addresses[0] != last.config.Settings.CallerAddress {
				return false
			}
		}
		return true
	})
	t.Logf("only itself after %s", time.Since(killed))
	is.Equal(len(nodesOf(last.Members())), len(domains))
}

// Guards against silent members in directory answers, and against a node that takes their share of the servers'
// connections although they may be alive.
func TestSilentMembersAreNotNamed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a, b := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.2:1")
	members := []fleet.Member{
		{Address: a, Caller: a, State: fleet.StateAlive, Silent: true},
		{Address: b, Caller: b, State: fleet.StateAlive},
	}
	is.Equal(len(nodesOf(members)), 2)
	nodes := nodesOf(answering(members))
	is.Equal(len(nodes), 1)
	is.Equal(nodes[0].Address, b)
}

// Guards against memory that long names in directory queries take for good.
func TestAddressCacheKeepsNoLongNames(t *testing.T) {
	is := is.New(t)
	var a addressCache
	const size = 16 << 10
	before := heapBytes()
	for i := range maxCachedAnswers {
		query := strings.Repeat("p", size) + strconv.Itoa(i)
		a.put(addressKey{host: query, caller: place.Caller{Region: "tw"}}, nil, 0)
		a.put(addressKey{host: query[size-10:]}, nil, 0)
	}
	grown := heapBytes() - before
	t.Logf("%d entries, %d KiB", len(a.entries), grown>>10)
	is.Equal(len(a.entries), maxCachedAnswers)
	is.True(grown < 1<<20)
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a directory answer that is computed before a change and cached after it, and against queries for
// arbitrary host names that exhaust the memory.
func TestAddressCacheInvalidation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var a addressCache
	k, list := addressKey{host: "h"}, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	_, before, ok := a.get(k)
	is.True(!ok)
	a.put(k, list, before)
	got, _, ok := a.get(k)
	is.True(ok)
	is.Equal(got, list)
	a.clear()
	_, now, ok := a.get(k)
	is.True(!ok)
	a.put(k, list, before)
	_, _, ok = a.get(k)
	is.True(!ok)
	for i := range 2 * maxCachedAnswers {
		a.put(addressKey{host: string(rune(i))}, list, now)
	}
	is.Equal(len(a.entries), maxCachedAnswers)
}
