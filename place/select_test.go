package place

import (
	"cmp"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// selectBySorting selects nodes by ordering all of them.
func selectBySorting(host string, nodes []Node) []Node {
	nodes = slices.Clone(nodes)
	rank := func(n Node) uint64 { return xxhash.Sum64String(host + " " + n.Address.String()) }
	slices.SortFunc(nodes, func(a, b Node) int {
		return cmp.Or(compareBool(a.Busy, b.Busy), cmp.Compare(b.Weight, a.Weight), cmp.Compare(rank(b), rank(a)))
	})
	count := make(map[string]int)
	return slices.DeleteFunc(nodes, func(n Node) bool {
		count[n.FailureDomain]++
		return count[n.FailureDomain] > NodesPerDomain
	})
}

// Guards against nodes of different releases that name different nodes to callers, which would spread the connections
// to servers over more nodes than count on it.
func TestSelectionEqualsThatOfASortedList(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var nodes []Node
		for i := range rapid.IntRange(0, 40).Draw(t, "nodes") {
			nodes = append(nodes, Node{
				Address:       address(i),
				FailureDomain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
				Weight:        rapid.IntRange(1, 3).Draw(t, "weight"), Busy: rapid.Bool().Draw(t, "busy"),
			})
		}
		is := is.New(t)
		is.Equal(SelectNodes("h.example", nodes), append([]Node{}, selectBySorting("h.example", nodes)...))
	})
}
