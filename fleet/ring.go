package fleet

import (
	"cmp"
	"slices"
)

// ringCount is the number of hash rings and therefore the number of observers of a member.
const ringCount = 3

// ring orders the members that are up by a hash of their address.
type ring []ringEntry

type ringEntry struct {
	position uint64
	record   *record
}

func ringPosition(ring int, hash uint64) uint64 {
	return mix(hash + uint64(ring+1)*0x9e3779b97f4a7c15)
}

func (g ring) find(position uint64) (int, bool) {
	return slices.BinarySearchFunc(g, position, func(s ringEntry, p uint64) int {
		return cmp.Compare(s.position, p)
	})
}

func (g *ring) add(position uint64, r *record) {
	i, _ := g.find(position)
	*g = slices.Insert(*g, i, ringEntry{position, r})
}

func (g *ring) remove(position uint64, r *record) {
	i, ok := g.find(position)
	if ok && (*g)[i].record == r {
		*g = slices.Delete(*g, i, i+1)
	}
}

// at returns the record at an index that may lie outside the ring by up to its length.
func (g ring) at(i int) *record {
	return g[(i+len(g))%len(g)].record
}

// observersOf returns the members that watch r: from each ring, the nearest predecessor that was not
// selected from an earlier ring. Every member has three observers if the fleet is large enough.
func (t *table) observersOf(r *record, buf []*record) []*record {
	buf = buf[:0]
	for i, g := range t.rings {
		at, ok := g.find(ringPosition(i, r.hash))
		if !ok {
			return buf
		}
		for k := 1; k < len(g); k++ {
			p := g.at(at - k)
			if !slices.Contains(buf, p) {
				buf = append(buf, p)
				break
			}
		}
	}
	return buf
}

// observedBy returns the members that r watches. A predecessor is skipped at most once for each
// other ring, so only the next ringCount successors can qualify.
func (t *table) observedBy(r *record) []*record {
	var watched, scratch []*record
	for i, g := range t.rings {
		at, ok := g.find(ringPosition(i, r.hash))
		if !ok {
			return watched
		}
		for k := 1; k <= ringCount && k < len(g); k++ {
			s := g.at(at + k)
			if slices.Contains(watched, s) {
				continue
			}
			scratch = t.observersOf(s, scratch)
			if slices.Contains(scratch, r) {
				watched = append(watched, s)
			}
		}
	}
	return watched
}
