package trial

import (
	"cmp"
	"slices"
)

// sortedAttempts returns the attempts at a server ordered by sender and attempt ID. Map iteration order
// would make runs with the same seed differ.
func sortedAttempts(m map[attemptKey]*attempt) []*attempt {
	list := make([]*attempt, 0, len(m))
	for _, f := range m {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.key.sender, b.key.sender), cmp.Compare(a.key.id, b.key.id))
	})
	return list
}
