package trial

import (
	"cmp"
	"slices"
)

// sortedFlights gives the requests at a server a fixed order, since the order of a map would make
// runs differ.
func sortedFlights(m map[flightKey]*flight) []*flight {
	list := make([]*flight, 0, len(m))
	for _, f := range m {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b *flight) int {
		return cmp.Or(cmp.Compare(a.key.sender, b.key.sender), cmp.Compare(a.key.attempt, b.key.attempt))
	})
	return list
}
