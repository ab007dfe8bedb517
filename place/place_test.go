package place

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutusthread/arbutusthread/table"
)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
}

func nodes(counts map[string]int) []Node {
	var list []Node
	for _, domain := range []string{"lukang", "yilan", "chiayi", "flacq"} {
		for range counts[domain] {
			list = append(list, Node{Address: address(len(list)), FailureDomain: domain, Region: "tw", Weight: 4})
		}
	}
	return list
}

func domainOf(list []Node, a netip.AddrPort) string {
	return list[slices.IndexFunc(list, func(n Node) bool { return n.Address == a })].FailureDomain
}

var fanOut = []*table.Route{{Shards: []string{"a", "b", "c"}}}

func serversIn(domains ...string) DomainsByService {
	s := make(DomainsByService)
	for _, name := range []string{"a", "b", "c"} {
		s[name] = make(map[string]bool)
		for _, d := range domains {
			s[name][d] = true
		}
	}
	return s
}

// Guards against callers directed to a failure domain from which all shard answers, or the answer to the
// caller, must cross to another one.
func TestCallersAreDirectedNearTheServers(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		servers DomainsByService
		caller  string
		want    []string
	}{
		"servers in the caller's domain": {serversIn("lukang", "yilan"), "lukang", []string{"lukang"}},
		"no servers there":               {serversIn("lukang", "yilan"), "flacq", []string{"lukang", "yilan"}},
		"no servers at all":              {DomainsByService{}, "chiayi", []string{"chiayi"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list := nodes(map[string]int{"lukang": 3, "yilan": 1, "chiayi": 2, "flacq": 2})
			got := Choose("h", fanOut, c.servers, Caller{FailureDomain: c.caller, Region: "tw"}, list)
			is.True(len(got) > 0)
			for _, a := range got {
				is.True(slices.Contains(c.want, domainOf(list, a)))
			}
		})
	}
}

// Guards against an empty address list while there are live nodes, and against answers that cross
// regions while a node in the region of the caller is available.
func TestRemoteNodesAreChosenWithoutNearOnes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	list := nodes(map[string]int{"lukang": 1})
	caller := Caller{FailureDomain: "chiayi", Region: "tw"}
	is.Equal(len(Choose("h", fanOut, serversIn("lukang"), caller, list)), 1)
	abroad := Node{Address: address(99), FailureDomain: "curepipe", Region: "mu", Weight: 4}
	got := Choose("h", fanOut, serversIn("curepipe"), caller, append(list, abroad))
	is.Equal(got, []netip.AddrPort{address(0)})
	is.Equal(Choose("h", fanOut, serversIn("curepipe"), caller, []Node{abroad}), []netip.AddrPort{address(99)})
	is.Equal(len(Choose("h", fanOut, serversIn("lukang"), caller, nil)), 0)
}

// Guards against low-weight nodes being selected while high-weight ones are not busy, and against
// high-weight nodes being selected while they are busy.
func TestHighWeightNodesArePreferred(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	list := nodes(map[string]int{"lukang": 20})
	list[7].Weight, list[9].Weight = 8, 8
	serving := SelectNodes("h", list)
	is.Equal(len(serving), NodesPerDomain)
	is.True(slices.ContainsFunc(serving, func(n Node) bool { return n.Address == address(7) }))
	is.True(slices.ContainsFunc(serving, func(n Node) bool { return n.Address == address(9) }))
	list[7].Busy = true
	is.True(!slices.ContainsFunc(SelectNodes("h", list), func(n Node) bool { return n.Address == address(7) }))
}

// Guards against all hosts being assigned to the same nodes.
func TestHostsAreSpreadOverNodes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	list := nodes(map[string]int{"lukang": 20})
	used := make(map[netip.AddrPort]int)
	for i := range 400 {
		for _, n := range SelectNodes(fmt.Sprint("host", i), list) {
			used[n.Address]++
		}
	}
	is.Equal(len(used), 20)
	for _, n := range used {
		is.True(n < 3*400*NodesPerDomain/20)
	}
}

// Guards against callers being moved from nodes that are still available when another node is lost.
func TestNodeLossMovesNoOtherCallers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	list := nodes(map[string]int{"lukang": 20})
	moved := 0
	for i := range 400 {
		host := fmt.Sprint("host", i)
		before := SelectNodes(host, list)
		after := SelectNodes(host, list[1:])
		for _, n := range before {
			if n.Address != address(0) && !slices.Contains(after, n) {
				moved++
			}
		}
	}
	is.Equal(moved, 0)
}
