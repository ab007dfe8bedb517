package table

import (
	"maps"
	"reflect"
	"slices"
)

// Changes is the difference between two lists of named entries: the entries that are new or changed, and the
// names of those that are removed.
type Changes[T any] struct {
	Set    []T      `json:"Set,omitempty"`
	Remove []string `json:"Remove,omitempty"`
}

// DiffList returns the changes that turn the older list into the newer one. Names must be unique within a list.
// A change of order only is not recorded.
func DiffList[T any](older, newer []T, name func(*T) string) Changes[T] {
	before := byName(older, name)
	var c Changes[T]
	for i := range newer {
		n := name(&newer[i])
		if o, ok := before[n]; !ok || !reflect.DeepEqual(o, &newer[i]) {
			c.Set = append(c.Set, newer[i])
		}
		delete(before, n)
	}
	c.Remove = slices.Sorted(maps.Keys(before))
	return c
}

// IsZero reports whether there are no changes.
func (c Changes[T]) IsZero() bool { return len(c.Set) == 0 && len(c.Remove) == 0 }

// Apply returns a new list with the changes applied. It retains the order of the remaining entries and appends
// new ones.
func (c Changes[T]) Apply(older []T, name func(*T) string) []T {
	set := byName(c.Set, name)
	removed := make(map[string]bool, len(c.Remove))
	for _, n := range c.Remove {
		removed[n] = true
	}
	newer := make([]T, 0, len(older)+len(c.Set))
	for i := range older {
		n := name(&older[i])
		if removed[n] {
			continue
		}
		if x, ok := set[n]; ok {
			newer = append(newer, *x)
			delete(set, n)
			continue
		}
		newer = append(newer, older[i])
	}
	for i := range c.Set {
		n := name(&c.Set[i])
		if x, ok := set[n]; ok {
			newer = append(newer, *x)
			delete(set, n)
		}
	}
	return newer
}

func byName[T any](all []T, name func(*T) string) map[string]*T {
	m := make(map[string]*T, len(all))
	for i := range all {
		m[name(&all[i])] = &all[i]
	}
	return m
}
